package admission

import (
	"time"

	"wisteriadyke/core/fleet"
)

// Limits on the accounts that are remembered.
const (
	// accountRetention is how long an account without items is remembered.
	accountRetention = time.Minute
	// accountsPerCleanup is the number of added accounts after which idle ones are removed.
	accountsPerCleanup = 4096
)

// Queue holds the items that are queued for one endpoint. It is not safe for concurrent use.
//
// Each account has a counter of the work granted to it, divided by its weight; the account with the smallest counter
// goes first. When an account returns after a time without items, its counter is raised to that of the accounts served
// in the meantime, less a small credit, so that it can't accumulate unused share.
//
// Source: Y. Sheng et al., "Fairness in Serving Large Language Models", OSDI 2024 (virtual token counter).
type Queue struct {
	// Credit is the work per unit of weight that a returning account may be granted ahead of others.
	Credit float64
	// MaxItems is the largest number of queued items.
	MaxItems int
	// MaxAccountItems is the largest number of queued items of one account.
	MaxAccountItems int

	accounts         map[fleet.AccountID]*account
	bands            [NumBands]indexedHeap[*account]
	expiries         indexedHeap[*Item]
	virtualCounter   float64
	totalWeight      float64
	backlog          float64
	shortBacklog     float64
	addedAccounts    int
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

// Full reports whether an account can't add an item.
func (q *Queue) Full(id fleet.AccountID) bool {
	a := q.accounts[id]
	return q.Len() >= q.MaxItems || a != nil && a.queued >= q.MaxAccountItems
}

// RecordArrival records a request of an account and its weight, and raises its counter if it has no items.
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

// recordActivity records the arrival, and its time if the previous arrival was of another account.
func (q *Queue) recordActivity(now time.Time, a *account) {
	if q.lastAccount != nil && q.lastAccount != a {
		q.lastOtherArrival = now
	}
	q.lastAccount = a
	a.lastArrival = now
}

// MultipleAccounts reports whether requests of more than one account have arrived within the given time.
func (q *Queue) MultipleAccounts(now time.Time, within time.Duration) bool {
	return !q.lastOtherArrival.IsZero() && now.Sub(q.lastOtherArrival) < within
}

// account returns an account, adding it if it is new.
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

// removeIdle removes accounts that have no items, are not above the virtual counter and have been idle for
// accountRetention.
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

// Head returns the first item of a band and the counter of its account, or nil.
func (q *Queue) Head(band Band) (*Item, float64) {
	if len(q.bands[band].elements) == 0 {
		return nil, 0
	}
	a := q.bands[band].elements[0]
	return a.bands[band].elements[0], a.counter
}

// Dequeue removes a granted item and charges its account.
func (q *Queue) Dequeue(i *Item) {
	a := i.account
	q.virtualCounter = max(q.virtualCounter, q.minCounter())
	q.Remove(i)
	q.charge(a, i.Cost)
}

// minCounter returns the smallest counter of the accounts with items.
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

// AdjustCharge charges an account for work beyond what it was charged; negative work is a refund.
func (q *Queue) AdjustCharge(id fleet.AccountID, work float64) {
	a := q.accounts[id]
	if a == nil {
		return
	}
	q.charge(a, work)
	a.counter = max(a.counter, q.virtualCounter-q.Credit/a.weight)
}

// charge adds work to the counter of an account.
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

// Expired returns an item whose latest start has passed, or nil.
func (q *Queue) Expired(now time.Time) *Item {
	if len(q.expiries.elements) == 0 || q.expiries.elements[0].LatestStart.After(now) {
		return nil
	}
	return q.expiries.elements[0]
}

// NextExpiry returns the earliest latest start of all items, or zero.
func (q *Queue) NextExpiry() time.Time {
	if len(q.expiries.elements) == 0 {
		return time.Time{}
	}
	return q.expiries.elements[0].LatestStart
}

// Last returns an item whose latest start is among the latest, which makes it a first candidate for refusal, or nil.
func (q *Queue) Last() *Item {
	if len(q.expiries.elements) == 0 {
		return nil
	}
	return q.expiries.elements[len(q.expiries.elements)-1]
}

// WorkAhead returns the upper bound of work done before a new item of an account, by its fair share and by all queued
// work. Items of the long band don't go before a quick or medium one.
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

// ServedMore reports whether an account has been granted more work, by weight, than another.
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

// EachAccount calls visit for each account with items.
func (q *Queue) EachAccount(visit func(id fleet.AccountID, queued int, backlog float64)) {
	for id, a := range q.accounts {
		if a.queued > 0 {
			visit(id, a.queued, a.backlog)
		}
	}
}
