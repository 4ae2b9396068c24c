package admission

import (
	"time"

	"wisteriadyke/core/fleet"
)

// account is the fair share of one client account on one endpoint.
type account struct {
	// id names the account.
	id fleet.AccountID
	// weight is its share relative to others.
	weight float64
	// counter is the work that it was given, divided by its weight.
	counter float64
	// backlog is the work that waits.
	backlog float64
	// short is the part of backlog in the quick and the medium band.
	short float64
	// queued counts the items that wait.
	queued int
	// seenAt is when it last asked.
	seenAt time.Time
	// bands holds its items by band.
	bands [NumBands]ordered[*Item]
	// places holds its places in the heaps of accounts.
	places [NumBands]int
}

// newAccount returns an account without items.
func newAccount(id fleet.AccountID) *account {
	a := &account{id: id, weight: 1}
	for band := range a.bands {
		a.places[band] = -1
		a.bands[band] = ordered[*Item]{
			before: (*Item).before,
			moved:  func(i *Item, place int) { i.place = place },
		}
	}
	return a
}

// waiting returns the work that may go before a new item of a band.
func (a *account) waiting(band Band) float64 {
	if band < Long {
		return a.short
	}
	return a.backlog
}

// accountHeap returns the heap of the accounts with items of a band, by the work that they were given.
func accountHeap(band Band) ordered[*account] {
	return ordered[*account]{
		before: func(a, b *account) bool {
			if a.counter != b.counter {
				return a.counter < b.counter
			}
			return a.id < b.id
		},
		moved: func(a *account, place int) { a.places[band] = place },
	}
}
