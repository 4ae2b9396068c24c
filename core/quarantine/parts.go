package quarantine

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/retry"
)

const (
	// SettleTime is how long after its first token an attempt must go on for its prompt to count as sound; a part that
	// crashes endpoints does so as soon as they begin to answer.
	SettleTime = 500 * time.Millisecond
	// clearance is how long after an attempt survived the parts of its prompt are not suspected.
	clearance = 30 * time.Second
	// survivalRenewal is the time after which a later survival of a reported part is passed on to other entries.
	survivalRenewal = 10 * time.Second
	// maxSurvivals bounds the parts whose survival is remembered, per clearance.
	maxSurvivals = 8192
	// maxReports bounds the reports that are kept.
	maxReports = 256
)

// Survival says that an attempt with a part in its prompt was answered, completely or for SettleTime.
type Survival struct {
	// Part is the part.
	Part fleet.PromptPart
	// At is when that was.
	At time.Time
}

// Parts tracks which parts of prompts crash endpoints, from the deaths and survivals that this and other entries
// observe. It is safe for concurrent use.
type Parts struct {
	// Log receives messages about quarantined parts.
	Log zerolog.Logger

	mu      sync.Mutex
	reports map[reportKey]numbered[Report]
	// survivals holds the latest survival of each part in reports.
	survivals map[fleet.PromptPart]numbered[Survival]
	// observed holds the latest survival of any part at this entry.
	observed generations[fleet.PromptPart, time.Time]
	// groups are those that the reports lead to; stale reports whether they must be determined again.
	groups []Group
	stale  bool
	// lastNumber is the number of the latest change.
	lastNumber uint64
}

// numbered is a value with the number of the change that made it known to this entry; 0 if it is not passed on.
type numbered[T any] struct {
	value  T
	number uint64
}

// RecordDeath records an attempt that had been answered for less than SettleTime when its endpoint died. It ignores an
// attempt without shared parts.
func (p *Parts) RecordDeath(report Report, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.addReport(report, now)
}

// RecordSurvival records that an attempt was answered, completely or for SettleTime.
func (p *Parts) RecordSurvival(parts []fleet.PromptPart, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.observed.lifetime == 0 {
		p.observed = generations[fleet.PromptPart, time.Time]{lifetime: clearance, capacity: maxSurvivals}
	}
	for _, part := range parts {
		p.observed.set(part, now, now)
		if p.reported(part) {
			p.addSurvival(Survival{Part: part, At: now})
		}
	}
}

// Restore quarantines a group that was quarantined before this entry started, as if the deaths had just happened. The
// entry doesn't pass it on to others.
func (p *Parts) Restore(parts []fleet.PromptPart, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	name := Group{Parts: parts}.String()
	for i := range deathLimit {
		diedAt := now.Add(-time.Duration(deathLimit-1-i) * time.Second)
		report := Report{
			Attempt: fleet.AttemptID(fmt.Sprintf("restored.%s.%d", name, i)),
			Death:   retry.Death{Endpoint: fleet.EndpointID(fmt.Sprintf("restored.%s.%d", name, i))},
			SentAt:  diedAt.Add(-time.Second / 2),
			DiedAt:  diedAt,
			Parts:   parts,
		}
		p.addReport(report, now)
		if stored, found := p.reports[report.key()]; found {
			stored.number = 0
			p.reports[report.key()] = stored
		}
	}
}

// Blocked returns the quarantined group that a prompt contains, and whether there is one.
func (p *Parts) Blocked(parts []fleet.PromptPart, now time.Time) (Group, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(parts) == 0 || len(p.reports) == 0 {
		return Group{}, false
	}
	for _, g := range p.currentGroups(now) {
		if g.within(parts) {
			return g, true
		}
	}
	return Group{}, false
}

// Groups returns the quarantined groups.
func (p *Parts) Groups(now time.Time) []Group {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.currentGroups(now))
}

// currentGroups returns the quarantined groups; the caller holds the lock.
func (p *Parts) currentGroups(now time.Time) []Group {
	p.dropExpired(now)
	if p.stale {
		p.determineGroups()
	}
	return slices.DeleteFunc(slices.Clone(p.groups), func(g Group) bool {
		return now.Sub(g.LastDeath) > quarantineDuration
	})
}

