package freshness

import "time"

// PeerExchange exchanges freshness with other entries, so that an entry that gets no answer from the store can still
// confirm that its configuration is the newest.
type PeerExchange struct {
	// Tracker is the tracker of this entry.
	Tracker *Tracker
	// Version returns the version of the current configuration, or 0 if there is none.
	Version func() int64
}

// Report returns the current version and the time since it was confirmed to be the newest; known is false without both.
func (t *PeerExchange) Report() (version int64, age time.Duration, known bool) {
	// The version is read before the age: a version that arrives in between only makes the report older than necessary.
	version = t.Version()
	age, known = t.Tracker.Age()
	return version, age, known && version > 0
}

// Now returns the time at which another entry is asked, to be passed to Apply.
func (t *PeerExchange) Now() time.Duration {
	return t.Tracker.Now()
}

// Apply applies the answer of an entry that was asked at the given time. The entry took its age after that time, so
// that asked-age is a lower bound for the time of its confirmation.
func (t *PeerExchange) Apply(asked time.Duration, version int64, age time.Duration) {
	if version == 0 || version != t.Version() {
		return
	}
	t.Tracker.Confirm(asked - age)
}
