package engine

import (
	"context"
	"net/http"
	"net/url"

	"wisteriadyke/core/fleet"
)

// KVHandle identifies a KV cache that an engine holds for callers.
type KVHandle string

// KV is the exported KV cache of one prompt segment.
type KV struct {
	// Tokens is the memory that the KV cache occupies.
	Tokens fleet.Tokens
	// ChainFrom is the first token of the text that Digest covers.
	ChainFrom fleet.Tokens
	// From is the first token of the segment.
	From fleet.Tokens
	// To is the exclusive end of the segment and of the text that Digest covers.
	To fleet.Tokens
	// Digest is the digest of the text from ChainFrom to To.
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

// ExportKV returns the KV cache that the engine holds under handle. The engine keeps holding it until DropKV.
func (c *Client) ExportKV(ctx context.Context, handle KVHandle) (KV, error) {
	var payload kvPayload
	if err := c.call(ctx, http.MethodGet, kvPath(handle), nil, &payload); err != nil {
		return KV{}, err
	}
	return KV(payload), nil
}

// ImportKV makes the engine hold kv under handle. It is idempotent.
func (c *Client) ImportKV(ctx context.Context, handle KVHandle, kv KV) error {
	return c.call(ctx, http.MethodPut, kvPath(handle), kvPayload(kv), nil)
}

// DropKV makes the engine free a KV cache. It returns nil if the engine holds none under the handle.
func (c *Client) DropKV(ctx context.Context, handle KVHandle) error {
	err := c.call(ctx, http.MethodDelete, kvPath(handle), nil, nil)
	if CodeOf(err) == CodeUnknownKV {
		return nil
	}
	return err
}

// kvPath returns the URL path of a handle.
func kvPath(handle KVHandle) string {
	return "/v1/kv/" + url.PathEscape(string(handle))
}
