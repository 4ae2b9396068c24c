package peer

import (
	"time"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/reservation"
)

// toReserveRequest converts a reservation request to its message, with deadlines relative to now.
func toReserveRequest(r reservation.Request, now time.Time) *ReserveRequest {
	return &ReserveRequest{
		Endpoint:       string(r.Endpoint),
		Request:        string(r.Request),
		Attempt:        string(r.Attempt),
		Entry:          string(r.Entry),
		Account:        string(r.Account),
		Class:          string(r.Class),
		Weight:         r.Weight,
		Priority:       int64(r.Priority),
		PromptTokens:   int64(r.PromptTokens),
		OutputTokens:   int64(r.MaxTokens),
		CachedTokens:   int64(r.CachedTokens),
		StartWithinUs:  r.FirstTokenDeadline.Sub(now).Microseconds(),
		FinishWithinUs: r.Deadline.Sub(now).Microseconds(),
		Exclusive:      r.Exclusive,
	}
}

// fromReserveRequest converts a message received at now to a reservation request.
func fromReserveRequest(m *ReserveRequest, now time.Time) reservation.Request {
	return reservation.Request{
		Endpoint:           fleet.EndpointID(m.Endpoint),
		Request:            fleet.RequestID(m.Request),
		Attempt:            fleet.AttemptID(m.Attempt),
		Entry:              fleet.EntryID(m.Entry),
		Account:            fleet.AccountID(m.Account),
		Class:              fleet.ClassName(m.Class),
		Weight:             m.Weight,
		Priority:           int(m.Priority),
		PromptTokens:       fleet.Tokens(m.PromptTokens),
		MaxTokens:          fleet.Tokens(m.OutputTokens),
		CachedTokens:       fleet.Tokens(m.CachedTokens),
		FirstTokenDeadline: now.Add(microseconds(m.StartWithinUs)),
		Deadline:           now.Add(microseconds(m.FinishWithinUs)),
		Exclusive:          m.Exclusive,
	}
}

// toReserveReply converts a grant to its message.
func toReserveReply(g reservation.Grant) *ReserveReply {
	return &ReserveReply{
		Reservation: string(g.Reservation),
		Generation:  uint64(g.Generation),
		Fence:       uint64(g.Fence),
		Owner:       string(g.Owner),
		Priority:    int64(g.Priority),
		LeaseUs:     g.Lease.Microseconds(),
	}
}

// fromReserveReply converts a message received at now to a grant; the error is the refusal, if the message holds one.
func fromReserveReply(endpoint fleet.EndpointID, m *ReserveReply, now time.Time) (reservation.Grant, error) {
	if m.Refusal != nil {
		return reservation.Grant{}, fromRefusal(m.Refusal, now)
	}
	return reservation.Grant{
		Endpoint:    endpoint,
		Reservation: fleet.ReservationID(m.Reservation),
		Generation:  fleet.Generation(m.Generation),
		Fence:       fleet.Fence(m.Fence),
		Owner:       fleet.EntryID(m.Owner),
		Priority:    int(m.Priority),
		Lease:       microseconds(m.LeaseUs),
	}, nil
}

// toRefusal converts a refusal to its message, with the predicted start relative to now.
func toRefusal(r *reservation.Refusal, now time.Time) *Refusal {
	m := &Refusal{
		Reason:       string(r.Reason),
		RetryAfterUs: r.RetryAfter.Microseconds(),
	}
	if !r.PredictedStart.IsZero() {
		m.PredictedStartWithinUs = r.PredictedStart.Sub(now).Microseconds()
	}
	return m
}

// fromRefusal converts a message received at now to a refusal.
func fromRefusal(m *Refusal, now time.Time) *reservation.Refusal {
	r := &reservation.Refusal{
		Reason:     reservation.Reason(m.Reason),
		RetryAfter: microseconds(m.RetryAfterUs),
	}
	if m.PredictedStartWithinUs != 0 {
		r.PredictedStart = now.Add(microseconds(m.PredictedStartWithinUs))
	}
	return r
}

// toRenewRequest converts progress to its message.
func toRenewRequest(p reservation.Progress) *RenewRequest {
	return &RenewRequest{
		Endpoint:    string(p.Endpoint),
		Reservation: string(p.Reservation),
		Generation:  uint64(p.Generation),
		Incarnation: uint64(p.Incarnation),
		Started:     p.Started,
		Position:    int64(p.Position),
		ReadTokens:  int64(p.PrefilledTokens),
		ReadTimeUs:  p.TimeToFirstToken.Microseconds(),
	}
}

// fromRenewRequest converts a message to progress.
func fromRenewRequest(m *RenewRequest) reservation.Progress {
	return reservation.Progress{
		Endpoint:         fleet.EndpointID(m.Endpoint),
		Reservation:      fleet.ReservationID(m.Reservation),
		Generation:       fleet.Generation(m.Generation),
		Incarnation:      fleet.Incarnation(m.Incarnation),
		Started:          m.Started,
		Position:         fleet.Tokens(m.Position),
		PrefilledTokens:  fleet.Tokens(m.ReadTokens),
		TimeToFirstToken: microseconds(m.ReadTimeUs),
	}
}

// toReleaseRequest converts a release to its message.
func toReleaseRequest(r reservation.Release) *ReleaseRequest {
	return &ReleaseRequest{
		Endpoint:        string(r.Endpoint),
		Reservation:     string(r.Reservation),
		Generation:      uint64(r.Generation),
		Outcome:         string(r.Outcome),
		Incarnation:     uint64(r.Incarnation),
		ReadTokens:      int64(r.PrefilledTokens),
		ReadTimeUs:      r.TimeToFirstToken.Microseconds(),
		GeneratedTokens: int64(r.GeneratedTokens),
		GenerateTimeUs:  r.DecodeTime.Microseconds(),
	}
}

// fromReleaseRequest converts a message to a release.
func fromReleaseRequest(m *ReleaseRequest) reservation.Release {
	return reservation.Release{
		Endpoint:         fleet.EndpointID(m.Endpoint),
		Reservation:      fleet.ReservationID(m.Reservation),
		Generation:       fleet.Generation(m.Generation),
		Outcome:          reservation.Outcome(m.Outcome),
		Incarnation:      fleet.Incarnation(m.Incarnation),
		PrefilledTokens:  fleet.Tokens(m.ReadTokens),
		TimeToFirstToken: microseconds(m.ReadTimeUs),
		GeneratedTokens:  fleet.Tokens(m.GeneratedTokens),
		DecodeTime:       microseconds(m.GenerateTimeUs),
	}
}

// microseconds returns a duration of count microseconds.
func microseconds(count int64) time.Duration {
	return time.Duration(count) * time.Microsecond
}
