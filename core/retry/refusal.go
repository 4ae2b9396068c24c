package retry

import (
	"hash/fnv"
	"time"

	"wisteriadyke/core/fleet"
)

const (
	// firstRefusalTime is how long a request is refused after NoTrialDeathLimit deaths, where there are no trials. It may
	// then run again, in case it is sound and was only at the endpoints that died.
	firstRefusalTime = 30 * time.Second
	// refusalFactor is how many times longer it is refused after each further death.
	refusalFactor = 10
	// maxRefusalTime bounds the time for which it is refused.
	maxRefusalTime = 24 * time.Hour
	// refusalsRetained is how long its record is retained, in refusals.
	refusalsRetained = 3
)

// refusalTime returns how long a quarantined request is refused at least after the latest death.
func (r SuspectRecord) refusalTime() time.Duration {
	t := firstRefusalTime
	for range r.excessDeaths() {
		t = min(t*refusalFactor, maxRefusalTime)
	}
	return t
}

// refusedBy reports whether an entry refuses a quarantined request. Entries refuse it for up to half as long again, each for
// another time, so that one finds out whether it still crashes endpoints before the others run it.
func (r SuspectRecord) refusedBy(entry fleet.EntryID, now time.Time) bool {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(string(entry) + "/" + string(r.Fingerprint)))
	least := r.refusalTime()
	spread := time.Duration(float64(least/2) * float64(hash.Sum32()) / (1 << 32))
	return now.Sub(r.ChangedAt) <= least+spread
}
