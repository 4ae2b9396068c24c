package engine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"github.com/pkg/errors"

	"wisteriadyke/core/fleet"
)

// maxEventBytes bounds one line of a stream.
const maxEventBytes = 1 << 20

// EventType is the type of a stream event.
type EventType string

// The types of events, in the order in which they occur. A stream ends with EventDone or, at any point, with
// EventError.
const (
	// EventStarted means that the engine holds memory for the attempt.
	EventStarted EventType = "started"
	// EventPrefilled means that the prompt or segment has been prefilled.
	EventPrefilled EventType = "prefilled"
	// EventToken carries the text of one token.
	EventToken EventType = "token"
	// EventDone ends a complete answer.
	EventDone EventType = "done"
	// EventError ends an incomplete answer; Stream.Next returns it as an *Error.
	EventError EventType = "error"
)

// Event is one step of an attempt.
type Event struct {
	// Type is the type of the event.
	Type EventType
	// AttemptID is the attempt to which the event belongs.
	AttemptID fleet.AttemptID
	// Position is the position of the token in the answer, counted from 0. In the other events, it is the length of the
	// answer so far.
	Position fleet.Tokens
	// Text is the text of the token.
	Text string
	// CachedTokens is the number of prompt tokens found in the prefix cache. The engine stand-in sends it with
	// EventPrefilled and EventDone; it is 0 in events that don't contain it.
	CachedTokens fleet.Tokens
	// Incarnation is the incarnation of the engine.
	Incarnation fleet.Incarnation
	// KVHandle identifies the exported KV cache; "" if none was exported.
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
	Error        *errorDetail      `json:"error"`
}

// Stream reads the events of one attempt. It is not safe for concurrent use, except that any goroutine may call Close.
type Stream struct {
	client  *Client
	attempt fleet.AttemptID
	body    io.ReadCloser
	lines   *bufio.Scanner
	// finalErr is the error that all further calls of Next return, or nil.
	finalErr error
}

// newStream returns a stream that reads the events of an attempt from the body of a response.
func newStream(client *Client, attempt fleet.AttemptID, body io.ReadCloser) *Stream {
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxEventBytes)
	lines.Split(splitTerminatedLines)
	return &Stream{client: client, attempt: attempt, body: body, lines: lines}
}

// splitTerminatedLines is a bufio.SplitFunc for lines that end in a line feed. It drops a last line without one, since
// the line was cut off.
func splitTerminatedLines(content []byte, _ bool) (advance int, line []byte, err error) {
	end := bytes.IndexByte(content, '\n')
	if end < 0 {
		return 0, nil, nil
	}
	return end + 1, content[:end], nil
}

// Next returns the next event, and io.EOF after EventDone.
//
// It returns an *Error if the connection fails, an event cannot be decoded or the engine ends the attempt early, and an
// error that wraps ErrAttemptMismatch if an event belongs to another attempt. After an error, it returns the same error
// again.
func (s *Stream) Next() (Event, error) {
	if s.finalErr != nil {
		return Event{}, s.finalErr
	}
	event, err := s.readEvent()
	if err != nil {
		s.finalErr = err
		return Event{}, err
	}
	if event.Type == EventDone {
		s.finalErr = io.EOF
	}
	return event, nil
}

// Close closes the connection; the engine cancels the attempt if it is still running.
func (s *Stream) Close() error {
	return s.body.Close()
}

// readEvent skips lines that hold no data and returns the next event.
func (s *Stream) readEvent() (Event, error) {
	for s.lines.Scan() {
		content, found := bytes.CutPrefix(s.lines.Bytes(), []byte("data:"))
		if !found {
			continue
		}
		return s.decodeEvent(content)
	}
	cause := s.lines.Err()
	if cause == nil {
		cause = io.ErrUnexpectedEOF
	}
	return Event{}, s.client.newError(CodeConnectionLost, cause, false)
}

// decodeEvent decodes the content of one data line.
func (s *Stream) decodeEvent(content []byte) (Event, error) {
	var line eventLine
	if err := json.Unmarshal(content, &line); err != nil {
		return Event{}, s.client.newError(CodeMalformedResponse, err, false)
	}
	if line.AttemptID != s.attempt {
		return Event{}, errors.Wrapf(ErrAttemptMismatch, "engine %s: attempt %s received an event of attempt %q", s.client.Endpoint, s.attempt, line.AttemptID)
	}
	if line.Type == EventError {
		return Event{}, s.attemptEndedError(line.Error)
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

// attemptEndedError returns the *Error for the engine's reason to end an answer early.
func (s *Stream) attemptEndedError(reason *errorDetail) error {
	if reason == nil {
		reason = &errorDetail{Code: CodeMalformedResponse, Message: "error event without a reason"}
	}
	return &Error{Endpoint: s.client.Endpoint, Code: reason.Code, Message: reason.Message}
}
