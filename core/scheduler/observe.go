package scheduler

import (
	"time"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/ledger"
	"wisteriadyke/core/reservation"
	"wisteriadyke/core/warmup"
)

// sampleTokens is the number of generated tokens after which the pace of a running attempt is looked at.
const sampleTokens fleet.Tokens = 8

// Renew records progress; the refusal tells that there is no such reservation of that generation.
func (e *Endpoint) Renew(now time.Time, p reservation.Progress) *reservation.Refusal {
	e.alive(now, p.Incarnation)
	key := ledger.Key{Reservation: p.Reservation, Generation: p.Generation}
	row := e.ledger.Get(key)
	first := row != nil && row.StartedAt.IsZero() && p.Started
	row = e.ledger.Renew(now, ledger.Progress{
		Key:         key,
		Started:     p.Started,
		Position:    p.Position,
		Incarnation: p.Incarnation,
	})
	if row == nil {
		return e.unknown()
	}
	switch {
	case first:
		e.noteFirstToken(now, row, p)
	case row.StartedAt.IsZero():
		e.noteReading(now, row)
	default:
		e.notePace(now, row)
	}
	e.pump(now)
	return nil
}

// unknown is the refusal of progress without a reservation. A new owner that still learns what the endpoint runs
// keeps the claim for its listing.
func (e *Endpoint) unknown() *reservation.Refusal {
	if e.resyncing {
		return &reservation.Refusal{Reason: reservation.ReasonResynchronizing}
	}
	return &reservation.Refusal{Reason: reservation.ReasonUnknownReservation}
}

// noteFirstToken looks whether the first token came far off the warm pace, if the entry tells when it came.
func (e *Endpoint) noteFirstToken(now time.Time, row *ledger.Reservation, p reservation.Progress) {
	row.Others = e.ledger.Total().Running - 1
	row.SampledAt = now
	row.SampledPosition = row.Position
	row.Ahead = e.ahead(row)
	if p.TimeToFirstToken > 0 && !row.Long && row.Uncached == row.Prompt {
		e.sample(now, warmup.Sample{PrefillTokens: p.PrefilledTokens, QueuedTokens: row.Ahead, PrefillTime: p.TimeToFirstToken, Partial: true})
	}
}

// ahead returns the prompt tokens that may have been read before a reservation's own: those unread when it was granted
// and those granted since that have overtaken it.
func (e *Endpoint) ahead(row *ledger.Reservation) fleet.Tokens {
	return row.Ahead + e.overtaking(row.Priority) - row.Overtaken
}

// noteReading looks whether a prompt is being read for far longer than the warm pace takes.
func (e *Endpoint) noteReading(now time.Time, row *ledger.Reservation) {
	if row.Long || row.Uncached < row.Prompt {
		return
	}
	elapsed := now.Sub(row.GrantedAt)
	e.overdue(now, warmup.Sample{PrefillTokens: row.Uncached, QueuedTokens: e.ahead(row), PrefillTime: elapsed, Partial: true})
}

// overdue passes on what a reading shows that is not done; only its slowness tells something.
func (e *Endpoint) overdue(now time.Time, s warmup.Sample) {
	if e.warmth.ObserveRunning(now, s) {
		e.shed()
	}
}

// notePace looks whether a running attempt is far off the warm pace.
func (e *Endpoint) notePace(now time.Time, row *ledger.Reservation) {
	generated := row.Position - row.SampledPosition
	if row.SampledAt.IsZero() || generated < sampleTokens {
		return
	}
	e.sample(now, warmup.Sample{
		Generated:    generated,
		GenerateTime: now.Sub(row.SampledAt),
		OtherStreams: e.ledger.Total().Running - 1,
		Partial:      true,
	})
	row.SampledAt = now
	row.SampledPosition = row.Position
}

