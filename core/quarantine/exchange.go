package quarantine

import (
	"net/netip"
	"sync"
	"time"
)

// Changes holds what an entry has learned, in any order.
type Changes struct {
	// Reports holds new reports.
	Reports []Report
	// Survivals holds new survivals.
	Survivals []Survival
}

// Position is a place in the sequence of the changes that one run of an entry has made known.
type Position struct {
	// Run identifies the run of the entry; 0 means that nothing was received from it.
	Run uint64
	// Number is the number of the last change.
	Number uint64
}

// Message is what an entry sends another one: the changes that the other one lacks, and what it has received itself.
type Message struct {
	// Changes holds the changes.
	Changes Changes
	// Sent is the position after Changes at the sender.
	Sent Position
	// Received is the position up to which the sender has the changes of the receiver.
	Received Position
}

// Exchange passes changes between this entry and others, each of them once. The fields must be set before use; it is
// safe for concurrent use.
type Exchange struct {
	// Parts holds the known reports and survivals.
	Parts *Parts
	// Run identifies this run of the entry; it is not 0, and differs from that of earlier runs.
	Run uint64

	mu    sync.Mutex
	peers map[netip.AddrPort]*progress
}

// progress holds how far the exchange with one entry has come.
type progress struct {
	// acknowledged is the number of the last change of this entry that the other one has.
	acknowledged uint64
	// received is the position up to which this entry has the changes of that one.
	received Position
}

// Request returns the message with which to call an entry.
func (e *Exchange) Request(to netip.AddrPort) Message {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.peer(to)
	changes, last := e.Parts.changesAfter(p.acknowledged)
	return Message{Changes: changes, Sent: Position{Run: e.Run, Number: last}, Received: p.received}
}

// Reply applies the message of another entry and returns the answer to it.
func (e *Exchange) Reply(m Message, now time.Time) Message {
	e.Parts.Merge(m.Changes, now)
	after := m.Received.Number
	if m.Received.Run != e.Run {
		after = 0
	}
	changes, last := e.Parts.changesAfter(after)
	return Message{Changes: changes, Sent: Position{Run: e.Run, Number: last}, Received: m.Sent}
}

// Complete applies the answer to a request. If the other entry has started anew since the last call, the next request
// contains all changes again.
func (e *Exchange) Complete(to netip.AddrPort, reply Message, now time.Time) {
	e.Parts.Merge(reply.Changes, now)
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.peer(to)
	p.acknowledged = reply.Received.Number
	if p.received.Run != 0 && p.received.Run != reply.Sent.Run {
		p.acknowledged = 0
	}
	p.received = reply.Sent
}

// peer returns the progress with an entry; the caller holds the lock.
func (e *Exchange) peer(address netip.AddrPort) *progress {
	p, found := e.peers[address]
	if !found {
		if e.peers == nil {
			e.peers = make(map[netip.AddrPort]*progress)
		}
		p = &progress{}
		e.peers[address] = p
	}
	return p
}

// Merge applies changes that another entry has made known.
func (p *Parts) Merge(changes Changes, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, report := range changes.Reports {
		p.addReport(report, now)
	}
	for _, survival := range changes.Survivals {
		if p.reported(survival.Part) {
			p.addSurvival(survival)
		}
	}
}

// changesAfter returns the changes after a number and the number of the last one.
func (p *Parts) changesAfter(number uint64) (Changes, uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if number == p.lastNumber {
		return Changes{}, number
	}
	return Changes{
		Reports:   valuesAfter(p.reports, number),
		Survivals: valuesAfter(p.survivals, number),
	}, p.lastNumber
}

// valuesAfter returns the values with a number above the given one, in no particular order.
func valuesAfter[K comparable, T any](values map[K]numbered[T], number uint64) []T {
	var after []T
	for _, v := range values {
		if v.number > number {
			after = append(after, v.value)
		}
	}
	return after
}
