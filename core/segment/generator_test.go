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

// fakeNext answers each request with its first and last byte, and fails the requests that it is told to.
type fakeNext struct {
	mu        sync.Mutex
	requests  []dispatch.Request
	failPart  string
	failState dispatch.State
	// reading is the length of each answer in bytes, or 0 for the first and the last byte of the prompt.
	reading int
}

func (f *fakeNext) Generate(_ context.Context, request dispatch.Request, sink dispatch.Sink) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requests = append(f.requests, request)
	if f.failState != "" && strings.HasSuffix(string(request.ID), f.failPart) {
		return &dispatch.Failure{State: f.failState, Reason: "test"}
	}
	if f.reading > 0 {
		return sink.WriteToken(1, strings.Repeat("r", f.reading))
	}
	return sink.WriteToken(1, request.Prompt[:1]+request.Prompt[len(request.Prompt)-1:])
}

// generator returns a generator over engines of the given memories.
func generator(next Next, memories ...fleet.Tokens) *Generator {
	board := &clusterstate.State{}
	for i, memory := range memories {
		id := fleet.EndpointID(rune('a' + i))
		board.Endpoints.Set(id, fleet.Endpoint{ID: id, Kind: fleet.KindEngine, Pool: "p", State: fleet.StateLive, Memory: memory})
	}
	return &Generator{State: board, Next: next}
}

// requestOf returns a request whose prompt has the given length and tells its parts apart.
func requestOf(tokens int) dispatch.Request {
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
			if err := generator(next, tc.memories...).Generate(t.Context(), requestOf(tc.tokens), &answer); err != nil {
				t.Fatal(err)
			}
			if len(next.requests) != tc.parts {
				t.Errorf("%d parts, want %d", len(next.requests), tc.parts)
			}
			if got := answer.text.String(); got[0] != '<' || got[1] != '>' {
				t.Errorf("answer %q does not join the readings in their order", got)
			}
			checkParts(t, next.requests, tc.tokens, tc.memories)
		})
	}
}

// TestGenerateLongAnswer asserts that a short prompt whose answer takes the rest of the memory is not cut.
func TestGenerateLongAnswer(t *testing.T) {
	next := &fakeNext{}
	request := requestOf(100)
	request.MaxTokens = 900
	if err := generator(next, 1000).Generate(t.Context(), request, &collector{}); err != nil {
		t.Fatal(err)
	}
	if len(next.requests) != 1 {
		t.Errorf("%d parts, want 1", len(next.requests))
	}
}

// checkParts fails unless the segments make up the prompt and each fits every engine.
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
				t.Errorf("part %s of %d tokens does not fit %d", r.ID, r.PromptTokens+r.MaxTokens, memory)
			}
		}
	}
	if total != fleet.Tokens(tokens) {
		t.Errorf("segments have %d tokens, want %d", total, tokens)
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
			err := generator(next, 1000).Generate(t.Context(), requestOf(2500), &collector{})
			var failure *dispatch.Failure
			if !errors.As(err, &failure) || failure.State != tc.want {
				t.Errorf("error %v, want state %s", err, tc.want)
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
			next := &fakeNext{reading: 1_000}
			request := requestOf(tc.tokens)
			request.MaxTokens = fleet.Tokens(tc.output)
			if err := generator(next, 1000).Generate(t.Context(), request, &collector{}); err != nil {
				t.Fatal(err)
			}
			if len(next.requests) != tc.parts {
				t.Errorf("%d parts, want %d", len(next.requests), tc.parts)
			}
		})
	}
}
