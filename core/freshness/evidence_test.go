package freshness

import (
	"testing"
	"time"
)

func TestStoreEvidence(t *testing.T) {
	// Each test observes an answer at 10 s that was requested at that time, after what its steps record at 1 s.
	const requestedAt = 10 * time.Second
	tests := map[string]struct {
		steps    func(e *Evidence, at func(time.Duration))
		alone    bool
		outdated bool
		want     bool
	}{
		"another entry has replied":      {steps: func(e *Evidence, _ func(time.Duration)) { e.Peers.Hear(4) }, want: true},
		"another entry knows none":       {steps: func(e *Evidence, _ func(time.Duration)) { e.Peers.Hear(0) }, want: true},
		"another entry knows a newer":    {steps: func(e *Evidence, _ func(time.Duration)) { e.Peers.Hear(5) }},
		"no other entry":                 {alone: true, want: true},
		"no reply, first answer":         {},
		"no reply, a second after":       {steps: func(e *Evidence, at func(time.Duration)) { at(9 * time.Second); e.Observe(Answer{}) }, want: true},
		"no reply, shortly after":        {steps: func(e *Evidence, at func(time.Duration)) { at(9500 * time.Millisecond); e.Observe(Answer{}) }},
		"store lists an older":           {alone: true, outdated: true},
		"restored just now":              {alone: true, steps: func(e *Evidence, at func(time.Duration)) { at(8100 * time.Millisecond); e.MarkRestored() }},
		"restored, grace is over":        {alone: true, steps: func(e *Evidence, at func(time.Duration)) { at(8 * time.Second); e.MarkRestored() }, want: true},
		"restored, written again":        {alone: true, steps: func(e *Evidence, at func(time.Duration)) { at(9 * time.Second); e.MarkRestored(); e.MarkRewritten() }, want: true},
		"written, then restored":         {alone: true, steps: func(e *Evidence, at func(time.Duration)) { at(9 * time.Second); e.MarkRewritten(); e.MarkRestored() }},
		"restored, store lists an older": {alone: true, outdated: true, steps: func(e *Evidence, at func(time.Duration)) { at(time.Second); e.MarkRestored() }},
		"restored long ago": {
			alone: true, outdated: true,
			steps: func(e *Evidence, at func(time.Duration)) { at(requestedAt - abandonTime); e.MarkRestored() }, want: true,
		},
		"another entry knew a newer long ago": {
			steps: func(e *Evidence, at func(time.Duration)) { at(requestedAt - abandonTime); e.Peers.Hear(5) }, want: true,
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Second
			tracker := &Tracker{Clock: func() time.Duration { return now }}
			peers := &PeerExchange{Tracker: tracker, Version: func() int64 { return 4 }}
			e := &Evidence{Tracker: tracker, Peers: peers, Alone: func() bool { return tc.alone }}
			if tc.steps != nil {
				tc.steps(e, func(at time.Duration) { now = at })
			}
			now = requestedAt
			if got := e.Observe(Answer{RequestedAt: requestedAt, Outdated: tc.outdated}); got != tc.want {
				t.Errorf("confirmed = %t, want %t", got, tc.want)
			}
			if tc.want && !tracker.Within(0) {
				t.Error("the tracker was not confirmed")
			}
		})
	}
}