// Release ends a reservation; the refusal tells that there is none of that generation.
func (e *Endpoint) Release(now time.Time, r reservation.Release) *reservation.Refusal {
	key := ledger.Key{Reservation: r.Reservation, Generation: r.Generation}
	if r.Outcome == reservation.OutcomeDone || r.Incarnation > e.ledger.Incarnation() {
		e.alive(now, r.Incarnation)
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
		row.Ahead = e.ahead(row)
	}
	e.noteOutcome(now, row, r, before-1)
	if row.Account != "" {
		e.queue.AdjustCharge(row.Account, e.cost(min(row.Uncached, r.PrefilledTokens), r.GeneratedTokens)-row.Charged)
	}
	e.pump(now)
	return nil
}

// noteOutcome learns the pace and the warmth from how an attempt ended.
func (e *Endpoint) noteOutcome(now time.Time, row *ledger.Reservation, r reservation.Release, others int) {
	switch r.Outcome {
	case reservation.OutcomeBroken, reservation.OutcomeNotRun:
		current := r.Incarnation == 0 || r.Incarnation >= e.ledger.Incarnation()
		if current && e.warmth.RecordBroken(now) {
			e.shed()
		}
	case reservation.OutcomeDone:
		e.sample(now, e.sampleOf(row, r, others))
	}
}

// sampleOf returns what a whole answer showed of the pace.
func (e *Endpoint) sampleOf(row *ledger.Reservation, r reservation.Release, others int) warmup.Sample {
	s := warmup.Sample{OtherStreams: (others + row.Others) / 2}
	if row.Uncached == row.Prompt && !row.Long {
		s.PrefillTokens = r.PrefilledTokens
		s.QueuedTokens = row.Ahead
		s.PrefillTime = r.TimeToFirstToken
	}
	if r.GeneratedTokens > 1 {
		s.Generated = r.GeneratedTokens - 1
		s.GenerateTime = r.DecodeTime
	}
	return s
}

// sample passes on what an attempt showed of the pace, and refuses what a cold endpoint can't bear.
func (e *Endpoint) sample(now time.Time, s warmup.Sample) {
	if e.warmth.Observe(now, s) {
		e.shed()
	}
}

// alive tells the life that the endpoint was seen in.
func (e *Endpoint) alive(now time.Time, incarnation fleet.Incarnation) {
	e.ledger.SetIncarnation(now, incarnation)
	if e.warmth.ObserveIncarnation(now, incarnation) {
		e.shed()
	}
}

// ObserveLoad takes a load report, which tells the life of the endpoint.
func (e *Endpoint) ObserveLoad(now time.Time, load fleet.Load) {
	if load.Incarnation > e.ledger.Incarnation() {
		e.alive(now, load.Incarnation)
	}
	e.pump(now)
}

// NextListing returns when the endpoint is to be listed next.
func (e *Endpoint) NextListing() time.Time {
	if e.resyncing || e.warmth.Suspect() || e.ledger.Held() > 0 {
		return e.sweptAt.Add(e.Settings.UrgentListInterval)
	}
	return e.sweptAt.Add(e.Settings.ListInterval)
}

// ObserveListing takes a listing that was asked for at begun and returns what is to be reclaimed.
func (e *Endpoint) ObserveListing(now, begun time.Time, listing ledger.Listing) ledger.Reclaim {
	e.sweptAt = now
	e.alive(now, listing.Incarnation)
	reclaim := e.ledger.Reconcile(now, begun, listing)
	e.pump(now)
	return reclaim
}

// ObserveListingFailure tells that the endpoint could not be listed.
func (e *Endpoint) ObserveListingFailure(now time.Time) {
	e.sweptAt = now
	e.ledger.RecordListingFailure()
}

// ConfirmCanceled tells that the endpoint holds nothing more for an attempt.
func (e *Endpoint) ConfirmCanceled(now time.Time, attempt fleet.AttemptID) {
	e.ledger.ConfirmFreed(now, attempt)
	e.pump(now)
}
