// Package scheduler grants the memory of the endpoints that this entry owns.
package scheduler

import (
	"context"
	"strconv"
	"sync"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/reservation"
)

// Pool keeps the account of every endpoint that this entry owns.
type Pool struct {
	// Entry is the entry that owns.
	Entry fleet.EntryID

	mu    sync.Mutex
	next  uint64
	rows  map[fleet.ReservationID]reservation.Request
	total map[fleet.EndpointID]fleet.Tokens
}

// Reserve grants at once.
func (p *Pool) Reserve(_ context.Context, request reservation.Request) (reservation.Grant, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.rows == nil {
		p.rows = make(map[fleet.ReservationID]reservation.Request)
		p.total = make(map[fleet.EndpointID]fleet.Tokens)
	}
	p.next++
	id := fleet.ReservationID(string(p.Entry) + "-" + strconv.FormatUint(p.next, 10))
	p.rows[id] = request
	p.total[request.Endpoint] += request.Prompt + request.Output
	return reservation.Grant{
		Endpoint:    request.Endpoint,
		Reservation: id,
		Generation:  1,
		Owner:       p.Entry,
		Priority:    request.Priority,
	}, nil
}

// Renew accepts all progress.
func (p *Pool) Renew(context.Context, reservation.Progress) error {
	return nil
}

// Release frees the memory of a reservation.
func (p *Pool) Release(_ context.Context, release reservation.Release) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	request, found := p.rows[release.Reservation]
	if !found {
		return &reservation.Refusal{Reason: reservation.ReasonUnknown}
	}
	delete(p.rows, release.Reservation)
	p.total[request.Endpoint] -= request.Prompt + request.Output
	return nil
}
