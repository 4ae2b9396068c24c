package admission

import (
	"time"

	"wisteriadyke/core/fleet"
)

// Limits on the accounts that a queue keeps.
const (
	// accountRetention is the shortest time for which an account is kept after its last request.
	accountRetention = time.Minute
	// accountsPerCleanup is the number of accounts that are added between two cleanups; a cleanup removes idle accounts.
	accountsPerCleanup = 4096
)

// Queue holds the items that are queued for one endpoint. It is not safe for concurrent use.
//
// Each account has a counter of the work granted to it, divided by its weight; the account with the smallest counter
// goes first. The virtual counter is the smallest counter of the accounts with items at a grant, and never decreases.
// When an account returns after a time without items, its counter is raised at least to the virtual counter, less a
// small credit, so that it can't accumulate unused share.
//
// Source: Y. Sheng et al., "Fairness in Serving Large Language Models", OSDI 2024 (virtual token counter).
type Queue struct {
	// Credit is the work, in prompt-token equivalents, that a returning account of any weight may be granted ahead of
	// others.
	Credit float64
	// MaxItems is the largest number of queued items.
	MaxItems int
	// MaxAccountItems is the largest number of queued items of one account.
	MaxAccountItems int

	accounts map[fleet.AccountID]*account
	// bands holds, for each band, the accounts with items in it by counter; expiries holds all items by latest start.
	bands          [NumBands]indexedHeap[*account]
	expiries       indexedHeap[*Item]
	virtualCounter float64
	// totalWeight is the sum of the weights of the accounts with items.
	totalWeight float64
	// backlog is all queued work; shortBacklog is that of the quick and medium bands.
	backlog      float64
	shortBacklog float64
	// addedAccounts is the number of accounts added since the last cleanup.
	addedAccounts int
	// lastAccount is the account of the latest request. lastOtherArrival is when a request last came from another account
	// than the request before it.
	lastAccount      *account
	lastOtherArrival time.Time
}

// NewQueue returns an empty queue.
func NewQueue(credit float64, maxItems, maxAccountItems int) *Queue {
	q := &Queue{
		Credit:          credit,
		MaxItems:        maxItems,
		MaxAccountItems: maxAccountItems,
		accounts:        make(map[fleet.AccountID]*account),
	}
	for band := range q.bands {
		q.bands[band] = accountHeap(Band(band))
	}
	q.expiries = indexedHeap[*Item]{
		less:     func(a, b *Item) bool { return a.LatestStart.Before(b.LatestStart) },
		setIndex: func(i *Item, index int) { i.expiryIndex = index },
	}
	return q
}

// Len returns the number of queued items.
func (q *Queue) Len() int {
	return len(q.expiries.elements)
}

// Full reports whether an account can't add an item, since it or the whole queue has reached its limit.
func (q *Queue) Full(id fleet.AccountID) bool {
	a := q.accounts[id]
	return q.Len() >= q.MaxItems || a != nil && a.queued >= q.MaxAccountItems
}

// RecordArrival records a request of an account and the account's weight. If the account has no items, its counter is
// raised at least to the virtual counter less the credit.
func (q *Queue) RecordArrival(now time.Time, id fleet.AccountID, weight float64) {
	a := q.account(now, id)
	q.recordActivity(now, a)
	if a.queued > 0 {
		q.totalWeight += weight - a.weight
	}
	a.weight = weight
	if a.queued == 0 {
		a.counter = max(a.counter, q.virtualCounter-q.Credit/weight)
	}
}

// recordActivity records that a request of an account has arrived, for MultipleAccounts and removeIdle.
func (q *Queue) recordActivity(now time.Time, a *account) {
	if q.lastAccount != nil && q.lastAccount != a {
		q.lastOtherArrival = now
	}
	q.lastAccount = a
	a.lastArrival = now
}

// MultipleAccounts reports whether, less than the given time ago, a request has arrived from another account than the
// request before it.
func (q *Queue) MultipleAccounts(now time.Time, within time.Duration) bool {
	return !q.lastOtherArrival.IsZero() && now.Sub(q.lastOtherArrival) < within
}

// account returns an account, adding it with the virtual counter if it is new.
func (q *Queue) account(now time.Time, id fleet.AccountID) *account {
	a := q.accounts[id]
	if a != nil {
		return a
	}
	q.addedAccounts++
	if q.addedAccounts >= accountsPerCleanup {
		q.removeIdle(now)
	}
	a = newAccount(id)
	a.counter = q.virtualCounter
	q.accounts[id] = a
	return a
}

// removeIdle removes accounts that have no items, whose counters are not above the virtual counter, and whose last
// request is older than accountRetention.
func (q *Queue) removeIdle(now time.Time) {
	q.addedAccounts = 0
	for id, a := range q.accounts {
		if a.queued == 0 && a.counter <= q.virtualCounter && now.Sub(a.lastArrival) > accountRetention {
			delete(q.accounts, id)
		}
	}
}

// Push adds an item; its account must have been passed to RecordArrival.
func (q *Queue) Push(i *Item) {
	a := q.accounts[i.Request.Account]
	i.account = a
	if a.queued == 0 {
		q.totalWeight += a.weight
	}
	a.queued++
	a.backlog += i.Cost
	q.backlog += i.Cost
	if i.Band < Long {
		a.shortBacklog += i.Cost
		q.shortBacklog += i.Cost
	}
	a.bands[i.Band].push(i)
	if a.heapIndexes[i.Band] < 0 {
		q.bands[i.Band].push(a)
	}
	q.expiries.push(i)
}

