package engine

import (
	"context"
	"net/http"
	"net/url"

	"wisteriadyke/core/fleet"
)

// KVHandle names a KV cache that an engine holds for callers.
type KVHandle string

// KV is the exported KV cache of one prompt segment.
type KV struct {
	// Tokens is the memory that it takes.
	Tokens fleet.Tokens
	// ChainFrom is the first token of the text that Digest names.
	ChainFrom fleet.Tokens
	// From is the first token of the segment.
	From fleet.Tokens
	// To ends the segment and the text that Digest names.
	To fleet.Tokens
	// Digest names the text from ChainFrom up to To.
	Digest Digest
}

// kvPayload is the wire form of KV.
type kvPayload struct {
	Tokens    fleet.Tokens `json:"tokens"`
	ChainFrom fleet.Tokens `json:"chain_from"`
	From      fleet.Tokens `json:"from"`
	To        fleet.Tokens `json:"to"`
	Digest    Digest       `json:"digest"`
}

// ExportKV reads a KV cache that the engine holds; it stays held until DropKV.
func (c *Client) ExportKV(ctx context.Context, handle KVHandle) (KV, error) {
	var payload kvPayload
	if err := c.call(ctx, http.MethodGet, kvPath(handle), nil, &payload); err != nil {
		return KV{}, err
	}
	return KV(payload), nil
}

// ImportKV has the engine hold kv under handle; importing the same twice changes nothing.
func (c *Client) ImportKV(ctx context.Context, handle KVHandle, kv KV) error {
	return c.call(ctx, http.MethodPut, kvPath(handle), kvPayload(kv), nil)
}

// DropKV has the engine free a KV cache; dropping one that is not held changes nothing.
func (c *Client) DropKV(ctx context.Context, handle KVHandle) error {
	err := c.call(ctx, http.MethodDelete, kvPath(handle), nil, nil)
	if CodeOf(err) == CodeUnknownKV {
		return nil
	}
	return err
}

// kvPath returns the path of a handle.
func kvPath(handle KVHandle) string {
	return "/v1/kv/" + url.PathEscape(string(handle))
}
