package quarantine

import (
	"maps"
	"slices"
	"time"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/retry"
)

const (
	// deathLimit is the number of deaths, one after another, after which parts are quarantined. The platform allows five
	// crashes before requests with the part count.
	deathLimit = 3
	// quarantineDuration is how long parts are quarantined after the latest death. One further death renews it.
	quarantineDuration = 10 * time.Minute
	// reportRetention is how long a report counts.
	reportRetention = 2 * quarantineDuration
)

// Group is a set of parts that can't be told apart: they were all in the prompts of the attempts whose endpoints died.
// A request that contains the whole group is not run; one that lacks a part of it is, and clears the others if it
// survives.
type Group struct {
	// Parts holds the parts, sorted.
	Parts []fleet.PromptPart
	// Deaths is the number of endpoints that died.
	Deaths int
	// LastDeath is when the latest one died.
	LastDeath time.Time
}

// within reports whether a prompt with the given parts contains the whole group.
func (g Group) within(parts []fleet.PromptPart) bool {
	for _, p := range g.Parts {
		if !slices.Contains(parts, p) {
			return false
		}
	}
	return true
}

// blame returns the groups of parts that explain the deaths of the reports, whose parts are all suspected. It chooses the
// part that was present at most deaths and, among such, in the fewest attempts. It then leaves out the deaths that the
// part explains and continues with the others, so that a part that is merely common in the prompts is not blamed.
func blame(reports []Report) []Group {
	var groups []Group
	for {
		suspects := bestSuspect(reports)
		if len(suspects) == 0 {
			return groups
		}
		groups = append(groups, Group{
			Parts:     commonParts(suspects),
			Deaths:    countDeaths(suspects),
			LastDeath: lastDeath(suspects),
		})
		explained := make(map[retry.Death]bool)
		for _, r := range suspects {
			explained[r.Death] = true
		}
		reports = slices.DeleteFunc(slices.Clone(reports), func(r Report) bool { return explained[r.Death] })
	}
}

// bestSuspect returns the reports with the part that explains most deaths, or nil if no part reaches deathLimit. It leaves out
// parts whose deaths a single request explains.
func bestSuspect(reports []Report) []Report {
	byPart := make(map[fleet.PromptPart][]Report)
	for _, r := range reports {
		for _, p := range r.Parts {
			byPart[p] = append(byPart[p], r)
		}
	}
	var best []Report
	bestDeaths := 0
	for _, part := range slices.Sorted(maps.Keys(byPart)) {
		candidate := byPart[part]
		if len(candidate) < deathLimit || chainLength(candidate) < deathLimit {
			continue
		}
		deaths := countDeaths(candidate)
		if ofOneRequest(candidate, deaths) {
			continue
		}
		if deaths > bestDeaths || deaths == bestDeaths && len(candidate) < len(best) {
			best, bestDeaths = candidate, deaths
		}
	}
	return best
}

// ofOneRequest reports whether a single request was at all of the given number of endpoints that died. It is refused by itself,
// and its parts may be those of many others.
func ofOneRequest(reports []Report, deaths int) bool {
	byRequest := make(map[retry.Fingerprint][]Report)
	for _, r := range reports {
		if r.Request != "" {
			byRequest[r.Request] = append(byRequest[r.Request], r)
		}
	}
	for _, own := range byRequest {
		if countDeaths(own) == deaths {
			return true
		}
	}
	return false
}

// commonParts returns the parts that all reports contain, sorted.
func commonParts(reports []Report) []fleet.PromptPart {
	common := slices.Sorted(slices.Values(reports[0].Parts))
	for _, r := range reports[1:] {
		common = slices.DeleteFunc(common, func(p fleet.PromptPart) bool { return !slices.Contains(r.Parts, p) })
	}
	return slices.Compact(common)
}
