// Package quarantine finds the parts of prompts that crash endpoints, so that requests with them are no longer run.
package quarantine

import (
	"time"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/retry"
)

// Report describes an attempt that had no token, or only its first ones, when its endpoint died.
type Report struct {
	// Attempt is the attempt.
	Attempt fleet.AttemptID
	// Request identifies the request over resends; it is empty in reports of entries that don't send it.
	Request retry.Fingerprint
	// Death is the endpoint and its incarnation that ended.
	Death retry.Death
	// SentAt is when the attempt was sent.
	SentAt time.Time
	// DiedAt is when the connection to the endpoint broke.
	DiedAt time.Time
	// Parts holds the parts of the prompt that other requests may share.
	Parts []fleet.PromptPart
}

// reportKey identifies a report.
type reportKey struct {
	attempt fleet.AttemptID
	death   retry.Death
}

// key returns the key of the report.
func (r Report) key() reportKey {
	return reportKey{attempt: r.Attempt, death: r.Death}
}

// chainLength returns the number of deaths that followed one another; see retry.ChainLength.
func chainLength(reports []Report) int {
	spans := make([]retry.Span, 0, len(reports))
	for _, r := range reports {
		spans = append(spans, retry.Span{SentAt: r.SentAt, BrokeAt: r.DiedAt})
	}
	return retry.ChainLength(spans)
}

// countDeaths returns the number of endpoint incarnations that ended.
func countDeaths(reports []Report) int {
	deaths := make(map[retry.Death]bool, len(reports))
	for _, r := range reports {
		deaths[r.Death] = true
	}
	return len(deaths)
}

// lastDeath returns the time of the latest death.
func lastDeath(reports []Report) time.Time {
	var last time.Time
	for _, r := range reports {
		if r.DiedAt.After(last) {
			last = r.DiedAt
		}
	}
	return last
}
