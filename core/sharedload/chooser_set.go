package sharedload

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"sync"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"wisteriadyke/core/clusterstate"
	"wisteriadyke/core/cost"
	"wisteriadyke/core/fleet"
	"wisteriadyke/core/outlier"
	"wisteriadyke/core/placement"
	"wisteriadyke/core/ratelimit"
	"wisteriadyke/core/reservation"
)

const (
	// chooseTimeout bounds one choose request; the objective of quick requests leaves time for two of them.
	chooseTimeout = 100 * time.Millisecond
	// startupDelay is the time from the start of an entry until it chooses for others; by then, entries with running
	// attempts for which it will choose have normally reported their usage to it.
	startupDelay = 500 * time.Millisecond
	// maxWaitChoosers bounds the choosers that a request that may wait asks in a row: those of all roles and two successors.
	maxWaitChoosers = 4
)

// UsageReport is the usage of one entry.
type UsageReport struct {
	// Entry is the ID of that entry.
	Entry fleet.EntryID
	// Role is the role in which the receiver of the report chooses for the entry; RoleAlone means that it doesn't.
	Role Role
	// Usages is its usage by endpoint.
	Usages map[fleet.EndpointID]Usage
	// Settled is the largest number up to which all choices of the entry are settled: Usages includes them unless they
	// failed, were discarded or have been released since.
	Settled uint64
	// Latest is the number of the entry's latest choice, and Outstanding holds the numbers up to it that are not settled.
	// Unlike Settled, they also cover the choices after one whose request waits. Latest is 0 in reports of entries that
	// don't send it.
	Latest      uint64
	Outstanding []uint64
	// Leaving holds the incarnations of the endpoints that recently announced to the entry that they leave.
	Leaving map[fleet.EndpointID]fleet.Incarnation
	// Limits holds what endpoints recently stated to the entry.
	Limits map[fleet.EndpointID]ratelimit.Statement
	// CutOff holds the pools most of whose endpoints are unreachable for the entry, in order. What it says about these
	// endpoints is not used. Unreached holds those of which it reaches no endpoint.
	CutOff, Unreached []fleet.PoolName
	// LostPaths holds the paths that the entry lost or found to work again.
	LostPaths []outlier.PathReport
	// Paces holds the paces of endpoints that the entry has measured lately.
	Paces []cost.PaceSample
}

// LeavingEndpoints holds which endpoints announced that they leave; *discovery.EndpointList implements it.
type LeavingEndpoints interface {
	// Announced returns the incarnations that recently announced to this entry that they leave.
	Announced(now time.Time) map[fleet.EndpointID]fleet.Incarnation
	// MarkLeaving records that an incarnation announced that it leaves, to this entry if own is set.
	MarkLeaving(id fleet.EndpointID, incarnation fleet.Incarnation, own bool, now time.Time)
}

// ChooseRequest requests a choice from another entry.
type ChooseRequest struct {
	// Report is the usage report of the requesting entry.
	Report UsageReport
	// Number identifies the choice among those of the requesting entry, which numbers them consecutively.
	Number uint64
	// Role is the role in which the entry that receives the request chooses.
	Role Role
	// Need holds the requirements of the request.
	Need placement.Need
}

// Transport sends messages to other entries.
type Transport interface {
	// ReportUsage sends a usage report.
	ReportUsage(ctx context.Context, to netip.AddrPort, report UsageReport) (UsageReply, error)
	// Choose requests a choice; an error is a *reservation.Refusal if the entry answered.
	Choose(ctx context.Context, to netip.AddrPort, request ChooseRequest) (Choice, error)
}

// UsageReply is the reply to a usage report.
type UsageReply struct {
	// Chooses reports whether the entry has run long enough to choose for others.
	Chooses bool
	// Zones are the zone of the replying entry and each zone of which an entry sent it a usage report within peerTTL.
	Zones []fleet.Zone
	// Alternates are entries that reach the endpoints of the pools that the reporting entry is cut off from.
	Alternates map[fleet.PoolName][]fleet.EntryID
	// LostPaths are reports of paths from the zone of the reporting entry.
	LostPaths []outlier.PathReport
}

