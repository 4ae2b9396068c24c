package dispatch

import (
	"context"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/retry"
	"wisteriadyke/core/timeline"
)

// standing returns whether the request must run alone, or the failure of a request that may not run here.
func (r *run) standing(ctx context.Context) (exclusive bool, err error) {
	switch r.Suspects.Status(r.fingerprint) {
	case retry.StatusTrial:
		return r.beginTrial()
	case retry.StatusTrialElsewhere:
		return false, r.failure(ReasonOnTrial, jitter(comeBackAfter))
	case retry.StatusQuarantined:
		if r.Suspects.DeathLimit > 0 {
			return false, r.failure(ReasonQuarantined, 0)
		}
		return r.verify(ctx)
	default:
		return false, nil
	}
}

// beginTrial lets the request run alone, unless another copy of it is on trial.
func (r *run) beginTrial() (exclusive bool, err error) {
	if !r.onTrial && !r.Suspects.BeginTrial(r.fingerprint) {
		return false, r.failure(ReasonOnTrial, jitter(comeBackAfter))
	}
	r.onTrial = true
	return true, nil
}

// verify looks again at the deaths that were noted of the request: a life that goes on was merely silent. A request that
// may have crashed too many endpoints is not run, and comes back later if that is not sure yet.
func (r *run) verify(ctx context.Context) (exclusive bool, err error) {
	dead, silent := r.lost(ctx)
	switch {
	case dead >= retry.DeathsToQuarantine:
		return false, r.failure(ReasonQuarantined, 0)
	case dead+silent >= retry.DeathsToQuarantine:
		return false, r.failure(ReasonOnTrial, jitter(comeBackAfter))
	default:
		return r.beginTrial()
	}
}

// lost counts the noted lives that have surely ended and those that do not answer.
func (r *run) lost(ctx context.Context) (dead, silent int) {
	note, _ := r.Suspects.Record(r.fingerprint)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), diagnoseTimeout)
	defer cancel()
	for _, death := range note.Deaths {
		endpoint, found := r.State.Endpoints.Get(death.Endpoint)
		if !found {
			dead++
			continue
		}
		now, err := r.Engines.Incarnation(ctx, endpoint)
		switch {
		case err != nil:
			silent++
		case now != death.Incarnation:
			dead++
		}
	}
	return dead, silent
}

// died notes the death of the endpoint that ran the attempt.
func (r *run) died(ctx context.Context, a *attempt, incarnation fleet.Incarnation) {
	r.count(metricDeaths)
	r.record(timeline.Event{Kind: timeline.KindEndpointDied, Attempt: a.id, Endpoint: a.endpoint.ID})
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	note := r.Suspects.RecordDeath(ctx, r.fingerprint, retry.Death{Endpoint: a.endpoint.ID, Incarnation: incarnation})
	kind := timeline.KindSuspected
	if note.Quarantined() {
		kind = timeline.KindQuarantined
	}
	r.record(timeline.Event{Kind: kind, Attempt: a.id, Endpoint: a.endpoint.ID})
}
