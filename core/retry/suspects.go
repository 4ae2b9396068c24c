package retry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"
	"sync"
	"time"

	"wisteriadyke/core/fleet"
)

const (
	// DeathsToQuarantine is the number of endpoints that a request may crash before it is not run any more.
	DeathsToQuarantine = 2
	// NoTrialDeathLimit is the number of endpoints that a request may crash where no trials are made; the platform's rules
	// count from the third.
	NoTrialDeathLimit = 3
	// trialTime is how long the entry that saw a death alone may run the request again.
	trialTime = 2 * time.Minute
	// quarantineTime is how long a request that crashes endpoints is refused.
	quarantineTime = 24 * time.Hour
	// tolerantQuarantineTime is how long a request is refused that ran on after its first deaths, without a trial that
	// would have told it from its neighbours.
	tolerantQuarantineTime = 30 * time.Second
	// clearedTime is how long it is known that a suspected request has finished.
	clearedTime = 10 * time.Minute
)

// Fingerprint identifies a request over resends by its account and prompt.
type Fingerprint string

// FingerprintOf returns the fingerprint of a request.
func FingerprintOf(account fleet.AccountID, prompt string) Fingerprint {
	h := sha256.New()
	_, _ = h.Write([]byte(account))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(prompt))
	return Fingerprint(hex.EncodeToString(h.Sum(nil)))
}

// Death names one endpoint life that ended while a request ran there.
type Death struct {
	// Endpoint is the endpoint that died.
	Endpoint fleet.EndpointID
	// Incarnation is the life that ended.
	Incarnation fleet.Incarnation
}

// SuspectRecord is what is known of a request that may crash endpoints.
type SuspectRecord struct {
	// Fingerprint identifies the request.
	Fingerprint Fingerprint
	// Deaths holds the endpoint lives that ended while it ran, in order and each once.
	Deaths []Death
	// TrialEntry is the entry that alone may run it again.
	TrialEntry fleet.EntryID
	// Cleared tells that it has finished since.
	Cleared bool
	// ChangedAt is when the note last changed.
	ChangedAt time.Time
	// DeathLimit is the number of deaths after which the request is quarantined without a trial; 0 stands for trials.
	DeathLimit int
}

// Quarantined tells that the request is not run any more.
func (n SuspectRecord) Quarantined() bool {
	limit := DeathsToQuarantine
	if n.DeathLimit > 0 {
		limit = n.DeathLimit
	}
	return !n.Cleared && len(n.Deaths) >= limit
}

// expired tells that the note has no effect any more.
func (n SuspectRecord) expired(now time.Time) bool {
	return now.Sub(n.ChangedAt) > n.lifetime()
}

// lifetime is how long the note has an effect.
func (n SuspectRecord) lifetime() time.Duration {
	switch {
	case n.Cleared:
		return clearedTime
	case n.DeathLimit > 0:
		return tolerantQuarantineTime
	case n.Quarantined():
		return quarantineTime
	default:
		return trialTime
	}
}

// Merge joins two notes on the same request; the result does not depend on their order.
//
// A finish outweighs every death before it, and deaths after it count afresh.
func Merge(a, b SuspectRecord) SuspectRecord {
	if a.ChangedAt.Before(b.ChangedAt) || a.ChangedAt.Equal(b.ChangedAt) && a.TrialEntry > b.TrialEntry {
		a, b = b, a
	}
	if a.Cleared || b.Cleared {
		return a
	}
	a.Deaths = joinDeaths(a.Deaths, b.Deaths)
	return a
}

// joinDeaths returns each death of a and b once, in order.
func joinDeaths(a, b []Death) []Death {
	joined := slices.Concat(a, b)
	slices.SortFunc(joined, func(x, y Death) int {
		if x.Endpoint != y.Endpoint {
			if x.Endpoint < y.Endpoint {
				return -1
			}
			return 1
		}
		return int(x.Incarnation) - int(y.Incarnation)
	})
	return slices.Compact(joined)
}

// Status tells how a request may be run.
type Status string

