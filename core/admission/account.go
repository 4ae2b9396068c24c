package admission

import (
	"time"

	"wisteriadyke/core/fleet"
)

// account is the state of one client account on one endpoint.
type account struct {
	// id is the id of the account.
	id fleet.AccountID
	// weight is its weight relative to others.
	weight float64
	// counter is the work granted to it, divided by its weight.
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

// backlogAhead returns the account's queued work that may go before a new item of a band.
func (a *account) backlogAhead(band Band) float64 {
	if band < Long {
		return a.shortBacklog
	}
	return a.backlog
}

// accountHeap returns a heap of the accounts with items of a band, ordered by counter.
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
