package waiting

import (
	"math"
	"time"
)

const (
	// throughputTime is the time constant of the measured throughput: a few times the time between two ends of answers at
	// one engine, and below the shortest time for which callers wait.
	throughputTime = time.Second
	// minThroughputTime is the time constant when the first waiting request is placed, which grows with the time since: the
	// published capacity, from which the measurement starts, may be far too high for endpoints that are cold. It does not
	// apply before, since a stall does not tell the throughput after it.
	minThroughputTime = 400 * time.Millisecond
	// minThroughputShare bounds the measured throughput from below, as a share of the published capacity, so that a short
	// standstill doesn't make all requests look hopeless.
	minThroughputShare = 0.05
	// lateShare is the share of the placements that late requests get at least.
	lateShare = 1.0 / (maxPassedOver + 1)
	// initialLateShare is the share that they are assumed to get before it was measured: between the least and all.
	initialLateShare = 0.5
	// retryJitter is the largest relative deviation of the retry delay, so that refused callers don't return together.
	retryJitter = 0.25
	// minRetryAfter is the shortest retry delay; an earlier return would find the same queue.
	minRetryAfter = 100 * time.Millisecond
	// maxRetryShare bounds the retry delay by the time that the caller has left, so that its return can still be served.
	maxRetryShare = 1.0 / 3
)

// throughput is the measured rate of placements while requests wait.
type throughput struct {
	// at is when the rates were updated, and busyAt when requests last waited; firstAt is when the first one was placed
	// since they began to wait, or zero.
	at, busyAt, firstAt time.Time
	// capacity, total and late are rates per second: as published, of all placements and of those of late requests.
	capacity, total, late float64
	// placed and placedLate count the placements since at.
	placed, placedLate int
}

// update updates the rates; waiting reports whether the latest pass left requests waiting: one that arrived since and is
// placed at once does not tell that the capacity is used. After throughputTime without waiting requests, the published
// capacity applies again, since placements then tell the demand and not the capacity.
func (t *throughput) update(now time.Time, capacity float64, waiting bool) {
	t.capacity = capacity
	elapsed := now.Sub(t.at)
	switch {
	case t.busyAt.IsZero() || now.Sub(t.busyAt) > throughputTime:
		t.total, t.late = capacity, capacity*initialLateShare
		t.firstAt = time.Time{}
	case waiting && elapsed > 0:
		constant := throughputTime
		if t.placed > 0 && t.firstAt.IsZero() {
			t.firstAt = now
		}
		if !t.firstAt.IsZero() {
			constant = min(throughputTime, max(minThroughputTime, now.Sub(t.firstAt)))
		}
		decay := math.Exp(-float64(elapsed) / float64(constant))
		t.total = decay*t.total + (1-decay)*float64(t.placed)/elapsed.Seconds()
		t.late = decay*t.late + (1-decay)*float64(t.placedLate)/elapsed.Seconds()
	case waiting:
		return
	}
	t.at, t.placed, t.placedLate = now, 0, 0
	if waiting {
		t.busyAt = now
	}
}

// count counts a placement.
func (t *throughput) count(late bool) {
	t.placed++
	if late {
		t.placedLate++
	}
}

// perSecond returns the placements per second to expect.
func (t *throughput) perSecond() float64 {
	return max(t.total, minThroughputShare*t.capacity, math.SmallestNonzeroFloat32)
}

// inTimePerSecond returns the placements per second to expect of requests that can meet their objective.
func (t *throughput) inTimePerSecond(lateWait bool) float64 {
	if lateWait {
		return t.perSecond() * (1 - lateShare)
	}
	return t.perSecond()
}

// latePerSecond returns the placements of late requests per second to expect.
func (t *throughput) latePerSecond() float64 {
	return max(t.late, t.perSecond()*lateShare)
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
	lane := laneOf(&r, q.overhead, now)
	rank := q.rankQueue(r.Rank)
	inTime, late := 0.0, 0.0
	for _, other := range q.ranks {
		if other.rank < r.Rank {
			inTime += float64(other.length())
			late += float64(other.lengths[laneLate])
		}
	}
	sameInTime := float64(rank.lengths[laneReturned] + rank.lengths[laneNew])
	if lane == laneReturned {
		sameInTime = float64(rank.lengths[laneReturned]) + float64(rank.lengths[laneNew])*lateShare
	}
	inTime += min(sameInTime, rank.queue.WorkAhead(r.Account, laneNew, r.weight(), r.work())/r.work())
	late += min(float64(rank.lengths[laneLate]), rank.queue.WorkAhead(r.Account, laneLate, r.weight(), r.work())/r.work())
	inTimePerSecond := q.throughput.inTimePerSecond(q.lateWaiting() > 0)
	turn := now.Add(seconds(inTime / inTimePerSecond))
	latest := r.latestInTime(q.overhead)
	if lane != laneLate && !turn.After(latest) {
		return Prediction{Position: int(inTime), Start: turn.Add(r.PrefillTime + q.overhead)}
	}
	// The request becomes late before its turn, and then waits behind the late requests and those that become late with
	// it.
	if latest.Before(now) {
		latest = now
	}
	if lane != laneLate {
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
