package mirror

import (
	"sync"
	"time"

	"github.com/rs/zerolog"

	"wisteriadyke/core/clusterstate"
	"wisteriadyke/core/fleet"
)

const (
	// maxRelays is the number of entries of a zone through which the others may read. With one more, an entry whose zone
	// is in trouble might not reach the store itself in time.
	maxRelays = 2
	// demandTTL is how long an entry goes on reading from the store after another entry has read through it. It exceeds
	// the time between two polls of another entry.
	demandTTL = 2500 * time.Millisecond
	// initialRelayBackoff is how long an entry that failed is left alone; it doubles with each further failure up to
	// maxRelayBackoff, since the rows of entries that are gone remain.
	initialRelayBackoff = time.Second
	maxRelayBackoff     = 30 * time.Second
	// awayBackoff is how long an entry is left alone that doesn't reach the store.
	awayBackoff = 400 * time.Millisecond
	// directRetryInterval is how long an entry that doesn't reach the store reads through others before it tries the store
	// again.
	directRetryInterval = time.Second
)

// relayState is what is known of an entry as a relay.
type relayState struct {
	failures     int
	backoffUntil time.Time
	// probing reports whether a poll of an entry that failed before is in flight.
	probing bool
}

// Sources decides through which entry this one reads the tables of the store. The first entry of each zone reads from the
// store, the others through it or, if it fails, through the second; an entry that others read through reads from the
// store as well. An entry that doesn't reach the store reads through any of the first ones. Two entries of a zone that
// read from the store at the same time cost calls, but are not incorrect. The fields must be set before use.
//
// Load pattern: hundreds of entries watch the same rows. Each change would wake as many calls of the store; instead it
// wakes one for each zone. If the entry that reads for a zone dies, the others move to the next one, not to the store.
type Sources struct {
	// Self is this entry.
	Self fleet.Entry
	// State holds the entries of all zones.
	State *clusterstate.State
	// Log receives messages about changes of the source.
	Log zerolog.Logger

	ranking clusterstate.Ranking
	mu      sync.Mutex
	relays  map[fleet.EntryID]*relayState
	// readers is the number of polls of other entries in progress; the last one ended at askedAt.
	readers int
	askedAt time.Time
	// storeFailedUntil is until when this entry doesn't count as reaching the store, after a call that failed.
	storeFailedUntil time.Time
	// current is the relay that answered last, or "" for the store.
	current fleet.EntryID
	// demands is signaled when other entries begin to read through this one.
	demands chan struct{}
}

// Demands returns a channel that receives a value when other entries begin to read through this one.
func (s *Sources) Demands() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.demandChannel()
}

// demandChannel returns the channel of Demands; the caller holds the lock.
func (s *Sources) demandChannel() chan struct{} {
	if s.demands == nil {
		s.demands = make(chan struct{}, 1)
	}
	return s.demands
}

// Choose returns the entry through which to read now; it reports false for the store itself.
func (s *Sources) Choose(now time.Time) (fleet.Entry, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, entry := range s.candidates(now) {
		state, known := s.relays[entry.ID]
		switch {
		case !known || state.failures == 0:
		case now.Before(state.backoffUntil) || state.probing:
			continue
		default:
			state.probing = true
		}
		return entry, true
	}
	return fleet.Entry{}, false
}

// Preferred reports whether an entry, or the store if id is "", is still the one to read from. Unlike Choose it changes
// nothing.
func (s *Sources) Preferred(id fleet.EntryID, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, entry := range s.candidates(now) {
		state, known := s.relays[entry.ID]
		if entry.ID == id {
			return true
		}
		if !known || state.failures == 0 || !now.Before(state.backoffUntil) && !state.probing {
			return false
		}
	}
	return id == ""
}

