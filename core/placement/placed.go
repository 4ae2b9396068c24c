package placement

import (
	"sync"
	"time"

	"wisteriadyke/core/fleet"
)

// maxPlaced is the number of own placements that are remembered of one endpoint.
const maxPlaced = 64

// placed remembers what this entry has placed on endpoints since their owners' last reports, which lag; without it
// all requests between two reports would go where the last report showed the least load.
type placed struct {
	mu   sync.Mutex
	rows map[fleet.EndpointID][]placement
}

// placement is one request that was placed.
type placement struct {
	at     time.Time
	read   time.Duration
	memory fleet.Tokens
	band   band
}

// add remembers a placement.
func (p *placed) add(id fleet.EndpointID, row placement) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.rows == nil {
		p.rows = make(map[fleet.EndpointID][]placement)
	}
	rows := p.rows[id]
	if len(rows) >= maxPlaced {
		copy(rows, rows[1:])
		rows = rows[:len(rows)-1]
	}
	p.rows[id] = append(rows, row)
}

// since returns the predicted wait now and the memory placed since a report. A request waits for those of its own and
// shorter bands.
func (p *placed) since(row *row, band band, now time.Time) (time.Duration, fleet.Tokens) {
	p.mu.Lock()
	defer p.mu.Unlock()
	id, report := row.endpoint.ID, &row.report
	rows := p.rows[id]
	for len(rows) > 0 && !rows[0].at.After(report.MeasuredAt) {
		rows = rows[1:]
	}
	if len(rows) == 0 {
		delete(p.rows, id)
	} else {
		p.rows[id] = rows
	}
	wait := report.wait(band == bandLong, row.endpoint.Memory)
	last := report.MeasuredAt
	var memory fleet.Tokens
	for _, row := range rows {
		memory += row.memory
		if row.band > band {
			continue
		}
		wait = max(0, wait-row.at.Sub(last)) + row.read
		last = row.at
	}
	if report.MeasuredAt.IsZero() {
		return wait, memory
	}
	return max(0, wait-max(0, now.Sub(last))), memory
}
