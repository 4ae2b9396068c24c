package freshness

import (
	"sync"
	"time"

	"github.com/rs/zerolog"
)

const (
	// rewriteGrace is how long after the store came back from a copy its configuration is not taken for the newest unless
	// an operator has written it again: one that was written after the copy and is lost may have removed a key.
	rewriteGrace = 2 * time.Second
	// abandonTime is how long a newer configuration than that of the store, known to this entry or another one, keeps that
	// of the store from being taken for the newest. The operators have not written the newer one again by then.
	abandonTime = 30 * time.Second
	// startupGrace is how long an entry that starts waits for the word of another one before it takes the configuration of
	// the store for the newest.
	startupGrace = time.Second
)

// Answer is what an answer of the store says about the configuration.
type Answer struct {
	// RequestedAt is when the store was asked, on the clock of the Tracker.
	RequestedAt time.Duration
	// Outdated reports whether the store lists an older configuration than this entry knows, or none.
	Outdated bool
}

// Evidence decides which answers of the store confirm that the current configuration is the newest one. The fields must
// be set before the first call of a method.
//
// Load pattern: the store comes back from a copy some seconds old, which lacks the removal of a key. Entries that know
// the removal keep to it; entries that don't, or that start at this moment, accept no key on the word of the copy.
type Evidence struct {
	// Tracker receives the confirmations.
	Tracker *Tracker
	// Peers holds what other entries say.
	Peers *PeerExchange
	// Alone reports whether no other entry is known.
	Alone func() bool
	// Log receives messages when the answers of the store begin or cease to count.
	Log zerolog.Logger

	mu sync.Mutex
	// startedAt is the time of the first answer.
	started   bool
	startedAt time.Duration
	// restoredAt is when the store was found to have come back from a copy; rewritten reports whether the configuration
	// was written since.
	restored   bool
	restoredAt time.Duration
	rewritten  bool
	// reason is why the latest answer did not count, or ""; latest is that answer.
	reason string
	latest Answer
}

// MarkRestored records that the store came back from a copy of earlier rows.
func (e *Evidence) MarkRestored() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.restored, e.restoredAt, e.rewritten = true, e.Tracker.Now(), false
}

// MarkRewritten records that an operator has written the configuration.
func (e *Evidence) MarkRewritten() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rewritten = true
}

// Observe confirms the current configuration by an answer of the store, unless a newer configuration may exist that the
// store lacks. It reports whether it did.
func (e *Evidence) Observe(answer Answer) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.started {
		e.started, e.startedAt = true, e.Tracker.Now()
	}
	return e.decide(answer)
}

// Reconsider decides again on the latest answer if it did not count, since another entry has replied.
func (e *Evidence) Reconsider() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.reason != "" {
		e.decide(e.latest)
	}
}

// decide confirms the configuration by an answer unless doubt returns a reason, and reports whether it did; the caller
// holds the lock.
func (e *Evidence) decide(answer Answer) bool {
	reason := e.doubt(answer)
	if reason != e.reason {
		line := e.Log.Info().Str("reason", reason).Str("before", e.reason)
		if e.restored {
			line = line.Dur("since_restore_ms", e.Tracker.Now()-e.restoredAt)
		}
		line.Msg("freshness: answers of the store began or ceased to confirm the configuration")
		e.reason = reason
	}
	e.latest = answer
	if reason != "" {
		return false
	}
	e.Tracker.Confirm(answer.RequestedAt)
	return true
}

// doubt returns why an answer doesn't confirm the configuration, or ""; the caller holds the lock.
func (e *Evidence) doubt(answer Answer) string {
	now := e.Tracker.Now()
	sinceRestore := answer.RequestedAt - e.restoredAt
	switch {
	case e.Peers.Behind():
		return "peer_knows_newer"
	case answer.Outdated && (!e.restored || sinceRestore < abandonTime):
		return "store_lists_older"
	case e.restored && !e.rewritten && sinceRestore < rewriteGrace:
		return "store_restored"
	case !e.Peers.Heard() && !e.Alone() && now-e.startedAt < startupGrace:
		return "no_word_of_peers"
	}
	return ""
}