// determineGroups determines the groups anew and logs those that were not known; the caller holds the lock.
func (p *Parts) determineGroups() {
	before := p.groups
	p.groups = blame(p.suspected())
	p.stale = false
	for _, g := range p.groups {
		known := slices.ContainsFunc(before, func(b Group) bool { return slices.Equal(b.Parts, g.Parts) })
		if known {
			continue
		}
		p.Log.Warn().
			Strs("shared_parts", Names(g.Parts)).
			Int("deaths", g.Deaths).
			Int("reports", len(p.reports)).
			Time("last_death", g.LastDeath).
			Msg("quarantine: prompt parts are quarantined")
	}
	for _, b := range before {
		if !slices.ContainsFunc(p.groups, func(g Group) bool { return slices.Equal(b.Parts, g.Parts) }) {
			p.Log.Warn().Strs("shared_parts", Names(b.Parts)).Msg("quarantine: prompt parts are no longer quarantined")
		}
	}
}

// suspected returns the reports with the parts that no survival clears, without those that have none. The caller holds
// the lock.
func (p *Parts) suspected() []Report {
	var suspected []Report
	for _, r := range p.reports {
		report := r.value
		report.Parts = slices.DeleteFunc(slices.Clone(report.Parts), func(part fleet.PromptPart) bool {
			survival, found := p.survivals[part]
			return found && survival.value.At.After(report.DiedAt.Add(-clearance))
		})
		if len(report.Parts) > 0 {
			suspected = append(suspected, report)
		}
	}
	return suspected
}

// addReport stores a report unless it is known or too old; the caller holds the lock.
func (p *Parts) addReport(report Report, now time.Time) {
	p.dropExpired(now)
	if _, known := p.reports[report.key()]; known || len(report.Parts) == 0 || now.Sub(report.DiedAt) > reportRetention {
		return
	}
	if len(p.reports) >= maxReports && !p.dropOldest(now) {
		return
	}
	if p.reports == nil {
		p.reports = make(map[reportKey]numbered[Report])
	}
	p.lastNumber++
	p.reports[report.key()] = numbered[Report]{value: report, number: p.lastNumber}
	p.stale = true
	for _, part := range report.Parts {
		if at, found := p.observed.get(part); found {
			p.addSurvival(Survival{Part: part, At: at})
		}
	}
}

// addSurvival stores the survival of a part that a report contains, unless it is less than survivalRenewal later than
// the known one, which clears the same deaths. The caller holds the lock.
func (p *Parts) addSurvival(survival Survival) {
	known, found := p.survivals[survival.Part]
	if found && survival.At.Sub(known.value.At) < survivalRenewal {
		return
	}
	if p.survivals == nil {
		p.survivals = make(map[fleet.PromptPart]numbered[Survival])
	}
	p.lastNumber++
	p.survivals[survival.Part] = numbered[Survival]{value: survival, number: p.lastNumber}
	p.stale = true
}

// reported reports whether any report contains a part; the caller holds the lock.
func (p *Parts) reported(part fleet.PromptPart) bool {
	for _, r := range p.reports {
		if slices.Contains(r.value.Parts, part) {
			return true
		}
	}
	return false
}

// dropExpired drops the reports that no longer count, and the survivals of parts that no report contains. The caller
// holds the lock.
func (p *Parts) dropExpired(now time.Time) {
	before := len(p.reports)
	maps.DeleteFunc(p.reports, func(_ reportKey, r numbered[Report]) bool {
		return now.Sub(r.value.DiedAt) > reportRetention
	})
	if len(p.reports) < before {
		p.dropSurvivals()
	}
}

// dropOldest drops the oldest report that led to no quarantine and reports whether there was one. The caller holds the
// lock.
func (p *Parts) dropOldest(now time.Time) bool {
	groups := p.currentGroups(now)
	var oldest *Report
	for _, r := range p.reports {
		blamed := slices.ContainsFunc(groups, func(g Group) bool { return g.within(r.value.Parts) })
		if !blamed && (oldest == nil || r.value.DiedAt.Before(oldest.DiedAt)) {
			oldest = &r.value
		}
	}
	if oldest == nil {
		return false
	}
	delete(p.reports, oldest.key())
	p.dropSurvivals()
	return true
}

// dropSurvivals drops the survivals of parts that no report contains; the caller holds the lock.
func (p *Parts) dropSurvivals() {
	p.stale = true
	maps.DeleteFunc(p.survivals, func(part fleet.PromptPart, _ numbered[Survival]) bool { return !p.reported(part) })
}

// Names returns parts as strings for the log.
func Names(parts []fleet.PromptPart) []string {
	names := make([]string, 0, len(parts))
	for _, part := range parts {
		names = append(names, string(part))
	}
	return names
}

// String returns the parts of the group, separated by commas.
func (g Group) String() string {
	return strings.Join(Names(g.Parts), ",")
}