// Remove removes a queued item.
func (q *Queue) Remove(i *Item) {
	a := i.account
	a.bands[i.Band].remove(i.index)
	if len(a.bands[i.Band].elements) == 0 {
		q.bands[i.Band].remove(a.heapIndexes[i.Band])
	}
	q.expiries.remove(i.expiryIndex)
	a.queued--
	a.backlog -= i.Cost
	q.backlog -= i.Cost
	if i.Band < Long {
		a.shortBacklog -= i.Cost
		q.shortBacklog -= i.Cost
	}
	if a.queued == 0 {
		a.backlog = 0
		a.shortBacklog = 0
		q.totalWeight -= a.weight
	}
	if q.Len() == 0 {
		q.backlog = 0
		q.shortBacklog = 0
		q.totalWeight = 0
	}
}

// Head returns the first item of a band and the counter of its account, or nil and 0 if the band is empty.
func (q *Queue) Head(band Band) (*Item, float64) {
	if len(q.bands[band].elements) == 0 {
		return nil, 0
	}
	a := q.bands[band].elements[0]
	return a.bands[band].elements[0], a.counter
}

// Dequeue removes an item that is granted, charges its account for Cost and advances the virtual counter.
func (q *Queue) Dequeue(i *Item) {
	a := i.account
	q.virtualCounter = max(q.virtualCounter, q.minCounter())
	q.Remove(i)
	q.charge(a, i.Cost)
}

// minCounter returns the smallest counter of the accounts with items, or 0 if there are none.
func (q *Queue) minCounter() float64 {
	var minCounter float64
	found := false
	for band := range q.bands {
		elements := q.bands[band].elements
		if len(elements) > 0 && (!found || elements[0].counter < minCounter) {
			minCounter = elements[0].counter
			found = true
		}
	}
	return minCounter
}

// AdjustCharge charges an account for work beyond what it was charged; negative work is a refund. The counter of the
// account stays at least at the virtual counter less the credit.
func (q *Queue) AdjustCharge(id fleet.AccountID, work float64) {
	a := q.accounts[id]
	if a == nil {
		return
	}
	q.charge(a, work)
	a.counter = max(a.counter, q.virtualCounter-q.Credit/a.weight)
}

// charge adds work, divided by the weight, to the counter of an account and reorders the heaps that contain it.
func (q *Queue) charge(a *account, work float64) {
	a.counter += work / a.weight
	for band, index := range a.heapIndexes {
		if index >= 0 {
			q.bands[band].fix(index)
		}
	}
}

// BelowFairShare reports whether the counter of an account is below the virtual counter, so that it has been served
// less than its fair share.
func (q *Queue) BelowFairShare(id fleet.AccountID) bool {
	a := q.accounts[id]
	return a != nil && a.counter < q.virtualCounter
}

// Expired returns the item with the earliest LatestStart if that time has come, or nil.
func (q *Queue) Expired(now time.Time) *Item {
	if len(q.expiries.elements) == 0 || q.expiries.elements[0].LatestStart.After(now) {
		return nil
	}
	return q.expiries.elements[0]
}

// NextExpiry returns the earliest LatestStart of all items, or the zero time if there are none.
func (q *Queue) NextExpiry() time.Time {
	if len(q.expiries.elements) == 0 {
		return time.Time{}
	}
	return q.expiries.elements[0].LatestStart
}

// Last returns the last element of the heap that orders the items by LatestStart, or nil if the queue is empty. Its
// removal doesn't reorder the heap. Its LatestStart is not necessarily the latest of all.
func (q *Queue) Last() *Item {
	if len(q.expiries.elements) == 0 {
		return nil
	}
	return q.expiries.elements[len(q.expiries.elements)-1]
}

// WorkAhead returns an upper bound of the work granted before a new item of the given cost from an account of the given
// weight: the smaller of the bound by the account's fair share and all queued work. For a quick or medium item, only
// the work of these bands counts.
func (q *Queue) WorkAhead(id fleet.AccountID, band Band, weight, cost float64) float64 {
	own := 0.0
	totalWeight := q.totalWeight
	all := q.backlog
	if band < Long {
		all = q.shortBacklog
	}
	if a := q.accounts[id]; a != nil && a.queued > 0 {
		own = a.backlogAhead(band)
	} else {
		totalWeight += weight
	}
	share := weight / max(totalWeight, weight)
	return min(all, (own+cost)/share-cost)
}

// ServedMore reports whether an account has been granted more work, divided by its weight, than another. It is false if
// either is unknown.
func (q *Queue) ServedMore(id, other fleet.AccountID) bool {
	a, b := q.accounts[id], q.accounts[other]
	return a != nil && b != nil && a.counter > b.counter
}

// Backlog returns all queued work.
func (q *Queue) Backlog() float64 {
	return q.backlog
}

// TotalWeight returns the sum of the weights of the accounts with items.
func (q *Queue) TotalWeight() float64 {
	return q.totalWeight
}

// ShortBacklog returns the queued work of the quick and medium bands.
func (q *Queue) ShortBacklog() float64 {
	return q.shortBacklog
}

// EachAccount calls visit for each account with items, in no particular order.
func (q *Queue) EachAccount(visit func(id fleet.AccountID, queued int, backlog float64)) {
	for id, a := range q.accounts {
		if a.queued > 0 {
			visit(id, a.queued, a.backlog)
		}
	}
}