// Others returns entries from which this one can take what a restored store lacks, at most maxRelays: the first in rank of
// its zone, then the first of the other zones.
func (s *Sources) Others(now time.Time) []fleet.Entry {
	ranked := s.ranking.Entries(&s.State.Entries)
	s.mu.Lock()
	defer s.mu.Unlock()
	var others []fleet.Entry
	for _, sameZone := range []bool{true, false} {
		for _, entry := range ranked {
			state, known := s.relays[entry.ID]
			if (entry.Zone == s.Self.Zone) != sameZone || entry.ID == s.Self.ID || known && now.Before(state.backoffUntil) {
				continue
			}
			if others = append(others, entry); len(others) == maxRelays {
				return others
			}
		}
	}
	return others
}

// RecordSuccess records that an entry answered.
func (s *Sources) RecordSuccess(id fleet.EntryID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.relays, id)
	s.setCurrent(id)
}

// RecordFailure records that an entry did not answer, or that it answered that it doesn't reach the store. It reports
// whether the entry had not failed since its last answer.
func (s *Sources) RecordFailure(id fleet.EntryID, storeAway bool, now time.Time) (first bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.relay(id)
	first = state.failures == 0
	state.probing = false
	if storeAway {
		state.failures = 1
		state.backoffUntil = now.Add(awayBackoff)
		return first
	}
	state.failures++
	state.backoffUntil = now.Add(min(initialRelayBackoff<<min(state.failures-1, 8), maxRelayBackoff))
	return first
}

// Abandon records that a poll of an entry was broken off by this one.
func (s *Sources) Abandon(id fleet.EntryID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state, known := s.relays[id]; known {
		state.probing = false
	}
}

// BeginReading records that another entry reads through this one, until the returned function is called.
func (s *Sources) BeginReading() (end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.demanded(time.Now()) {
		select {
		case s.demandChannel() <- struct{}{}:
		default:
		}
	}
	s.readers++
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.readers--
		s.askedAt = time.Now()
	}
}

// Status returns the entry that answered this one last, or "" for the store, and the number of entries that are reading
// through this one.
func (s *Sources) Status() (relay fleet.EntryID, readers int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current, s.readers
}

// candidates returns the entries through which this one may read, the best first: the first maxRelays of the zone, as
// far as they rank before this one. It returns none if others read through this entry, and also later ones of the zone if
// this entry doesn't reach the store. The caller holds the lock.
func (s *Sources) candidates(now time.Time) []fleet.Entry {
	storeFailed := now.Before(s.storeFailedUntil)
	if !storeFailed && s.demanded(now) {
		return nil
	}
	limit := maxRelays
	if storeFailed {
		limit++
	}
	var candidates []fleet.Entry
	for _, entry := range s.ranking.Entries(&s.State.Entries) {
		switch {
		case len(candidates) == limit, entry.ID == s.Self.ID && !storeFailed:
			return candidates
		case entry.Zone == s.Self.Zone && entry.ID != s.Self.ID:
			candidates = append(candidates, entry)
		}
	}
	return candidates
}

// RecordStoreFailure records that a call of the store failed.
func (s *Sources) RecordStoreFailure(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeFailedUntil = now.Add(directRetryInterval)
}

// RecordStoreSuccess records that a call of the store succeeded.
func (s *Sources) RecordStoreSuccess() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storeFailedUntil = time.Time{}
	s.setCurrent("")
}

// demanded reports whether other entries read through this one; the caller holds the lock.
func (s *Sources) demanded(now time.Time) bool {
	return s.readers > 0 || !s.askedAt.IsZero() && now.Sub(s.askedAt) <= demandTTL
}

// relay returns the state of an entry and creates it if necessary; the caller holds the lock.
func (s *Sources) relay(id fleet.EntryID) *relayState {
	state, known := s.relays[id]
	if !known {
		if s.relays == nil {
			s.relays = make(map[fleet.EntryID]*relayState)
		}
		state = &relayState{}
		s.relays[id] = state
	}
	return state
}

// setCurrent records and logs the source that answered; the caller holds the lock.
func (s *Sources) setCurrent(id fleet.EntryID) {
	if s.current == id {
		return
	}
	s.Log.Info().Str("peer", string(id)).Str("before", string(s.current)).Int("readers", s.readers).
		Msg("mirror: reading tables from another source")
	s.current = id
}
