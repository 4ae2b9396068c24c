package waiting

import (
	"cmp"
	"math"
	"slices"
	"time"

	"wisteriadyke/core/admission"
	"wisteriadyke/core/reservation"
)

const (
	// MaxLength is the largest number of requests that wait at one chooser, so that its memory and its messages stay
	// bounded.
	MaxLength = 2000
	// maxPassedOver is the number of placements in a row that pass over late requests, or over new ones for the sake of
	// returned ones; the next placement is theirs, so that they get one in four and don't starve.
	maxPassedOver = 3
	// accountCredit is the work that an account may get ahead of others after a time without waiting requests: that of
	// about two quick requests, so that the milliseconds between two calls for one request don't cost its account its
	// place.
	accountCredit = 20_000
	// refusalMargin is the factor by which the throughput may exceed the measured one before a request that waits among
	// the late ones is refused for it: the refusal is final, and the measurement reacts to each short stall. It does
	// not apply when a request joins them, since a refused request is better off the less it was held.
	refusalMargin = 2
	// maxSkips bounds the requests of a pass that fit no endpoint although others may, so that a pass stays cheap.
	maxSkips = 16
	// maxLateSkips bounds the late requests among them whose turn comes before others, so that late ones that fit nowhere
	// don't take the place of those that can meet their objective.
	maxLateSkips = 4
)

// Queue holds the requests that wait for an endpoint of one pool. Its zero value is ready to use. It is not safe for
// concurrent use.
//
// The order is: the rank; within a rank requests that can meet their objective, returned ones first, then late ones;
// within these the account by its share of the work, as admission.Queue determines it; within an account the latest
// start, which is the age for requests of one route. Late requests get at least one in four placements.
//
// Load pattern: a few accounts send far more quick requests than the pool serves, while long prompts occupy most of its
// engines. A first-come order would make all accounts late; here those below their share stay in time.
type Queue[T any] struct {
	// ranks holds the ranks in ascending order, and items the items by ticket.
	ranks      []*rankQueue
	items      map[uint64]*Item[T]
	lastTicket uint64
	overhead   time.Duration
	throughput throughput
	// latePassedOver counts the placements since the last one of a late request while one waited.
	latePassedOver int
	// leftOver reports whether requests were left at the end of the latest pass.
	leftOver bool
	// skipped holds the items that don't fit in the current pass.
	skipped []*Item[T]
	// lateSkips counts the late ones among skipped.
	lateSkips int
}

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int {
	return len(q.items)
}

// Items returns the waiting requests in no particular order.
func (q *Queue[T]) Items() []*Item[T] {
	items := make([]*Item[T], 0, len(q.items))
	for _, i := range q.items {
		items = append(items, i)
	}
	return items
}

// LenOfRank returns the number of waiting requests of a rank.
func (q *Queue[T]) LenOfRank(rank int) int {
	for _, r := range q.ranks {
		if r.rank == rank {
			return r.length()
		}
	}
	return 0
}

// LenUpToRank returns the number of waiting requests of a rank and of all more urgent ones.
func (q *Queue[T]) LenUpToRank(rank int) int {
	length := 0
	for _, r := range q.ranks {
		if r.rank <= rank {
			length += r.length()
		}
	}
	return length
}

// Add adds a request.
func (q *Queue[T]) Add(r Request, value T, now time.Time) *Item[T] {
	if q.items == nil {
		q.items = make(map[uint64]*Item[T])
	}
	q.lastTicket++
	rank := q.rankQueue(r.Rank)
	rank.queue.RecordArrival(now, r.Account, r.weight())
	i := &Item[T]{Request: r, Value: value, rank: rank, queued: &admission.Item{
		Ticket:      q.lastTicket,
		Request:     reservation.Request{Account: r.Account},
		Band:        bandOf(&r, q.overhead, now),
		Cost:        r.work(),
		QueuedAt:    now,
		LatestStart: r.LatestStart,
	}}
	q.items[i.queued.Ticket] = i
	q.push(i)
	return i
}

// Remove removes a request that was not placed; it does nothing if the request is not in the queue.
func (q *Queue[T]) Remove(i *Item[T]) {
	if q.items[i.queued.Ticket] != i {
		return
	}
	delete(q.items, i.queued.Ticket)
	if !i.out {
		q.pull(i)
	}
}

