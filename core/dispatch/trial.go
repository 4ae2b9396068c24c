package dispatch

import (
	"context"
	"time"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/quarantine"
	"wisteriadyke/core/retry"
	"wisteriadyke/core/timeline"
)

// checkSuspicion reports whether the request must run exclusively on its endpoint. It returns a failure if the request
// must not run through this entry.
func (r *requestRun) checkSuspicion(ctx context.Context) (exclusive bool, err error) {
	if err := r.checkParts(); err != nil {
		return false, err
	}
	switch r.Suspects.Status(r.fingerprint) {
	case retry.StatusTrial:
		return r.beginTrial()
	case retry.StatusTrialElsewhere:
		return false, r.newFailure(ReasonOnTrial, jitter(defaultRetryAfter))
	case retry.StatusQuarantined:
		if r.Suspects.DeathLimit > 0 {
			return false, r.newFailure(ReasonQuarantined, 0)
		}
		return r.verifyDeaths(ctx)
	default:
		return false, nil
	}
}

// checkParts returns a failure if the prompt contains parts that crash endpoints.
func (r *requestRun) checkParts() error {
	if r.Parts == nil {
		return nil
	}
	group, blocked := r.Parts.Blocked(r.request.SharedParts, time.Now())
	if !blocked {
		return nil
	}
	r.Log.Info().
		Str("request", string(r.request.ID)).
		Strs("shared_parts", quarantine.Names(group.Parts)).
		Int("deaths", group.Deaths).
		Dur("since_death_ms", time.Since(group.LastDeath)).
		Int("attempts", r.attempts).
		Msg("dispatch: request refused, since its prompt parts crash endpoints")
	return r.newFailure(ReasonQuarantined, 0)
}

// beginTrial starts an exclusive trial of the request or continues that of an earlier attempt, and returns true. It
// returns a failure if another copy of the request is on trial.
func (r *requestRun) beginTrial() (exclusive bool, err error) {
	if !r.onTrial && !r.Suspects.BeginTrial(r.fingerprint) {
		return false, r.newFailure(ReasonOnTrial, jitter(defaultRetryAfter))
	}
	r.onTrial = true
	return true, nil
}

// verifyDeaths checks the recorded deaths of a quarantined request again, since an endpoint whose incarnation still
// runs was merely unresponsive. The request is refused permanently if enough deaths are confirmed. It is refused with a
// retry delay if there would be enough with the endpoints that do not answer now. Otherwise it is put on trial.
func (r *requestRun) verifyDeaths(ctx context.Context) (exclusive bool, err error) {
	dead, unresponsive := r.countDeaths(ctx)
	switch {
	case dead >= retry.TrialDeathLimit:
		return false, r.newFailure(ReasonQuarantined, 0)
	case dead+unresponsive >= retry.TrialDeathLimit:
		return false, r.newFailure(ReasonOnTrial, jitter(defaultRetryAfter))
	default:
		return r.beginTrial()
	}
}

// countDeaths counts the recorded incarnations that have ended, and those whose endpoint does not answer. An endpoint
// that is no longer in the cluster state counts as dead.
func (r *requestRun) countDeaths(ctx context.Context) (dead, unresponsive int) {
	record, _ := r.Suspects.Record(r.fingerprint)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), diagnoseTimeout)
	defer cancel()
	for _, death := range record.Deaths {
		endpoint, found := r.State.Endpoints.Get(death.Endpoint)
		if !found {
			dead++
			continue
		}
		current, err := r.Engines.Incarnation(ctx, endpoint)
		switch {
		case err != nil:
			unresponsive++
		case current != death.Incarnation:
			dead++
		}
	}
	return dead, unresponsive
}

// observedDeath describes an attempt that was running at an endpoint when it died.
type observedDeath struct {
	request     fleet.RequestID
	account     fleet.AccountID
	class       fleet.ClassName
	fingerprint retry.Fingerprint
	attempt     fleet.AttemptID
	death       retry.Death
	// parts holds the parts of the prompt that other requests may share.
	parts []fleet.PromptPart
	// sentAt is when the attempt was sent, and brokeAt when its connection broke.
	sentAt, brokeAt time.Time
	// settled reports whether the attempt had been answered for quarantine.SettleTime.
	settled bool
	// survived reports whether the request was answered after the attempt.
	survived bool
}

// observedDeath returns the description of the attempt, whose endpoint has died.
func (a *attemptRun) observedDeath(result attemptResult) observedDeath {
	incarnation := result.release.Incarnation
	if incarnation == 0 {
		incarnation = a.endpoint.Incarnation
	}
	return observedDeath{
		request:     a.request.ID,
		account:     a.request.Account,
		class:       a.request.Class,
		fingerprint: a.fingerprint,
		attempt:     a.id,
		death:       retry.Death{Endpoint: a.endpoint.ID, Incarnation: incarnation},
		parts:       a.request.SharedParts,
		sentAt:      a.sentAt,
		brokeAt:     result.endedAt,
		settled:     a.settled,
	}
}

// recordDeath records the death of the endpoint that ran an attempt, and that the request is suspected or quarantined.
// Where parts of prompts are tracked, they are suspected as well, but not if the answer had gone on for
// quarantine.SettleTime; the request itself is then suspected less.
func (d *Dispatcher) recordDeath(ctx context.Context, o observedDeath) {
	record := func(kind timeline.Kind) {
		d.Timeline.Record(timeline.Event{
			Kind: kind, Request: o.request, Account: o.account, Class: o.class, Attempt: o.attempt, Endpoint: o.death.Endpoint,
		})
	}
	d.increment(metricEndpointDeaths)
	record(timeline.KindEndpointDied)
	settled := d.Parts != nil && o.settled
	if d.Parts != nil && !settled {
		d.Parts.RecordDeath(quarantine.Report{
			Attempt: o.attempt, Request: o.fingerprint, Death: o.death, SentAt: o.sentAt, DiedAt: o.brokeAt, Parts: o.parts,
		}, time.Now())
	}
	if o.survived {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	span := retry.Span{SentAt: o.sentAt, BrokeAt: o.brokeAt, Settled: settled}
	if d.Suspects.RecordAttempt(ctx, o.fingerprint, o.death, span).Quarantined() {
		record(timeline.KindQuarantined)
		return
	}
	record(timeline.KindSuspected)
}
