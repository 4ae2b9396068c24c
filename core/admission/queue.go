package admission

import (
	"time"

	"wisteriadyke/core/fleet"
)

// Bounds of what is remembered of accounts.
const (
	// accountMemory is how long an account without items is remembered.
	accountMemory = time.Minute
	// cleanEvery is the number of new accounts after which idle ones are looked for.
	cleanEvery = 4096
)

// Queue holds the items that wait for one endpoint; it is for one goroutine at a time.
//
// Each account has a counter of the work that it was given, divided by its weight; the account with the smallest
// counter goes first. The counter of an account that comes back is lifted to that of the accounts that were served
// meanwhile, less a small credit, so that it gets no hoard of credit.
//
// Source: Y. Sheng et al., "Fairness in Serving Large Language Models", OSDI 2024 (virtual token counter).
type Queue struct {
	// Credit is the work for each unit of weight that an account that comes back may be given ahead of others.
	Credit float64
	// MaxItems bounds the items that wait.
	MaxItems int
	// MaxAccountItems bounds the items of one account that wait.
	MaxAccountItems int

	accounts map[fleet.AccountID]*account
	bands    [NumBands]ordered[*account]
	due      ordered[*Item]
	virtual  float64
	weights  float64
	backlog  float64
	short    float64
	added    int
	last     *account
	other    time.Time
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
	q.due = ordered[*Item]{
		before: func(a, b *Item) bool { return a.LatestStart.Before(b.LatestStart) },
		moved:  func(i *Item, place int) { i.due = place },
	}
	return q
}

// Len counts the items that wait.
func (q *Queue) Len() int {
	return len(q.due.rows)
}

// Full tells whether an account may not add an item.
func (q *Queue) Full(id fleet.AccountID) bool {
	a := q.accounts[id]
	return q.Len() >= q.MaxItems || a != nil && a.queued >= q.MaxAccountItems
}

// RecordArrival notes that an account asks, and lifts its counter if it has no items.
func (q *Queue) RecordArrival(now time.Time, id fleet.AccountID, weight float64) {
	a := q.account(now, id)
	q.note(now, a)
	if a.queued > 0 {
		q.weights += weight - a.weight
	}
	a.weight = weight
	if a.queued == 0 {
		a.counter = max(a.counter, q.virtual-q.Credit/weight)
	}
}

// note remembers when an account other than the last one has asked.
func (q *Queue) note(now time.Time, a *account) {
	if q.last != nil && q.last != a {
		q.other = now
	}
	q.last = a
	a.seenAt = now
}

// MultipleAccounts tells whether more than one account has asked within a time.
func (q *Queue) MultipleAccounts(now time.Time, within time.Duration) bool {
	return !q.other.IsZero() && now.Sub(q.other) < within
}

// account returns an account, which is added if it is new.
func (q *Queue) account(now time.Time, id fleet.AccountID) *account {
	a := q.accounts[id]
	if a != nil {
		return a
	}
	q.added++
	if q.added >= cleanEvery {
		q.clean(now)
	}
	a = newAccount(id)
	a.counter = q.virtual
	q.accounts[id] = a
	return a
}

// clean forgets accounts that have no items and no debt.
func (q *Queue) clean(now time.Time) {
	q.added = 0
	for id, a := range q.accounts {
		if a.queued == 0 && a.counter <= q.virtual && now.Sub(a.seenAt) > accountMemory {
			delete(q.accounts, id)
		}
	}
}

// Push adds an item of an account that was visited.
func (q *Queue) Push(i *Item) {
	a := q.accounts[i.Request.Account]
	i.account = a
	if a.queued == 0 {
		q.weights += a.weight
	}
	a.queued++
	a.backlog += i.Cost
	q.backlog += i.Cost
	if i.Band < Long {
		a.short += i.Cost
		q.short += i.Cost
	}
	a.bands[i.Band].push(i)
	if a.places[i.Band] < 0 {
		q.bands[i.Band].push(a)
	}
	q.due.push(i)
}

