package scheduler

import (
	"time"

	"wisteriadyke/core/admission"
	"wisteriadyke/core/fleet"
	"wisteriadyke/core/ledger"
	"wisteriadyke/core/reservation"
)

// allowanceStep is the time after which an empty allowance of reading is looked at again.
const allowanceStep = 10 * time.Millisecond

// readBound is the number of times of the predicted reading in which a reservation may be renewed without a token; a
// long prompt may be left a tenth of the reading.
const readBound = 10

// pump brings the account up to now and decides on what waits.
func (e *Endpoint) pump(now time.Time) {
	e.ledger.Expire(now)
	e.warmth.UpdateIdle(now, e.ledger.Attempts() == 0)
	e.endResync(now)
	e.refill(now)
	e.provenBy = time.Time{}
	if refusal := e.closed(); refusal != "" {
		e.refuseAll(refusal)
		return
	}
	for i := e.queue.Expired(now); i != nil; i = e.queue.Expired(now) {
		e.refuse(i, &reservation.Refusal{Reason: reservation.ReasonTooLate, RetryAfter: e.jitter(e.drainTime())})
	}
	granted := e.grantAll(now)
	e.throughput.note(now, e.queue.Len() > 0, granted, e.warmth.WarmPace().Prefill)
}

// endResync ends the resynchronisation once the former owner's grants have lapsed and listings agree.
func (e *Endpoint) endResync(now time.Time) {
	if e.resyncing && !now.Before(e.lapseAt) && e.ledger.ConsecutiveListings() >= e.Settings.Ledger.Confirmations {
		e.resyncing = false
	}
}

// closed returns why nothing is granted, or "".
func (e *Endpoint) closed() reservation.Reason {
	switch {
	case !e.owned:
		return reservation.ReasonNotOwner
	case e.endpoint.State == fleet.StateLeaving:
		return reservation.ReasonLeaving
	default:
		return ""
	}
}

// refuseAll refuses everything that waits.
func (e *Endpoint) refuseAll(reason reservation.Reason) {
	for i := e.queue.Last(); i != nil; i = e.queue.Last() {
		e.refuse(i, &reservation.Refusal{Reason: reason})
	}
}

// shed refuses what waits beyond what the endpoint bears since it turned cold.
func (e *Endpoint) shed() {
	for _, i := range e.items {
		if e.beyondCold(i.Request.PromptTokens+i.Request.MaxTokens, 0) {
			e.refuse(i, e.coldRefusal())
		}
	}
}

// refuse takes an item out of the queue and decides against it.
func (e *Endpoint) refuse(i *admission.Item, refusal *reservation.Refusal) {
	e.decisions = append(e.decisions, Decision{Ticket: Ticket(i.Ticket), Refusal: refusal})
	e.drop(i)
}

// grantAll grants in order until nothing more fits, and returns the work granted.
func (e *Endpoint) grantAll(now time.Time) float64 {
	var granted float64
	var blocked [admission.NumBands]bool
	var owed debt
	for {
		i, counter := e.head(blocked)
		if i == nil {
			return granted
		}
		verdict := e.fits(now, i, owed.before(counter))
		switch verdict {
		case fitsNow:
			granted += i.Cost
			e.grant(now, i)
			continue
		case needsEmpty:
			return granted
		}
		blocked[i.Band] = true
		switch i.Band {
		case admission.Long:
			owed = e.owe(i, counter, verdict, owed)
		case admission.Exclusive:
			owed.until = e.drainedAt(now)
		}
	}
}

// debt is what a long or an exclusive item at the head of the order waits for, which the items after it leave to it.
type debt struct {
	// until is when the endpoint is predicted to be empty for an exclusive item; what is granted must have ended by then.
	until time.Time
	// counter is the work that its account was given.
	counter float64
	// memory is to be kept for it besides that of the long band, or 0.
	memory fleet.Tokens
	// running is the number of reservations at which it is generated at its share of the pace alone, or 0 for any.
	running int
}

// owe adds what is kept for a long item that can't be granted now.
func (e *Endpoint) owe(i *admission.Item, counter float64, verdict verdict, owed debt) debt {
	share := i.Request.Weight / max(e.queue.TotalWeight(), i.Request.Weight)
	owed.counter = counter
	owed.running = max(minBeside, int(e.warmth.WarmPace().Batch*(1/share-1)))
	if verdict == needsClaim {
		owed.memory = i.Request.PromptTokens + i.Request.MaxTokens
	}
	return owed
}

