package freshness

import "time"

// PeerExchange passes evidence between entries, so that one that the store turns away still knows that nothing has changed.
type PeerExchange struct {
	// Tracker is that of this entry.
	Tracker *Tracker
	// Version returns the version of the configuration in force, or 0 if there is none.
	Version func() int64
}

// Report returns the version in force and how long ago it was surely the newest one; false means that it isn't known.
func (t *PeerExchange) Report() (version int64, age time.Duration, known bool) {
	// The version is read before the age: a newer one that comes in between only makes the testimony too modest.
	version = t.Version()
	age, known = t.Tracker.Age()
	return version, age, known && version > 0
}

// Now returns the moment at which another entry is asked.
func (t *PeerExchange) Now() time.Duration {
	return t.Tracker.Now()
}

// Apply takes the answer of an entry that was asked at a moment. The answer was given after that, so that the age counts
// from there at the latest.
func (t *PeerExchange) Apply(asked time.Duration, version int64, age time.Duration) {
	if version == 0 || version != t.Version() {
		return
	}
	t.Tracker.Confirm(asked - age)
}
