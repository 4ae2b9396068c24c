package engine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"github.com/pkg/errors"

	"wisteriadyke/core/fleet"
)

// maxEvent bounds one line of a stream, in bytes.
const maxEvent = 1 << 20

// EventType tells what an event says.
type EventType string

// The types of events, in the order in which they come.
const (
	// EventStarted means the engine holds memory for the attempt.
	EventStarted EventType = "started"
	// EventPrefilled means the prompt or segment is read.
	EventPrefilled EventType = "prefilled"
	// EventToken carries the text of one token.
	EventToken EventType = "token"
	// EventDone ends a complete answer.
	EventDone EventType = "done"
	// EventError ends an incomplete answer; Stream.Next turns it into an *Error.
	EventError EventType = "error"
)

// Event is one step of an attempt.
type Event struct {
	// Type tells what the event says.
	Type EventType
	// AttemptID is the attempt that it belongs to.
	AttemptID fleet.AttemptID
	// Position is that of the token, or the length of the answer in the last event.
	Position fleet.Tokens
	// Text is the token's text.
	Text string
	// CachedTokens is how much of the prompt the prefix cache held.
	CachedTokens fleet.Tokens
	// Incarnation numbers the engine's life.
	Incarnation fleet.Incarnation
	// KVHandle names the exported KV cache.
	KVHandle KVHandle
}

// eventLine is the wire form of Event.
type eventLine struct {
	Type         EventType         `json:"type"`
	AttemptID    fleet.AttemptID   `json:"attempt_id"`
	Position     fleet.Tokens      `json:"position"`
	Text         string            `json:"text"`
	CachedTokens fleet.Tokens      `json:"cached_tokens"`
	Incarnation  fleet.Incarnation `json:"incarnation"`
	KVHandle     KVHandle          `json:"kv_handle"`
	Error        *failure          `json:"error"`
}

// Stream reads the events of one attempt; it is for one goroutine, but Close may come from any.
type Stream struct {
	client  *Client
	attempt fleet.AttemptID
	body    io.ReadCloser
	lines   *bufio.Scanner
	ended   error
}

// newStream returns the stream of attempt in body.
func newStream(client *Client, attempt fleet.AttemptID, body io.ReadCloser) *Stream {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxEvent)
	lines.Split(splitEnded)
	return &Stream{client: client, attempt: attempt, body: body, lines: lines}
}

// splitEnded splits at line feeds and leaves out a last line without one, since its end was cut off.
func splitEnded(content []byte, _ bool) (advance int, line []byte, err error) {
	end := bytes.IndexByte(content, '\n')
	if end < 0 {
		return 0, nil, nil
	}
	return end + 1, content[:end], nil
}

// Next returns the next event, and io.EOF after EventDone.
//
// It returns an *Error if the stream is cut or the engine ends the attempt, and an
// error that wraps ErrAttemptMismatch if an event belongs to another attempt. Every
// error is final.
func (s *Stream) Next() (Event, error) {
	if s.ended != nil {
		return Event{}, s.ended
	}
	event, err := s.read()
	if err != nil {
		s.ended = err
		return Event{}, err
	}
	if event.Type == EventDone {
		s.ended = io.EOF
	}
	return event, nil
}

// Close ends the stream; the engine cancels the attempt if it still runs.
func (s *Stream) Close() error {
	return s.body.Close()
}

// read reads lines up to the next event.
func (s *Stream) read() (Event, error) {
	for s.lines.Scan() {
		content, found := bytes.CutPrefix(s.lines.Bytes(), []byte("data:"))
		if !found {
			continue
		}
		return s.decode(content)
	}
	cause := s.lines.Err()
	if cause == nil {
		cause = io.ErrUnexpectedEOF
	}
	return Event{}, s.client.failed(CodeCut, cause, false)
}

// decode turns the content of one data line.
func (s *Stream) decode(content []byte) (Event, error) {
	var line eventLine
	if err := json.Unmarshal(content, &line); err != nil {
		return Event{}, s.client.failed(CodeUnreadable, err, false)
	}
	if line.AttemptID != s.attempt {
		return Event{}, errors.Wrapf(ErrAttemptMismatch, "engine %s: attempt %s got an event of %q", s.client.Endpoint, s.attempt, line.AttemptID)
	}
	if line.Type == EventError {
		return Event{}, s.ending(line.Error)
	}
	return Event{
		Type:         line.Type,
		AttemptID:    line.AttemptID,
		Position:     line.Position,
		Text:         line.Text,
		CachedTokens: line.CachedTokens,
		Incarnation:  line.Incarnation,
		KVHandle:     line.KVHandle,
	}, nil
}

// ending turns the engine's reason for an incomplete answer.
func (s *Stream) ending(reason *failure) error {
	if reason == nil {
		reason = &failure{Code: CodeUnreadable, Message: "error event without a reason"}
	}
	return &Error{Endpoint: s.client.Endpoint, Code: reason.Code, Message: reason.Message}
}
