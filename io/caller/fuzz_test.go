package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"

	"wisteriadyke/core/dispatch"
)

func FuzzRequestBody(f *testing.F) {
	for _, seed := range []string{
		`{"class":"summary","prompt":"hi","max_tokens":4}`,
		`{"class":"summary","prompt":"hi","max_tokens":-1,"stream":false}`,
		`{"class":"summary","prompt":"\u0000\ud800"}`,
		`{"class":"summary","prompt":["hi"]}`,
		`{"class":"filing","prompt":"hi"}`,
		`[]`, `null`, `{`, ``, `{"prompt":1e999}`,
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, body string) {
		served := 0
		server := newServer(func(_ context.Context, request dispatch.Request, sink dispatch.Sink) error {
			served++
			if request.PromptTokens < 1 || request.PromptTokens > 100 || request.MaxTokens < 1 || request.MaxTokens > 8 {
				t.Errorf("request exceeds its class: %d prompt tokens, %d output tokens", request.PromptTokens, request.MaxTokens)
			}
			return sink.WriteToken(1, "x")
		})
		answer := post(t, server, "/v1/requests", "key", "", body)
		if (answer.Code == http.StatusOK) != (served == 1) {
			t.Errorf("got status %d although the request was served %d times", answer.Code, served)
		}
		if answer.Code == http.StatusOK {
			return
		}
		var failure failureBody
		if err := json.Unmarshal(answer.Body.Bytes(), &failure); err != nil || failure.Error.State != dispatch.StateNotRun {
			t.Errorf("got status %d with body %s, which is not a refusal: %v", answer.Code, answer.Body, err)
		}
	})
}
