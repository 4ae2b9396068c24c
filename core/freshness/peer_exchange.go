package freshness

import (
	"sync"
	"time"
)

// PeerExchange exchanges freshness with other entries, so that an entry that gets no answer from the store can still
// confirm that its configuration is the newest.
type PeerExchange struct {
	// Tracker is the tracker of this entry.
	Tracker *Tracker
	// Version returns the version of the current configuration, or 0 if there is none.
	Version func() int64
	// OnFirstReply is called when another entry has replied for the first time; nil means that nothing is called.
	OnFirstReply func()

	mu sync.Mutex
	// heard reports whether any entry replied; newest is the newest version that one had, heard first at newestAt.
	heard    bool
	newest   int64
	newestAt time.Duration
}

// Report returns the current version and the time since it was confirmed to be the newest; known is false if either is
// missing.
func (t *PeerExchange) Report() (version int64, age time.Duration, known bool) {
	// The version is read before the age: if a newer version arrives in between, the report contains the older one.
	version = t.Version()
	age, known = t.Tracker.Age()
	return version, age, known && version > 0
}

// Now returns the current time of the tracker. Callers read it before they request another entry's freshness, and pass
// it to Apply.
func (t *PeerExchange) Now() time.Duration {
	return t.Tracker.Now()
}

// Hear records the version of another entry's configuration, or 0 if it has none.
func (t *PeerExchange) Hear(version int64) {
	t.mu.Lock()
	first := !t.heard
	t.heard = true
	if version > t.newest {
		t.newest, t.newestAt = version, t.Tracker.Now()
	}
	t.mu.Unlock()
	if first && t.OnFirstReply != nil {
		t.OnFirstReply()
	}
}

// Heard reports whether any other entry has replied.
func (t *PeerExchange) Heard() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.heard
}

// Behind reports whether another entry was found within abandonTime to have a newer configuration than this one has.
func (t *PeerExchange) Behind() bool {
	current := t.Version()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.newest > current && t.Tracker.Now()-t.newestAt < abandonTime
}

// Apply applies the reply of another entry to a request sent at requestedAt. That entry measured age after that time,
// so that its confirmation is not earlier than requestedAt-age. A reply with another version than the current one, or
// with version 0, is ignored.
func (t *PeerExchange) Apply(requestedAt time.Duration, version int64, age time.Duration) {
	if version == 0 || version != t.Version() {
		return
	}
	t.Tracker.Confirm(requestedAt - age)
}