// Refresh moves requests that can't meet their objective any more to the late ones, and returns those whose first token
// would come too late even at once, or whose turn among the late ones comes too late. overhead is the shortest time
// from a placement to the first token without the prefill; capacity is the number of requests per second that the pool
// serves as published.
func (q *Queue[T]) Refresh(now time.Time, overhead time.Duration, capacity float64) []*Item[T] {
	q.overhead = overhead
	q.throughput.update(now, capacity, q.leftOver)
	q.leftOver = len(q.items) > 0
	var expired, late []*Item[T]
	for _, i := range q.items {
		if i.latestPlacement(overhead).Before(now) {
			expired = append(expired, i)
			continue
		}
		if band := bandOf(&i.Request, overhead, now); band != i.queued.Band {
			q.pull(i)
			i.queued.Band = band
			i.lateSince = now
			q.push(i)
		}
		if i.Late() {
			late = append(late, i)
		}
	}
	slices.SortFunc(late, func(a, b *Item[T]) int {
		return cmp.Or(a.LatestStart.Compare(b.LatestStart), cmp.Compare(a.queued.Ticket, b.queued.Ticket))
	})
	ahead := 0
	for _, i := range late {
		perSecond := q.throughput.latePerSecond()
		if !i.lateSince.Equal(now) {
			perSecond *= refusalMargin
		}
		if now.Add(seconds(float64(ahead) / perSecond)).After(i.latestPlacement(overhead)) {
			expired = append(expired, i)
			continue
		}
		ahead++
	}
	return expired
}

// Next returns the next request to place in the current pass, or nil if there is none or too many were skipped. The
// caller passes it to Place, Skip or Remove, and calls EndPass after the last one.
func (q *Queue[T]) Next() *Item[T] {
	if len(q.skipped) >= maxSkips {
		return nil
	}
	if q.latePassedOver >= maxPassedOver && q.lateSkips < maxLateSkips {
		for _, r := range q.ranks {
			if i := q.head(r, bandLate); i != nil {
				return i
			}
		}
	}
	for _, r := range q.ranks {
		for _, band := range r.bands() {
			if i := q.head(r, band); i != nil {
				return i
			}
		}
	}
	return nil
}

// Skip leaves a request out of the rest of the pass, since it fits no endpoint now.
func (q *Queue[T]) Skip(i *Item[T]) {
	q.pull(i)
	q.skipped = append(q.skipped, i)
	if i.Late() {
		q.lateSkips++
	}
}

// EndPass ends a pass; the skipped requests keep their order.
func (q *Queue[T]) EndPass() {
	for _, i := range q.skipped {
		if q.items[i.queued.Ticket] == i {
			q.push(i)
		}
	}
	q.skipped, q.lateSkips = q.skipped[:0], 0
	q.leftOver = len(q.items) > 0
}

// Place removes a request that is placed, and charges its account for the work.
func (q *Queue[T]) Place(i *Item[T]) {
	delete(q.items, i.queued.Ticket)
	i.out = true
	band := i.queued.Band
	i.rank.lengths[band]--
	i.rank.queue.Dequeue(i.queued)
	q.throughput.count(band == bandLate)
	switch {
	case band == bandLate:
		q.latePassedOver = 0
	case q.lateWaiting() > 0:
		q.latePassedOver++
	}
	switch {
	case band == bandNew:
		i.rank.newPassedOver = 0
	case band == bandReturned && i.rank.lengths[bandNew] > 0:
		i.rank.newPassedOver++
	}
}

// head returns the first request of a band, or nil.
func (q *Queue[T]) head(r *rankQueue, band admission.Band) *Item[T] {
	queued, _ := r.queue.Head(band)
	if queued == nil {
		return nil
	}
	return q.items[queued.Ticket]
}

// push adds an item to the queue of its rank.
func (q *Queue[T]) push(i *Item[T]) {
	i.out = false
	i.rank.lengths[i.queued.Band]++
	i.rank.queue.Push(i.queued)
}

// pull removes an item from the queue of its rank without charging its account.
func (q *Queue[T]) pull(i *Item[T]) {
	i.out = true
	i.rank.lengths[i.queued.Band]--
	i.rank.queue.Remove(i.queued)
}

// lateWaiting returns the number of late requests, without skipped ones.
func (q *Queue[T]) lateWaiting() int {
	late := 0
	for _, r := range q.ranks {
		late += r.lengths[bandLate]
	}
	return late
}

// rankQueue returns the queue of a rank, which it adds if there is none.
func (q *Queue[T]) rankQueue(rank int) *rankQueue {
	index, found := slices.BinarySearchFunc(q.ranks, rank, func(r *rankQueue, rank int) int {
		return cmp.Compare(r.rank, rank)
	})
	if !found {
		added := &rankQueue{rank: rank, queue: admission.NewQueue(accountCredit, math.MaxInt, math.MaxInt)}
		q.ranks = slices.Insert(q.ranks, index, added)
	}
	return q.ranks[index]
}

// bandOf returns the band of a request.
func bandOf(r *Request, overhead time.Duration, now time.Time) admission.Band {
	switch {
	case r.latestInTime(overhead).Before(now):
		return bandLate
	case r.Returned:
		return bandReturned
	default:
		return bandNew
	}
}
