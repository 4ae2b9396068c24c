// Package sharedload places requests on endpoints by the usage that all entries report, without an owner per endpoint.
package sharedload

import (
	"maps"
	"sync"
	"time"

	"wisteriadyke/core/fleet"
)

// peerTTL is how long the usage report of another entry is counted. Unchanged usage is reported again every
// reportRenewal, so that a report expires after two lost renewals.
const peerTTL = time.Second

// exclusionTTL is how long an endpoint is avoided after another entry has excluded it; it equals the initial back-off of
// an outlier.Detector.
const exclusionTTL = 600 * time.Millisecond

// Usage is the load on one endpoint.
type Usage struct {
	// Running is the number of attempts that run or wait there.
	Running int
	// Quick is the number of running attempts whose prompts are quick to prefill.
	Quick int
	// ValueByPause is the value of the running attempts by the pauses that they tolerate.
	ValueByPause ValueByPause
	// PrefillTime is the duration of the outstanding prefill there.
	PrefillTime time.Duration
	// Memory is the memory reserved there, in tokens: for the prompts and longest answers of the running attempts,
	// less what is leased at their helpers, and for the parts leased there as a helper.
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

// sub returns u minus other.
func (u Usage) sub(other Usage) Usage {
	return Usage{
		Running:      u.Running - other.Running,
		Quick:        u.Quick - other.Quick,
		ValueByPause: u.ValueByPause.sub(other.ValueByPause),
		PrefillTime:  u.PrefillTime - other.PrefillTime,
		Memory:       u.Memory - other.Memory,
	}
}

// peerReport is the last usage report of another entry.
type peerReport struct {
	usages map[fleet.EndpointID]Usage
	at     time.Time
	// expired reports whether usages is no longer part of UsageTable.others.
	expired bool
}

// pendingUsage is the usage of a choice that the entry for which it was made has not reported yet.
type pendingUsage struct {
	usages map[fleet.EndpointID]Usage
	at     time.Time
}

// UsageTable holds the usage of each endpoint: that of this entry, which is exact, and that of the other entries, which
// consists of their last reports and of the choices made for them since. Its zero value is ready to use.
type UsageTable struct {
	// Held specifies how the usage of a silent zone counts; nil means that it does not. It is set before use.
	Held *HeldUsage

	mu    sync.Mutex
	own   map[fleet.EndpointID]Usage
	peers map[fleet.EntryID]peerReport
	// others is the sum of the reports of other entries that have not expired and of the pending usages.
	others usageSum
	// pending holds the pending usages by entry and choice number.
	pending map[fleet.EntryID]map[uint64]pendingUsage
	// exclusions holds, by endpoint, when another entry last excluded it.
	exclusions map[fleet.EndpointID]time.Time
	// backlog holds when the outstanding prefill of each endpoint will be done.
	backlog prefillBacklog
}

// AddOwn adds usage of this entry.
func (b *UsageTable) AddOwn(usages map[fleet.EndpointID]Usage) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.own == nil {
		b.own = make(map[fleet.EndpointID]Usage)
	}
	for id, u := range usages {
		b.own[id] = b.own[id].add(u)
	}
}

// RemoveOwn subtracts usage of this entry.
func (b *UsageTable) RemoveOwn(usages map[fleet.EndpointID]Usage) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, u := range usages {
		remaining := b.own[id].sub(u)
		if remaining == (Usage{}) {
			delete(b.own, id)
			continue
		}
		b.own[id] = remaining
	}
}

// Own returns a copy of this entry's usage.
func (b *UsageTable) Own() map[fleet.EndpointID]Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.own)
}

// UpdatePeer stores the usage report of another entry and drops that entry's pending choices with numbers up to
// settled, since the report includes them.
func (b *UsageTable) UpdatePeer(entry fleet.EntryID, usages map[fleet.EndpointID]Usage, settled uint64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.peers == nil {
		b.peers = make(map[fleet.EntryID]peerReport)
	}
	previous := b.peers[entry]
	b.backlog.addUnexpected(usages, previous.usages, b.pending[entry], now)
	if !previous.expired {
		b.others.subtract(previous.usages)
	}
	b.others.add(usages)
	b.peers[entry] = peerReport{usages: usages, at: now}
	b.dropPending(entry, func(number uint64, _ pendingUsage) bool { return number <= settled })
}

// AddPending records the usage of a choice for an entry that has not reported it yet.
func (b *UsageTable) AddPending(entry fleet.EntryID, number uint64, usages map[fleet.EndpointID]Usage, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.pending == nil {
		b.pending = make(map[fleet.EntryID]map[uint64]pendingUsage)
	}
	if b.pending[entry] == nil {
		b.pending[entry] = make(map[uint64]pendingUsage)
	}
	b.others.subtract(b.pending[entry][number].usages)
	b.others.add(usages)
	b.pending[entry][number] = pendingUsage{usages: usages, at: now}
}

// RemovePending drops the pending usage of one choice of an entry.
func (b *UsageTable) RemovePending(entry fleet.EntryID, number uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.dropPending(entry, func(n uint64, _ pendingUsage) bool { return n == number })
}

// dropPending drops the pending choices of an entry for which drop returns true; the caller holds the lock.
func (b *UsageTable) dropPending(entry fleet.EntryID, drop func(number uint64, p pendingUsage) bool) {
	numbers := b.pending[entry]
	for number, p := range numbers {
		if drop(number, p) {
			b.others.subtract(p.usages)
			delete(numbers, number)
		}
	}
	if len(numbers) == 0 {
		delete(b.pending, entry)
	}
}

// RecordExclusions records endpoints that another entry excludes: those that refused or failed its request, and those
// that it knows to be out of service, which includes draining endpoints and zones, or unreachable.
func (b *UsageTable) RecordExclusions(endpoints map[fleet.EndpointID]bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.exclusions == nil {
		b.exclusions = make(map[fleet.EndpointID]time.Time)
	}
	for id := range endpoints {
		b.exclusions[id] = now
	}
}

// RecentlyExcluded reports whether another entry excluded an endpoint within exclusionTTL, as recorded by
// RecordExclusions.
func (b *UsageTable) RecentlyExcluded(id fleet.EndpointID, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	at, found := b.exclusions[id]
	if found && now.Sub(at) > exclusionTTL {
		delete(b.exclusions, id)
		return false
	}
	return found
}

// HasReporters reports whether any other entry sent its usage within peerTTL. Such entries rely on the replies of this
// entry.
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

// HasReport reports whether an entry sent its usage within peerTTL.
func (b *UsageTable) HasReport(entry fleet.EntryID, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	t, found := b.peers[entry]
	return found && now.Sub(t.at) <= peerTTL
}

// Totals returns the usage of all entries by endpoint; it drops expired reports, unless Held keeps them, and pending
// choices.
func (b *UsageTable) Totals(now time.Time) map[fleet.EndpointID]Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	var expired []fleet.EntryID
	for entry, t := range b.peers {
		if now.Sub(t.at) <= peerTTL {
			continue
		}
		expired = append(expired, entry)
		if !t.expired {
			b.others.subtract(t.usages)
			t.expired = true
			b.peers[entry] = t
		}
	}
	for entry := range b.pending {
		b.dropPending(entry, func(_ uint64, p pendingUsage) bool { return now.Sub(p.at) > peerTTL })
	}
	totals := make(map[fleet.EndpointID]Usage, len(b.own)+len(b.others))
	maps.Copy(totals, b.others)
	for id, u := range b.own {
		totals[id] = totals[id].add(u)
	}
	if len(expired) > 0 {
		b.addHeldUsages(totals, expired, now)
	}
	return totals
}
