package scheduler

import (
	"time"

	"wisteriadyke/core/admission"
	"wisteriadyke/core/fleet"
	"wisteriadyke/core/ledger"
	"wisteriadyke/core/reservation"
)

// prefillBudgetRetry is the delay before a queue is processed again after the prefill budget has run out.
const prefillBudgetRetry = 10 * time.Millisecond

// prefillBoundFactor is the multiple of the predicted prefill time during which a reservation can be renewed before the
// first token of the answer, because short requests can leave as little as a tenth of the prefill throughput to a long
// prompt.
const prefillBoundFactor = 10

// process expires leases, updates the warmth, the resynchronization and the prefill budget to now, and grants or
// refuses queued requests.
func (e *Endpoint) process(now time.Time) {
	e.ledger.Expire(now)
	e.warmth.UpdateIdle(now, e.ledger.Attempts() == 0)
	e.endResync(now)
	e.refillPrefillBudget(now)
	e.firstAnswerDeadline = time.Time{}
	if reason := e.closedReason(); reason != "" {
		e.refuseAll(reason)
		return
	}
	for i := e.queue.Expired(now); i != nil; i = e.queue.Expired(now) {
		e.refuseItem(i, &reservation.Refusal{
			Reason:     reservation.ReasonTooLate,
			RetryAfter: e.jitterRetryAfter(e.queueDrainTime()),
		})
	}
	granted := e.grantAll(now)
	e.throughput.update(now, e.queue.Len() > 0, granted, e.warmth.WarmPace().Prefill)
}

// endResync ends the resynchronization once the former owner's leases have lapsed and Settings.Ledger.Confirmations
// listings have succeeded since the ledger last reset their count.
func (e *Endpoint) endResync(now time.Time) {
	if e.resyncing && !now.Before(e.leasesLapseAt) && e.ledger.SuccessfulListings() >= e.Settings.Ledger.Confirmations {
		e.resyncing = false
	}
}

// closedReason returns the reason to refuse all requests, or "" if the endpoint accepts them.
func (e *Endpoint) closedReason() reservation.Reason {
	switch {
	case !e.owned:
		return reservation.ReasonNotOwner
	case e.endpoint.State == fleet.StateLeaving:
		return reservation.ReasonLeaving
	default:
		return ""
	}
}

// refuseAll refuses all queued requests for the given reason.
func (e *Endpoint) refuseAll(reason reservation.Reason) {
	for i := e.queue.Last(); i != nil; i = e.queue.Last() {
		e.refuseItem(i, &reservation.Refusal{Reason: reason})
	}
}

// refuseBeyondColdLimit refuses queued requests of an endpoint that has turned cold: those that need more memory than
// it may use, and any others, in no particular order, until no more are queued than its attempt limit.
func (e *Endpoint) refuseBeyondColdLimit() {
	for _, i := range e.items {
		if e.exceedsColdLimit(i.Request.PromptTokens+i.Request.MaxTokens, 0) {
			e.refuseItem(i, e.coldRefusal())
		}
	}
}

// refuseItem removes an item from the queue and adds its refusal to the pending decisions.
func (e *Endpoint) refuseItem(i *admission.Item, refusal *reservation.Refusal) {
	e.decisions = append(e.decisions, Decision{Ticket: Ticket(i.Ticket), Refusal: refusal})
	e.removeItem(i)
}

// grantAll grants the items that fit, those of the account with the smallest counter (granted work / weight) first, and
// returns the granted work, in prompt-token equivalents. An item that doesn't fit blocks those behind it in its band.
func (e *Endpoint) grantAll(now time.Time) float64 {
	var granted float64
	var blocked [admission.NumBands]bool
	var limits backfillLimits
	for {
		i, counter := e.nextItem(blocked)
		if i == nil {
			return granted
		}
		result := e.fit(now, i, limits.forCounter(counter))
		switch result {
		case fitsNow:
			granted += i.Cost
			e.grant(now, i)
			continue
		case blockedByExclusive:
			return granted
		}
		blocked[i.Band] = true
		switch i.Band {
		case admission.Long:
			limits = e.limitBackfill(i, counter, result, limits)
		case admission.Exclusive:
			limits.endBy = e.predictedDrain(now)
		}
	}
}

