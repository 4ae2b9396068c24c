package waiting

import (
	"math"
	"time"
)

const (
	// throughputTime is the time constant of the measured throughput: a quarter of the shortest time for which callers
	// wait, so that requests which can't be served are refused early after a part of the pool is lost.
	throughputTime = 500 * time.Millisecond
	// priorPlacements is the number of placements at the published capacity that count in addition to the measured ones.
	// In a small pool, no slot may become free for longer than throughputTime although nothing is wrong.
	priorPlacements = 3
	// forgetTime is the time constant with which the measured throughput returns to the published capacity while no
	// request waits: about the time that an endpoint takes to get warm.
	forgetTime = 5 * time.Second
	// lateShare is the share of the placements that late requests get at least.
	lateShare = 1.0 / (maxPassedOver + 1)
	// retryJitter is the largest relative deviation of the retry delay, so that refused callers don't return together.
	retryJitter = 0.25
	// minRetryAfter is the shortest retry delay; an earlier return would find the same queue.
	minRetryAfter = 100 * time.Millisecond
	// maxRetryShare bounds the retry delay by the time that the caller has left, so that its return can still be served.
	maxRetryShare = 1.0 / 3
)

// throughput is the measured rate of placements.
type throughput struct {
	// at is when the rates were updated.
	at time.Time
	// capacity is the published rate per second. total is the rate of all placements while requests wait, and inTime that
	// of requests that could meet their objective, at any time.
	capacity, total, inTime float64
	// placed and placedInTime count the placements since at.
	placed, placedInTime int
}

// update updates the rates; waiting reports whether requests have waited since the previous update. Without them, the
// rate of all placements returns to the published capacity, since placements then tell the demand and not the capacity.
func (t *throughput) update(now time.Time, capacity float64, waiting bool) {
	t.capacity = capacity
	elapsed := now.Sub(t.at)
	if elapsed <= 0 {
		return
	}
	decay := math.Exp(-float64(elapsed) / float64(throughputTime))
	t.inTime = decay*t.inTime + (1-decay)*float64(t.placedInTime)/elapsed.Seconds()
	switch {
	case t.at.IsZero():
		t.total = capacity
	case waiting:
		t.total = decay*t.total + (1-decay)*float64(t.placed)/elapsed.Seconds()
	default:
		forget := math.Exp(-float64(elapsed) / float64(forgetTime))
		t.total = forget*t.total + (1-forget)*capacity
	}
	t.at, t.placed, t.placedInTime = now, 0, 0
}

// count counts a placement.
func (t *throughput) count(late bool) {
	t.placed++
	if !late {
		t.placedInTime++
	}
}

// perSecond returns the placements per second to expect.
func (t *throughput) perSecond() float64 {
	if t.capacity <= 0 {
		return max(t.total, math.SmallestNonzeroFloat32)
	}
	span := throughputTime.Seconds()
	return (t.total*span + priorPlacements) / (span + priorPlacements/t.capacity)
}

// inTimePerSecond returns the placements per second to expect of requests that can meet their objective.
func (t *throughput) inTimePerSecond(lateWait bool) float64 {
	if lateWait {
		return t.perSecond() * (1 - lateShare)
	}
	return t.perSecond()
}

// latePerSecond returns the placements of late requests per second to expect: what others leave.
func (t *throughput) latePerSecond() float64 {
	return max(t.perSecond()*lateShare, t.perSecond()-t.inTime)
}

// Prediction is when a request that is not in the queue yet would be placed.
type Prediction struct {
	// Position is the number of requests ahead.
	Position int
	// Start is when its first token is predicted.
	Start time.Time
}

// Predict predicts the start of a request that would be added now.
//
// Load pattern: a flood of quick requests exceeds the capacity for seconds. A request whose turn comes after its caller
// has given up is refused on arrival instead of after seconds.
func (q *Queue[T]) Predict(r Request, now time.Time) Prediction {
	band := bandOf(&r, q.overhead, now)
	rank := q.rankQueue(r.Rank)
	inTime, late := 0.0, 0.0
	for _, other := range q.ranks {
		if other.rank < r.Rank {
			inTime += float64(other.length())
			late += float64(other.lengths[bandLate])
		}
	}
	sameInTime := float64(rank.lengths[bandReturned] + rank.lengths[bandNew])
	if band == bandReturned {
		sameInTime = float64(rank.lengths[bandReturned]) + float64(rank.lengths[bandNew])*lateShare
	}
	inTime += min(sameInTime, rank.queue.WorkAhead(r.Account, bandNew, r.weight(), r.work())/r.work())
	late += min(float64(rank.lengths[bandLate]), rank.queue.WorkAhead(r.Account, bandLate, r.weight(), r.work())/r.work())
	inTimePerSecond := q.throughput.inTimePerSecond(q.lateWaiting() > 0)
	turn := now.Add(seconds(inTime / inTimePerSecond))
	latest := r.latestInTime(q.overhead)
	if band != bandLate && !turn.After(latest) {
		return Prediction{Position: int(inTime), Start: turn.Add(r.PrefillTime + q.overhead)}
	}
	// The request becomes late before its turn, and then waits behind the late requests and those that become late with
	// it.
	if latest.Before(now) {
		latest = now
	}
	if band != bandLate {
		late += max(0, inTime-inTimePerSecond*latest.Sub(now).Seconds())
	}
	turn = latest.Add(seconds(late / q.throughput.latePerSecond()))
	return Prediction{Position: int(max(inTime, late)), Start: turn.Add(r.PrefillTime + q.overhead)}
}

// Full reports whether as many requests wait ahead of a request as the pool serves within the time that it can wait, or
// MaxLength in all.
//
// Load pattern: one account, or a less urgent route, sends far more than the pool serves. The requests that others send
// are placed before these, and are not refused for them.
func (q *Queue[T]) Full(r Request, now time.Time) bool {
	limit := q.throughput.perSecond() * r.LatestStart.Sub(now).Seconds()
	return len(q.items) >= MaxLength || float64(q.Predict(r, now).Position) >= max(1, limit)
}

// RetryAfter returns the delay after which the caller of a refused request should return: the predicted time until the
// queue has drained, varied by random, which is in [0, 1).
func (q *Queue[T]) RetryAfter(r Request, now time.Time, random float64) time.Duration {
	drained := seconds(float64(len(q.items)) / q.throughput.perSecond() * (1 - retryJitter + 2*retryJitter*random))
	most := time.Duration(float64(r.LatestStart.Sub(now)) * maxRetryShare)
	return max(minRetryAfter, min(drained, most))
}

// seconds returns a number of seconds as a duration, at most an hour.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, time.Hour.Seconds()) * float64(time.Second))
}
