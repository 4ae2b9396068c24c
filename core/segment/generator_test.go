package segment

import (
	"context"
	"errors"
	"strings"
	"sync"
	"testing"
	"time"

	"wisteriadyke/core/clusterstate"
	"wisteriadyke/core/dispatch"
	"wisteriadyke/core/fleet"
)

// fakeNext answers each request with the first and last byte of its prompt. If failState is set, requests whose ID ends
// in failPart fail with that state.
type fakeNext struct {
	mu        sync.Mutex
	requests  []dispatch.Request
	failPart  string
	failState dispatch.State
	// answerBytes is the length of each answer in bytes, or 0 for the first and last byte of the prompt.
	answerBytes int
}

func (f *fakeNext) Generate(_ context.Context, request dispatch.Request, sink dispatch.Sink) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requests = append(f.requests, request)
	if f.failState != "" && strings.HasSuffix(string(request.ID), f.failPart) {
		return &dispatch.Failure{State: f.failState, Reason: "test"}
	}
	if f.answerBytes > 0 {
		return sink.WriteToken(1, strings.Repeat("r", f.answerBytes))
	}
	return sink.WriteToken(1, request.Prompt[:1]+request.Prompt[len(request.Prompt)-1:])
}

// newGenerator returns a generator over engines with the given memory sizes, in tokens.
func newGenerator(next Next, memories ...fleet.Tokens) *Generator {
	state := &clusterstate.State{}
	for i, memory := range memories {
		id := fleet.EndpointID(rune('a' + i))
		state.Endpoints.Set(id, fleet.Endpoint{
			ID: id, Kind: fleet.KindEngine, Pool: "p", State: fleet.StateLive, Memory: memory})
	}
	return &Generator{State: state, Next: next}
}

// newRequest returns a request whose prompt has the given length in tokens and distinct first and last bytes.
func newRequest(tokens int) dispatch.Request {
	prompt := strings.Repeat("x", tokens*dispatch.BytesPerToken-2)
	return dispatch.Request{
		ID: "r", Pool: "p", Prompt: "<" + prompt + ">", PromptTokens: fleet.Tokens(tokens), MaxTokens: 10,
		Deadline: time.Now().Add(time.Hour),
	}
}

func TestGenerate(t *testing.T) {
	tests := map[string]struct {
		tokens   int
		memories []fleet.Tokens
		parts    int
	}{
		"fits":                     {tokens: 800, memories: []fleet.Tokens{1000}, parts: 1},
		"just fits":                {tokens: 850, memories: []fleet.Tokens{1000}, parts: 1},
		"just too large":           {tokens: 851, memories: []fleet.Tokens{1000}, parts: 4},
		"nearly all memory":        {tokens: 900, memories: []fleet.Tokens{1000}, parts: 4},
		"all memory":               {tokens: 990, memories: []fleet.Tokens{1000}, parts: 4},
		"more than all memory":     {tokens: 991, memories: []fleet.Tokens{1000}, parts: 4},
		"fits the larger engine":   {tokens: 1500, memories: []fleet.Tokens{1000, 2000}, parts: 1},
		"twice the memory":         {tokens: 2500, memories: []fleet.Tokens{1000, 1000}, parts: 8},
		"no engine known":          {tokens: 2500, parts: 1},
		"segment of the smallest":  {tokens: 2500, memories: []fleet.Tokens{500, 2000}, parts: 14},
		"hundred times the memory": {tokens: 100_000, memories: []fleet.Tokens{1000}, parts: 251},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			next := &fakeNext{}
			var answer collector
			if err := newGenerator(next, tc.memories...).Generate(t.Context(), newRequest(tc.tokens), &answer); err != nil {
				t.Fatal(err)
			}
			if len(next.requests) != tc.parts {
				t.Errorf("got %d parts, want %d", len(next.requests), tc.parts)
			}
			if got := answer.text.String(); got[0] != '<' || got[1] != '>' {
				t.Errorf("answer %q does not join the partial answers in order", got)
			}
			checkParts(t, next.requests, tc.tokens, tc.memories)
		})
	}
}

// TestGenerateLongAnswer asserts that a short prompt whose answer uses the rest of the memory is not split.
func TestGenerateLongAnswer(t *testing.T) {
	next := &fakeNext{}
	request := newRequest(100)
	request.MaxTokens = 900
	if err := newGenerator(next, 1000).Generate(t.Context(), request, &collector{}); err != nil {
		t.Fatal(err)
	}
	if len(next.requests) != 1 {
		t.Errorf("got %d parts, want 1", len(next.requests))
	}
}

// checkParts asserts that the segments add up to the prompt and that each fits every engine.
func checkParts(t *testing.T, requests []dispatch.Request, tokens int, memories []fleet.Tokens) {
	t.Helper()
	if len(requests) == 1 {
		return
	}
	var total fleet.Tokens
	for _, r := range requests[:len(requests)-1] {
		total += r.PromptTokens
		for _, memory := range memories {
			if r.PromptTokens+r.MaxTokens > memory {
				t.Errorf("part %s needs %d tokens, engine has %d", r.ID, r.PromptTokens+r.MaxTokens, memory)
			}
		}
	}
	if total != fleet.Tokens(tokens) {
		t.Errorf("got segments of %d tokens, want %d", total, tokens)
	}
}

func TestGenerateFailsWithAnyPart(t *testing.T) {
	tests := map[string]struct {
		part  string
		state dispatch.State
		want  dispatch.State
	}{
		"failed segment":   {part: "segment-2", state: dispatch.StateFailed, want: dispatch.StateFailed},
		"failed last pass": {part: "answer", state: dispatch.StateFailed, want: dispatch.StateFailed},
		"refused segment":  {part: "segment-7", state: dispatch.StateNotRun, want: dispatch.StateFailed},
		"refused answer":   {part: "answer", state: dispatch.StateNotRun, want: dispatch.StateFailed},
		"all refused":      {part: "", state: dispatch.StateNotRun, want: dispatch.StateNotRun},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			next := &fakeNext{failPart: tc.part, failState: tc.state}
			err := newGenerator(next, 1000).Generate(t.Context(), newRequest(2500), &collector{})
			var failure *dispatch.Failure
			if !errors.As(err, &failure) || failure.State != tc.want {
				t.Errorf("got error %v, want state %s", err, tc.want)
			}
		})
	}
}

func TestGenerateEndsWhateverTheAnswerTakes(t *testing.T) {
	tests := map[string]struct {
		tokens, output int
		parts          int
	}{
		"answer larger than the memory": {tokens: 50, output: 2_000, parts: 1},
		"answer takes nearly all":       {tokens: 600, output: 700, parts: 5},
		"readings are no shorter":       {tokens: 400, output: 744, parts: 2},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			next := &fakeNext{answerBytes: 1_000}
			request := newRequest(tc.tokens)
			request.MaxTokens = fleet.Tokens(tc.output)
			if err := newGenerator(next, 1000).Generate(t.Context(), request, &collector{}); err != nil {
				t.Fatal(err)
			}
			if len(next.requests) != tc.parts {
				t.Errorf("got %d parts, want %d", len(next.requests), tc.parts)
			}
		})
	}
}