// backfillLimits restricts the items granted ahead of a long or exclusive item that is first but doesn't fit yet.
type backfillLimits struct {
	// endBy is when the endpoint is predicted to be empty for an exclusive item; backfilled items must end by then.
	endBy time.Time
	// counter is the served work of the long item's account, divided by its weight.
	counter float64
	// reservedMemory is the memory that quick and medium items must leave free for the long item, or 0.
	reservedMemory fleet.Tokens
	// maxRunning is the number of running reservations at which the long item would decode at its fair share of the
	// single-stream pace, but at least minBackfillRunning, or 0 for no limit.
	maxRunning int
}

// limitBackfill returns the given limits with those added for a long item that can't be granted now.
func (e *Endpoint) limitBackfill(
	i *admission.Item, counter float64, result fitResult, limits backfillLimits,
) backfillLimits {
	share := i.Request.Weight / max(e.queue.TotalWeight(), i.Request.Weight)
	limits.counter = counter
	limits.maxRunning = max(minBackfillRunning, int(e.warmth.WarmPace().Batch*(1/share-1)))
	if result == needsReservedMemory {
		limits.reservedMemory = i.Request.PromptTokens + i.Request.MaxTokens
	}
	return limits
}

// forCounter returns the limits for an item whose account has the given counter. The limit on running reservations
// applies only to accounts that have been served more than the long item's account.
func (l backfillLimits) forCounter(counter float64) backfillLimits {
	if counter <= l.counter {
		l.maxRunning = 0
	}
	return l
}

// minBackfillRunning is the smallest limit on running reservations while a long item waits.
const minBackfillRunning = 8

// nextItem returns the first queued item of the account with the smallest counter, among the bands that are not
// blocked, and that counter. The item is nil if there is none.
func (e *Endpoint) nextItem(blocked [admission.NumBands]bool) (*admission.Item, float64) {
	var best *admission.Item
	var lowestCounter float64
	for band := range admission.NumBands {
		if blocked[band] {
			continue
		}
		i, counter := e.queue.Head(band)
		if i != nil && (best == nil || counter < lowestCounter) {
			best, lowestCounter = i, counter
		}
	}
	return best, lowestCounter
}

// fitResult is the result of checking whether an item can be granted now.
type fitResult int

// Results of the check.
const (
	// fitsNow means that the item can be granted.
	fitsNow fitResult = iota
	// mustWait means that the item can't be granted yet, but that no memory needs to be reserved for it.
	mustWait
	// needsReservedMemory means that memory must be freed and reserved for the item.
	needsReservedMemory
	// blockedByExclusive means that an exclusive reservation must end before anything is granted.
	blockedByExclusive
)

// fit checks whether an item can be granted now under the limits set for items that wait ahead of it.
func (e *Endpoint) fit(now time.Time, i *admission.Item, limits backfillLimits) fitResult {
	total := e.ledger.Total()
	memory := i.Request.PromptTokens + i.Request.MaxTokens
	attempts, tokens, limited := e.warmth.Limit()
	switch {
	case total.Exclusive > 0:
		return blockedByExclusive
	case i.Band == admission.Exclusive && e.ledger.Attempts() > 0:
		return mustWait
	case !limits.endBy.IsZero() && e.predictedEnd(now, i).After(limits.endBy):
		return mustWait
	case limited && (e.ledger.Attempts() >= attempts || e.ledger.Used()+memory > tokens):
		return mustWait
	case e.awaitsListing():
		return mustWait
	case e.awaitsFirstAnswer(now):
		return mustWait
	case i.Band == admission.Exclusive:
		return fitsNow
	case i.Band == admission.Long:
		return e.fitLong(i, total)
	default:
		return e.fitShort(now, i, total, limits)
	}
}

