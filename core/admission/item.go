// Package admission orders the requests that wait for one endpoint: account first by weighted fair service counted
// in tokens of work, within an account by class priority and then least slack.
package admission

import (
	"time"

	"wisteriadyke/core/reservation"
)

// Band is the length band of a prompt, or that of exclusive requests; the bands wait apart.
type Band int

// The bands.
const (
	// Quick prompts are read ahead of all others.
	Quick Band = iota
	// Medium prompts share with the quick ones the headroom that long ones can't take.
	Medium
	// Long prompts are read a few at once.
	Long
	// Exclusive requests wait until they can run alone, whatever their length.
	Exclusive
	// NumBands is the number of bands.
	NumBands
)

// Item is a request that waits.
type Item struct {
	// Ticket names it.
	Ticket uint64
	// Request is what is asked for.
	Request reservation.Request
	// Band is the length band of its prompt.
	Band Band
	// Cost is its work in prompt tokens or their like.
	Cost float64
	// QueuedAt is when it came.
	QueuedAt time.Time
	// LatestStart is when it must be granted to be in time.
	LatestStart time.Time

	// account is where it waits.
	account *account
	// place is the place among the items of its account and band.
	place int
	// due is the place in the heap of last starts.
	due int
}

// before tells whether i goes before other within an account.
func (i *Item) before(other *Item) bool {
	if i.Request.Priority != other.Request.Priority {
		return i.Request.Priority > other.Request.Priority
	}
	if !i.LatestStart.Equal(other.LatestStart) {
		return i.LatestStart.Before(other.LatestStart)
	}
	return i.Ticket < other.Ticket
}
