package caller

import (
	"encoding/json"
	"math"
	"strconv"
	"time"

	"github.com/kataras/iris/v12"
	"github.com/pkg/errors"

	"wisteriadyke/core/dispatch"
	"wisteriadyke/core/fleet"
)

// failureBody is the JSON body of the response to a failed request.
type failureBody struct {
	Error failureDetail `json:"error"`
}

// failureDetail describes a request that got no complete answer.
type failureDetail struct {
	RequestID    fleet.RequestID `json:"request_id,omitempty"`
	State        dispatch.State  `json:"state"`
	Reason       string          `json:"reason"`
	Message      string          `json:"message,omitempty"`
	RetryAfterMS int64           `json:"retry_after_ms,omitempty"`
	Result       json.RawMessage `json:"result,omitempty"`
	// EarlierUnknown reports whether an earlier call with the same key may have run although this one has not.
	EarlierUnknown bool `json:"earlier_unknown,omitempty"`
}

// toFailureDetail converts a failure to its JSON form.
func toFailureDetail(id fleet.RequestID, failure *dispatch.Failure) failureDetail {
	return failureDetail{
		RequestID:    id,
		State:        failure.State,
		Reason:       failure.Reason,
		RetryAfterMS: failure.RetryAfter.Milliseconds(),
		Result:       asJSON(failure.Detail),

		EarlierUnknown: failure.EarlierUnknown,
	}
}

// asJSON returns an endpoint's answer as JSON; an answer that is not valid JSON becomes a JSON string.
func asJSON(answer []byte) json.RawMessage {
	if len(answer) == 0 || json.Valid(answer) {
		return answer
	}
	text, _ := json.Marshal(string(answer))
	return text
}

// asFailure returns the *dispatch.Failure in err; any other error becomes an internal failure of this entry.
func asFailure(err error) *dispatch.Failure {
	var failure *dispatch.Failure
	if errors.As(err, &failure) {
		return failure
	}
	return &dispatch.Failure{State: dispatch.StateFailed, Reason: "internal"}
}

// writeFailure writes the failure of a request whose response has not started.
func writeFailure(ctx iris.Context, id fleet.RequestID, failure *dispatch.Failure) {
	if failure.RetryAfter > 0 {
		ctx.Header("Retry-After", strconv.Itoa(int(math.Ceil(failure.RetryAfter.Seconds()))))
	}
	ctx.StatusCode(statusOf(failure))
	_ = ctx.JSON(failureBody{Error: toFailureDetail(id, failure)})
}

// writeRefusal writes the refusal of an invalid or unauthorized request, which is not run.
func writeRefusal(ctx iris.Context, status int, reason, message string) {
	ctx.StatusCode(status)
	_ = ctx.JSON(failureBody{Error: failureDetail{State: dispatch.StateNotRun, Reason: reason, Message: message}})
}

// statusOf returns the HTTP status of a failure.
func statusOf(failure *dispatch.Failure) int {
	switch {
	case failure.Reason == dispatch.ReasonTimeout:
		return iris.StatusGatewayTimeout
	case failure.State == dispatch.StateNotRun && failure.RetryAfter > 0:
		return iris.StatusServiceUnavailable
	case failure.State == dispatch.StateNotRun:
		return iris.StatusUnprocessableEntity
	default:
		return iris.StatusBadGateway
	}
}

// writeDeadline returns the time by which a piece of an answer must be written to the caller if the write starts at
// now.
func writeDeadline(now time.Time) time.Time {
	return now.Add(writeTimeout)
}
