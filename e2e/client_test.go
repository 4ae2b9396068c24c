package e2e

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"wisteriadyke/standin/engine"
)

// answer is what a caller received for one request.
type answer struct {
	// status is the HTTP status, or 0 if no answer was received.
	status int
	// state and reason are those of the error in the answer, or "".
	state  string
	reason string
	text   string
	// complete reports whether the whole answer was received.
	complete bool
	// retryAfter is the retry delay of an error body; errors in streams don't set it.
	retryAfter time.Duration
	// err is the error of sending the request or of reading the answer.
	err error
}

// correct reports whether the answer is the complete expected text or an error with a state.
func (a answer) correct(prompt string, tokens int) bool {
	if a.complete {
		return a.text == engine.ExpectedText(prompt, tokens)
	}
	return a.state != ""
}

// String describes the answer for a failure message.
func (a answer) String() string {
	return fmt.Sprintf("status %d, state %q, reason %q, complete %t, %d bytes, error %v",
		a.status, a.state, a.reason, a.complete, len(a.text), a.err)
}

// answerEvent is the JSON of one event of a stream or of one error body.
type answerEvent struct {
	Type  string `json:"type"`
	Text  string `json:"text"`
	Error struct {
		State        string `json:"state"`
		Reason       string `json:"reason"`
		RetryAfterMS int64  `json:"retry_after_ms"`
	} `json:"error"`
}

// streamRequest sends one request for an answer of at most the given number of tokens to an entry, and reads the
// streamed answer.
func streamRequest(ctx context.Context, address netip.AddrPort, class, prompt string, tokens int) answer {
	body, err := json.Marshal(map[string]any{"class": class, "prompt": prompt, "max_tokens": tokens, "stream": true})
	if err != nil {
		return answer{err: err}
	}
	response, err := send(ctx, address, "/v1/requests", "", body)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	a := answer{status: response.StatusCode}
	if response.StatusCode != http.StatusOK {
		return a.withFailure(response.Body)
	}
	var text strings.Builder
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		data, found := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !found {
			continue
		}
		var event answerEvent
		if err := json.Unmarshal(data, &event); err != nil {
			return answer{err: err}
		}
		text.WriteString(event.Text)
		a.complete = a.complete || event.Type == "done"
		a.state, a.reason = event.Error.State, event.Error.Reason
	}
	a.text = text.String()
	a.err = lines.Err()
	return a
}

// callService makes one call to a plain service through an entry, with an idempotency key if key is not empty.
func callService(ctx context.Context, address netip.AddrPort, class, key string) answer {
	response, err := send(ctx, address, "/v1/calls/"+class, key, []byte(`{"body":{"amount":1}}`))
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	a := answer{status: response.StatusCode}
	if response.StatusCode != http.StatusOK {
		return a.withFailure(response.Body)
	}
	data, err := io.ReadAll(response.Body)
	a.text, a.complete, a.err = string(data), err == nil, err
	return a
}

// withFailure returns the answer with the state, reason and retry delay of an error body.
func (a answer) withFailure(body io.Reader) answer {
	var event answerEvent
	if err := json.NewDecoder(body).Decode(&event); err != nil {
		a.err = err
		return a
	}
	a.state, a.reason = event.Error.State, event.Error.Reason
	a.retryAfter = time.Duration(event.Error.RetryAfterMS) * time.Millisecond
	return a
}

// send posts a request with the tests' account key and, if key is not empty, an idempotency key.
func send(ctx context.Context, address netip.AddrPort, path, key string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address.String()+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+accountKey)
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	return client.Do(request)
}

// makePrompt returns a prompt of the given length in tokens; each number yields a different prompt.
func makePrompt(number, tokens int) string {
	head := fmt.Sprintf("prompt %d of the tests: ", number)
	return head + strings.Repeat("x", tokens*engineBytesPerToken-len(head))
}

// engineBytesPerToken is the length of a token in bytes at the engine stand-in.
const engineBytesPerToken = 4
