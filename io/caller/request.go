package caller

import (
	"crypto/rand"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/kataras/iris/v12"
	"github.com/pkg/errors"

	"wisteriadyke/core/clusterstate"
	"wisteriadyke/core/config"
	"wisteriadyke/core/dispatch"
	"wisteriadyke/core/fleet"
)

// noConfigurationRetryAfter is the Retry-After in the responses of an entry that has no configuration yet.
const noConfigurationRetryAfter = 2 * time.Second

// requestBody is the JSON body of a model request.
type requestBody struct {
	Class     fleet.ClassName `json:"class"`
	Prompt    string          `json:"prompt"`
	MaxTokens fleet.Tokens    `json:"max_tokens"`
	Stream    bool            `json:"stream"`
}

// responseBody is the JSON body of the response to a model request that is not streamed.
type responseBody struct {
	RequestID fleet.RequestID `json:"request_id"`
	Text      string          `json:"text"`
	Tokens    fleet.Tokens    `json:"tokens"`
}

// streamEvent is one server-sent event of an answer.
type streamEvent struct {
	Type      string          `json:"type"`
	RequestID fleet.RequestID `json:"request_id"`
	Position  fleet.Tokens    `json:"position,omitempty"`
	Text      string          `json:"text,omitempty"`
	Error     *failureDetail  `json:"error,omitempty"`
}

// The types of server-sent events.
const (
	eventToken = "token"
	eventDone  = "done"
	eventError = "error"
)

// handleRequest serves POST /v1/requests.
func (s *Server) handleRequest(ctx iris.Context) {
	configuration, account, ok := s.admitCaller(ctx)
	if !ok {
		return
	}
	var body requestBody
	release, ok := s.readBody(ctx, &body)
	if !ok {
		return
	}
	defer release()
	class, found := configuration.Classes[body.Class]
	if !found || class.Kind != fleet.KindEngine {
		writeRefusal(ctx, iris.StatusBadRequest, "unknown_class", fmt.Sprintf("class %q serves no model requests", body.Class))
		return
	}
	request := newRequest(account, class, body, time.Now())
	if request.PromptTokens > class.MaxPrompt || request.PromptTokens == 0 {
		message := fmt.Sprintf("prompt of %d tokens; class %q takes 1 to %d", request.PromptTokens, class.Name, class.MaxPrompt)
		writeRefusal(ctx, iris.StatusRequestEntityTooLarge, "prompt_length", message)
		return
	}
	if body.Stream {
		s.streamAnswer(ctx, request)
		return
	}
	s.writeAnswer(ctx, request)
}

// admitCaller returns the current configuration and the caller's account. It writes a refusal and returns false if
// there is no configuration or the caller can't be authenticated.
func (s *Server) admitCaller(ctx iris.Context) (config.Configuration, config.Account, bool) {
	configuration, found := s.State.Configuration.Get(clusterstate.SingleKey{})
	if !found {
		writeFailure(ctx, "", &dispatch.Failure{
			State:      dispatch.StateNotRun,
			Reason:     "no_configuration",
			RetryAfter: noConfigurationRetryAfter,
		})
		return configuration, config.Account{}, false
	}
	account, ok := s.authenticate(ctx, configuration)
	if !ok {
		writeRefusal(ctx, iris.StatusUnauthorized, "unauthorized", "the key belongs to no client account")
		return configuration, account, false
	}
	return configuration, account, true
}

// newRequest converts the body of a model request to a dispatch.Request with the limits, priority and deadlines of its
// class.
func newRequest(account config.Account, class config.Class, body requestBody, now time.Time) dispatch.Request {
	maxTokens := body.MaxTokens
	if maxTokens <= 0 || maxTokens > class.MaxOutput {
		maxTokens = class.MaxOutput
	}
	return dispatch.Request{
		ID:                 fleet.RequestID(rand.Text()),
		Account:            account.Name,
		Weight:             account.Weight,
		Class:              class.Name,
		Pool:               class.Pool,
		Priority:           class.Priority,
		Prompt:             body.Prompt,
		PromptTokens:       dispatch.CountTokens(body.Prompt),
		MaxTokens:          maxTokens,
		FirstTokenDeadline: now.Add(class.StartTimeout),
		Deadline:           now.Add(class.FinishTimeout),
	}
}

// writeAnswer serves the request and writes its answer in one piece.
func (s *Server) writeAnswer(ctx iris.Context, request dispatch.Request) {
	var sink bufferSink
	if err := s.Generator.Generate(ctx.Request().Context(), request, &sink); err != nil {
		writeFailure(ctx, request.ID, asFailure(err))
		return
	}
	_ = ctx.JSON(responseBody{RequestID: request.ID, Text: sink.text.String(), Tokens: sink.tokens})
}

// bufferSink collects the text of an answer.
type bufferSink struct {
	text   strings.Builder
	tokens fleet.Tokens
}

// WriteToken appends one piece of the answer.
func (s *bufferSink) WriteToken(position fleet.Tokens, text string) error {
	s.text.WriteString(text)
	s.tokens = position
	return nil
}

// streamAnswer serves the request and writes each piece of its answer as a server-sent event. A failure after the first
// piece is written as the last event, an earlier one as a response with an error status.
func (s *Server) streamAnswer(ctx iris.Context, request dispatch.Request) {
	sink := &streamSink{ctx: ctx, request: request.ID, control: http.NewResponseController(ctx.ResponseWriter().Naive())}
	err := s.Generator.Generate(ctx.Request().Context(), request, sink)
	if err == nil {
		_ = sink.send(streamEvent{Type: eventDone, RequestID: request.ID, Position: sink.position})
		return
	}
	failure := asFailure(err)
	if !sink.started {
		writeFailure(ctx, request.ID, failure)
		return
	}
	details := toFailureDetail(request.ID, failure)
	_ = sink.send(streamEvent{Type: eventError, RequestID: request.ID, Position: sink.position, Error: &details})
}

// streamSink writes an answer as server-sent events.
type streamSink struct {
	ctx      iris.Context
	request  fleet.RequestID
	control  *http.ResponseController
	started  bool
	position fleet.Tokens
}

// WriteToken writes one piece of the answer.
func (s *streamSink) WriteToken(position fleet.Tokens, text string) error {
	s.position = position
	return s.send(streamEvent{Type: eventToken, RequestID: s.request, Position: position, Text: text})
}

// send writes one event and flushes it to the caller; the first event is preceded by the response header.
func (s *streamSink) send(event streamEvent) error {
	if !s.started {
		s.started = true
		s.ctx.Header("Content-Type", "text/event-stream")
		s.ctx.Header("Cache-Control", "no-store")
		s.ctx.StatusCode(iris.StatusOK)
	}
	data, err := json.Marshal(event)
	if err != nil {
		return errors.Wrap(err, "stream event")
	}
	_ = s.control.SetWriteDeadline(writeDeadline(time.Now()))
	if _, err := fmt.Fprintf(s.ctx.ResponseWriter(), "data: %s\n\n", data); err != nil {
		return errors.Wrap(err, "stream event")
	}
	s.ctx.ResponseWriter().Flush()
	return nil
}