// before returns the debt that binds an item whose account was given some work: all of it if that is more than the
// long item's account was given, else only the memory.
func (d debt) before(counter float64) debt {
	if counter <= d.counter {
		d.running = 0
	}
	return d
}

// minBeside is the least number of reservations that are granted while a long item waits.
const minBeside = 8

// head returns the item of an unblocked band whose account was given the least, and that counter, or nil.
func (e *Endpoint) head(blocked [admission.NumBands]bool) (*admission.Item, float64) {
	var best *admission.Item
	var least float64
	for band := range admission.NumBands {
		if blocked[band] {
			continue
		}
		i, counter := e.queue.Head(band)
		if i != nil && (best == nil || counter < least) {
			best, least = i, counter
		}
	}
	return best, least
}

// verdict tells whether an item can be granted now, and if not, what it waits for.
type verdict int

// The verdicts.
const (
	// fitsNow means that it can be granted.
	fitsNow verdict = iota
	// needsTurn means that memory must be freed or reading must get on.
	needsTurn
	// needsClaim means that memory must be freed and kept for it.
	needsClaim
	// needsEmpty means that an exclusive reservation must end before anything is granted.
	needsEmpty
)

// fits tells whether an item can be granted now while something is owed to a long one.
func (e *Endpoint) fits(now time.Time, i *admission.Item, owed debt) verdict {
	total := e.ledger.Total()
	memory := i.Request.PromptTokens + i.Request.MaxTokens
	attempts, tokens, limited := e.warmth.Limit()
	switch {
	case total.Exclusive > 0:
		return needsEmpty
	case i.Band == admission.Exclusive && e.ledger.Attempts() > 0:
		return needsTurn
	case !owed.until.IsZero() && e.endsAt(now, i).After(owed.until):
		return needsTurn
	case limited && (e.ledger.Attempts() >= attempts || e.ledger.Used()+memory > tokens):
		return needsTurn
	case e.unlisted():
		return needsTurn
	case e.unproven(now):
		return needsTurn
	case i.Band == admission.Exclusive:
		return fitsNow
	case i.Band == admission.Long:
		return e.fitsLong(i, total)
	default:
		return e.fitsShort(now, i, total, owed)
	}
}

// unproven tells whether as many grants as a cold endpoint bears wait for a first answer while nothing else runs. An
// idle endpoint may have turned cold without anybody seeing it; the first answer tells its life.
func (e *Endpoint) unproven(now time.Time) bool {
	if e.ledger.HasAnswered() {
		return false
	}
	count, oldest := e.ledger.Unanswered(now.Add(-e.Settings.ConfirmTimeout))
	if count < e.Settings.Warmup.Attempts {
		return false
	}
	e.provenBy = oldest.Add(e.Settings.ConfirmTimeout)
	return true
}

// fitsLong tells whether a long item can be granted now.
func (e *Endpoint) fitsLong(i *admission.Item, total ledger.Total) verdict {
	slots := e.longSlots()
	if e.queue.BelowFairShare(i.Request.Account) {
		slots++
	}
	if total.PrefillingLong >= slots || total.Running >= e.Settings.MaxRunning {
		return needsTurn
	}
	memory := i.Request.PromptTokens + i.Request.MaxTokens
	limit := e.longMemory()
	if total.Long > 0 && total.Long+memory > limit {
		return needsTurn
	}
	if e.ledger.Used()+memory > e.endpoint.Memory {
		return needsClaim
	}
	return fitsNow
}

