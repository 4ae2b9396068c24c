package sharedload

import (
	"cmp"
	"context"
	"errors"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"wisteriadyke/core/clusterstate"
	"wisteriadyke/core/fleet"
	"wisteriadyke/core/placement"
	"wisteriadyke/core/reservation"
)

const (
	// chooseTimeout bounds one question for a choice; the objective of quick requests leaves time for two of them.
	chooseTimeout = 100 * time.Millisecond
	// learningTime is how long an entry that has just started does not choose for others: all that run something tell it
	// within that time.
	learningTime = 500 * time.Millisecond
)

// UsageReport is what an entry runs.
type UsageReport struct {
	// Entry is the entry.
	Entry fleet.EntryID
	// Usages is all that it runs.
	Usages map[fleet.EndpointID]Usage
	// Settled is the number of its latest choice of which it knows, with all before it, what became of it.
	Settled uint64
}

// ChooseRequest asks another entry for a choice.
type ChooseRequest struct {
	// Report is what the asking entry runs.
	Report UsageReport
	// Number numbers the questions of that entry.
	Number uint64
	// Role is what the asked entry is to it.
	Role Role
	// Need is what the request asks of its endpoints.
	Need placement.Need
}

// Transport carries messages to other entries.
type Transport interface {
	// ReportUsage sends all that this entry runs.
	ReportUsage(ctx context.Context, to netip.AddrPort, told UsageReport) (UsageReply, error)
	// Choose asks for a choice; an error is a *reservation.Refusal if the entry has answered.
	Choose(ctx context.Context, to netip.AddrPort, question ChooseRequest) (Choice, error)
}

// UsageReply is what an entry answers to one that tells it what it runs.
type UsageReply struct {
	// Chooses tells that it has run long enough to choose for others.
	Chooses bool
	// Zones are those that it has heard of lately.
	Zones []fleet.Zone
}

// ChooserSet finds the entries that choose endpoints for others, the leader of all and the first of this zone, and asks them.
// All entries rank each other in the same order, so that they agree as far as they reach the same ones; a choice that two
// leaders make at the same time costs quality, never correctness. Its fields are set before use.
type ChooserSet struct {
	// Self is this entry.
	Self fleet.Entry
	// Started is when this entry started.
	Started time.Time
	// State holds the entries.
	State *clusterstate.State
	// Usages holds what all run.
	Usages *UsageTable
	// Chooser chooses at this entry.
	Chooser *Chooser
	// Transport reaches the other entries.
	Transport Transport
	// Log takes messages about entries that are lost and regained.
	Log zerolog.Logger

	mu          sync.Mutex
	peers       map[fleet.EntryID]*listener
	number      uint64
	outstanding map[uint64]bool
	zones       map[fleet.Zone]time.Time
}

// Choose returns the best endpoints for a request, and a function that must be called once the book of this entry contains
// the choice; an error is a *reservation.Refusal.
func (p *ChooserSet) Choose(ctx context.Context, need placement.Need) (Choice, func(), error) {
	number := p.begin()
	settle := func() { p.settle(number) }
	for _, c := range p.consulted() {
		if c.entry.ID == p.Self.ID {
			break
		}
		choice, err := p.ask(ctx, c, number, need)
		var refusal *reservation.Refusal
		switch {
		case err == nil:
			choice.Chooser = c.entry.ID
			return choice, settle, nil
		case errors.As(err, &refusal):
			settle()
			return Choice{}, nil, err
		case ctx.Err() != nil:
			settle()
			return Choice{}, nil, &reservation.Refusal{Reason: reservation.ReasonUnreachable}
		}
		p.failed(c.entry, err)
	}
	now := time.Now()
	choice, err := p.Chooser.Choose(need, p.ownRole(), now, func(c Choice) {
		p.Usages.AddPending(p.Self.ID, number, c.usages(), now)
	})
	if err != nil {
		settle()
		return Choice{}, nil, err
	}
	choice.Chooser = p.Self.ID
	return choice, settle, nil
}

// HandleChoose answers the question of another entry; an error is a *reservation.Refusal.
func (p *ChooserSet) HandleChoose(q ChooseRequest) (Choice, error) {
	now := time.Now()
	p.Usages.UpdatePeer(q.Report.Entry, q.Report.Usages, q.Report.Settled, now)
	p.Usages.RecordFailures(q.Need.Excluded, now)
	return p.Chooser.Choose(q.Need, q.Role, now, func(c Choice) {
		p.Usages.AddPending(q.Report.Entry, q.Number, c.usages(), now)
	})
}

// HandleUsage takes what another entry runs.
func (p *ChooserSet) HandleUsage(told UsageReport) UsageReply {
	now := time.Now()
	p.Usages.UpdatePeer(told.Entry, told.Usages, told.Settled, now)
	return UsageReply{Chooses: now.Sub(p.Started) >= learningTime, Zones: p.heardZones(now)}
}