// Remove takes out an item that waits.
func (q *Queue) Remove(i *Item) {
	a := i.account
	a.bands[i.Band].remove(i.place)
	if len(a.bands[i.Band].rows) == 0 {
		q.bands[i.Band].remove(a.places[i.Band])
	}
	q.due.remove(i.due)
	a.queued--
	a.backlog -= i.Cost
	q.backlog -= i.Cost
	if i.Band < Long {
		a.short -= i.Cost
		q.short -= i.Cost
	}
	if a.queued == 0 {
		a.backlog = 0
		a.short = 0
		q.weights -= a.weight
	}
	if q.Len() == 0 {
		q.backlog = 0
		q.short = 0
		q.weights = 0
	}
}

// Head returns the item of a band that goes first and the counter of its account, or nil.
func (q *Queue) Head(band Band) (*Item, float64) {
	if len(q.bands[band].rows) == 0 {
		return nil, 0
	}
	a := q.bands[band].rows[0]
	return a.bands[band].rows[0], a.counter
}

// Dequeue removes an item that is granted and charges its account.
func (q *Queue) Dequeue(i *Item) {
	a := i.account
	q.virtual = max(q.virtual, q.least())
	q.Remove(i)
	q.charge(a, i.Cost)
}

// least returns the smallest counter of the accounts with items.
func (q *Queue) least() float64 {
	var least float64
	found := false
	for band := range q.bands {
		rows := q.bands[band].rows
		if len(rows) > 0 && (!found || rows[0].counter < least) {
			least = rows[0].counter
			found = true
		}
	}
	return least
}

// AdjustCharge charges an account for work beyond what it was charged, or gives back what is negative.
func (q *Queue) AdjustCharge(id fleet.AccountID, work float64) {
	a := q.accounts[id]
	if a == nil {
		return
	}
	q.charge(a, work)
	a.counter = max(a.counter, q.virtual-q.Credit/a.weight)
}

// charge adds work to the counter of an account.
func (q *Queue) charge(a *account, work float64) {
	a.counter += work / a.weight
	for band, place := range a.places {
		if place >= 0 {
			q.bands[band].fix(place)
		}
	}
}

// BelowFairShare tells whether an account was given less than its fair share lately.
func (q *Queue) BelowFairShare(id fleet.AccountID) bool {
	a := q.accounts[id]
	return a != nil && a.counter < q.virtual
}

// Expired returns an item whose last start has passed, or nil.
func (q *Queue) Expired(now time.Time) *Item {
	if len(q.due.rows) == 0 || q.due.rows[0].LatestStart.After(now) {
		return nil
	}
	return q.due.rows[0]
}

// NextExpiry returns the first last start, or zero.
func (q *Queue) NextExpiry() time.Time {
	if len(q.due.rows) == 0 {
		return time.Time{}
	}
	return q.due.rows[0].LatestStart
}

// Last returns the item whose last start is nearly the latest, or nil; it is the one to give up first.
func (q *Queue) Last() *Item {
	if len(q.due.rows) == 0 {
		return nil
	}
	return q.due.rows[len(q.due.rows)-1]
}

// WorkAhead returns the work that is done before a new item of an account at most, by its fair share and by all that
// waits. Items of the long band don't go before a quick or medium one.
func (q *Queue) WorkAhead(id fleet.AccountID, band Band, weight, cost float64) float64 {
	own := 0.0
	weights := q.weights
	all := q.backlog
	if band < Long {
		all = q.short
	}
	if a := q.accounts[id]; a != nil && a.queued > 0 {
		own = a.waiting(band)
	} else {
		weights += weight
	}
	share := weight / max(weights, weight)
	return min(all, (own+cost)/share-cost)
}

// ServedMore tells whether an account was given more work for its weight than another.
func (q *Queue) ServedMore(id, other fleet.AccountID) bool {
	a, b := q.accounts[id], q.accounts[other]
	return a != nil && b != nil && a.counter > b.counter
}

// Backlog returns all work that waits.
func (q *Queue) Backlog() float64 {
	return q.backlog
}

// TotalWeight returns the sum of the weights of the accounts with items.
func (q *Queue) TotalWeight() float64 {
	return q.weights
}

// ShortBacklog returns the work that waits in the quick and the medium band.
func (q *Queue) ShortBacklog() float64 {
	return q.short
}

// EachAccount calls visit for each account with items.
func (q *Queue) EachAccount(visit func(id fleet.AccountID, queued int, backlog float64)) {
	for id, a := range q.accounts {
		if a.queued > 0 {
			visit(id, a.queued, a.backlog)
		}
	}
}
