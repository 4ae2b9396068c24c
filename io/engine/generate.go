package engine

import (
	"context"
	"net/http"

	"wisteriadyke/core/fleet"
)

// Request asks an engine to run one attempt.
type Request struct {
	// RequestID names the caller's request.
	RequestID fleet.RequestID
	// AttemptID names this try; every event of the answer carries it.
	AttemptID fleet.AttemptID
	// ReservationID names the memory reservation at the owner.
	ReservationID string
	// Generation numbers the reservation's lives.
	Generation uint64
	// Fence is the owner's fencing number.
	Fence fleet.Fence
	// Owner is the entry that owns the endpoint.
	Owner fleet.EntryID
	// Model is the model to run; "" means any.
	Model string
	// Priority puts attempts with a larger one first.
	Priority int
	// Prompt is the whole prompt, also when only a segment is read.
	Prompt string
	// MaxTokens is the length of the whole answer, with what came before FirstToken.
	MaxTokens fleet.Tokens
	// FirstToken is the position to resume the answer at.
	FirstToken fleet.Tokens
	// PromptFrom is the first token of the segment to read.
	PromptFrom fleet.Tokens
	// PromptTo ends the segment to read; 0 means the end of the prompt.
	PromptTo fleet.Tokens
	// ImportKV lists the handles of the segments before PromptFrom, in their order.
	ImportKV []KVHandle
	// ExportKV holds the segment's KV cache under a handle until it is dropped.
	ExportKV bool
	// Keep leaves an exported KV cache held also when the attempt does not finish.
	Keep bool
}

// generateRequest is the wire form of Request.
type generateRequest struct {
	RequestID     fleet.RequestID `json:"request_id"`
	AttemptID     fleet.AttemptID `json:"attempt_id"`
	ReservationID string          `json:"reservation_id,omitempty"`
	Generation    uint64          `json:"generation,omitempty"`
	Fence         fleet.Fence     `json:"fence,omitempty"`
	Owner         fleet.EntryID   `json:"owner,omitempty"`
	Model         string          `json:"model,omitempty"`
	Priority      int             `json:"priority,omitempty"`
	Prompt        string          `json:"prompt"`
	MaxTokens     fleet.Tokens    `json:"max_tokens"`
	FirstToken    fleet.Tokens    `json:"first_token,omitempty"`
	PromptFrom    fleet.Tokens    `json:"prompt_from,omitempty"`
	PromptTo      fleet.Tokens    `json:"prompt_to,omitempty"`
	ImportKV      []KVHandle      `json:"import_kv,omitempty"`
	ExportKV      bool            `json:"export_kv,omitempty"`
	Keep          bool            `json:"keep,omitempty"`
}

// Generate starts one attempt and returns its events.
//
// A failed call is an *Error, which tells whether it is certain that the attempt did not run.
// The attempt ends when ctx does; the caller closes the stream.
func (c *Client) Generate(ctx context.Context, request Request) (*Stream, error) {
	body, err := c.send(ctx, http.MethodPost, "/v1/generate", generateRequest(request))
	if err != nil {
		return nil, err
	}
	return newStream(c, request.AttemptID, body), nil
}
