package operator

import (
	"encoding/json"
	"time"

	"github.com/kataras/iris/v12"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/timeline"
)

// eventBody is the JSON form of an event.
type eventBody struct {
	At           time.Time        `json:"at"`
	Logical      uint32           `json:"logical,omitempty"`
	Sequence     uint64           `json:"sequence"`
	Entry        fleet.EntryID    `json:"entry"`
	Kind         timeline.Kind    `json:"kind"`
	Request      fleet.RequestID  `json:"request,omitempty"`
	Attempt      fleet.AttemptID  `json:"attempt,omitempty"`
	Endpoint     fleet.EndpointID `json:"endpoint,omitempty"`
	Account      fleet.AccountID  `json:"account,omitempty"`
	Class        fleet.ClassName  `json:"class,omitempty"`
	Zone         fleet.Zone       `json:"zone,omitempty"`
	Peer         fleet.EntryID    `json:"peer,omitempty"`
	Reason       string           `json:"reason,omitempty"`
	Tokens       fleet.Tokens     `json:"tokens,omitempty"`
	TookUS       int64            `json:"took_us,omitempty"`
	RetryAfterMS int64            `json:"retry_after_ms,omitempty"`
	PredictedMS  int64            `json:"predicted_ms,omitempty"`
	Revision     uint64           `json:"revision,omitempty"`
}

// handleTimeline serves GET /v1/timeline with one JSON object per line.
func (s *Server) handleTimeline(ctx iris.Context) {
	events := s.Timeline.Events(timeline.Filter{
		Request:  fleet.RequestID(ctx.URLParam("request")),
		Endpoint: fleet.EndpointID(ctx.URLParam("endpoint")),
		Account:  fleet.AccountID(ctx.URLParam("account")),
	})
	ctx.ContentType("application/x-ndjson")
	encoder := json.NewEncoder(ctx.ResponseWriter())
	for _, event := range events {
		if err := encoder.Encode(toEventBody(event)); err != nil {
			return
		}
	}
}

// EncodeEvent returns the JSON form of an event, as in a line of the response of GET /v1/timeline.
func EncodeEvent(event timeline.Event) ([]byte, error) {
	return json.Marshal(toEventBody(event))
}

// DecodeEvent decodes one line of the response of GET /v1/timeline.
func DecodeEvent(data []byte) (timeline.Event, error) {
	var body eventBody
	err := json.Unmarshal(data, &body)
	return fromEventBody(body), err
}

// toEventBody converts an event to its JSON form. Durations are truncated to the unit of the field, microseconds (US)
// or milliseconds (MS).
func toEventBody(e timeline.Event) eventBody {
	return eventBody{
		At:           e.Timestamp.Wall.UTC(),
		Logical:      e.Timestamp.Logical,
		Sequence:     e.Sequence,
		Entry:        e.Entry,
		Kind:         e.Kind,
		Request:      e.Request,
		Attempt:      e.Attempt,
		Endpoint:     e.Endpoint,
		Account:      e.Account,
		Class:        e.Class,
		Zone:         e.Zone,
		Peer:         e.Peer,
		Reason:       e.Reason,
		Tokens:       e.Tokens,
		TookUS:       e.Duration.Microseconds(),
		RetryAfterMS: e.RetryAfter.Milliseconds(),
		PredictedMS:  e.Predicted.Milliseconds(),
		Revision:     e.Revision,
	}
}

// fromEventBody converts the JSON form to an event.
func fromEventBody(b eventBody) timeline.Event {
	return timeline.Event{
		Timestamp:  timeline.Timestamp{Wall: b.At, Logical: b.Logical},
		Sequence:   b.Sequence,
		Entry:      b.Entry,
		Kind:       b.Kind,
		Request:    b.Request,
		Attempt:    b.Attempt,
		Endpoint:   b.Endpoint,
		Account:    b.Account,
		Class:      b.Class,
		Zone:       b.Zone,
		Peer:       b.Peer,
		Reason:     b.Reason,
		Tokens:     b.Tokens,
		Duration:   time.Duration(b.TookUS) * time.Microsecond,
		RetryAfter: time.Duration(b.RetryAfterMS) * time.Millisecond,
		Predicted:  time.Duration(b.PredictedMS) * time.Millisecond,
		Revision:   b.Revision,
	}
}