// The standings of a request.
const (
	// StatusClear requests run like any other.
	StatusClear Status = "clear"
	// StatusTrial requests may run once more, alone on an endpoint, through this entry.
	StatusTrial Status = "trial"
	// StatusTrialElsewhere requests are on trial through another entry.
	StatusTrialElsewhere Status = "elsewhere"
	// StatusQuarantined requests are not run any more.
	StatusQuarantined Status = "quarantined"
)

// Broadcaster tells other entries of a note; it returns once those that can be reached know it, or ctx ends.
type Broadcaster interface {
	// Broadcast passes a note on.
	Broadcast(ctx context.Context, note SuspectRecord)
}

// Suspects knows the requests that may crash endpoints.
type Suspects struct {
	// Entry is this entry.
	Entry fleet.EntryID
	// Broadcaster tells the other entries; nil tells none.
	Broadcaster Broadcaster
	// DeathLimit is the number of deaths after which a request is quarantined without a trial, for endpoints that often
	// fail many requests at once; 0 puts a request on trial after its first death.
	DeathLimit int

	mu      sync.Mutex
	notes   map[Fingerprint]SuspectRecord
	watches map[Fingerprint]map[*watch]struct{}
	trials  map[Fingerprint]struct{}
}

// Status returns how a request may be run.
func (s *Suspects) Status(fingerprint Fingerprint) Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	note, found := s.notes[fingerprint]
	switch {
	case !found || note.Cleared || note.expired(time.Now()):
		return StatusClear
	case note.Quarantined():
		return StatusQuarantined
	case s.DeathLimit > 0:
		return StatusClear
	case note.TrialEntry == s.Entry:
		return StatusTrial
	default:
		return StatusTrialElsewhere
	}
}

// Record returns what is known of a request.
func (s *Suspects) Record(fingerprint Fingerprint) (SuspectRecord, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	note, found := s.notes[fingerprint]
	return note, found
}

// RecordDeath notes that an endpoint died while the request ran there, and tells the other entries before it returns.
func (s *Suspects) RecordDeath(ctx context.Context, fingerprint Fingerprint, death Death) SuspectRecord {
	note := s.Merge(SuspectRecord{
		Fingerprint: fingerprint,
		Deaths:      []Death{death},
		TrialEntry:  s.Entry,
		ChangedAt:   time.Now(),
		DeathLimit:  s.DeathLimit,
	})
	s.spread(ctx, note)
	return note
}

// MarkCleared clears a request that was suspected and reports whether it was.
func (s *Suspects) MarkCleared(ctx context.Context, fingerprint Fingerprint) bool {
	s.mu.Lock()
	note, found := s.notes[fingerprint]
	if !found || note.Cleared {
		s.mu.Unlock()
		return false
	}
	note.Cleared = true
	note.ChangedAt = time.Now()
	s.notes[fingerprint] = note
	s.mu.Unlock()
	s.spread(ctx, note)
	return true
}

// Merge joins a note, this entry's or another's, with what is known, and returns the result.
func (s *Suspects) Merge(note SuspectRecord) SuspectRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	maps.DeleteFunc(s.notes, func(_ Fingerprint, n SuspectRecord) bool { return n.expired(now) })
	if s.notes == nil {
		s.notes = make(map[Fingerprint]SuspectRecord)
	}
	known, found := s.notes[note.Fingerprint]
	if found {
		note = Merge(known, note)
	}
	s.notes[note.Fingerprint] = note
	if !note.Cleared && len(note.Deaths) > len(known.Deaths) {
		s.tell(note.Fingerprint)
	}
	return note
}

// Records returns all notes that have an effect.
func (s *Suspects) Records() []SuspectRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	var notes []SuspectRecord
	for _, n := range s.notes {
		if !n.expired(now) {
			notes = append(notes, n)
		}
	}
	return notes
}

// spread passes a note on, if there is a way.
func (s *Suspects) spread(ctx context.Context, note SuspectRecord) {
	if s.Broadcaster != nil {
		s.Broadcaster.Broadcast(ctx, note)
	}
}