// fitsShort tells whether a quick or medium item can be granted now while something is owed to a long one.
func (e *Endpoint) fitsShort(now time.Time, i *admission.Item, total ledger.Total, owed debt) verdict {
	light := e.queue.BelowFairShare(i.Request.Account)
	memory := i.Request.PromptTokens + i.Request.MaxTokens
	limit := e.endpoint.Memory
	running := e.Settings.MaxRunning
	window := e.window()
	if light {
		window *= 2
	} else {
		running -= int(float64(running) * e.Settings.FairShareHeadroom)
	}
	if !light && e.queue.MultipleAccounts(now, e.Settings.ContentionWindow) {
		limit -= e.part(e.Settings.FairShareHeadroom)
	}
	if memory > limit {
		limit = e.endpoint.Memory
	}
	if owed.running > 0 && !light {
		running = min(running, owed.running)
	}
	if e.ledger.Used()+memory+owed.memory > limit {
		return needsTurn
	}
	if total.Running >= running {
		return needsTurn
	}
	unread := total.PendingShort
	if i.Band == admission.Quick {
		unread = total.PendingQuick
	}
	if unread > 0 && unread+uncached(i.Request) > window {
		return needsTurn
	}
	if total.PrefillingLong > 0 && !light && e.allowance <= 0 && e.owesReading(i.Request.Account) {
		return needsTurn
	}
	return fitsNow
}

// owesReading tells whether an account was given more than another one whose long prompt is being read.
func (e *Endpoint) owesReading(id fleet.AccountID) bool {
	owes := false
	e.ledger.Each(func(r *ledger.Reservation) {
		if !owes && r.Long && r.Prefilling() {
			owes = e.queue.ServedMore(id, r.Account)
		}
	})
	return owes
}

// grant reserves memory for an item and decides for it.
func (e *Endpoint) grant(now time.Time, i *admission.Item) {
	light := e.queue.BelowFairShare(i.Request.Account)
	e.queue.Dequeue(i)
	e.generation++
	r := i.Request
	total := e.ledger.Total()
	read := uncached(r)
	priority := enginePriority(r.PromptTokens, light)
	row := e.ledger.Grant(now, ledger.Reservation{
		Key:       ledger.Key{Reservation: fleet.ReservationID(r.Request), Generation: e.generation},
		Attempt:   r.Attempt,
		Account:   r.Account,
		Entry:     r.Entry,
		Prompt:    r.PromptTokens,
		Output:    r.MaxTokens,
		Uncached:  read,
		Charged:   i.Cost,
		Ahead:     total.PendingShort,
		Priority:  priority,
		Overtaken: e.overtaking(priority),
		Weight:    r.Weight,
		Quick:     e.band(r.PromptTokens) == admission.Quick,
		Long:      e.band(r.PromptTokens) == admission.Long,
		Exclusive: r.Exclusive,
	})
	unread := total.PendingShort + total.PendingLong + read
	e.granted[priority/priorityStep] += read
	row.ReadBy = now.Add(readBound*e.warmth.CurrentPace().ReadTime(unread) + e.Settings.Ledger.Lease)
	if row.Quick {
		row.Ahead = total.PendingQuick
	}
	if !row.Long {
		e.allowance = max(e.allowance-float64(read), -float64(e.window()))
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
	e.forget(i)
}

// longShare returns the share of reading that is left to the long prompts which are being read, by the weights of
// their accounts among those that wait, and more while the long account that waits was given less than the others.
func (e *Endpoint) longShare() float64 {
	if e.queue.ShortBacklog() <= 0 {
		return e.Settings.LongPrefillShare
	}
	reading := e.ledger.Total().PrefillingLongWeight
	waiting := e.queue.TotalWeight()
	long, counter := e.queue.Head(admission.Long)
	if long == nil {
		waiting += reading
	}
	share := reading / max(waiting, reading, minWeight)
	if long != nil && counter < e.shortCounter() {
		share *= owedBoost
	}
	return min(max(share, e.Settings.LongPrefillShare), 1-e.Settings.LongPrefillShare)
}

// owedBoost raises the share of reading of a long account that was given less than the others.
const owedBoost = 1.5

// shortCounter returns the least work given to an account whose quick or medium items wait, or 0.
func (e *Endpoint) shortCounter() float64 {
	quick, least := e.queue.Head(admission.Quick)
	medium, counter := e.queue.Head(admission.Medium)
	if quick == nil || medium != nil && counter < least {
		return counter
	}
	return least
}

// refill adds the reading that short requests may take beside long prompts.
func (e *Endpoint) refill(now time.Time) {
	elapsed := now.Sub(e.allowanceAt)
	e.allowanceAt = now
	if elapsed <= 0 {
		return
	}
	pace := e.warmth.WarmPace().Prefill * (1 - e.longShare())
	e.allowance = min(e.allowance+pace*elapsed.Seconds(), pace*e.Settings.LongPrefillBurst.Seconds())
}