// awaitsFirstAnswer reports whether the grants made within FirstAnswerTimeout and still unanswered have reached the
// initial attempt limit of a cold endpoint while no answered attempt runs; it then sets firstAnswerDeadline. An idle
// endpoint may have restarted unnoticed and be cold; the first answer shows its incarnation.
func (e *Endpoint) awaitsFirstAnswer(now time.Time) bool {
	if e.ledger.HasAnswered() {
		return false
	}
	count, oldest := e.ledger.Unanswered(now.Add(-e.Settings.FirstAnswerTimeout))
	if count < e.Settings.Warmup.InitialAttempts {
		return false
	}
	e.firstAnswerDeadline = oldest.Add(e.Settings.FirstAnswerTimeout)
	return true
}

// fitLong checks whether a long item can be granted now.
func (e *Endpoint) fitLong(i *admission.Item, total ledger.Total) fitResult {
	slots := e.longSlots()
	if e.queue.BelowFairShare(i.Request.Account) {
		slots++
	}
	if total.PrefillingLong >= slots || total.Running >= e.Settings.MaxRunning {
		return mustWait
	}
	memory := i.Request.PromptTokens + i.Request.MaxTokens
	limit := e.longMemoryLimit()
	if total.LongMemory > 0 && total.LongMemory+memory > limit {
		return mustWait
	}
	if e.ledger.Used()+memory > e.endpoint.Memory {
		return needsReservedMemory
	}
	return fitsNow
}

// fitShort checks whether a quick or medium item can be granted now under the given limits.
func (e *Endpoint) fitShort(now time.Time, i *admission.Item, total ledger.Total, limits backfillLimits) fitResult {
	underserved := e.queue.BelowFairShare(i.Request.Account)
	memory := i.Request.PromptTokens + i.Request.MaxTokens
	limit := e.endpoint.Memory
	maxRunning := e.Settings.MaxRunning
	prefillWindow := e.prefillWindow()
	if underserved {
		prefillWindow *= 2
	} else {
		maxRunning -= int(float64(maxRunning) * e.Settings.FairShareHeadroom)
	}
	if !underserved && e.queue.MultipleAccounts(now, e.Settings.ContentionWindow) {
		limit -= e.memoryShare(e.Settings.FairShareHeadroom)
	}
	if memory > limit {
		limit = e.endpoint.Memory
	}
	if limits.maxRunning > 0 && !underserved {
		maxRunning = min(maxRunning, limits.maxRunning)
	}
	if e.ledger.Used()+memory+limits.reservedMemory > limit {
		return mustWait
	}
	if total.Running >= maxRunning {
		return mustWait
	}
	pending := total.PendingShort
	if i.Band == admission.Quick {
		pending = total.PendingQuick
	}
	if pending > 0 && pending+uncachedTokens(i.Request) > prefillWindow {
		return mustWait
	}
	if total.PrefillingLong > 0 && !underserved && e.prefillBudget <= 0 && e.servedMoreThanPrefilling(i.Request.Account) {
		return mustWait
	}
	return fitsNow
}

// servedMoreThanPrefilling reports whether an account has been granted more work, divided by its weight, than some
// account whose long prompt is in prefill.
func (e *Endpoint) servedMoreThanPrefilling(id fleet.AccountID) bool {
	servedMore := false
	e.ledger.Each(func(r *ledger.Reservation) {
		if !servedMore && r.Long && r.Prefilling() {
			servedMore = e.queue.ServedMore(id, r.Account)
		}
	})
	return servedMore
}

