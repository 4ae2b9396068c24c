package outlier

import (
	"maps"
	"sync"
	"time"

	"wisteriadyke/core/fleet"
)

const (
	// maxSends is how often a new report is sent to one entry, so that a lost message does no harm; a renewed one is sent once.
	// Reports repeated in each message would exceed the budget for control traffic of 6 KB a second for an entry.
	maxSends = 2
	// renewalTime is how much newer a report must be than the one sent before to count as renewed. It is below
	// sharedProbePeriod, since an idle entry sends messages every 400 ms and needs each renewal before the report expires.
	renewalTime = 400 * time.Millisecond
)

// SentReports holds which reports of paths were sent to which entries. Its zero value is ready to use; it is safe for
// concurrent use.
//
// Load pattern: the zone of an entry is partitioned, and the entry sends messages every 50 ms, each with room for
// maxPathReports reports that have not changed.
type SentReports struct {
	mu        sync.Mutex
	entries   map[fleet.EntryID]map[sentKey]sentReport
	cleanedAt time.Time
}

// sentKey identifies the reports of one witness about one endpoint.
type sentKey struct {
	endpoint    fleet.EndpointID
	incarnation fleet.Incarnation
	witness     fleet.EntryID
	reached     bool
}

// sentReport is the time of a report and how often it was sent.
type sentReport struct {
	at    time.Time
	sends int
}

// Select returns the reports that are to be sent to an entry, and counts them as sent.
func (s *SentReports) Select(to fleet.EntryID, reports []PathReport, now time.Time) []PathReport {
	if len(reports) == 0 {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropExpired(now)
	sent := s.entries[to]
	if sent == nil {
		if s.entries == nil {
			s.entries = make(map[fleet.EntryID]map[sentKey]sentReport)
		}
		sent = make(map[sentKey]sentReport)
		s.entries[to] = sent
	}
	var selected []PathReport
	for _, r := range reports {
		key := sentKey{r.Endpoint, r.Incarnation, r.Witness, r.Reached}
		known, found := sent[key]
		if !found || r.At.Sub(known.at) > renewalTime {
			known = sentReport{at: r.At}
			if found {
				known.sends = maxSends - 1
			}
			lost := sentKey{r.Endpoint, r.Incarnation, r.Witness, false}
			if r.Reached && sent[lost].at.Before(r.At) {
				// A loss after this is a new one.
				delete(sent, lost)
			}
		}
		if known.sends >= maxSends {
			continue
		}
		known.sends++
		sent[key] = known
		selected = append(selected, r)
	}
	return selected
}

// dropExpired drops what was sent of reports that are no longer valid; the caller holds the lock.
func (s *SentReports) dropExpired(now time.Time) {
	if now.Sub(s.cleanedAt) < lostPathTTL {
		return
	}
	s.cleanedAt = now
	maps.DeleteFunc(s.entries, func(_ fleet.EntryID, sent map[sentKey]sentReport) bool {
		maps.DeleteFunc(sent, func(_ sentKey, r sentReport) bool { return now.Sub(r.at) >= lostPathTTL+renewalTime })
		return len(sent) == 0
	})
}
