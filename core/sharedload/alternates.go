package sharedload

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"wisteriadyke/core/fleet"
)

const (
	// maxAlternates is the number of entries that a reply names to an entry that is cut off.
	maxAlternates = 4
	// alternatesTTL is how long the entries named by a reply are used; a reply follows every reportRenewal.
	alternatesTTL = time.Second
	// alternateBackoff is how long an entry that did not accept a request comes after the others.
	alternateBackoff = time.Second
	// maxWitnesses is the number of entries that are asked first whether they reach an endpoint.
	maxWitnesses = 2
	// maxFurtherWitnesses is the number of entries that are asked if none of the first ones reaches it. A cut between an
	// endpoint and a part of the entries leaves all of these other paths, so that the first ones may share the cut.
	maxFurtherWitnesses = 6
)

// ReachClient asks other entries about endpoints.
type ReachClient interface {
	// Reaches asks another entry whether it can connect to an endpoint; known is false if it can't tell or doesn't answer.
	Reaches(ctx context.Context, asked fleet.Entry, endpoint fleet.Endpoint) (reached, known bool)
}

// Paths tells which endpoints this entry reaches; *outlier.Reach implements it.
type Paths interface {
	// CutOff reports whether most endpoints of a pool are unreachable.
	CutOff(pool fleet.PoolName) bool
	// Unreached reports whether all endpoints of a pool are unreachable.
	Unreached(pool fleet.PoolName) bool
	// CutOffPools and UnreachedPools return the pools for which these hold, in order.
	CutOffPools() []fleet.PoolName
	UnreachedPools() []fleet.PoolName
}

// lostPaths are the pools that an entry reported to be cut off from, and those of which it reaches no endpoint.
type lostPaths struct {
	cutOff, unreached []fleet.PoolName
}

// alternateFailure is when an entry did not accept a request, and whether it was reached.
type alternateFailure struct {
	at      time.Time
	reached bool
}

// namedAlternates are the entries that the latest reply of a chooser named, by pool.
type namedAlternates struct {
	entries map[fleet.PoolName][]fleet.EntryID
	at      time.Time
}

// Alternates returns entries that may serve requests to a pool while this entry can't reach endpoints, the best first.
// While it is cut off from the pool, these are the ones that its choosers name, who know which others are cut off. Before
// that, or if nobody names one and it reaches no endpoint at all, they are some of those that it reaches.
func (p *ChooserSet) Alternates(pool fleet.PoolName) []fleet.Entry {
	now := time.Now()
	if !p.isCutOff(pool) {
		return p.failedLast(p.randomEntries(p.Self.Zone, maxWitnesses), pool, now)
	}
	var named []fleet.EntryID
	if p.ownRole() != RoleAlone {
		named = p.alternatesOf(p.Self, pool, p.isUnreached(pool), now)
	}
	p.mu.Lock()
	for _, a := range p.alternates {
		if now.Sub(a.at) <= alternatesTTL {
			named = append(named, a.entries[pool]...)
		}
	}
	p.mu.Unlock()
	rand.Shuffle(len(named), func(i, j int) { named[i], named[j] = named[j], named[i] })
	var entries []fleet.Entry
	for _, id := range named {
		entry, found := p.State.Entries.Get(id)
		if found && id != p.Self.ID && !slices.ContainsFunc(entries, func(e fleet.Entry) bool { return e.ID == id }) {
			entries = append(entries, entry)
		}
	}
	if len(entries) == 0 && p.isUnreached(pool) {
		entries = p.randomEntries(p.Self.Zone, maxAlternates)
	}
	entries = p.failedLast(entries, pool, now)
	return entries[:min(len(entries), maxAlternates)]
}

// RecordAlternateFailure records that an entry did not accept a request, or could not be reached.
func (p *ChooserSet) RecordAlternateFailure(id fleet.EntryID, reached bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.alternateFailures == nil {
		p.alternateFailures = make(map[fleet.EntryID]alternateFailure)
	}
	p.alternateFailures[id] = alternateFailure{at: time.Now(), reached: reached}
}

// failedLast moves the entries that declined lately to the end, and after them those that could not be reached. It drops
// the latter if this entry reaches endpoints of the pool itself.
//
// Load pattern: a zone is cut off from the others. Its entries reach few endpoints, and the entries that were named to
// them are behind the cut.
func (p *ChooserSet) failedLast(entries []fleet.Entry, pool fleet.PoolName, now time.Time) []fleet.Entry {
	noOtherWay := p.isUnreached(pool)
	p.mu.Lock()
	defer p.mu.Unlock()
	var left, declined, unreachable []fleet.Entry
	for _, entry := range entries {
		failure, found := p.alternateFailures[entry.ID]
		switch {
		case !found || now.Sub(failure.at) >= alternateBackoff:
			left = append(left, entry)
		case failure.reached:
			declined = append(declined, entry)
		case noOtherWay:
			unreachable = append(unreachable, entry)
		}
	}
	return slices.Concat(left, declined, unreachable)
}

