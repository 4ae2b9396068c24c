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
	// TrialDeathLimit is the number of endpoint deaths after which a request is quarantined where there are trials.
	TrialDeathLimit = 2
	// NoTrialDeathLimit is the number of endpoint deaths after which a request is quarantined where there are no
	// trials: the platform limits the retries of a request that crashes endpoints only after its third crash.
	NoTrialDeathLimit = 3
	// settledDeathMargin is the number of further deaths needed where answers had settled. It is the number of retries that
	// the platform allows after the third crash.
	settledDeathMargin = 3
	// trialDuration is how long a request is on trial after the last death recorded for it. During this time only the
	// entry that recorded the death may run it.
	trialDuration = 2 * time.Minute
	// quarantineDuration is how long a quarantined request is refused.
	quarantineDuration = 24 * time.Hour
	// noTrialDuration is how long deaths count where there are no trials, until there are enough of them. It is short
	// because without a trial the request can't be distinguished from others on the same endpoint.
	noTrialDuration = 30 * time.Second
	// clearedRetention is how long the record of a cleared request is retained.
	clearedRetention = 10 * time.Minute
)

// Fingerprint identifies a request across resends by its account and prompt.
type Fingerprint string

// FingerprintOf returns the fingerprint of a request: the hex-encoded SHA-256 hash of account and prompt.
func FingerprintOf(account fleet.AccountID, prompt string) Fingerprint {
	h := sha256.New()
	_, _ = h.Write([]byte(account))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(prompt))
	return Fingerprint(hex.EncodeToString(h.Sum(nil)))
}

// Death identifies an endpoint incarnation that ended while a request ran there.
type Death struct {
	// Endpoint is the endpoint that died.
	Endpoint fleet.EndpointID
	// Incarnation is the incarnation that ended.
	Incarnation fleet.Incarnation
}

// SuspectRecord describes a request that may crash endpoints.
type SuspectRecord struct {
	// Fingerprint identifies the request.
	Fingerprint Fingerprint
	// Deaths holds the distinct incarnations that ended while the request ran there, sorted. Those of a cleared record have
	// no effect.
	Deaths []Death
	// Spans holds when the request was at the endpoints that died, where that is known.
	Spans map[Death]Span
	// TrialEntry is the only entry that may run the request while it is on trial: the one that recorded the latest
	// death.
	TrialEntry fleet.EntryID
	// Cleared reports whether the request was answered completely after the last death in Deaths.
	Cleared bool
	// ClearedAt is when the request was last answered, or zero. Deaths before that don't count.
	ClearedAt time.Time
	// ChangedAt is when the record last changed.
	ChangedAt time.Time
	// DeathLimit is the number of deaths, one after another, after which the request is quarantined without a trial; 0 means
	// that there are trials.
	DeathLimit int
}

// Quarantined reports whether the request must no longer run. It doesn't check whether the record has expired.
func (r SuspectRecord) Quarantined() bool {
	if r.DeathLimit > 0 {
		return !r.Cleared && r.excessDeaths() >= 0
	}
	return !r.Cleared && len(r.Deaths) >= TrialDeathLimit
}

// expired reports whether the record no longer has any effect.
func (r SuspectRecord) expired(now time.Time) bool {
	return now.Sub(r.ChangedAt) > r.lifetime()
}

// lifetime returns how long the record has an effect after its last change.
func (r SuspectRecord) lifetime() time.Duration {
	switch {
	case r.Cleared:
		return clearedRetention
	case r.DeathLimit > 0 && r.Quarantined():
		return refusalsRetained * r.refusalTime()
	case r.DeathLimit > 0:
		return noTrialDuration
	case r.Quarantined():
		return quarantineDuration
	default:
		return trialDuration
	}
}

// Merge merges two records of the same request. The result does not depend on their order.
//
// A cleared record discards all earlier deaths; deaths after the clearance are counted from zero.
func Merge(a, b SuspectRecord) SuspectRecord {
	if a.ChangedAt.Before(b.ChangedAt) || a.ChangedAt.Equal(b.ChangedAt) && a.TrialEntry > b.TrialEntry {
		a, b = b, a
	}
	if b.ClearedAt.After(a.ClearedAt) {
		a.ClearedAt = b.ClearedAt
	}
	if !b.Cleared || a.Cleared {
		a.Deaths = mergeDeaths(a.Deaths, b.Deaths)
	}
	if a.Cleared {
		return a
	}
	a.Spans = mergeSpans(a.Spans, b.Spans)
	return a.withoutCleared()
}

// covers reports whether all deaths of another record are known, also those without a settled answer as such.
func (r SuspectRecord) covers(other SuspectRecord) bool {
	return !other.Cleared && !slices.ContainsFunc(other.Deaths, func(d Death) bool {
		return !slices.Contains(r.Deaths, d) || r.Spans[d].Settled && !other.Spans[d].Settled
	})
}

