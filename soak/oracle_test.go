package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

const (
	// deadline is the deadline of each attempt, counted from when it is sent.
	deadline = 4 * time.Second
	// deadlineSlack is the tolerance after the deadline: an attempt is late if it ends more than a quarter of
	// deadlineSlack after the deadline, and its caller times out half of deadlineSlack after the deadline.
	deadlineSlack = 2 * time.Second
	// revocationTime is how long after its removal a key may still be accepted, the default of the setting revoke_time.
	revocationTime = 5 * time.Second
	// drainTime is how long a draining endpoint may still receive requests, including the delay until all entries have
	// received its state.
	drainTime = 3 * time.Second
	// leakTime is how long reservations may remain after the last request.
	leakTime = 4 * time.Second
)

// observations holds everything that the oracle checks.
type observations struct {
	*attemptLog
	// removedKeys is when each key was removed from the configuration.
	removedKeys map[string]time.Time
	// drainingSince is when each endpoint was registered as draining.
	drainingSince map[string]time.Time
	// disturbed holds, by entry number, the times when the entry was down or paused or its connections from callers were
	// disrupted. stopping holds those when it was only stopping gracefully.
	disturbed map[int][]*span
	stopping  map[int][]*span
	// storeFaults is when the store or the connections to it had a fault.
	storeFaults []*span
	// stalls is when the soak process itself did not run, so that its callers and endpoints were late.
	stalls []*span
	// peerFaults holds, by entry number, when the connections from other entries were disrupted.
	peerFaults map[int][]*span
	// limits holds the limits that endpoints stated, and crashes when endpoints crashed.
	limits  []*statedLimit
	crashes []time.Time
	// endpointFaults is when endpoints or the connections to them had a fault.
	endpointFaults []*span
}

// violations returns descriptions of all violated guarantees, sorted, each with the attempt that violates it, or with
// the endpoint for a request that no caller sent. While faults run, the caller must hold the deployment's stateMu.
func (e *observations) violations() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var found []string
	for _, s := range e.unsolicited {
		found = append(found, fmt.Sprintf("unasked: %s received a request that no caller sent (%s)", s.endpoint, s.path))
	}
	for _, a := range e.attempts {
		for _, check := range []func(*attempt) string{
			e.checkAtMostOnce, e.checkRefusal, e.checkAnswer, e.checkStream, e.checkDeliveries, e.checkRemovedKey,
			e.checkDrainedEndpoint, e.checkDeadline, e.checkNotInterrupted,
		} {
			if violation := check(a); violation != "" {
				found = append(found, fmt.Sprintf("%s (attempt %s, %s, entry %d, status %d)",
					violation, a.id, a.kind, a.entry, a.status))
			}
		}
	}
	found = append(found, e.checkCrashes()...)
	found = append(found, e.checkLimits()...)
	slices.Sort(found)
	return found
}

// countRuns returns how many times an attempt ran.
func countRuns(a *attempt) int {
	count := 0
	for _, s := range a.deliveries {
		if s.ran {
			count++
		}
	}
	return count
}

// checkAtMostOnce checks that an at-most-once request has not run twice. Like the other checks, it returns a
// description of the violation, or "" if there is none.
func (e *observations) checkAtMostOnce(a *attempt) string {
	if n := countRuns(a); a.kind == kindOnce && n > 1 {
		return fmt.Sprintf("twice: it ran %d times", n)
	}
	return ""
}

// checkRefusal checks that an at-most-once request never runs, before or after its answer, if the status of the answer
// says that it was not run.
func (e *observations) checkRefusal(a *attempt) string {
	switch a.status {
	case 408, 421, 429, 503:
		if a.kind == kindOnce && countRuns(a) > 0 {
			return "refused: it was refused as not run but has run"
		}
	}
	return ""
}

// checkAnswer checks that a success has an X-Response-Seal and, for a complete call, the answer to this attempt.
func (e *observations) checkAnswer(a *attempt) string {
	if a.status/100 != 2 {
		return ""
	}
	if a.seal == "" {
		return "mixed: a success has no X-Response-Seal"
	}
	if a.kind == kindStream || !a.complete {
		return ""
	}
	if a.answer != expectedAnswer(a.id) {
		return fmt.Sprintf("mixed: got the answer %q", a.answer)
	}
	return ""
}

