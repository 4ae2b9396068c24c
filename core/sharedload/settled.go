package sharedload

import (
	"maps"
	"slices"

	"wisteriadyke/core/fleet"
)

// DropSettled drops the pending choices of an entry with numbers up to latest that are not outstanding, since its
// latest report includes them.
//
// Load pattern: requests of an entry wait for an endpoint while others are placed. The choices of the others would
// count twice, as pending and as reported, until the waiting ones are settled as well.
func (b *UsageTable) DropSettled(entry fleet.EntryID, latest uint64, outstanding []uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.dropPending(entry, func(number uint64, _ pendingUsage) bool {
		return number <= latest && !slices.Contains(outstanding, number)
	})
}

// startChoice returns the number of a new choice, which is outstanding until it is settled.
func (p *ChooserSet) startChoice() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastNumber++
	if p.outstanding == nil {
		p.outstanding = make(map[uint64]bool)
	}
	p.outstanding[p.lastNumber] = true
	return p.lastNumber
}

// settleChoice removes a choice from the outstanding ones and drops its pending usage. It is called once the usage
// table includes the choice, or if the choice failed or was discarded.
func (p *ChooserSet) settleChoice(number uint64) {
	p.mu.Lock()
	delete(p.outstanding, number)
	p.mu.Unlock()
	p.Usages.RemovePending(p.Self.ID, number)
}

// lastSettled returns the largest number up to which all choices are settled.
func (p *ChooserSet) lastSettled() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	settled := p.lastNumber
	for number := range p.outstanding {
		settled = min(settled, number-1)
	}
	return settled
}

// outstandingChoices returns the number of the latest choice and the numbers up to it that are not settled.
func (p *ChooserSet) outstandingChoices() (uint64, []uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastNumber, slices.Collect(maps.Keys(p.outstanding))
}
