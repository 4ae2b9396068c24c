package caller

import (
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
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

// configurationWait is when to come back to an entry that has no configuration yet.
const configurationWait = 2 * time.Second

// requestBody is the JSON form of a model request.
type requestBody struct {
	Class     fleet.ClassName `json:"class"`
	Prompt    string          `json:"prompt"`
	MaxTokens fleet.Tokens    `json:"max_tokens"`
	Stream    bool            `json:"stream"`
}

// answerBody is the JSON form of a whole answer.
type answerBody struct {
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
	if !readBody(ctx, &body) {
		return
	}
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
	s.wholeAnswer(ctx, request)
}

// admitCaller returns the configuration in force and the caller's account, or answers the call with a refusal.
func (s *Server) admitCaller(ctx iris.Context) (config.Configuration, config.Account, bool) {
	configuration, found := s.State.Configuration.Get(clusterstate.SingleKey{})
	if !found {
		writeFailure(ctx, "", &dispatch.Failure{
			State:      dispatch.StateNotRun,
			Reason:     "no_configuration",
			RetryAfter: configurationWait,
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

// readBody reads the JSON body, or answers the call with a refusal. The time limit of a body that was not read whole
// stays in force, since the server reads on behind a refusal.
func readBody(ctx iris.Context, into any) bool {
	control := http.NewResponseController(ctx.ResponseWriter().Naive())
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
	decoder := json.NewDecoder(http.MaxBytesReader(ctx.ResponseWriter(), ctx.Request().Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(into)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		writeRefusal(ctx, iris.StatusRequestEntityTooLarge, "body_too_large", fmt.Sprintf("the body may have %d bytes", maxBodyBytes))
		return false
	}
	if err != nil {
		writeRefusal(ctx, iris.StatusBadRequest, "bad_body", err.Error())
		return false
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		writeRefusal(ctx, iris.StatusBadRequest, "bad_body", "the body goes on behind its JSON value")
		return false
	}
	_ = control.SetReadDeadline(time.Time{})
	return true
}

// newRequest turns a body into a request under the bounds of its class.
func newRequest(account config.Account, class config.Class, body requestBody, now time.Time) dispatch.Request {
	output := body.MaxTokens
	if output <= 0 || output > class.MaxOutput {
		output = class.MaxOutput
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
		MaxTokens:          output,
		FirstTokenDeadline: now.Add(class.StartTimeout),
		Deadline:           now.Add(class.FinishTimeout),
	}
}

// wholeAnswer serves the request and sends its answer in one piece.
func (s *Server) wholeAnswer(ctx iris.Context, request dispatch.Request) {
	var sink wholeSink
	if err := s.Generator.Generate(ctx.Request().Context(), request, &sink); err != nil {
		writeFailure(ctx, request.ID, asFailure(err))
		return
	}
	_ = ctx.JSON(answerBody{RequestID: request.ID, Text: sink.text.String(), Tokens: sink.tokens})
}

// wholeSink collects an answer.
type wholeSink struct {
	text   strings.Builder
	tokens fleet.Tokens
}

// WriteToken adds one piece of the answer.
func (s *wholeSink) WriteToken(position fleet.Tokens, text string) error {
	s.text.WriteString(text)
	s.tokens = position
	return nil
}

// streamAnswer serves the request and sends each piece of its answer as a server-sent event.
func (s *Server) streamAnswer(ctx iris.Context, request dispatch.Request) {
	sink := &streamSink{ctx: ctx, request: request.ID, control: http.NewResponseController(ctx.ResponseWriter().Naive())}
	err := s.Generator.Generate(ctx.Request().Context(), request, sink)
	if err == nil {
		_ = sink.send(streamEvent{Type: eventDone, RequestID: request.ID, Position: sink.position})
		return
	}
	failure := asFailure(err)
	if !sink.begun {
		writeFailure(ctx, request.ID, failure)
		return
	}
	shown := detail(request.ID, failure)
	_ = sink.send(streamEvent{Type: eventError, RequestID: request.ID, Position: sink.position, Error: &shown})
}

// streamSink sends an answer as server-sent events.
type streamSink struct {
	ctx      iris.Context
	request  fleet.RequestID
	control  *http.ResponseController
	begun    bool
	position fleet.Tokens
}

// WriteToken sends one piece of the answer.
func (s *streamSink) WriteToken(position fleet.Tokens, text string) error {
	s.position = position
	return s.send(streamEvent{Type: eventToken, RequestID: s.request, Position: position, Text: text})
}

// send writes one event and flushes it to the caller.
func (s *streamSink) send(event streamEvent) error {
	if !s.begun {
		s.begun = true
		s.ctx.Header("Content-Type", "text/event-stream")
		s.ctx.Header("Cache-Control", "no-store")
		s.ctx.StatusCode(iris.StatusOK)
	}
	data, err := json.Marshal(event)
	if err != nil {
		return errors.Wrap(err, "stream event")
	}
	_ = s.control.SetWriteDeadline(deadlineFor(time.Now()))
	if _, err := fmt.Fprintf(s.ctx.ResponseWriter(), "data: %s\n\n", data); err != nil {
		return errors.Wrap(err, "stream event")
	}
	s.ctx.ResponseWriter().Flush()
	return nil
}
