// Package sharedload places requests by what all entries run on each endpoint, without an owner of the endpoint.
package sharedload

import (
	"maps"
	"sync"
	"time"

	"wisteriadyke/core/fleet"
)

// peerTTL is how long the figures of another entry are used; five of its reports are lost by then.
const peerTTL = time.Second

// doubtTime is how long an endpoint is avoided that has failed another entry; entries leave it alone for as long at first.
const doubtTime = 600 * time.Millisecond

// Usage is what runs on one endpoint.
type Usage struct {
	// Running counts the attempts that run or wait there.
	Running int
	// Quick counts those of them that hardly tolerate pauses.
	Quick int
	// Stakes is the worth of the attempts by the pauses that they tolerate.
	Stakes Stakes
	// Reading is how long the outstanding reading takes there.
	Reading time.Duration
	// Memory is the context that the attempts will have taken when they end, in tokens.
	Memory fleet.Tokens
}

// add returns the sum of two usages.
func (u Usage) add(other Usage) Usage {
	return Usage{
		Running: u.Running + other.Running,
		Quick:   u.Quick + other.Quick,
		Stakes:  u.Stakes.add(other.Stakes),
		Reading: u.Reading + other.Reading,
		Memory:  u.Memory + other.Memory,
	}
}

// sub returns the usage without another.
func (u Usage) sub(other Usage) Usage {
	return Usage{
		Running: u.Running - other.Running,
		Quick:   u.Quick - other.Quick,
		Stakes:  u.Stakes.sub(other.Stakes),
		Reading: u.Reading - other.Reading,
		Memory:  u.Memory - other.Memory,
	}
}

// told is what another entry last told.
type told struct {
	usages map[fleet.EndpointID]Usage
	at     time.Time
}

// promise is the work of a choice that was made for an entry which has not told of it yet.
type promise struct {
	usages map[fleet.EndpointID]Usage
	at     time.Time
}

// Book knows what this entry runs on each endpoint, exactly, and what others run: as they last told, and what was chosen
// for them since. Its zero value is ready to use.
type Book struct {
	mu       sync.Mutex
	own      map[fleet.EndpointID]Usage
	peers    map[fleet.EntryID]told
	promises map[fleet.EntryID]map[uint64]promise
	doubts   map[fleet.EndpointID]time.Time
}

// Add notes work of this entry.
func (b *Book) Add(work map[fleet.EndpointID]Usage) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.own == nil {
		b.own = make(map[fleet.EndpointID]Usage)
	}
	for id, u := range work {
		b.own[id] = b.own[id].add(u)
	}
}

// Remove takes back work of this entry.
func (b *Book) Remove(work map[fleet.EndpointID]Usage) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, u := range work {
		left := b.own[id].sub(u)
		if left == (Usage{}) {
			delete(b.own, id)
			continue
		}
		b.own[id] = left
	}
}

// Own returns what this entry runs.
func (b *Book) Own() map[fleet.EndpointID]Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.own)
}

// Told takes what another entry runs, which contains all its choices up to the settled one.
func (b *Book) Told(entry fleet.EntryID, usages map[fleet.EndpointID]Usage, settled uint64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.peers == nil {
		b.peers = make(map[fleet.EntryID]told)
	}
	b.peers[entry] = told{usages: usages, at: now}
	maps.DeleteFunc(b.promises[entry], func(number uint64, _ promise) bool { return number <= settled })
}

// Promise notes the work of a choice for an entry that will tell of it.
func (b *Book) Promise(entry fleet.EntryID, number uint64, usages map[fleet.EndpointID]Usage, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.promises == nil {
		b.promises = make(map[fleet.EntryID]map[uint64]promise)
	}
	if b.promises[entry] == nil {
		b.promises[entry] = make(map[uint64]promise)
	}
	b.promises[entry][number] = promise{usages: usages, at: now}
}

// Settle forgets a promise of an entry.
func (b *Book) Settle(entry fleet.EntryID, number uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.promises[entry], number)
}

// Doubt notes endpoints that another entry does not want to be chosen, since they have failed it.
func (b *Book) Doubt(endpoints map[fleet.EndpointID]bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.doubts == nil {
		b.doubts = make(map[fleet.EndpointID]time.Time)
	}
	for id := range endpoints {
		b.doubts[id] = now
	}
}

// Doubted tells whether any entry has lately been failed by an endpoint.
func (b *Book) Doubted(id fleet.EndpointID, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	at, found := b.doubts[id]
	if found && now.Sub(at) > doubtTime {
		delete(b.doubts, id)
		return false
	}
	return found
}

// Consulted tells whether any entry has told its figures lately, and so relies on what this one answers.
func (b *Book) Consulted(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, t := range b.peers {
		if now.Sub(t.at) <= peerTTL {
			return true
		}
	}
	return false
}

// Heard tells whether another entry has told its figures lately.
func (b *Book) Heard(entry fleet.EntryID, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	t, found := b.peers[entry]
	return found && now.Sub(t.at) <= peerTTL
}

// Totals returns what all entries run on each endpoint.
func (b *Book) Totals(now time.Time) map[fleet.EndpointID]Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	totals := make(map[fleet.EndpointID]Usage, len(b.own))
	maps.Copy(totals, b.own)
	for entry, t := range b.peers {
		if now.Sub(t.at) > peerTTL {
			delete(b.peers, entry)
			continue
		}
		for id, u := range t.usages {
			totals[id] = totals[id].add(u)
		}
	}
	b.addPromises(totals, now)
	return totals
}

// addPromises adds what was chosen and not told of yet; the caller holds the lock.
func (b *Book) addPromises(totals map[fleet.EndpointID]Usage, now time.Time) {
	for entry, numbers := range b.promises {
		for number, p := range numbers {
			if now.Sub(p.at) > peerTTL {
				delete(numbers, number)
				continue
			}
			for id, u := range p.usages {
				totals[id] = totals[id].add(u)
			}
		}
		if len(numbers) == 0 {
			delete(b.promises, entry)
		}
	}
}