// mergeDeaths returns the sorted union of a and b.
func mergeDeaths(a, b []Death) []Death {
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

// Status specifies whether a request may run.
type Status string

// The statuses of a request.
const (
	// StatusClear means that the request runs like any other.
	StatusClear Status = "clear"
	// StatusTrial means that the request may run once more through this entry, exclusively on an endpoint.
	StatusTrial Status = "trial"
	// StatusTrialElsewhere means that the request is on trial through another entry.
	StatusTrialElsewhere Status = "elsewhere"
	// StatusQuarantined means that the request must no longer run.
	StatusQuarantined Status = "quarantined"
)

// Broadcaster sends suspect records to other entries.
type Broadcaster interface {
	// Broadcast sends a record to the other entries. It may return before they have received it.
	Broadcast(ctx context.Context, record SuspectRecord)
}

// Suspects tracks the requests that may crash endpoints. It is safe for concurrent use.
type Suspects struct {
	// Entry is the ID of this entry.
	Entry fleet.EntryID
	// Broadcaster sends records to the other entries; nil disables that.
	Broadcaster Broadcaster
	// DeathLimit is the number of deaths after which a request is quarantined without a trial, for endpoints whose
	// crashes often fail many requests at once; 0 puts a request on trial after its first death.
	DeathLimit int

	mu      sync.Mutex
	records map[Fingerprint]SuspectRecord
	watches map[Fingerprint]map[*watch]struct{}
	// trials holds the requests whose trial through this entry is in progress.
	trials map[Fingerprint]struct{}
	// deaths holds when this entry learned of each death, for deathRetention.
	deaths map[Death]time.Time
}

// Status returns whether and how a request may run.
func (s *Suspects) Status(fingerprint Fingerprint) Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	record, found := s.records[fingerprint]
	switch {
	case !found || record.Cleared || record.expired(time.Now()):
		return StatusClear
	case record.Quarantined() && (s.DeathLimit == 0 || record.refusedBy(s.Entry, time.Now())):
		return StatusQuarantined
	case s.DeathLimit > 0:
		return StatusClear
	case record.TrialEntry == s.Entry:
		return StatusTrial
	default:
		return StatusTrialElsewhere
	}
}

// Record returns the record of a request, which may have expired, and whether there is one.
func (s *Suspects) Record(fingerprint Fingerprint) (SuspectRecord, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	record, found := s.records[fingerprint]
	return record, found
}

// RecordDeath records that an endpoint died while the request ran there, passes the merged record to Broadcaster and
// returns it.
func (s *Suspects) RecordDeath(ctx context.Context, fingerprint Fingerprint, death Death) SuspectRecord {
	return s.recordDeath(ctx, SuspectRecord{Fingerprint: fingerprint, Deaths: []Death{death}, ChangedAt: time.Now()})
}

// RecordAttempt is RecordDeath with the time for which the request was at the endpoint.
func (s *Suspects) RecordAttempt(ctx context.Context, fingerprint Fingerprint, death Death, span Span) SuspectRecord {
	record := SuspectRecord{
		Fingerprint: fingerprint, Deaths: []Death{death}, Spans: map[Death]Span{death: span}, ChangedAt: time.Now(),
	}
	if s.DeathLimit > 0 {
		// An answer since then clears the request.
		record.ChangedAt = span.BrokeAt
	}
	return s.recordDeath(ctx, record)
}

// recordDeath merges a record of this entry with one death, passes the result to Broadcaster and returns it.
func (s *Suspects) recordDeath(ctx context.Context, record SuspectRecord) SuspectRecord {
	record.TrialEntry, record.DeathLimit = s.Entry, s.DeathLimit
	record = s.Merge(record)
	s.broadcast(ctx, record)
	return record
}

// MarkCleared clears the record of a request that finished and broadcasts it. It reports whether there was a record
// that was not cleared yet.
func (s *Suspects) MarkCleared(ctx context.Context, fingerprint Fingerprint) bool {
	s.mu.Lock()
	record, found := s.records[fingerprint]
	if !found || record.Cleared {
		s.mu.Unlock()
		return false
	}
	record.Cleared = true
	record.ClearedAt = time.Now()
	record.ChangedAt = record.ClearedAt
	s.records[fingerprint] = record
	s.mu.Unlock()
	s.broadcast(ctx, record)
	return true
}

// Merge merges a record of this or another entry into the known one and returns the result. It drops expired records,
// and notifies the watchers of the request if there are new deaths and it must no longer run like any other.
func (s *Suspects) Merge(record SuspectRecord) SuspectRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	maps.DeleteFunc(s.records, func(_ Fingerprint, r SuspectRecord) bool { return r.expired(now) })
	if s.records == nil {
		s.records = make(map[Fingerprint]SuspectRecord)
	}
	known, found := s.records[record.Fingerprint]
	switch {
	case !found && record.Cleared, found && known.Cleared && record.Cleared:
		return record
	case found && known.DeathLimit > 0 && known.covers(record):
		// Times that come from other entries are late, so that the copy of a known record may seem newer.
		return known
	}
	if found {
		record = Merge(known, record)
	}
	s.records[record.Fingerprint] = record
	s.addDeaths(record.Deaths, now)
	if !record.Cleared && !known.covers(record) && (record.DeathLimit == 0 || record.Quarantined()) {
		s.notifyWatchers(record.Fingerprint)
	}
	return record
}

// Records returns all records that have not expired, in no particular order.
func (s *Suspects) Records() []SuspectRecord {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	var records []SuspectRecord
	for _, r := range s.records {
		if !r.expired(now) {
			records = append(records, r)
		}
	}
	return records
}

// broadcast sends a record to the other entries if there is a Broadcaster.
func (s *Suspects) broadcast(ctx context.Context, record SuspectRecord) {
	if s.Broadcaster != nil {
		s.Broadcaster.Broadcast(ctx, record)
	}
}