// ChooserSet finds the entries that choose endpoints for others, which are the leader of all entries and the first
// chooser of this zone, and requests choices from them. All entries use the same ranking, so that those that reach the
// same entries agree on the leader. Several leaders at the same time make worse choices, but not incorrect ones: each uses
// only its Share of what all entries may send. The fields must be set before use.
type ChooserSet struct {
	// Self is this entry.
	Self fleet.Entry
	// Started is the time at which this entry started.
	Started time.Time
	// State holds the entries of all zones.
	State *clusterstate.State
	// Usages holds the usage of all entries.
	Usages *UsageTable
	// Chooser makes the choices at this entry, for its own requests and for those of other entries.
	Chooser *Chooser
	// Transport reaches the other entries.
	Transport Transport
	// Leaving holds which endpoints announced that they leave; nil leaves it out of the reports.
	Leaving LeavingEndpoints
	// Limits holds the limits that endpoints state; nil leaves them out of the reports.
	Limits *ratelimit.Limits
	// Paces holds the paces of endpoints; nil leaves them out of the reports.
	Paces *cost.Paces
	// Paths tells which endpoints this entry reaches; nil means that it reaches all.
	Paths Paths
	// LostPaths holds the paths that entries lost; nil disables its exchange.
	LostPaths *outlier.PathTable
	sentPaths outlier.SentReports
	// Reach asks other entries about endpoints; it is required by AskOthers.
	Reach ReachClient
	// Log receives messages about entries that start or stop choosing or don't answer.
	Log zerolog.Logger
	// Metrics counts the requests that wait at this entry as the chooser; nil disables that.
	Metrics metrics.Registry

	waiting   waitingCalls
	ranking   clusterstate.Ranking
	followers followers
	mu        sync.Mutex
	peers     map[fleet.EntryID]*peerState
	// lastNumber is the number of the latest choice for this entry; outstanding holds the numbers that are not settled.
	lastNumber  uint64
	outstanding map[uint64]bool
	// zonesReachedAt is when a chooser last listed each zone in a reply.
	zonesReachedAt map[fleet.Zone]time.Time
	// lost holds the paths that other entries last reported to have lost, and alternates what each chooser named.
	lost       map[fleet.EntryID]lostPaths
	alternates map[fleet.EntryID]namedAlternates
	// alternateFailures holds the latest failure of each entry to accept a request of this one.
	alternateFailures map[fleet.EntryID]alternateFailure
}

// Choose returns the choice for a request and a function that must be called once the usage table of this entry
// includes the choice or the choice is discarded; an error is a *reservation.Refusal. If the request may wait, the choice
// may be that it has to: the caller then settles it and asks again at once.
func (p *ChooserSet) Choose(ctx context.Context, need placement.Need) (Choice, func(), error) {
	number := p.startChoice()
	need.Zone = p.Self.Zone
	settle := func() { p.settleChoice(number) }
	choosers := p.roleChoosers()
	for i := 0; i < len(choosers); i++ {
		c := choosers[i]
		if c.entry.ID == p.Self.ID {
			break
		}
		choice, err := p.requestChoice(ctx, c, number, need)
		var refusal *reservation.Refusal
		answered := err == nil || errors.As(err, &refusal)
		if answered {
			p.recordAnswer(c.entry)
		}
		switch {
		case err == nil:
			choice.Chooser = c.entry.ID
			p.mergePaths(choice.LostPaths, time.Now())
			if p.Limits != nil && choice.Limit != nil {
				p.Limits.Merge(choice.Endpoint, *choice.Limit)
			}
			return choice, settle, nil
		case answered:
			settle()
			return Choice{}, nil, err
		case ctx.Err() != nil:
			settle()
			return Choice{}, nil, &reservation.Refusal{Reason: reservation.ReasonUnreachable}
		}
		p.recordFailure(c.entry, need.MayWait, err)
		if need.MayWait && i+1 < maxWaitChoosers {
			choosers = append(choosers[:i+1], p.choosersExcept(choosers[:i+1])...)
		}
	}
	choice, err := p.choose(ctx, need, p.ownRole(), func(c Choice) {
		p.Usages.AddPending(p.Self.ID, number, c.initialUsages(), time.Now())
	})
	if err != nil {
		settle()
		return Choice{}, nil, err
	}
	choice.Chooser = p.Self.ID
	return choice, settle, nil
}

// HandleChoose records the usage report and the excluded endpoints in a choose request of another entry and makes the
// choice, or replies that the request has to wait; an error is a *reservation.Refusal. If ctx ends first, the other entry
// has gone or asks another chooser, and a choice that was just made is dropped.
func (p *ChooserSet) HandleChoose(ctx context.Context, request ChooseRequest) (Choice, error) {
	now := time.Now()
	request.Report.Role = request.Role
	p.recordReport(request.Report, now)
	if !slices.Contains(request.Report.CutOff, request.Need.Pool) {
		p.Usages.RecordExclusions(request.Need.Excluded, now)
	}
	request.Need.Zone = p.zoneOf(request.Report.Entry)
	choice, err := p.choose(ctx, request.Need, request.Role, func(c Choice) {
		p.Usages.AddPending(request.Report.Entry, request.Number, c.initialUsages(), time.Now())
	})
	if err == nil {
		choice.LostPaths = p.lostPathsFor(request.Report.Entry, time.Now())
	}
	if ctx.Err() != nil {
		p.Usages.RemovePending(request.Report.Entry, request.Number)
	}
	return choice, err
}

