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

// TestFirstReplyConfirms checks that an answer of the store that lacked only the word of another entry counts as soon as
// one has replied, and doesn't if that one knows a newer configuration.
func TestFirstReplyConfirms(t *testing.T) {
	for name, version := range map[string]int64{"same version": 4, "no version": 0, "newer version": 5} {
		t.Run(name, func(t *testing.T) {
			now := 10 * time.Second
			tracker := &Tracker{Clock: func() time.Duration { return now }}
			peers := &PeerExchange{Tracker: tracker, Version: func() int64 { return 4 }}
			e := &Evidence{Tracker: tracker, Peers: peers, Alone: func() bool { return false }}
			peers.OnFirstReply = e.Reconsider
			if e.Observe(Answer{RequestedAt: now}) {
				t.Fatal("confirmed before any reply")
			}
			now += 50 * time.Millisecond
			peers.Hear(version)
			if age, confirmed := tracker.Age(); confirmed != (version <= 4) || confirmed && age != 50*time.Millisecond {
				t.Errorf("confirmed = %t with age %v, want %t with 50ms", confirmed, age, version <= 4)
			}
		})
	}
}
