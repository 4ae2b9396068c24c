package engine

import (
	"context"
	"net/http"

	"wisteriadyke/core/fleet"
)

// Request describes one attempt to an engine.
type Request struct {
	// RequestID is the ID of the caller's request.
	RequestID fleet.RequestID
	// AttemptID is the ID of this attempt; every event of the answer repeats it.
	AttemptID fleet.AttemptID
	// ReservationID is the ID of the memory reservation at the endpoint's owner.
	ReservationID string
	// Generation is the generation of the reservation.
	Generation uint64
	// Fence is the owner's fencing token.
	Fence fleet.Fence
	// Owner is the entry that owns the endpoint.
	Owner fleet.EntryID
	// Model is the model to run; "" means any.
	Model string
	// Priority orders the attempts at the engine; larger values run first.
	Priority int
	// Prompt is the whole prompt, even if only a segment is prefilled.
	Prompt string
	// MaxTokens is the maximum length of the whole answer, including the tokens before FirstToken.
	MaxTokens fleet.Tokens
	// FirstToken is the position in the answer at which generation resumes, counted from 0; it is not a time.
	FirstToken fleet.Tokens
	// PromptFrom is the first token of the segment to prefill.
	PromptFrom fleet.Tokens
	// PromptTo is the exclusive end of the segment to prefill; 0 means the end of the prompt.
	PromptTo fleet.Tokens
	// ImportKV lists the handles of the segments before PromptFrom, in order.
	ImportKV []KVHandle
	// ExportKV makes the engine hold the segment's KV cache under a handle until it is dropped.
	ExportKV bool
	// Keep makes the engine hold an exported KV cache even if the attempt does not finish.
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

// Generate starts one attempt and returns the stream of its events.
//
// Errors are *Error; NotRun reports whether the attempt certainly did not run. The attempt is canceled when ctx ends;
// the caller must close the stream.
func (c *Client) Generate(ctx context.Context, request Request) (*Stream, error) {
	body, err := c.send(ctx, http.MethodPost, "/v1/generate", generateRequest(request))
	if err != nil {
		return nil, err
	}
	return newStream(c, request.AttemptID, body), nil
}