// grant moves an item from the queue to the ledger, charges its account and adds the grant to the pending decisions.
func (e *Endpoint) grant(now time.Time, i *admission.Item) {
	underserved := e.queue.BelowFairShare(i.Request.Account)
	e.queue.Dequeue(i)
	e.generation++
	r := i.Request
	total := e.ledger.Total()
	uncached := uncachedTokens(r)
	priority := enginePriority(r.PromptTokens, underserved)
	row := e.ledger.Grant(now, ledger.Reservation{
		Key:       ledger.Key{Reservation: fleet.ReservationID(r.Request), Generation: e.generation},
		Attempt:   r.Attempt,
		Account:   r.Account,
		Entry:     r.Entry,
		Prompt:    r.PromptTokens,
		Output:    r.MaxTokens,
		Uncached:  uncached,
		Charged:   i.Cost,
		Ahead:     total.PendingShort,
		Priority:  priority,
		Overtaken: e.grantedAbove(priority),
		Weight:    r.Weight,
		Quick:     e.band(r.PromptTokens) == admission.Quick,
		Long:      e.band(r.PromptTokens) == admission.Long,
		Exclusive: r.Exclusive,
	})
	pending := total.PendingShort + total.PendingLong + uncached
	e.granted[priority/priorityStep] += uncached
	row.ReadBy = now.Add(prefillBoundFactor*e.warmth.CurrentPace().PrefillTime(pending) + e.Settings.Ledger.Lease)
	if row.Quick {
		row.Ahead = total.PendingQuick
	}
	if !row.Long {
		e.prefillBudget = max(e.prefillBudget-float64(uncached), -float64(e.prefillWindow()))
	}
	e.decisions = append(e.decisions, Decision{
		Ticket: Ticket(i.Ticket),
		Grant: reservation.Grant{
			Endpoint:    e.endpoint.ID,
			Reservation: row.Key.Reservation,
			Generation:  row.Key.Generation,
			Fence:       e.fence,
			Owner:       e.Entry,
			Priority:    priority,
			Lease:       e.Settings.Ledger.Lease,
		},
	})
	e.recycleItem(i)
}

// longPrefillShare returns the share of the prefill throughput that is left to the long prompts in prefill. While no
// short item is queued, it is m = Settings.LongPrefillShare. Otherwise let p be the sum of the account weights over the
// long prompts in prefill, and q that over the accounts with queued items. The share is p/max(p, q) if a long item is
// queued, else p/(p+q). It is multiplied by underservedBoost while the account of the first queued long item has been
// served less than those of the short items, and is finally limited to the range from m to 1-m.
func (e *Endpoint) longPrefillShare() float64 {
	if e.queue.ShortBacklog() <= 0 {
		return e.Settings.LongPrefillShare
	}
	prefillingWeight := e.ledger.Total().PrefillingLongWeight
	waitingWeight := e.queue.TotalWeight()
	long, counter := e.queue.Head(admission.Long)
	if long == nil {
		waitingWeight += prefillingWeight
	}
	share := prefillingWeight / max(waitingWeight, prefillingWeight, minWeight)
	if long != nil && counter < e.minShortCounter() {
		share *= underservedBoost
	}
	return min(max(share, e.Settings.LongPrefillShare), 1-e.Settings.LongPrefillShare)
}

// underservedBoost is the factor by which longPrefillShare is raised while a queued long item's account has been served
// less than those of the short items.
const underservedBoost = 1.5

// minShortCounter returns the smallest counter of an account with queued quick or medium items, or 0 if none has any.
func (e *Endpoint) minShortCounter() float64 {
	quick, quickCounter := e.queue.Head(admission.Quick)
	medium, mediumCounter := e.queue.Head(admission.Medium)
	if quick == nil || medium != nil && mediumCounter < quickCounter {
		return mediumCounter
	}
	return quickCounter
}

// refillPrefillBudget refills the token bucket that limits the prefill of short requests beside long prompts.
func (e *Endpoint) refillPrefillBudget(now time.Time) {
	elapsed := now.Sub(e.prefillBudgetAt)
	e.prefillBudgetAt = now
	if elapsed <= 0 {
		return
	}
	pace := e.warmth.WarmPace().Prefill * (1 - e.longPrefillShare())
	e.prefillBudget = min(e.prefillBudget+pace*elapsed.Seconds(), pace*e.Settings.LongPrefillBurst.Seconds())
}
