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

// Ticket names a request that waits.
type Ticket uint64

// Decision is the answer to a request that waited: a grant or a refusal.
type Decision struct {
	// Ticket names the request.
	Ticket Ticket
	// Grant is the right to run the attempt, if Refusal is nil.
	Grant reservation.Grant
	// Refusal tells why it was refused, or is nil.
	Refusal *reservation.Refusal
}

// Endpoint is the exact account and the queue of one owned endpoint, as a state machine that is driven by explicit
// times; it is for one goroutine at a time.
type Endpoint struct {
	// Entry is the entry that owns.
	Entry fleet.EntryID
	// Settings bounds what is granted.
	Settings Settings

	endpoint    fleet.Endpoint
	fence       fleet.Fence
	generation  fleet.Generation
	ledger      *ledger.Ledger
	warmth      warmup.Estimator
	queue       *admission.Queue
	items       map[Ticket]*admission.Item
	spare       []*admission.Item
	ticket      Ticket
	decisions   []Decision
	owned       bool
	resyncing   bool
	lapseAt     time.Time
	granted     [priorityLevels]fleet.Tokens
	allowance   float64
	allowanceAt time.Time
	throughput  throughput
	sweptAt     time.Time
	random      *rand.Rand
	// provenBy is when an idle endpoint is given more although no grant has been answered, or zero.
	provenBy time.Time
}

// Start begins to own the endpoint, or to own it again under a larger fencing number. Generations count on from the
// fencing number, which must grow by more than the grants between two owners; a stamp of a clock in microseconds does.
func (e *Endpoint) Start(now time.Time, endpoint fleet.Endpoint, fence fleet.Fence, takeover Takeover) {
	if e.ledger == nil {
		e.prepare(now, endpoint)
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
		e.resync(now)
	}
}

// prepare builds the empty account.
func (e *Endpoint) prepare(now time.Time, endpoint fleet.Endpoint) {
	e.ledger = ledger.New(e.Settings.Ledger)
	e.ledger.PrefillBound = func(memory fleet.Tokens) time.Duration {
		return readBound*e.warmth.CurrentPace().ReadTime(memory) + e.Settings.Ledger.Lease
	}
	e.queue = admission.NewQueue(e.Settings.Credit, e.Settings.MaxQueue, e.Settings.MaxAccountQueue)
	e.items = make(map[Ticket]*admission.Item)
	e.warmth = warmup.Estimator{Settings: e.Settings.Warmup, Memory: endpoint.Memory}
	e.random = rand.New(rand.NewPCG(seedOf(endpoint.ID), seedOf(fleet.EndpointID(e.Entry))))
	e.allowanceAt = now
	e.sweptAt = now.Add(-e.Settings.ListInterval)
}

// seedOf hashes a name.
func seedOf(id fleet.EndpointID) uint64 {
	seed := uint64(14695981039346656037)
	for _, b := range []byte(id) {
		seed = (seed ^ uint64(b)) * 1099511628211
	}
	return seed
}

// restore takes over what the former owner knew.
func (e *Endpoint) restore(handover *Handover) {
	e.ledger.Restore(handover.Warmth.Incarnation, handover.Reservations, handover.Strays)
	e.generation = max(e.generation, handover.Generation)
	e.warmth.State = handover.Warmth
	e.granted = handover.Granted
}

// resync begins to learn what the endpoint runs; it counts as cold meanwhile.
func (e *Endpoint) resync(now time.Time) {
	e.resyncing = true
	e.lapseAt = now.Add(e.Settings.Ledger.Lease)
	e.ledger.SuspendReclaim(e.lapseAt)
	e.warmth.BeginColdStart(now)
	e.sweptAt = now.Add(-e.Settings.ListInterval)
}

// SetDefaultPace gives the warm pace of a like endpoint, which is taken where none is known.
func (e *Endpoint) SetDefaultPace(pace warmup.Pace) {
	own := &e.warmth.State.Pace
	if own.Prefill == 0 {
		own.Prefill = pace.Prefill
	}
	if own.Decode == 0 {
		own.Decode = pace.Decode
	}
}

// Update tells what has changed of the endpoint.
func (e *Endpoint) Update(now time.Time, endpoint fleet.Endpoint) {
	e.endpoint = endpoint
	e.warmth.Memory = endpoint.Memory
	e.pump(now)
}

// Suspend stops all grants until the endpoint is owned again.
func (e *Endpoint) Suspend(now time.Time) {
	e.owned = false
	e.pump(now)
}

// Handover stops all grants, refuses the queue and returns what the next owner needs.
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

// Withdraw takes out a request that waits; it returns false if it waits no more.
func (e *Endpoint) Withdraw(now time.Time, ticket Ticket) bool {
	i := e.items[ticket]
	if i == nil {
		return false
	}
	e.drop(i)
	e.pump(now)
	return true
}

// drop takes an item out of the queue.
func (e *Endpoint) drop(i *admission.Item) {
	e.queue.Remove(i)
	e.forget(i)
}

// forget keeps an item that left the queue for reuse.
func (e *Endpoint) forget(i *admission.Item) {
	delete(e.items, Ticket(i.Ticket))
	*i = admission.Item{}
	e.spare = append(e.spare, i)
}

// item returns an empty item.
func (e *Endpoint) item() *admission.Item {
	last := len(e.spare) - 1
	if last < 0 {
		return &admission.Item{}
	}
	i := e.spare[last]
	e.spare = e.spare[:last]
	return i
}

// Advance returns the decisions that are due by now; they are valid until the next call.
func (e *Endpoint) Advance(now time.Time) []Decision {
	e.pump(now)
	decisions := e.decisions
	e.decisions = e.decisions[:0]
	return decisions
}

// NextWake returns when Advance has something to do if nothing else happens, or zero.
func (e *Endpoint) NextWake() time.Time {
	wake := earlier(e.queue.NextExpiry(), e.ledger.NextExpiry())
	if e.resyncing && e.ledger.ConsecutiveListings() >= e.Settings.Ledger.Confirmations {
		wake = earlier(wake, e.lapseAt)
	}
	if e.queue.Len() > 0 && e.allowance <= 0 {
		wake = earlier(wake, e.allowanceAt.Add(allowanceStep))
	}
	if e.queue.Len() > 0 {
		wake = earlier(wake, e.provenBy)
	}
	if e.ledger.Attempts() == 0 {
		wake = earlier(wake, e.warmth.NextIdleRamp())
	}
	return wake
}

// earlier returns the earlier time that is not zero.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}
