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

// answerTokens is the length of the answers that the load asks for.
const answerTokens = 32

// Outcome tells how a request ended for its caller.
type Outcome string

// The outcomes that a caller sees.
const (
	// OutcomeDone is a whole answer.
	OutcomeDone Outcome = "done"
	// OutcomeNotRun is a refusal of a request that was not run.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeFailed is a truthful failure.
	OutcomeFailed Outcome = "failed"
	// OutcomeUnknown is a call whose outcome is not known.
	OutcomeUnknown Outcome = "outcome_unknown"
	// OutcomeBroken is an answer that broke off or does not belong to the request.
	OutcomeBroken Outcome = "broken"
)

// Result is what one caller saw.
type Result struct {
	// Band is the band of the prompt, or "" for a call.
	Band string
	// Outcome tells how it ended.
	Outcome Outcome
	// Reason is the code of a failure.
	Reason string
	// FirstToken is the time to the first token.
	FirstToken time.Duration
	// Took is the time to the whole answer.
	Took time.Duration
}

// requestBody is the JSON form of a model request.
type requestBody struct {
	Class     fleet.ClassName `json:"class"`
	Prompt    string          `json:"prompt"`
	MaxTokens int             `json:"max_tokens"`
	Stream    bool            `json:"stream"`
}

// event is one server-sent event of an answer.
type event struct {
	Type  string  `json:"type"`
	Error *detail `json:"error"`
}

// failure is the JSON form of a failure.
type failure struct {
	Error detail `json:"error"`
}

// detail tells the truth about a request that got no whole answer.
type detail struct {
	State  Outcome `json:"state"`
	Reason string  `json:"reason"`
}

// request sends one model request and keeps what came of it.
func (l *Load) request(ctx context.Context, number int, band Band) {
	address, key := l.at(number)
	body, _ := json.Marshal(requestBody{Class: band.Class, Prompt: prompt(number, band.Tokens), MaxTokens: answerTokens, Stream: true})
	begun := time.Now()
	result := Result{Band: band.Name, Outcome: OutcomeBroken, Reason: "no_answer"}
	response, err := l.post(ctx, jsonhttp.URL(address, "/v1/requests", nil), key, "", body)
	if err == nil {
		defer func() { _ = response.Body.Close() }()
		result = l.read(response, result, begun)
	}
	result.Took = time.Since(begun)
	l.add(result)
}

// read reads an answer to its end.
func (l *Load) read(response *http.Response, result Result, begun time.Time) Result {
	if response.StatusCode != http.StatusOK {
		return refused(response, result)
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
				result.FirstToken = time.Since(begun)
			}
		case e.Type == "done" && tokens == answerTokens:
			result.Outcome, result.Reason = OutcomeDone, ""
		case e.Error != nil:
			result.Outcome, result.Reason = e.Error.State, e.Error.Reason
		}
	}
	return result
}

// refused reads the failure of a request of which nothing was sent.
func refused(response *http.Response, result Result) Result {
	data, _ := io.ReadAll(response.Body)
	var f failure
	if json.Unmarshal(data, &f) == nil && f.Error.State != "" {
		result.Outcome, result.Reason = f.Error.State, f.Error.Reason
	}
	return result
}

// call sends one at-most-once call and keeps what came of it.
func (l *Load) call(ctx context.Context, number int) {
	address, key := l.at(number)
	target := jsonhttp.URL(address, "/v1/calls/"+string(l.CallClass), nil)
	begun := time.Now()
	result := Result{Outcome: OutcomeBroken, Reason: "no_answer"}
	response, err := l.post(ctx, target, key, idempotencyKey(), []byte(`{"body":{"amount":1}}`))
	if err == nil {
		defer func() { _ = response.Body.Close() }()
		if response.StatusCode == http.StatusOK {
			result.Outcome, result.Reason = OutcomeDone, ""
		} else {
			result = refused(response, result)
		}
	}
	result.Took = time.Since(begun)
	l.add(result)
}

// idempotencyKey returns a new key, which carries its time.
func idempotencyKey() string {
	return uuid.Must(uuid.NewV7()).String()
}

// post sends one request.
func (l *Load) post(ctx context.Context, target, key, idempotency string, body []byte) (*http.Response, error) {
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