// checkStream checks that events arrive once and in order, and that a stream that ends as complete has all of them.
func (e *observations) checkStream(a *attempt) string {
	if a.kind != kindStream || a.status/100 != 2 {
		return ""
	}
	var want strings.Builder
	for id := a.from + 1; id <= eventsPerStream; id++ {
		want.WriteString(eventText(a.id, id))
	}
	if !strings.HasPrefix(want.String(), a.answer) {
		return fmt.Sprintf("order: events are %q", a.answer)
	}
	if a.complete && a.answer != want.String() {
		return fmt.Sprintf("order: a stream ends as complete after %d bytes of %d", len(a.answer), want.Len())
	}
	return ""
}

// checkDeliveries checks that endpoints received the request unchanged, with the caller's account and without its key,
// and that no event is sent again that the caller already has.
func (e *observations) checkDeliveries(a *attempt) string {
	for _, s := range a.deliveries {
		switch {
		case s.path != a.path || s.body != a.body:
			return fmt.Sprintf("unasked: it ran as %s with %d bytes", s.path, len(s.body))
		case s.account != a.account || s.key != "":
			return fmt.Sprintf("unasked: it ran for account %q with key %q", s.account, s.key)
		case a.kind == kindStream && s.from < a.from:
			return fmt.Sprintf("order: it ran from event %d", s.from)
		}
	}
	return ""
}

// checkRemovedKey checks that no request runs whose key was removed more than revocationTime before it was sent.
func (e *observations) checkRemovedKey(a *attempt) string {
	removed, found := e.removedKeys[a.key]
	if found && countRuns(a) > 0 && a.sentAt.After(removed.Add(revocationTime)) {
		return fmt.Sprintf("keys: it ran for a key that was removed %v before", a.sentAt.Sub(removed))
	}
	return ""
}

// checkDrainedEndpoint checks that an endpoint receives nothing later than drainTime after it started to drain, unless
// a fault of the store or of the entry may have kept the entry from receiving the endpoint's new state.
func (e *observations) checkDrainedEndpoint(a *attempt) string {
	for _, s := range a.deliveries {
		drainedAt, found := e.drainingSince[s.endpoint]
		if !found || s.at.Sub(drainedAt) < drainTime || anyOverlap(e.storeFaults, drainedAt.Add(-time.Second), s.at) ||
			anyOverlap(e.disturbed[a.entry], drainedAt.Add(-time.Second), s.at) {
			continue
		}
		return fmt.Sprintf("drain: %s received it %v after it started to drain", s.endpoint, s.at.Sub(drainedAt))
	}
	return ""
}

// checkDeadline checks that each attempt ends within a quarter of deadlineSlack after its deadline, unless its caller
// canceled it before the deadline, its entry was disturbed or the soak process stalled.
func (e *observations) checkDeadline(a *attempt) string {
	ended := a.endedAt
	if ended.IsZero() {
		ended = time.Now()
	}
	if a.cancelled && ended.Sub(a.sentAt) < deadline {
		return ""
	}
	excused := anyOverlap(e.disturbed[a.entry], a.sentAt, ended) || anyOverlap(e.stalls, a.sentAt, ended)
	if took := ended.Sub(a.sentAt); took > deadline+deadlineSlack/4 && !excused {
		return fmt.Sprintf("late: it was open for %v", took)
	}
	return ""
}

// checkNotInterrupted checks that an attempt that ran gets a complete answer, also from an entry that stops gracefully,
// unless its entry was disturbed, there was an endpoint fault, the caller canceled it or its deadline had passed.
func (e *observations) checkNotInterrupted(a *attempt) string {
	interrupted := a.status == 0 || !a.complete
	if !interrupted || a.cancelled || countRuns(a) == 0 || a.endedAt.IsZero() || a.endedAt.Sub(a.sentAt) >= deadline {
		return ""
	}
	if anyOverlap(e.disturbed[a.entry], a.sentAt, a.endedAt) || anyOverlap(e.endpointFaults, a.sentAt, a.endedAt) {
		return ""
	}
	if anyOverlap(e.stopping[a.entry], a.sentAt, a.endedAt) {
		return "lost: a graceful stop interrupted it"
	}
	return "lost: it was interrupted without a fault"
}

// anyOverlap reports whether any span overlaps the time between from and to.
func anyOverlap(spans []*span, from, to time.Time) bool {
	return slices.ContainsFunc(spans, func(s *span) bool { return s.overlaps(from, to) })
}
