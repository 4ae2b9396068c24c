package scheduler

import (
	"math/rand/v2"
	"time"

	"wisteriadyke/core/admission"
	"wisteriadyke/core/fleet"
	"wisteriadyke/core/ledger"
	"wisteriadyke/core/reservation"
	"wisteriadyke/core/warmup"
)

// Ticket identifies a queued request.
type Ticket uint64

// Decision is the outcome of a queued request: a grant or a refusal.
type Decision struct {
	// Ticket identifies the request.
	Ticket Ticket
	// Grant is the granted reservation; it is valid only if Refusal is nil.
	Grant reservation.Grant
	// Refusal describes the refusal; it is nil if the request was granted.
	Refusal *reservation.Refusal
}

// Endpoint holds the ledger and the queue of one owned endpoint, as a state machine driven by explicit times. It is not
// safe for concurrent use.
type Endpoint struct {
	// Entry is the entry that owns the endpoint.
	Entry fleet.EntryID
	// Settings configures bands, limits, leases and listing intervals.
	Settings Settings

	endpoint   fleet.Endpoint
	fence      fleet.Fence
	generation fleet.Generation
	ledger     *ledger.Ledger
	warmth     warmup.Estimator
	queue      *admission.Queue
	// items holds the queued items by ticket; freeItems are items for reuse.
	items      map[Ticket]*admission.Item
	freeItems  []*admission.Item
	lastTicket Ticket
	// decisions are the decisions made since the last call of Advance.
	decisions []Decision
	owned     bool
	resyncing bool
	// leasesLapseAt is when all leases granted by the former owner have lapsed.
	leasesLapseAt time.Time
	// granted holds the uncached prompt tokens granted so far, indexed by engine priority divided by priorityStep.
	granted [priorityLevels]fleet.Tokens
	// prefillBudget is the content, in prompt tokens, of the token bucket that limits the prefill of short requests beside
	// long prompts; prefillBudgetAt is when it was last refilled.
	prefillBudget   float64
	prefillBudgetAt time.Time
	throughput      throughput
	// listedAt is when the last listing succeeded or failed.
	listedAt time.Time
	random   *rand.Rand
	// firstAnswerDeadline is when further grants are allowed even if none of the earlier ones has been answered (see
	// awaitsFirstAnswer), or zero.
	firstAnswerDeadline time.Time
}

// Start begins the ownership of the endpoint, or renews it with a larger fencing token. The generations of new grants
// are larger than the fencing token. The token of the next owner must therefore be larger by more than the number of
// grants made with this one; a timestamp in microseconds satisfies that.
func (e *Endpoint) Start(now time.Time, endpoint fleet.Endpoint, fence fleet.Fence, takeover Takeover) {
	if e.ledger == nil {
		e.initialize(now, endpoint)
	}
	e.endpoint = endpoint
	e.fence = fence
	e.generation = max(e.generation, fleet.Generation(fence))
	e.owned = true
	handover := takeover.Handover
	if handover != nil {
		e.restore(handover)
	}
	if handover == nil || takeover.Resync || handover.Resyncing {
		e.startResync(now)
	}
}

// initialize creates the empty ledger, queue and warmth estimator.
func (e *Endpoint) initialize(now time.Time, endpoint fleet.Endpoint) {
	e.ledger = ledger.New(e.Settings.Ledger)
	e.ledger.PrefillBound = func(memory fleet.Tokens) time.Duration {
		return prefillBoundFactor*e.warmth.CurrentPace().PrefillTime(memory) + e.Settings.Ledger.Lease
	}
	e.queue = admission.NewQueue(e.Settings.Credit, e.Settings.MaxQueue, e.Settings.MaxAccountQueue)
	e.items = make(map[Ticket]*admission.Item)
	e.warmth = warmup.Estimator{Settings: e.Settings.Warmup, Memory: endpoint.Memory}
	e.random = rand.New(rand.NewPCG(hashID(endpoint.ID), hashID(fleet.EndpointID(e.Entry))))
	e.prefillBudgetAt = now
	e.listedAt = now.Add(-e.Settings.ListInterval)
}

// hashID returns the 64-bit FNV-1a hash of an id.
func hashID(id fleet.EndpointID) uint64 {
	hash := uint64(14695981039346656037)
	for _, b := range []byte(id) {
		hash = (hash ^ uint64(b)) * 1099511628211
	}
	return hash
}

