package timeline

import (
	"sync"

	"wisteriadyke/core/fleet"
)

// defaultCapacity is the number of events retained if Capacity is not set.
const defaultCapacity = 16384

// Recorder retains the latest events of one process in a ring buffer; a nil Recorder drops all events. It is safe for
// concurrent use.
type Recorder struct {
	// Entry is the ID of this entry.
	Entry fleet.EntryID
	// Capacity is the number of events to retain; zero means 16,384.
	Capacity int
	// Clock provides the timestamps.
	Clock Clock

	mu sync.Mutex
	// events is a ring buffer once its length has reached the capacity.
	events []Event
	// total is the number of events recorded so far.
	total uint64
}

// Record appends an event. It sets the event's timestamp, sequence number and entry.
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

// Events returns the retained events that the filter matches, oldest first.
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

// capacity returns the number of events to retain.
func (r *Recorder) capacity() int {
	if r.Capacity > 0 {
		return r.Capacity
	}
	return defaultCapacity
}