// Reachable tells whether anything was heard of a zone lately, from its entries or from those that choose.
func (p *ChooserSet) Reachable(zone fleet.Zone) bool {
	now := time.Now()
	if zone == p.Self.Zone || slices.Contains(p.heardZones(now), zone) {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	heard, found := p.zones[zone]
	return found && now.Sub(heard) <= peerTTL
}

// heardZones returns the zones whose entries have told this one what they run, and its own.
func (p *ChooserSet) heardZones(now time.Time) []fleet.Zone {
	zones := []fleet.Zone{p.Self.Zone}
	for id, entry := range p.State.Entries.Snapshot().Rows {
		if !slices.Contains(zones, entry.Zone) && p.Usages.HasReport(id, now) {
			zones = append(zones, entry.Zone)
		}
	}
	return zones
}

// ask asks another entry.
func (p *ChooserSet) ask(ctx context.Context, c consulted, number uint64, need placement.Need) (Choice, error) {
	ctx, cancel := context.WithTimeout(ctx, chooseTimeout)
	defer cancel()
	return p.Transport.Choose(ctx, c.entry.Address, ChooseRequest{Report: p.told(), Number: number, Role: c.role, Need: need})
}

// told returns what this entry runs. The settled choices are looked up first, so that the usages contain them.
func (p *ChooserSet) told() UsageReport {
	settled := p.settled()
	return UsageReport{Entry: p.Self.ID, Usages: p.Usages.Own(), Settled: settled}
}

// begin numbers a question.
func (p *ChooserSet) begin() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.number++
	if p.outstanding == nil {
		p.outstanding = make(map[uint64]bool)
	}
	p.outstanding[p.number] = true
	return p.number
}

// settle notes that what became of a question is known and in the book.
func (p *ChooserSet) settle(number uint64) {
	p.mu.Lock()
	delete(p.outstanding, number)
	p.mu.Unlock()
	p.Usages.RemovePending(p.Self.ID, number)
}

// settled returns the latest number that is settled with all before it.
func (p *ChooserSet) settled() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	settled := p.number
	for number := range p.outstanding {
		settled = min(settled, number-1)
	}
	return settled
}

// consulted is an entry that chooses for this one, in a role.
type consulted struct {
	entry fleet.Entry
	role  Role
}

// consulted returns the entries that choose for this one, in the order in which they are asked; this one is the last.
func (p *ChooserSet) consulted() []consulted {
	ranked := p.ranked()
	p.mu.Lock()
	defer p.mu.Unlock()
	var asked []consulted
	if leader, found := p.first(ranked, func(fleet.Entry) bool { return true }); found {
		asked = append(asked, consulted{entry: leader, role: RoleLeader})
	}
	if local, found := p.first(ranked, p.inZone); found && local.ID != asked[0].entry.ID {
		asked = append(asked, consulted{entry: local, role: RoleZone})
	}
	return asked
}

// ownRole returns the role in which this entry chooses for itself.
func (p *ChooserSet) ownRole() Role {
	for _, c := range p.consulted() {
		if c.entry.ID == p.Self.ID {
			return c.role
		}
	}
	return RoleAlone
}

// inZone tells whether an entry is in the zone of this one.
func (p *ChooserSet) inZone(entry fleet.Entry) bool {
	return entry.Zone == p.Self.Zone
}

// first returns the first entry that fits and chooses, which may be this one; the caller holds the lock.
func (p *ChooserSet) first(ranked []fleet.Entry, fits func(fleet.Entry) bool) (fleet.Entry, bool) {
	for _, entry := range ranked {
		if fits(entry) && p.chooses(entry.ID) {
			return entry, true
		}
	}
	return fleet.Entry{}, false
}

// chooses tells whether an entry is known to choose for others; the caller holds the lock.
func (p *ChooserSet) chooses(id fleet.EntryID) bool {
	if id == p.Self.ID {
		return time.Since(p.Started) >= learningTime
	}
	l, found := p.peers[id]
	return found && l.chooses
}

// ranked returns all entries in the order in which they are wanted to choose, which all entries agree on: those with the
// larger share of a processor first.
func (p *ChooserSet) ranked() []fleet.Entry {
	var entries []fleet.Entry
	for _, entry := range p.State.Entries.Snapshot().Rows {
		entries = append(entries, entry)
	}
	slices.SortFunc(entries, func(a, b fleet.Entry) int {
		return cmp.Or(
			cmp.Compare(b.CPUShare, a.CPUShare),
			cmp.Compare(rankOf(a.ID), rankOf(b.ID)),
			cmp.Compare(a.ID, b.ID),
		)
	})
	return entries
}
