package freshness

import "time"

// Testimony passes evidence between entries, so that one that the store turns away still knows that nothing has changed.
type Testimony struct {
	// Evidence is that of this entry.
	Evidence *Evidence
	// Version returns the version of the configuration in force, or 0 if there is none.
	Version func() int64
}

// Testify returns the version in force and how long ago it was surely the newest one; false means that it isn't known.
func (t *Testimony) Testify() (version int64, age time.Duration, known bool) {
	// The version is read before the age: a newer one that comes in between only makes the testimony too modest.
	version = t.Version()
	age, known = t.Evidence.Age()
	return version, age, known && version > 0
}

// Asked returns the moment at which another entry is asked.
func (t *Testimony) Asked() time.Duration {
	return t.Evidence.Now()
}

// Heard takes the answer of an entry that was asked at a moment. The answer was given after that, so that the age counts
// from there at the latest.
func (t *Testimony) Heard(asked time.Duration, version int64, age time.Duration) {
	if version == 0 || version != t.Version() {
		return
	}
	t.Evidence.Confirm(asked - age)
}
