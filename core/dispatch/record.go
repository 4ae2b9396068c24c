package dispatch

import (
	"errors"
	"syscall"
	"time"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/quarantine"
	"wisteriadyke/core/reservation"
	"wisteriadyke/core/timeline"
)

// record appends an event of this request to the timeline.
func (r *requestRun) record(event timeline.Event) {
	event.Request = r.request.ID
	event.Account = r.request.Account
	event.Class = r.request.Class
	r.Timeline.Record(event)
}

// recordRefusal records and logs the refusal of a reservation. The event, unlike the log line, includes the predicted
// time to the first token if the refusal has one.
func (r *requestRun) recordRefusal(endpoint fleet.Endpoint, refusal *reservation.Refusal) {
	event := timeline.Event{
		Kind:       timeline.KindReservationRefused,
		Endpoint:   endpoint.ID,
		Reason:     string(refusal.Reason),
		RetryAfter: refusal.RetryAfter,
	}
	if !refusal.PredictedStart.IsZero() {
		event.Predicted = time.Until(refusal.PredictedStart)
	}
	r.record(event)
	r.Log.Info().
		Str("request", string(r.request.ID)).
		Str("endpoint", string(endpoint.ID)).
		Str("reason", string(refusal.Reason)).
		Dur("retry_after_ms", refusal.RetryAfter).
		Msg("dispatch: reservation refused")
}

// recordEnd records and logs the end of an attempt. The log line includes the entry that granted the reservation and
// the predicted time to the first token.
func (r *requestRun) recordEnd(a *attemptRun, result attemptResult) {
	r.Log.Info().
		Str("request", string(r.request.ID)).
		Str("attempt", string(a.id)).
		Str("endpoint", string(a.endpoint.ID)).
		Str("chosen_by", string(a.grant.Owner)).
		Strs("helpers", helperNames(a.grant.Helpers)).
		Int64("prompt_tokens", int64(r.request.PromptTokens)).
		Dur("predicted_ms", a.grant.Predicted).
		Dur("ran_ms", result.endedAt.Sub(a.sentAt)).
		Dur("list_age_ms", a.listAge).
		Dur("first_token_ms", result.release.TimeToFirstToken).
		Dur("answer_ms", result.release.DecodeTime).
		Dur("longest_pause_ms", result.longestPause).
		Int64("generated", int64(result.release.GeneratedTokens)).
		Str("outcome", string(result.release.Outcome)).
		Str("at_fault", string(result.release.FailedHelper)).
		Bool("silent", isSilence(result.cause)).
		AnErr("cause", result.cause).
		Msg("dispatch: attempt ended")
	r.record(timeline.Event{
		Kind:     timeline.KindAttemptEnded,
		Attempt:  a.id,
		Endpoint: a.endpoint.ID,
		Reason:   string(result.release.Outcome),
		Tokens:   result.release.GeneratedTokens,
		Duration: result.release.TimeToFirstToken + result.release.DecodeTime,
	})
}

// currentListAge returns how old the list of endpoints is, or -1 if that is not known.
func (r *requestRun) currentListAge() time.Duration {
	if r.ListAge == nil {
		return -1
	}
	age, known := r.ListAge()
	if !known {
		return -1
	}
	return age
}

// isSilence reports whether a connection failed because its endpoint was silent for too long.
func isSilence(err error) bool {
	return errors.Is(err, syscall.ETIMEDOUT)
}

// recordDiagnosis logs what was found about the endpoint of a broken attempt, with what may identify the cause.
func (r *requestRun) recordDiagnosis(a *attemptRun, result attemptResult, d diagnosis) {
	r.Log.Info().
		Str("request", string(r.request.ID)).
		Str("attempt", string(a.id)).
		Str("endpoint", string(a.endpoint.ID)).
		Uint64("incarnation", uint64(a.endpoint.Incarnation)).
		Str("diagnosis", string(d)).
		Int64("generated", int64(result.release.GeneratedTokens)).
		Strs("shared_parts", quarantine.Names(r.request.SharedParts)).
		Msg("dispatch: broken attempt diagnosed")
}

// helperNames returns the endpoint IDs of the prefill helpers as strings for the log.
func helperNames(helpers []reservation.Helper) []string {
	names := make([]string, 0, len(helpers))
	for _, h := range helpers {
		names = append(names, string(h.Endpoint))
	}
	return names
}

// recordFinish counts, records and logs the end of the request.
func (r *requestRun) recordFinish(err error) {
	r.Log.Info().
		Str("request", string(r.request.ID)).
		Str("account", string(r.request.Account)).
		Str("class", string(r.request.Class)).
		Str("pool", string(r.request.Pool)).
		Int64("prompt_tokens", int64(r.request.PromptTokens)).
		Str("forwarded_by", string(r.request.ForwardedBy)).
		Int("attempts", r.attempts).
		Dur("took_ms", time.Since(r.arrivedAt)).
		AnErr("failure", err).
		Msg("dispatch: request ended")
	if err == nil {
		r.increment(metricDone)
		r.record(timeline.Event{Kind: timeline.KindRequestDone, Tokens: r.position, Duration: time.Since(r.arrivedAt)})
		return
	}
	r.increment(metricFailed)
	event := timeline.Event{Kind: timeline.KindRequestFailed, Reason: ReasonCallerDisconnected, Duration: time.Since(r.arrivedAt)}
	var failure *Failure
	if errors.As(err, &failure) {
		event.Reason = string(failure.State) + ": " + failure.Reason
		event.RetryAfter = failure.RetryAfter
	}
	r.record(event)
}