// restore applies the state handed over by the former owner.
func (e *Endpoint) restore(handover *Handover) {
	e.ledger.Restore(handover.Warmth.Incarnation, handover.Reservations, handover.Strays)
	e.generation = max(e.generation, handover.Generation)
	e.warmth.State = handover.Warmth
	e.granted = handover.Granted
}

// startResync begins to reconcile the ledger with what the endpoint runs. The endpoint is limited like a cold one until
// its measured pace shows that it is warm.
func (e *Endpoint) startResync(now time.Time) {
	e.resyncing = true
	e.leasesLapseAt = now.Add(e.Settings.Ledger.Lease)
	e.ledger.SuspendReclaim(e.leasesLapseAt)
	e.warmth.BeginColdStart(now)
	e.listedAt = now.Add(-e.Settings.ListInterval)
}

// SetPaceIfUnknown replaces the rates of the warm pace that have not been measured yet by those of pace, the pace of a
// similar endpoint.
func (e *Endpoint) SetPaceIfUnknown(pace warmup.Pace) {
	own := &e.warmth.State.Pace
	if own.Prefill == 0 {
		own.Prefill = pace.Prefill
	}
	if own.Decode == 0 {
		own.Decode = pace.Decode
	}
}

// Update replaces the endpoint's description. In StateLeaving all queued and new requests are refused.
func (e *Endpoint) Update(now time.Time, endpoint fleet.Endpoint) {
	e.endpoint = endpoint
	e.warmth.Memory = endpoint.Memory
	e.process(now)
}

// Suspend refuses all queued requests now, and new ones until Start is called again.
func (e *Endpoint) Suspend(now time.Time) {
	e.owned = false
	e.process(now)
}

// Handover suspends the endpoint and returns the state that the next owner needs.
func (e *Endpoint) Handover(now time.Time) Handover {
	e.Suspend(now)
	warmth := e.warmth.State
	warmth.Incarnation = max(warmth.Incarnation, e.ledger.Incarnation())
	return Handover{
		Endpoint:     e.endpoint.ID,
		Fence:        e.fence,
		Generation:   e.generation,
		Resyncing:    e.resyncing,
		Granted:      e.granted,
		Reservations: e.ledger.Reservations(),
		Strays:       e.ledger.Strays(),
		Warmth:       warmth,
	}
}

// Withdraw removes a queued request and reports whether it was still queued.
func (e *Endpoint) Withdraw(now time.Time, ticket Ticket) bool {
	i := e.items[ticket]
	if i == nil {
		return false
	}
	e.removeItem(i)
	e.process(now)
	return true
}

// removeItem removes an item from the queue and recycles it; the caller must not use it afterwards.
func (e *Endpoint) removeItem(i *admission.Item) {
	e.queue.Remove(i)
	e.recycleItem(i)
}

// recycleItem clears an item that has left the queue and saves it for reuse.
func (e *Endpoint) recycleItem(i *admission.Item) {
	delete(e.items, Ticket(i.Ticket))
	*i = admission.Item{}
	e.freeItems = append(e.freeItems, i)
}

// newItem returns an empty item, reusing a recycled one if possible.
func (e *Endpoint) newItem() *admission.Item {
	last := len(e.freeItems) - 1
	if last < 0 {
		return &admission.Item{}
	}
	i := e.freeItems[last]
	e.freeItems = e.freeItems[:last]
	return i
}

// Advance processes the queue up to now and returns the decisions made since its last call. They are valid until the
// next call of a method that changes e.
func (e *Endpoint) Advance(now time.Time) []Decision {
	e.process(now)
	decisions := e.decisions
	e.decisions = e.decisions[:0]
	return decisions
}

// NextWake returns when Advance must be called next if nothing else happens, or the zero time if no call is needed.
func (e *Endpoint) NextWake() time.Time {
	wake := earliest(e.queue.NextExpiry(), e.ledger.NextExpiry())
	if e.resyncing && e.ledger.SuccessfulListings() >= e.Settings.Ledger.Confirmations {
		wake = earliest(wake, e.leasesLapseAt)
	}
	if e.queue.Len() > 0 && e.prefillBudget <= 0 {
		wake = earliest(wake, e.prefillBudgetAt.Add(prefillBudgetRetry))
	}
	if e.queue.Len() > 0 {
		wake = earliest(wake, e.firstAnswerDeadline)
	}
	if e.ledger.Attempts() == 0 {
		wake = earliest(wake, e.warmth.NextIdleRamp())
	}
	return wake
}

// earliest returns the earlier of two times, ignoring zero times.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}
