package bench_test

import (
	"container/heap"
	"time"
)

// epoch is the virtual time at which every simulation starts.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// event is a function call that is due at a time; sequence orders events that are due at the same time.
type event struct {
	at       time.Time
	sequence uint64
	call     func()
}

// events is a heap of events with the earliest first.
type events []event

// Len implements heap.Interface.
func (e events) Len() int { return len(e) }

// Less implements heap.Interface.
func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].sequence < e[j].sequence
}

// Swap implements heap.Interface.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*e = old[:len(old)-1]
	return last
}

// clock is a virtual clock that makes scheduled calls in the order of their times. It is not safe for concurrent use.
type clock struct {
	now      time.Time
	sequence uint64
	events   events
}

// at schedules a call at a time, or now if that time has passed.
func (c *clock) at(t time.Time, call func()) {
	if t.Before(c.now) {
		t = c.now
	}
	c.sequence++
	heap.Push(&c.events, event{at: t, sequence: c.sequence, call: call})
}

// after schedules a call after a delay.
func (c *clock) after(d time.Duration, call func()) {
	c.at(c.now.Add(d), call)
}

// every schedules a call after a delay and then at intervals until it returns false.
func (c *clock) every(delay, interval time.Duration, call func() bool) {
	c.after(delay, func() {
		if call() {
			c.every(interval, interval, call)
		}
	})
}

// run processes events until done returns true, no event is left or the next event is later than the time until.
func (c *clock) run(until time.Time, done func() bool) {
	for len(c.events) > 0 && !done() {
		next := heap.Pop(&c.events).(event)
		if next.at.After(until) {
			return
		}
		c.now = next.at
		next.call()
	}
}
