package admission

import (
	"time"

	"wisteriadyke/core/fleet"
)

// account is one client account at one endpoint, with its queued items and the work granted to it. Work is in
// prompt-token equivalents.
type account struct {
	// id is the id of the account.
	id fleet.AccountID
	// weight is its weight relative to others.
	weight float64
	// counter is the work granted to it, divided by its weight; the queue raises it when the account returns after a
	// time without items.
	counter float64
	// backlog is its queued work.
	backlog float64
	// shortBacklog is the part of backlog in the quick and medium bands.
	shortBacklog float64
	// queued counts its queued items.
	queued int
	// lastArrival is when its last request arrived.
	lastArrival time.Time
	// bands holds its queued items by band.
	bands [NumBands]indexedHeap[*Item]
	// heapIndexes holds its index in each band's heap of accounts, or -1.
	heapIndexes [NumBands]int
}

// newAccount returns an account of weight 1 without items.
func newAccount(id fleet.AccountID) *account {
	a := &account{id: id, weight: 1}
	for band := range a.bands {
		a.heapIndexes[band] = -1
		a.bands[band] = indexedHeap[*Item]{
			less:     (*Item).less,
			setIndex: func(i *Item, index int) { i.index = index },
		}
	}
	return a
}

// backlogAhead returns the account's queued work that may be granted before a new item of a band: for a quick or medium
// item only that of these bands.
func (a *account) backlogAhead(band Band) float64 {
	if band < Long {
		return a.shortBacklog
	}
	return a.backlog
}

// accountHeap returns an empty heap for the accounts with items of a band, ordered by counter, then by id.
func accountHeap(band Band) indexedHeap[*account] {
	return indexedHeap[*account]{
		less: func(a, b *account) bool {
			if a.counter != b.counter {
				return a.counter < b.counter
			}
			return a.id < b.id
		},
		setIndex: func(a *account, index int) { a.heapIndexes[band] = index },
	}
}
