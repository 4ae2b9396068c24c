package engine

import (
	"encoding/json"
	"net/http"
	"time"

	"wisteriadyke/core/fleet"
	"wisteriadyke/io/engine"
)

// generateBody is the wire form of an attempt's request.
type generateBody struct {
	RequestID     fleet.RequestID   `json:"request_id"`
	AttemptID     fleet.AttemptID   `json:"attempt_id"`
	ReservationID string            `json:"reservation_id"`
	Generation    uint64            `json:"generation"`
	Fence         fleet.Fence       `json:"fence"`
	Owner         fleet.EntryID     `json:"owner"`
	Model         string            `json:"model"`
	Priority      int               `json:"priority"`
	Prompt        string            `json:"prompt"`
	MaxTokens     fleet.Tokens      `json:"max_tokens"`
	FirstToken    fleet.Tokens      `json:"first_token"`
	PromptFrom    fleet.Tokens      `json:"prompt_from"`
	PromptTo      fleet.Tokens      `json:"prompt_to"`
	ImportKV      []engine.KVHandle `json:"import_kv"`
	ExportKV      bool              `json:"export_kv"`
	Keep          bool              `json:"keep"`
}

// eventRow is the wire form of an event.
type eventRow struct {
	Type         engine.EventType  `json:"type"`
	AttemptID    fleet.AttemptID   `json:"attempt_id"`
	Position     fleet.Tokens      `json:"position"`
	Text         string            `json:"text,omitempty"`
	CachedTokens fleet.Tokens      `json:"cached_tokens,omitempty"`
	Incarnation  fleet.Incarnation `json:"incarnation"`
	KVHandle     engine.KVHandle   `json:"kv_handle,omitempty"`
	Error        *errorRow         `json:"error,omitempty"`
}

// generate handles POST /v1/generate.
func (e *Engine) generate(w http.ResponseWriter, r *http.Request) {
	var body generateBody
	if err := decodeBody(r, &body); err != nil {
		reject(w, err)
		return
	}
	var task *Task
	var err error
	e.withModel(func(m *Model, now time.Time) { task, err = m.Submit(now, engine.Request(body)) })
	if err != nil {
		reject(w, err)
		return
	}
	defer e.withModel(func(m *Model, now time.Time) { m.Disconnect(now, task) })
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	e.stream(w, r, task)
}

// stream writes the events of task until the task ends or the caller disconnects. It aborts the connection if the
// engine dies.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, task *Task) {
	flusher := http.NewResponseController(w)
	for {
		var events []engine.Event
		var ending Ending
		e.withModel(func(*Model, time.Time) { events, ending = task.TakeEvents() })
		for _, event := range events {
			if err := writeEvent(w, newEventRow(event)); err != nil {
				return
			}
		}
		if ending == EndingCancelled {
			_ = writeEvent(w, newCancelledRow(task))
		}
		if err := flusher.Flush(); err != nil {
			return
		}
		switch ending {
		case EndingDied:
			panic(http.ErrAbortHandler)
		case EndingDone, EndingCancelled:
			return
		}
		select {
		case <-task.Wake():
		case <-r.Context().Done():
			return
		}
	}
}

// writeEvent writes one server-sent event.
func writeEvent(w http.ResponseWriter, row eventRow) error {
	content, err := json.Marshal(row)
	if err != nil {
		return err
	}
	_, err = w.Write(append(append([]byte("data: "), content...), "\n\n"...))
	return err
}

// newEventRow returns the wire form of event.
func newEventRow(event engine.Event) eventRow {
	return eventRow{
		Type:         event.Type,
		AttemptID:    event.AttemptID,
		Position:     event.Position,
		Text:         event.Text,
		CachedTokens: event.CachedTokens,
		Incarnation:  event.Incarnation,
		KVHandle:     event.KVHandle,
	}
}

// newCancelledRow returns the last event of a canceled attempt.
func newCancelledRow(task *Task) eventRow {
	return eventRow{
		Type:      engine.EventError,
		AttemptID: task.Request.AttemptID,
		Position:  task.position,
		Error:     &errorRow{Code: engine.CodeCancelled, Message: "attempt was cancelled"},
	}
}
