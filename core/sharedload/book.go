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
	// ValueByPause is the worth of the attempts by the pauses that they tolerate.
	ValueByPause ValueByPause
	// PrefillTime is how long the outstanding reading takes there.
	PrefillTime time.Duration
	// Memory is the context that the attempts will have taken when they end, in tokens.
	Memory fleet.Tokens
}

// add returns the sum of two usages.
func (u Usage) add(other Usage) Usage {
	return Usage{
		Running:      u.Running + other.Running,
		Quick:        u.Quick + other.Quick,
		ValueByPause: u.ValueByPause.add(other.ValueByPause),
		PrefillTime:  u.PrefillTime + other.PrefillTime,
		Memory:       u.Memory + other.Memory,
	}
}

// sub returns the usage without another.
func (u Usage) sub(other Usage) Usage {
	return Usage{
		Running:      u.Running - other.Running,
		Quick:        u.Quick - other.Quick,
		ValueByPause: u.ValueByPause.sub(other.ValueByPause),
		PrefillTime:  u.PrefillTime - other.PrefillTime,
		Memory:       u.Memory - other.Memory,
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

// UsageTable knows what this entry runs on each endpoint, exactly, and what others run: as they last told, and what was chosen
// for them since. Its zero value is ready to use.
type UsageTable struct {
	mu       sync.Mutex
	own      map[fleet.EndpointID]Usage
	peers    map[fleet.EntryID]told
	promises map[fleet.EntryID]map[uint64]promise
	doubts   map[fleet.EndpointID]time.Time
}

// AddOwn notes work of this entry.
func (b *UsageTable) AddOwn(work map[fleet.EndpointID]Usage) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.own == nil {
		b.own = make(map[fleet.EndpointID]Usage)
	}
	for id, u := range work {
		b.own[id] = b.own[id].add(u)
	}
}

// RemoveOwn takes back work of this entry.
func (b *UsageTable) RemoveOwn(work map[fleet.EndpointID]Usage) {
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
func (b *UsageTable) Own() map[fleet.EndpointID]Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.own)
}

// UpdatePeer takes what another entry runs, which contains all its choices up to the settled one.
func (b *UsageTable) UpdatePeer(entry fleet.EntryID, usages map[fleet.EndpointID]Usage, settled uint64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.peers == nil {
		b.peers = make(map[fleet.EntryID]told)
	}
	b.peers[entry] = told{usages: usages, at: now}
	maps.DeleteFunc(b.promises[entry], func(number uint64, _ promise) bool { return number <= settled })
}

// AddPending notes the work of a choice for an entry that will tell of it.
func (b *UsageTable) AddPending(entry fleet.EntryID, number uint64, usages map[fleet.EndpointID]Usage, now time.Time) {
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

// RemovePending forgets a promise of an entry.
func (b *UsageTable) RemovePending(entry fleet.EntryID, number uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.promises[entry], number)
}

// RecordFailures notes endpoints that another entry does not want to be chosen, since they have failed it.
func (b *UsageTable) RecordFailures(endpoints map[fleet.EndpointID]bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.doubts == nil {
		b.doubts = make(map[fleet.EndpointID]time.Time)
	}
	for id := range endpoints {
		b.doubts[id] = now
	}
}

// RecentlyFailed tells whether any entry has lately been failed by an endpoint.
func (b *UsageTable) RecentlyFailed(id fleet.EndpointID, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	at, found := b.doubts[id]
	if found && now.Sub(at) > doubtTime {
		delete(b.doubts, id)
		return false
	}
	return found
}

// HasReporters tells whether any entry has told its figures lately, and so relies on what this one answers.
func (b *UsageTable) HasReporters(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, t := range b.peers {
		if now.Sub(t.at) <= peerTTL {
			return true
		}
	}
	return false
}

// HasReport tells whether another entry has told its figures lately.
func (b *UsageTable) HasReport(entry fleet.EntryID, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	t, found := b.peers[entry]
	return found && now.Sub(t.at) <= peerTTL
}

// Totals returns what all entries run on each endpoint.
func (b *UsageTable) Totals(now time.Time) map[fleet.EndpointID]Usage {
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
func (b *UsageTable) addPromises(totals map[fleet.EndpointID]Usage, now time.Time) {
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