// alternatesOf returns up to maxAlternates random entries that reach a pool, for an entry that is cut off from it. They
// are entries of its zone if at least as many of these reach the pool as don't, so that none has more than twice its usual
// load, else of all zones; all are in its region. If all entries are cut off, there are alternates only for one that
// reaches no endpoint at all (unreached): those that reach some.
//
// Load pattern: most entries of a zone lose their path to the endpoints at once. The few that are left in the zone would
// be overloaded by the requests of all others.
func (p *ChooserSet) alternatesOf(of fleet.Entry, pool fleet.PoolName, unreached bool, now time.Time) []fleet.EntryID {
	var all, local, partial []fleet.EntryID
	localCutOff := 0
	for id, entry := range p.State.Entries.Snapshot().Rows {
		if entry.Region != of.Region || id != p.Self.ID && !p.Usages.HasReport(id, now) {
			continue
		}
		cutOff, none := p.lostPath(id, pool)
		switch {
		case cutOff && entry.Zone == of.Zone:
			localCutOff++
		case !cutOff && entry.Zone == of.Zone:
			local = append(local, id)
		}
		switch {
		case !cutOff:
			all = append(all, id)
		case !none && id != of.ID:
			partial = append(partial, id)
		}
	}
	chosen := all
	if len(local) > 0 && len(local) >= localCutOff {
		chosen = local
	}
	if len(chosen) == 0 && unreached {
		chosen = partial
	}
	rand.Shuffle(len(chosen), func(i, j int) { chosen[i], chosen[j] = chosen[j], chosen[i] })
	return chosen[:min(len(chosen), maxAlternates)]
}

// lostPath reports whether an entry, which may be this one, is cut off from a pool, and whether it reaches no endpoint of
// it, as it last reported.
func (p *ChooserSet) lostPath(id fleet.EntryID, pool fleet.PoolName) (cutOff, unreached bool) {
	if id == p.Self.ID {
		return p.isCutOff(pool), p.isUnreached(pool)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Contains(p.lost[id].cutOff, pool), slices.Contains(p.lost[id].unreached, pool)
}

// recordPaths records the pools that another entry reports to be cut off from.
func (p *ChooserSet) recordPaths(report UsageReport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lost == nil {
		p.lost = make(map[fleet.EntryID]lostPaths)
	}
	if !slices.Equal(p.lost[report.Entry].cutOff, report.CutOff) {
		p.Log.Info().Str("peer", string(report.Entry)).Int("cut_off_pools", len(report.CutOff)).
			Msg("sharedload: other entry lost or regained its path to endpoints")
	}
	p.lost[report.Entry] = lostPaths{cutOff: report.CutOff, unreached: report.Unreached}
}

// randomEntries returns up to the given number of random entries of this entry's region that it may reach, those of a
// zone first.
func (p *ChooserSet) randomEntries(zone fleet.Zone, most int) []fleet.Entry {
	var preferred, others []fleet.Entry
	for id, entry := range p.State.Entries.Snapshot().Rows {
		switch {
		case id == p.Self.ID || entry.Region != p.Self.Region || !p.Reachable(entry.Zone):
		case entry.Zone == zone:
			preferred = append(preferred, entry)
		default:
			others = append(others, entry)
		}
	}
	for _, entries := range [][]fleet.Entry{preferred, others} {
		rand.Shuffle(len(entries), func(i, j int) { entries[i], entries[j] = entries[j], entries[i] })
	}
	found := slices.Concat(preferred, others)
	return found[:min(len(found), most)]
}

// AskOthers asks other entries whether they reach an endpoint, those that are named as Alternates or are in the zone of
// the endpoint first, and more of all zones if none of these does. It returns how many do and how many don't; those that
// can't tell are not counted.
func (p *ChooserSet) AskOthers(ctx context.Context, endpoint fleet.Endpoint) (reached, failed int) {
	asked := p.randomEntries(endpoint.Zone, maxWitnesses+maxFurtherWitnesses)
	if p.isCutOff(endpoint.Pool) {
		asked = putFirst(asked, p.Alternates(endpoint.Pool))
	}
	first := min(len(asked), maxWitnesses)
	reached, failed = p.askEntries(ctx, asked[:first], endpoint)
	if reached > 0 {
		return reached, failed
	}
	reached, furtherFailed := p.askEntries(ctx, asked[first:], endpoint)
	return reached, failed + furtherFailed
}

// putFirst returns preferred entries and then those of others that are not among them.
func putFirst(others, preferred []fleet.Entry) []fleet.Entry {
	left := slices.DeleteFunc(slices.Clone(others), func(e fleet.Entry) bool {
		return slices.ContainsFunc(preferred, func(f fleet.Entry) bool { return f.ID == e.ID })
	})
	return slices.Concat(preferred, left)
}

// askEntries asks entries at the same time whether they reach an endpoint. The first one that does ends the calls to the
// others, which are not counted then.
func (p *ChooserSet) askEntries(
	ctx context.Context, asked []fleet.Entry, endpoint fleet.Endpoint,
) (reached, failed int) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var mu sync.Mutex
	var group errgroup.Group
	for _, entry := range asked {
		group.Go(func() error {
			ok, known := p.Reach.Reaches(ctx, entry, endpoint)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case ok && known:
				reached++
				cancel()
			case known:
				failed++
			}
			return nil
		})
	}
	_ = group.Wait()
	return reached, failed
}
