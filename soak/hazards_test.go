package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

const (
	// soundParts and crashingParts are the shared parts of the prompts of streams. An endpoint crashes when it begins to
	// answer a prompt with crashPart.
	soundParts    = "first:40,other:300"
	crashPart     = "bad"
	crashingParts = "first:40," + crashPart + ":200,other:300"
	// crashLimit is the number of crashes after which requests with crashPart count, and lateLimit the number of them that
	// may reach endpoints later than settleTime after the last of these crashes.
	crashLimit = 5
	lateLimit  = 3
	// settleTime is how long after the last such crash, or after an endpoint states a limit, requests may exceed what is
	// allowed; an entry that was disturbed within that time is excused.
	settleTime = 3 * time.Second
	// limitSpan is the time within which the requests at an endpoint with a limit are counted.
	limitSpan = 4 * time.Second
	// toldDelay is how long after an entry received a limit its requests count.
	toldDelay = 500 * time.Millisecond
	// maxCrashPause bounds the time between two requests with crashPart.
	maxCrashPause = 600 * time.Millisecond
	// maxRestart bounds the time until a crashed endpoint is replaced.
	maxRestart = time.Second
	// crashCaller is the number of the caller that sends the requests with crashPart.
	crashCaller = 2000
)

// statedLimit is a limit that an endpoint stated for a time.
type statedLimit struct {
	span
	endpoint  string
	perSecond float64
}

// runLimits lets endpoints state limits at random times, for the time total. It has its own random source, so that the
// other faults of a seed stay the same.
func (w *deployment) runLimits(r *rand.Rand, total time.Duration, log func(format string, args ...any)) {
	started := time.Now()
	for {
		pause := time.Duration(r.Int64N(int64(2 * time.Second)))
		duration := settleTime + limitSpan/2 + time.Duration(r.Int64N(int64(limitSpan)))
		if time.Since(started)+pause+duration > total {
			return
		}
		time.Sleep(pause)
		w.stateMu.Lock()
		e := w.endpoints[r.IntN(len(w.endpoints))]
		l := &statedLimit{span: span{from: time.Now(), to: time.Now().Add(time.Hour)}, endpoint: e.ID, perSecond: 1 + 4*r.Float64()}
		w.limits = append(w.limits, l)
		w.stateMu.Unlock()
		log("%6.2fs %s takes %.1f requests a second for %v", time.Since(started).Seconds(), e.ID, l.perSecond, duration.Round(time.Millisecond))
		e.SetLimit(l.perSecond)
		time.Sleep(duration)
		w.stateMu.Lock()
		l.to = time.Now()
		w.stateMu.Unlock()
		e.SetLimit(0)
	}
}

// runCrashes sends requests with crashPart from a random time on, for the time total. It has its own random source.
func (w *deployment) runCrashes(r *rand.Rand, total time.Duration, log func(format string, args ...any)) {
	started := time.Now()
	time.Sleep(time.Duration(r.Int64N(int64(total / 2))))
	log("%6.2fs requests with a part that crashes endpoints begin", time.Since(started).Seconds())
	c := newCaller(w, crashCaller)
	for time.Since(started) < total {
		a := c.newAttempt(r.IntN(len(w.entries)))
		for a.kind != kindStream {
			a = c.newAttempt(a.entry)
		}
		a.parts = crashingParts
		c.send(a)
		time.Sleep(time.Duration(r.Int64N(int64(maxCrashPause))))
	}
	c.client.CloseIdleConnections()
}

// crash ends an endpoint and its connections at once and replaces it by one with another ID within maxRestart.
func (w *deployment) crash(e *endpoint) {
	if !e.crashed.CompareAndSwap(false, true) {
		return
	}
	w.stateMu.Lock()
	w.crashes = append(w.crashes, time.Now())
	w.stateMu.Unlock()
	w.background.Go(func() error {
		w.recordSpan(&w.endpointFaults, func() {
			w.paths.end(e.ID)
			e.proxy.Close()
			e.Crash()
			time.Sleep(rand.N(maxRestart))
			w.store.Remove("servers", e.ID)
			w.replace(e)
		})
		return nil
	})
}

// checkCrashes checks how many requests with crashPart reach endpoints after crashLimit crashes, through entries that
// were not disturbed.
func (e *observations) checkCrashes() []string {
	if len(e.crashes) < crashLimit {
		return nil
	}
	from := e.crashes[crashLimit-1].Add(settleTime)
	late := 0
	for _, a := range e.attempts {
		if !strings.Contains(a.parts, crashPart) {
			continue
		}
		for _, s := range a.deliveries {
			if s.at.After(from) && !e.excused(a.entry, s.at.Add(-settleTime), s.at) {
				late++
			}
		}
	}
	if late <= lateLimit {
		return nil
	}
	return []string{fmt.Sprintf("crash: %d requests with the part reached endpoints %v after crash %d of %d", late, settleTime, crashLimit, len(e.crashes))}
}

// checkLimits checks that no endpoint with a limit receives more requests within limitSpan than allowed, from entries
// that know the limit and were not disturbed since it was stated.
func (e *observations) checkLimits() []string {
	var found []string
	for _, l := range e.limits {
		arrivals := e.arrivals(l)
		allowed := int(1.5*l.perSecond*limitSpan.Seconds()) + 5
		for i, at := range arrivals {
			inSpan, _ := slices.BinarySearchFunc(arrivals[i:], at.Add(limitSpan), time.Time.Compare)
			if at.After(l.from.Add(settleTime)) && inSpan > allowed {
				found = append(found, fmt.Sprintf("limit: %s, which takes %.1f requests a second, received %d in %v",
					l.endpoint, l.perSecond, inSpan, limitSpan))
				break
			}
		}
	}
	return found
}

// arrivals returns when the requests arrived at an endpoint that count against its limit, in order.
func (e *observations) arrivals(l *statedLimit) []time.Time {
	told := make(map[int]time.Time)
	deliver := func(do func(a *attempt, s delivery)) {
		for _, a := range e.attempts {
			for _, s := range a.deliveries {
				if s.endpoint == l.endpoint && s.at.After(l.from) && s.at.Before(l.to) {
					do(a, s)
				}
			}
		}
	}
	deliver(func(a *attempt, s delivery) {
		if at, found := told[a.entry]; !found || s.at.Before(at) {
			told[a.entry] = s.at
		}
	})
	var arrivals []time.Time
	deliver(func(a *attempt, s delivery) {
		if s.at.Sub(told[a.entry]) >= toldDelay && !e.excused(a.entry, l.from, s.at) {
			arrivals = append(arrivals, s.at)
		}
	})
	slices.SortFunc(arrivals, time.Time.Compare)
	return arrivals
}

// excused reports whether an entry, its connections from callers or those from other entries were disturbed between from
// and to.
func (e *observations) excused(entry int, from, to time.Time) bool {
	return anyOverlap(e.disturbed[entry], from, to) || anyOverlap(e.stopping[entry], from, to) ||
		anyOverlap(e.peerFaults[entry], from, to)
}
