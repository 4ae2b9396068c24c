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

// answer is what a caller saw of one request.
type answer struct {
	status  int
	state   string
	reason  string
	text    string
	whole   bool
	retry   time.Duration
	problem error
}

// truthful tells whether the answer is whole and the caller's own, or a typed failure.
func (a answer) truthful(prompt string, tokens int) bool {
	if a.whole {
		return a.text == engine.ExpectedText(prompt, tokens)
	}
	return a.state != ""
}

// String describes the answer for a failure message.
func (a answer) String() string {
	return fmt.Sprintf("status %d, state %q, reason %q, whole %t, %d bytes, problem %v", a.status, a.state, a.reason, a.whole, len(a.text), a.problem)
}

// wireAnswer is one event of a stream or one failure.
type wireAnswer struct {
	Type  string `json:"type"`
	Text  string `json:"text"`
	Error struct {
		State        string `json:"state"`
		Reason       string `json:"reason"`
		RetryAfterMS int64  `json:"retry_after_ms"`
	} `json:"error"`
}

// ask streams one request through an entry.
func ask(ctx context.Context, address netip.AddrPort, class, prompt string, tokens int) answer {
	body, err := json.Marshal(map[string]any{"class": class, "prompt": prompt, "max_tokens": tokens, "stream": true})
	if err != nil {
		return answer{problem: err}
	}
	response, err := send(ctx, address, "/v1/requests", "", body)
	if err != nil {
		return answer{problem: err}
	}
	defer func() { _ = response.Body.Close() }()
	a := answer{status: response.StatusCode}
	if response.StatusCode != http.StatusOK {
		return a.failure(response.Body)
	}
	var text strings.Builder
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		data, found := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !found {
			continue
		}
		var event wireAnswer
		if err := json.Unmarshal(data, &event); err != nil {
			return answer{problem: err}
		}
		text.WriteString(event.Text)
		a.whole = a.whole || event.Type == "done"
		a.state, a.reason = event.Error.State, event.Error.Reason
	}
	a.text = text.String()
	a.problem = lines.Err()
	return a
}

// call makes one call of a plain service through an entry.
func call(ctx context.Context, address netip.AddrPort, class, key string) answer {
	response, err := send(ctx, address, "/v1/calls/"+class, key, []byte(`{"body":{"amount":1}}`))
	if err != nil {
		return answer{problem: err}
	}
	defer func() { _ = response.Body.Close() }()
	a := answer{status: response.StatusCode}
	if response.StatusCode != http.StatusOK {
		return a.failure(response.Body)
	}
	data, err := io.ReadAll(response.Body)
	a.text, a.whole, a.problem = string(data), err == nil, err
	return a
}

// failure adds what a typed failure says.
func (a answer) failure(body io.Reader) answer {
	var event wireAnswer
	if err := json.NewDecoder(body).Decode(&event); err != nil {
		a.problem = err
		return a
	}
	a.state, a.reason = event.Error.State, event.Error.Reason
	a.retry = time.Duration(event.Error.RetryAfterMS) * time.Millisecond
	return a
}

// send sends one request of the tests' account.
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

// promptOf returns a prompt of the given length in tokens that differs by number.
func promptOf(number, tokens int) string {
	head := fmt.Sprintf("prompt %d of the tests: ", number)
	return head + strings.Repeat("x", tokens*engineBytesPerToken-len(head))
}

// engineBytesPerToken is the length of a token at the engine stand-in.
const engineBytesPerToken = 4
