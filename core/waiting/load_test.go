package waiting

import (
	"strings"
	"testing"
	"time"

	"wisteriadyke/core/fleet"
)

// served reports whether a request was placed.
func served(c *callerState) bool { return !c.placedAt.IsZero() }

// every selects all callers.
func every(*callerState) bool { return true }

// checkEnds asserts that each request ended in exactly one way, none was placed too late to be of use, and none waited
// longer than its caller.
func checkEnds(t *testing.T, p *pool) {
	t.Helper()
	for _, c := range p.callers {
		switch {
		case served(c) && !c.refusedAt.IsZero():
			t.Fatal("a request was placed and refused")
		case served(c) && c.placedAt.Add(testPrefill+testOverhead).After(c.LatestStart):
			t.Errorf("a request was placed %v after its caller had given up", c.placedAt.Sub(c.LatestStart))
		case !served(c) && c.refusedAt.IsZero() && p.now.After(c.LatestStart):
			t.Error("a request waits although its caller has given up")
		case c.refusedAt.After(c.LatestStart):
			t.Errorf("a request was refused %v after its caller had given up", c.refusedAt.Sub(c.LatestStart))
		}
	}
}

// checkLateShare asserts that late requests got at least one in four of the placements while they waited.
func checkLateShare(t *testing.T, p *pool) {
	t.Helper()
	if p.late < p.forLate/4 {
		t.Errorf("late requests got %d of %d placements, want one in four", p.late, p.forLate)
	}
}

// checkRefusals asserts that three in four of the refused requests were refused within their objective.
func checkRefusals(t *testing.T, p *pool) {
	t.Helper()
	refused := func(c *callerState) bool { return !c.refusedAt.IsZero() }
	soon := func(c *callerState) bool { return c.refusedAt.Sub(c.arrivedAt) <= testObjective }
	if got := p.share(refused, soon); got < 0.75 {
		t.Errorf("%.3f of the refused requests were refused within their objective, want three in four", got)
	}
}

// TestFloodOverLongPrefills guards against requests that are held until their callers have left: long prefills stop all
// placements for 700 ms while quick requests arrive at one and a half times the capacity for 6 s.
func TestFloodOverLongPrefills(t *testing.T) {
	p := newPool(1)
	p.blocked = func(at time.Duration) bool {
		return at > 2*time.Second && at < 2700*time.Millisecond || at > 4*time.Second && at < 4700*time.Millisecond
	}
	p.run(12*time.Second, false, func(at time.Duration) []fleet.AccountID {
		if at > 1500*time.Millisecond && at < 7500*time.Millisecond {
			return p.uniform(225, 24)
		}
		return p.uniform(90, 24)
	})
	checkEnds(t, p)
	checkLateShare(t, p)
	before := func(c *callerState) bool { return c.arrivedAt.Sub(p.started) < 1500*time.Millisecond }
	if got := p.share(before, (*callerState).inTime); got < 1 {
		t.Errorf("before the flood %.3f are in time, want all", got)
	}
	after := func(c *callerState) bool { return c.arrivedAt.Sub(p.started) > 10*time.Second }
	if got := p.share(after, (*callerState).inTime); got < 0.99 {
		t.Errorf("2.5 s after the flood %.3f are in time, want all but 1 in 100", got)
	}
	checkRefusals(t, p)
}

// TestZoneBackColdInFlood guards against a queue that trusts the published capacity: two thirds of the pool come back
// cold while requests arrive at more than the capacity of the rest.
func TestZoneBackColdInFlood(t *testing.T) {
	p := newPool(2)
	p.run(15*time.Second, false, func(at time.Duration) []fleet.AccountID {
		p.slots = testSlots / 3
		if at > 4*time.Second {
			p.slots = min(testSlots, testSlots/3+int((at-4*time.Second)/(20*time.Millisecond)))
		}
		if at > 2*time.Second && at < 10*time.Second {
			return p.uniform(120, 24)
		}
		return p.uniform(40, 24)
	})
	checkEnds(t, p)
	checkLateShare(t, p)
	checkRefusals(t, p)
	warm := func(c *callerState) bool { return c.arrivedAt.Sub(p.started) > 13*time.Second }
	if got := p.share(warm, (*callerState).inTime); got < 0.99 {
		t.Errorf("%.3f are in time once the zone is warm, want all but 1 in 100", got)
	}
}

// TestAccountsPressing guards against accounts whose demand is far above their share, and which make all others late or
// starve themselves.
func TestAccountsPressing(t *testing.T) {
	p := newPool(3)
	p.run(15*time.Second, false, func(time.Duration) []fleet.AccountID {
		all := p.uniform(60, 22)
		for range p.poisson(150) {
			all = append(all, fleet.AccountID([]string{"large-1", "large-2"}[p.random.IntN(2)]))
		}
		return all
	})
	checkEnds(t, p)
	checkLateShare(t, p)
	large := func(c *callerState) bool { return strings.HasPrefix(string(c.Account), "large") }
	small := func(c *callerState) bool { return !large(c) }
	settled := func(c *callerState) bool { return c.arrivedAt.Sub(p.started) > 3*time.Second && small(c) }
	if got := p.share(settled, (*callerState).inTime); got < 0.95 {
		t.Errorf("%.3f of the requests of small accounts are in time, want at least 0.95", got)
	}
	if got, all := p.share(large, served), p.share(every, served); got < all/4 {
		t.Errorf("%.3f of the requests of large accounts are served, of all %.3f; want at least a quarter as often", got, all)
	}
}

// TestClientsReturn guards against refused callers that lose their place, and against a flood of them that starves new
// arrivals.
func TestClientsReturn(t *testing.T) {
	p := newPool(4)
	p.run(15*time.Second, true, func(at time.Duration) []fleet.AccountID {
		if at > time.Second && at < 9*time.Second {
			return p.uniform(240, 24)
		}
		return p.uniform(80, 24)
	})
	checkEnds(t, p)
	returned := func(c *callerState) bool { return c.Returned }
	isNew := func(c *callerState) bool { return !c.Returned && c.arrivedAt.Sub(p.started) < 9*time.Second }
	gotReturned, gotNew := p.share(returned, served), p.share(isNew, served)
	if gotReturned <= gotNew {
		t.Errorf("%.3f of the returned and %.3f of the new requests are served, want more returned", gotReturned, gotNew)
	}
	if all := p.share(every, served); gotNew < all/4 {
		t.Errorf("%.3f of the new requests are served, of all %.3f; want at least a quarter as often", gotNew, all)
	}
	for _, c := range p.returns {
		if c.ArrivedAt.Sub(p.now) > testCallerTimeout/3 {
			t.Errorf("a caller was told to return in %v, want at most a third of its time", c.ArrivedAt.Sub(p.now))
		}
	}
}
