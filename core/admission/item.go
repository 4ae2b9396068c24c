// Package admission orders the requests that are queued for one endpoint: between accounts by weighted fair queueing on
// the work granted, within an account by class priority and then by latest start.
package admission

import (
	"time"

	"wisteriadyke/core/reservation"
)

// Band is the length band of a prompt, or the band of exclusive requests. Each band is queued separately.
type Band int

// The bands.
const (
	// Quick prompts are prefilled before all others.
	Quick Band = iota
	// Medium prompts, like quick ones, may use the memory headroom that long prompts can't use.
	Medium
	// Long prompts are prefilled only a few at a time.
	Long
	// Exclusive requests, whatever their length, wait until they can run alone.
	Exclusive
	// NumBands is the number of bands.
	NumBands
)

// Item is a queued request.
type Item struct {
	// Ticket identifies the request.
	Ticket uint64
	// Request is the queued request.
	Request reservation.Request
	// Band is the band that it is queued in.
	Band Band
	// Cost is its work, in prompt-token equivalents.
	Cost float64
	// QueuedAt is when it was queued.
	QueuedAt time.Time
	// LatestStart is when it must be granted at the latest to meet its deadlines.
	LatestStart time.Time

	// account is the account that it belongs to.
	account *account
	// index is its index in the heap of its account and band.
	index int
	// expiryIndex is its index in the heap of latest starts.
	expiryIndex int
}

// less reports whether i goes before other within an account: by priority, then by latest start, then by ticket.
func (i *Item) less(other *Item) bool {
	if i.Request.Priority != other.Request.Priority {
		return i.Request.Priority > other.Request.Priority
	}
	if !i.LatestStart.Equal(other.LatestStart) {
		return i.LatestStart.Before(other.LatestStart)
	}
	return i.Ticket < other.Ticket
}
