package timeline

import (
	"sync"

	"wisteriadyke/core/fleet"
)

// defaultCapacity is the number of events kept when none is set.
const defaultCapacity = 16384

// Recorder keeps the latest events of one process; a nil Recorder keeps none.
type Recorder struct {
	// Entry is the entry that records.
	Entry fleet.EntryID
	// Capacity is the number of events that are kept; zero means 16,384.
	Capacity int
	// Clock stamps the events.
	Clock Clock

	mu     sync.Mutex
	events []Event
	total  uint64
}

// Record appends an event; it sets its stamp, sequence and entry.
func (r *Recorder) Record(event Event) {
	if r == nil {
		return
	}
	event.Entry = r.Entry
	r.mu.Lock()
	defer r.mu.Unlock()
	event.Timestamp = r.Clock.Now()
	r.total++
	event.Sequence = r.total
	if len(r.events) < r.capacity() {
		r.events = append(r.events, event)
		return
	}
	r.events[int((r.total-1)%uint64(len(r.events)))] = event
}

// Events returns the kept events that the filter takes, the oldest first.
func (r *Recorder) Events(filter Filter) []Event {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	start := 0
	if len(r.events) > 0 {
		start = int(r.total % uint64(len(r.events)))
	}
	if r.total <= uint64(len(r.events)) {
		start = 0
	}
	var found []Event
	for i := range r.events {
		event := r.events[(start+i)%len(r.events)]
		if filter.Matches(event) {
			found = append(found, event)
		}
	}
	return found
}

// capacity returns the number of events that are kept.
func (r *Recorder) capacity() int {
	if r.Capacity > 0 {
		return r.Capacity
	}
	return defaultCapacity
}
