package placement

import (
	"sync"
	"time"

	"wisteriadyke/core/fleet"
)

// maxRecentPlacements bounds the recent placements of each endpoint.
const maxRecentPlacements = 64

// recentPlacements holds the requests that this entry has placed on endpoints since their owners' last reports, which
// lag. Without them, all requests between two reports would go to the endpoint with the least load in the last report.
type recentPlacements struct {
	mu   sync.Mutex
	rows map[fleet.EndpointID][]placedRequest
}

// placedRequest is a request that was placed on an endpoint.
type placedRequest struct {
	at          time.Time
	prefillTime time.Duration
	memory      fleet.Tokens
	band        band
}

// add records a placed request; it drops the oldest of the endpoint if there are maxRecentPlacements.
func (p *recentPlacements) add(id fleet.EndpointID, request placedRequest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.rows == nil {
		p.rows = make(map[fleet.EndpointID][]placedRequest)
	}
	rows := p.rows[id]
	if len(rows) >= maxRecentPlacements {
		copy(rows, rows[1:])
		rows = rows[:len(rows)-1]
	}
	p.rows[id] = append(rows, request)
}

// waitAndMemory returns the predicted wait of a band at an endpoint, and the memory of the requests placed there since
// its report; it drops older placements. A request waits for those of its own and shorter bands.
func (p *recentPlacements) waitAndMemory(row *row, band band, now time.Time) (time.Duration, fleet.Tokens) {
	p.mu.Lock()
	defer p.mu.Unlock()
	id, report := row.endpoint.ID, &row.report
	recent := p.rows[id]
	for len(recent) > 0 && !recent[0].at.After(report.MeasuredAt) {
		recent = recent[1:]
	}
	if len(recent) == 0 {
		delete(p.rows, id)
	} else {
		p.rows[id] = recent
	}
	wait := report.wait(band == bandLong, row.endpoint.Memory)
	previous := report.MeasuredAt
	var memory fleet.Tokens
	for _, placed := range recent {
		memory += placed.memory
		if placed.band > band {
			continue
		}
		wait = max(0, wait-placed.at.Sub(previous)) + placed.prefillTime
		previous = placed.at
	}
	if report.MeasuredAt.IsZero() {
		return wait, memory
	}
	return max(0, wait-max(0, now.Sub(previous))), memory
}
