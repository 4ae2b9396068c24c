package scheduler

import (
	"time"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/ledger"
	"wisteriadyke/core/reservation"
	"wisteriadyke/core/warmup"
)

// minSampleTokens is the smallest number of generated tokens between two samples of a running attempt's decode pace.
const minSampleTokens fleet.Tokens = 8

// Renew records the progress of an attempt in the ledger, which may renew its lease, and samples its pace. It returns
// nil, or a refusal if no reservation of that generation exists.
func (e *Endpoint) Renew(now time.Time, p reservation.Progress) *reservation.Refusal {
	e.observeIncarnation(now, p.Incarnation)
	key := ledger.Key{Reservation: p.Reservation, Generation: p.Generation}
	row := e.ledger.Get(key)
	firstToken := row != nil && row.StartedAt.IsZero() && p.Started
	row = e.ledger.Renew(now, ledger.Progress{
		Key:         key,
		Started:     p.Started,
		Position:    p.Position,
		Incarnation: p.Incarnation,
	})
	if row == nil {
		return e.unknownReservation()
	}
	switch {
	case firstToken:
		e.observeFirstToken(now, row, p)
	case row.StartedAt.IsZero():
		e.observePrefill(now, row)
	default:
		e.observeDecode(now, row)
	}
	e.process(now)
	return nil
}

// unknownReservation returns the refusal of a progress report without a reservation. While a new owner resynchronizes,
// the reason is ReasonResynchronizing: the ledger stores the report until a listing shows the attempt.
func (e *Endpoint) unknownReservation() *reservation.Refusal {
	if e.resyncing {
		return &reservation.Refusal{Reason: reservation.ReasonResynchronizing}
	}
	return &reservation.Refusal{Reason: reservation.ReasonUnknownReservation}
}

// observeFirstToken starts the sampling of the decode pace when the first token is reported. It samples the prefill
// pace if the entry also reports the time to first token and the prompt is neither long nor partly cached.
func (e *Endpoint) observeFirstToken(now time.Time, row *ledger.Reservation, p reservation.Progress) {
	row.Others = e.ledger.Total().Running - 1
	row.SampledAt = now
	row.SampledPosition = row.Position
	row.Ahead = e.queuedAhead(row)
	if p.TimeToFirstToken > 0 && !row.Long && row.Uncached == row.Prompt {
		e.observeSample(now, warmup.Sample{
			PrefillTokens: p.PrefilledTokens,
			QueuedTokens:  row.Ahead,
			PrefillTime:   p.TimeToFirstToken,
			Partial:       true,
		})
	}
}

// queuedAhead returns the prompt tokens that may have been prefilled before a reservation's own: those pending when it
// was granted and those granted since at a higher priority.
func (e *Endpoint) queuedAhead(row *ledger.Reservation) fleet.Tokens {
	return row.Ahead + e.grantedAbove(row.Priority) - row.Overtaken
}

// observePrefill checks whether a prompt's prefill takes far longer than at the warm pace. Long and partly cached
// prompts are not checked.
func (e *Endpoint) observePrefill(now time.Time, row *ledger.Reservation) {
	if row.Long || row.Uncached < row.Prompt {
		return
	}
	elapsed := now.Sub(row.GrantedAt)
	e.observeUnfinishedPrefill(now, warmup.Sample{
		PrefillTokens: row.Uncached,
		QueuedTokens:  e.queuedAhead(row),
		PrefillTime:   elapsed,
		Partial:       true,
	})
}

// observeUnfinishedPrefill checks a sample of a prefill that still runs, which can show only that the endpoint is slow.
// If a cold start is detected, it refuses queued requests beyond the cold limit.
func (e *Endpoint) observeUnfinishedPrefill(now time.Time, s warmup.Sample) {
	if e.warmth.ObserveUnfinishedPrefill(now, s) {
		e.refuseBeyondColdLimit()
	}
}

// observeDecode samples the decode pace of a running attempt once it has generated at least minSampleTokens since its
// last sample.
func (e *Endpoint) observeDecode(now time.Time, row *ledger.Reservation) {
	generated := row.Position - row.SampledPosition
	if row.SampledAt.IsZero() || generated < minSampleTokens {
		return
	}
	e.observeSample(now, warmup.Sample{
		GeneratedTokens: generated,
		DecodeTime:      now.Sub(row.SampledAt),
		OtherStreams:    e.ledger.Total().Running - 1,
		Partial:         true,
	})
	row.SampledAt = now
	row.SampledPosition = row.Position
}

