package sharedload

import (
	"context"
	"time"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/placement"
	"wisteriadyke/core/reservation"
)

const (
	// minLoggedWait is the time from which a request that was placed without the reply that it waits counts as one that
	// waited: longer than a choice and its messages normally take.
	minLoggedWait = 25 * time.Millisecond
	// stoppingRetryAfter is the retry delay for a request that waits at an entry that stops; on a new connection, another
	// entry serves the retry.
	stoppingRetryAfter = 100 * time.Millisecond
	// lateRetryAfter is the retry delay for a request whose time has passed; its caller normally doesn't return.
	lateRetryAfter = 100 * time.Millisecond
)

// Outcomes of a wait in the log.
const (
	outcomePlaced     = "placed"
	outcomeRefused    = "refused"
	outcomeLeft       = "left"
	outcomeHandedOver = "handed_over"
)

// wait is the wait of one request at this entry.
type wait struct {
	reserver  *Reserver
	request   reservation.Request
	need      placement.Need
	startedAt time.Time
	// unknown holds the endpoints that were chosen for the request before although this entry doesn't know them.
	unknown map[fleet.EndpointID]bool
	// chooser is the entry that last replied that the request waits, or "" if none did.
	chooser fleet.EntryID
	// heldBytes is the memory that the request holds of Reserver.WaitMemory; hasMemory reports whether it holds any.
	heldBytes int64
	hasMemory bool
}

// await returns the choice for a request that may wait, and the function that settles it. It asks again as long as the
// reply is that the request waits, with the time of its arrival, so that any chooser continues with the same order. A
// wait ends with a refusal when this entry stops, and when the request can't be served in time any more.
//
// Load pattern: a chooser dies while hundreds of requests wait. Each entry asks the next chooser for its own requests.
func (g *Reserver) await(
	ctx context.Context, request reservation.Request, need placement.Need,
) (Choice, func(), error) {
	w := &wait{reserver: g, request: request, need: need, startedAt: time.Now(), unknown: g.unknownOf(need.Excluded)}
	defer w.releaseMemory()
	askCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	if g.Draining != nil {
		stop := context.AfterFunc(g.Draining, cancel)
		defer stop()
	}
	for {
		askedAt := time.Now()
		choice, settle, err := g.Choosers.Choose(askCtx, w.need)
		if err == nil && choice.Waiting {
			settle()
		}
		switch {
		case ctx.Err() != nil:
			if err == nil && !choice.Waiting {
				settle()
			}
			w.logEnd(outcomeLeft, choice.Chooser, "")
			return Choice{}, nil, &reservation.Refusal{Reason: reservation.ReasonUnreachable}
		case err == nil && !choice.Waiting:
			if !time.Now().After(w.need.LatestStart) {
				w.logEnd(outcomePlaced, choice.Chooser, "")
				return choice, settle, nil
			}
			// This entry was frozen, and the caller has given up meanwhile.
			settle()
			return Choice{}, nil, w.refuse(reservation.ReasonWaitTooLong, lateRetryAfter)
		case g.isDraining():
			return Choice{}, nil, w.refuse(reservation.ReasonEntryStopping, stoppingRetryAfter)
		case err != nil:
			w.logRefused(err)
			return Choice{}, nil, err
		}
		if refusal := w.next(askCtx, choice.Chooser, askedAt); refusal != nil {
			return Choice{}, nil, refusal
		}
	}
}

// next prepares to ask again after the reply that the request waits, or returns the refusal that ends the wait.
func (w *wait) next(ctx context.Context, chooser fleet.EntryID, askedAt time.Time) error {
	if w.chooser != "" && w.chooser != chooser {
		w.logEnd(outcomeHandedOver, chooser, "")
	}
	w.chooser = chooser
	if !w.acquireMemory() {
		return w.refuse(reservation.ReasonWaitingMemory, fullRetryAfter)
	}
	if time.Now().After(w.need.LatestStart) {
		return w.refuse(reservation.ReasonWaitTooLong, lateRetryAfter)
	}
	if early := askInterval - time.Since(askedAt); early > 0 {
		timer := time.NewTimer(early)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	w.need.Excluded = w.reserver.excluded(w.request, time.Now())
	for id := range w.unknown {
		w.need.Excluded[id] = true
	}
	return nil
}

// unknownOf returns the endpoints of a set that this entry doesn't list.
func (g *Reserver) unknownOf(excluded map[fleet.EndpointID]bool) map[fleet.EndpointID]bool {
	unknown := make(map[fleet.EndpointID]bool)
	listed := g.Views.View().Endpoints
	for id := range excluded {
		if _, found := listed[id]; !found {
			unknown[id] = true
		}
	}
	return unknown
}

// isDraining reports whether this entry stops to serve.
func (g *Reserver) isDraining() bool {
	return g.Draining != nil && g.Draining.Err() != nil
}

// acquireMemory reserves the memory of the request's body in WaitMemory, unless it was done before; it reports false if
// there is not enough.
func (w *wait) acquireMemory() bool {
	memory := w.reserver.WaitMemory
	if memory == nil || w.hasMemory {
		return true
	}
	if !memory.TryAcquire(w.request.BodyBytes) {
		return false
	}
	w.heldBytes, w.hasMemory = w.request.BodyBytes, true
	return true
}

// releaseMemory releases the memory that acquireMemory reserved.
func (w *wait) releaseMemory() {
	if w.hasMemory {
		w.reserver.WaitMemory.Release(w.heldBytes)
	}
}

// refuse logs the end of the wait and returns a refusal.
func (w *wait) refuse(reason reservation.Reason, retryAfter time.Duration) error {
	refusal := &reservation.Refusal{Reason: reason, RetryAfter: retryAfter}
	w.logRefused(refusal)
	return refusal
}

// logRefused logs that the wait ends with a refusal by the chooser or this entry.
func (w *wait) logRefused(err error) {
	w.logEnd(outcomeRefused, w.chooser, err.Error())
}

// logEnd logs the end of the wait, or that another chooser takes it over; a request that did not wait is not logged.
func (w *wait) logEnd(outcome string, chooser fleet.EntryID, reason string) {
	waited := time.Since(w.startedAt)
	if w.chooser == "" && waited < minLoggedWait {
		return
	}
	w.reserver.Choosers.Log.Info().
		Str("request", string(w.need.Request)).
		Str("pool", string(w.need.Pool)).
		Int("rank", w.need.Rank).
		Dur("waited_ms", waited).
		Str("outcome", outcome).
		Str("chooser", string(chooser)).
		Str("reason", reason).
		Msg("sharedload: request ends its wait")
}
