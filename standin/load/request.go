package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/google/uuid"

	"wisteriadyke/core/fleet"
	"wisteriadyke/io/jsonhttp"
)

// answerTokens is the requested length of answers in tokens.
const answerTokens = 32

// Outcome is how a request ended for its caller.
type Outcome string

// The outcomes that a caller sees.
const (
	// OutcomeDone means a complete answer.
	OutcomeDone Outcome = "done"
	// OutcomeNotRun means that the request was refused and did not run.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeFailed means that the entry reported a failure.
	OutcomeFailed Outcome = "failed"
	// OutcomeUnknown means that the entry reported an unknown outcome of a call.
	OutcomeUnknown Outcome = "outcome_unknown"
	// OutcomeBroken means that there was no answer, or that it was truncated or malformed.
	OutcomeBroken Outcome = "broken"
)

// Result is the result of one request or call, as seen by its caller.
type Result struct {
	// Band is the name of the prompt's band, or "" for a call.
	Band string
	// Outcome is how the request or call ended.
	Outcome Outcome
	// Reason is the reason of a failure, or "".
	Reason string
	// FirstToken is the time to the first token, or 0 if none was received.
	FirstToken time.Duration
	// Duration is the time to the end of the answer.
	Duration time.Duration
}

// requestBody is the body of a model request.
type requestBody struct {
	Class     fleet.ClassName `json:"class"`
	Prompt    string          `json:"prompt"`
	MaxTokens int             `json:"max_tokens"`
	Stream    bool            `json:"stream"`
}

// event is a server-sent event of an answer.
type event struct {
	Type  string         `json:"type"`
	Error *failureDetail `json:"error"`
}

// failureBody is the body of an answer that reports a failure.
type failureBody struct {
	Error failureDetail `json:"error"`
}

// failureDetail is the reported outcome of a request without a complete answer, and its reason.
type failureDetail struct {
	State  Outcome `json:"state"`
	Reason string  `json:"reason"`
}

// request sends a model request and records its result.
func (l *Generator) request(ctx context.Context, number int, band Band) {
	address, key := l.target(number)
	body, _ := json.Marshal(requestBody{Class: band.Class, Prompt: prompt(number, band.Tokens), MaxTokens: answerTokens, Stream: true})
	start := time.Now()
	result := Result{Band: band.Name, Outcome: OutcomeBroken, Reason: "no_answer"}
	response, err := l.post(ctx, jsonhttp.URL(address, "/v1/requests", nil), key, "", body)
	if err == nil {
		defer func() { _ = response.Body.Close() }()
		result = l.readAnswer(response, result, start)
	}
	result.Duration = time.Since(start)
	l.addResult(result)
}

// readAnswer reads an answer to its end and returns result with its outcome, its reason and its time to first token.
// Outcome and reason stay as they are if the answer is truncated or malformed.
func (l *Generator) readAnswer(response *http.Response, result Result, start time.Time) Result {
	if response.StatusCode != http.StatusOK {
		return readFailure(response, result)
	}
	lines := bufio.NewScanner(response.Body)
	tokens := 0
	for lines.Scan() {
		data, found := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !found {
			continue
		}
		var e event
		if err := json.Unmarshal(data, &e); err != nil {
			return result
		}
		switch {
		case e.Type == "token":
			if tokens++; tokens == 1 {
				result.FirstToken = time.Since(start)
			}
		case e.Type == "done" && tokens == answerTokens:
			result.Outcome, result.Reason = OutcomeDone, ""
		case e.Error != nil:
			result.Outcome, result.Reason = e.Error.State, e.Error.Reason
		}
	}
	return result
}

// readFailure reads the body of an answer that reports a failure and returns result with its outcome and reason. Both
// stay as they are if the body is malformed.
func readFailure(response *http.Response, result Result) Result {
	data, _ := io.ReadAll(response.Body)
	var f failureBody
	if json.Unmarshal(data, &f) == nil && f.Error.State != "" {
		result.Outcome, result.Reason = f.Error.State, f.Error.Reason
	}
	return result
}

// call sends an at-most-once call and records its result.
func (l *Generator) call(ctx context.Context, number int) {
	address, key := l.target(number)
	target := jsonhttp.URL(address, "/v1/calls/"+string(l.CallClass), nil)
	start := time.Now()
	result := Result{Outcome: OutcomeBroken, Reason: "no_answer"}
	response, err := l.post(ctx, target, key, idempotencyKey(), []byte(`{"body":{"amount":1}}`))
	if err == nil {
		defer func() { _ = response.Body.Close() }()
		if response.StatusCode == http.StatusOK {
			result.Outcome, result.Reason = OutcomeDone, ""
		} else {
			result = readFailure(response, result)
		}
	}
	result.Duration = time.Since(start)
	l.addResult(result)
}

// idempotencyKey returns a new idempotency key, which contains the current time.
func idempotencyKey() string {
	return uuid.Must(uuid.NewV7()).String()
}

// post sends one HTTP request; an empty idempotency key is left out.
func (l *Generator) post(ctx context.Context, target, key, idempotency string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set("Content-Type", "application/json")
	if idempotency != "" {
		request.Header.Set("Idempotency-Key", idempotency)
	}
	return l.http.Do(request)
}