// Release ends a reservation, samples the pace of a completed answer and adjusts the charge of the account to the work
// done. It returns nil, or a refusal if no reservation of that generation exists.
func (e *Endpoint) Release(now time.Time, r reservation.Release) *reservation.Refusal {
	key := ledger.Key{Reservation: r.Reservation, Generation: r.Generation}
	if r.Outcome == reservation.OutcomeDone || r.Incarnation > e.ledger.Incarnation() {
		e.observeIncarnation(now, r.Incarnation)
	}
	before := e.ledger.Total().Running
	row := e.ledger.Get(key)
	if row != nil && r.Incarnation != 0 {
		row.Incarnation = r.Incarnation
	}
	row = e.ledger.Release(now, key, r.Outcome != reservation.OutcomeBroken)
	if row == nil {
		return &reservation.Refusal{Reason: reservation.ReasonUnknownReservation}
	}
	if row.StartedAt.IsZero() {
		row.Ahead = e.queuedAhead(row)
	}
	e.observeOutcome(now, row, r, before-1)
	if row.Account != "" {
		e.queue.AdjustCharge(row.Account, e.cost(min(row.Uncached, r.PrefilledTokens), r.GeneratedTokens)-row.Charged)
	}
	e.process(now)
	return nil
}

// observeOutcome updates the pace and the warmth from the outcome of an attempt; others is the number of other
// reservations that were active when it ended.
func (e *Endpoint) observeOutcome(now time.Time, row *ledger.Reservation, r reservation.Release, others int) {
	switch r.Outcome {
	case reservation.OutcomeBroken, reservation.OutcomeNotRun:
		current := r.Incarnation == 0 || r.Incarnation >= e.ledger.Incarnation()
		if current && e.warmth.RecordBroken(now) {
			e.refuseBeyondColdLimit()
		}
	case reservation.OutcomeDone:
		e.observeSample(now, e.completedSample(row, r, others))
	}
}

// completedSample returns the pace sample of a completed answer. It has no prefill part if the prompt is long or was
// partly cached.
func (e *Endpoint) completedSample(row *ledger.Reservation, r reservation.Release, others int) warmup.Sample {
	s := warmup.Sample{OtherStreams: (others + row.Others) / 2}
	if row.Uncached == row.Prompt && !row.Long {
		s.PrefillTokens = r.PrefilledTokens
		s.QueuedTokens = row.Ahead
		s.PrefillTime = r.TimeToFirstToken
	}
	if r.GeneratedTokens > 1 {
		s.GeneratedTokens = r.GeneratedTokens - 1
		s.DecodeTime = r.DecodeTime
	}
	return s
}

// observeSample records a pace sample; if a cold start is detected, it refuses queued requests beyond the cold limit.
func (e *Endpoint) observeSample(now time.Time, s warmup.Sample) {
	if e.warmth.ObserveSample(now, s) {
		e.refuseBeyondColdLimit()
	}
}

// observeIncarnation records the incarnation in which the endpoint was observed; if a cold start is detected, it
// refuses queued requests beyond the cold limit.
func (e *Endpoint) observeIncarnation(now time.Time, incarnation fleet.Incarnation) {
	e.ledger.SetIncarnation(now, incarnation)
	if e.warmth.ObserveIncarnation(now, incarnation) {
		e.refuseBeyondColdLimit()
	}
}

// ObserveLoad records the endpoint's incarnation from a load report if it is later than the known one.
func (e *Endpoint) ObserveLoad(now time.Time, load fleet.Load) {
	if load.Incarnation > e.ledger.Incarnation() {
		e.observeIncarnation(now, load.Incarnation)
	}
	e.process(now)
}

// NextListing returns when the endpoint is to be listed next.
func (e *Endpoint) NextListing() time.Time {
	if e.resyncing || e.warmth.RestartSuspected() || e.ledger.HeldAndStray() > 0 {
		return e.listedAt.Add(e.Settings.UrgentListInterval)
	}
	return e.listedAt.Add(e.Settings.ListInterval)
}

// ObserveListing compares a listing that was requested at requestedAt with the ledger, and returns the attempts to
// cancel and the KV caches to drop.
func (e *Endpoint) ObserveListing(now, requestedAt time.Time, listing ledger.Listing) ledger.Reclaim {
	e.listedAt = now
	e.observeIncarnation(now, listing.Incarnation)
	reclaim := e.ledger.Reconcile(now, requestedAt, listing)
	e.process(now)
	return reclaim
}

// ObserveListingFailure records that the endpoint could not be listed.
func (e *Endpoint) ObserveListingFailure(now time.Time) {
	e.listedAt = now
	e.ledger.RecordListingFailure()
}

// ConfirmCanceled records that the endpoint has confirmed a cancellation and holds no more memory for the attempt.
func (e *Endpoint) ConfirmCanceled(now time.Time, attempt fleet.AttemptID) {
	e.ledger.ConfirmFreed(now, attempt)
	e.process(now)
}