// HandleUsage stores the usage report of another entry and returns the reply.
func (p *ChooserSet) HandleUsage(report UsageReport) UsageReply {
	now := time.Now()
	p.recordReport(report, now)
	p.placeWaiting(now)
	reply := UsageReply{
		Chooses: now.Sub(p.Started) >= startupDelay, Zones: p.reportingZones(now), LostPaths: p.lostPathsFor(report.Entry, now),
	}
	if entry, found := p.State.Entries.Get(report.Entry); found && len(report.CutOff) > 0 {
		reply.Alternates = make(map[fleet.PoolName][]fleet.EntryID)
		for _, pool := range report.CutOff {
			reply.Alternates[pool] = p.alternatesOf(entry, pool, slices.Contains(report.Unreached, pool), now)
		}
	}
	return reply
}

// recordReport stores the usage of another entry and what endpoints stated to it: that they leave, and their limits.
func (p *ChooserSet) recordReport(report UsageReport, now time.Time) {
	p.followers.record(report.Entry, report.Role, now)
	p.Usages.UpdatePeer(report.Entry, report.Usages, report.Settled, now)
	p.Usages.DropSettled(report.Entry, report.Latest, report.Outstanding)
	p.recordPaths(report)
	p.recordLostPaths(report, now)
	if p.Paces != nil {
		for _, s := range report.Paces {
			s.Entry = report.Entry
			p.Paces.Merge(s)
		}
	}
	if p.Limits != nil {
		for id, statement := range report.Limits {
			p.Limits.Merge(id, statement)
		}
	}
	if p.Leaving == nil {
		return
	}
	for id, incarnation := range report.Leaving {
		p.Leaving.MarkLeaving(id, incarnation, false, now)
	}
}

// Reachable reports whether a zone is reachable: it is this entry's own zone, one of the zone's entries sent this entry
// a usage report within peerTTL, or a reply of a chooser within peerTTL listed the zone.
func (p *ChooserSet) Reachable(zone fleet.Zone) bool {
	now := time.Now()
	if zone == p.Self.Zone || slices.Contains(p.reportingZones(now), zone) {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	reachedAt, found := p.zonesReachedAt[zone]
	return found && now.Sub(reachedAt) <= peerTTL
}

// reportingZones returns this entry's zone and each zone of which an entry sent this entry a usage report within
// peerTTL.
func (p *ChooserSet) reportingZones(now time.Time) []fleet.Zone {
	zones := []fleet.Zone{p.Self.Zone}
	for id, entry := range p.State.Entries.Snapshot().Rows {
		if !slices.Contains(zones, entry.Zone) && p.Usages.HasReport(id, now) {
			zones = append(zones, entry.Zone)
		}
	}
	return zones
}

// requestChoice requests a choice from another entry within chooseTimeout; the request includes this entry's usage
// report.
func (p *ChooserSet) requestChoice(
	ctx context.Context, c roleChooser, number uint64, need placement.Need,
) (Choice, error) {
	ctx, cancel := context.WithTimeout(ctx, chooseTimeout)
	defer cancel()
	return p.Transport.Choose(ctx, c.entry.Address, ChooseRequest{
		Report: p.reportTo(c.entry.ID, p.usageReport()), Number: number, Role: c.role, Need: need,
	})
}

// usageReport returns the usage report of this entry. It reads the numbers of the settled choices before Usages, so that
// Usages covers them.
func (p *ChooserSet) usageReport() UsageReport {
	report := UsageReport{Entry: p.Self.ID, Settled: p.lastSettled(), LostPaths: p.ownPaths(time.Now())}
	report.Latest, report.Outstanding = p.outstandingChoices()
	report.Usages = p.Usages.Own()
	if p.Leaving != nil {
		report.Leaving = p.Leaving.Announced(time.Now())
	}
	if p.Limits != nil {
		report.Limits = p.Limits.Own(time.Now())
	}
	if p.Paces != nil {
		report.Paces = p.Paces.Own(time.Now())
	}
	if p.Paths != nil {
		report.CutOff, report.Unreached = p.Paths.CutOffPools(), p.Paths.UnreachedPools()
	}
	return report
}

// isCutOff reports whether most endpoints of a pool are unreachable for this entry.
func (p *ChooserSet) isCutOff(pool fleet.PoolName) bool {
	return p.Paths != nil && p.Paths.CutOff(pool)
}

// isUnreached reports whether this entry can reach no endpoint of a pool.
func (p *ChooserSet) isUnreached(pool fleet.PoolName) bool {
	return p.Paths != nil && p.Paths.Unreached(pool)
}
