// Package scheduler grants the memory of the endpoints that this entry owns.
package scheduler

import (
	"context"
	"strconv"
	"sync"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/ledger"
	"wisteriadyke/core/reservation"
)

// Pool keeps the account and the queue of every endpoint that this entry owns.
type Pool struct {
	// Entry is the entry that owns.
	Entry fleet.EntryID
	// Lister tells what endpoints run; nil means that they can't be asked.
	Lister ledger.Lister

	mu    sync.Mutex
	next  uint64
	rows  map[fleet.ReservationID]reservation.Request
	total map[fleet.EndpointID]fleet.Tokens
}

// Run drives the owned endpoints until ctx ends.
func (p *Pool) Run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

// Own begins to grant an endpoint, or changes the fencing number of one already owned.
func (p *Pool) Own(_ fleet.Endpoint, _ fleet.Fence, _ Takeover) {}

// Update tells what has changed of an owned endpoint; StateLeaving also stands for a drained availability zone.
func (p *Pool) Update(_ fleet.Endpoint) {}

// Disown stops granting an endpoint, refuses its queue with ReasonNotOwner and returns what the next owner needs.
func (p *Pool) Disown(id fleet.EndpointID) Handover {
	return Handover{Endpoint: id}
}

// Suspend stops all grants, since the membership lease of this entry has lapsed.
func (p *Pool) Suspend() {}

// Resume lets endpoints be granted that are owned again with resynchronisation.
func (p *Pool) Resume() {}

// Status returns the state of every owned endpoint.
func (p *Pool) Status() []Status {
	return nil
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
