package engine

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"wisteriadyke/core/fleet"
	"wisteriadyke/io/engine"
)

// maxBodyBytes bounds the body of a request.
const maxBodyBytes = 64 << 20

// modelCall handles a request while the model is locked, and returns the body of the answer.
type modelCall func(m *Model, now time.Time, r *http.Request) (any, error)

// errorBody is the body of a refusal.
type errorBody struct {
	Error errorRow `json:"error"`
}

// errorRow is the wire form of the reason for a refusal or an incomplete answer.
type errorRow struct {
	Code    engine.Code `json:"code"`
	Message string      `json:"message"`
}

// kvBody is the wire form of a KV cache.
type kvBody struct {
	Tokens    fleet.Tokens  `json:"tokens"`
	ChainFrom fleet.Tokens  `json:"chain_from"`
	From      fleet.Tokens  `json:"from"`
	To        fleet.Tokens  `json:"to"`
	Digest    engine.Digest `json:"digest"`
}

// orderBody is the wire form of an order.
type orderBody struct {
	Kind  engine.OrderKind `json:"kind"`
	Name  string           `json:"name"`
	Fence fleet.Fence      `json:"fence"`
}

// routes returns a mux with all handlers.
func (e *Engine) routes() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/generate", e.generate)
	mux.HandleFunc("GET /v1/attempts", e.handle(listAttempts))
	mux.HandleFunc("DELETE /v1/attempts/{id}", e.handle(cancelAttempt))
	mux.HandleFunc("GET /v1/load", e.handle(reportLoad))
	mux.HandleFunc("GET /v1/cache/events", e.handle(listCacheEvents))
	mux.HandleFunc("GET /v1/kv/{handle}", e.handle(exportKV))
	mux.HandleFunc("PUT /v1/kv/{handle}", e.handle(importKV))
	mux.HandleFunc("DELETE /v1/kv/{handle}", e.handle(dropKV))
	mux.HandleFunc("POST /v1/orders", e.handle(applyOrder))
	mux.HandleFunc("POST /control", e.handle(applyControl))
	mux.HandleFunc("GET /control/stats", e.handle(reportStats))
	return mux
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.init()
	if r.URL.Path != "/control" && r.URL.Path != "/control/stats" {
		e.waitUntilResponsive(r)
	}
	r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
	e.mux.ServeHTTP(w, r)
}

// waitUntilResponsive waits until a pause ends. It aborts the connection if the engine is dead or the client
// disconnects.
func (e *Engine) waitUntilResponsive(r *http.Request) {
	for {
		var pause time.Duration
		var dead bool
		e.withModel(func(m *Model, now time.Time) {
			pause = m.Paused(now)
			dead = m.dead(now)
		})
		if dead {
			panic(http.ErrAbortHandler)
		}
		if pause == 0 {
			return
		}
		timer := time.NewTimer(pause)
		select {
		case <-timer.C:
		case <-r.Context().Done():
			timer.Stop()
			panic(http.ErrAbortHandler)
		}
	}
}

// handle returns the HTTP handler for c. It reads the whole body before it locks the model.
func (e *Engine) handle(c modelCall) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		content, err := io.ReadAll(r.Body)
		if err != nil {
			reject(w, refuse(engine.CodeInvalid, "read call: %v", err))
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(content))
		var body any
		e.withModel(func(m *Model, now time.Time) { body, err = c(m, now, r) })
		if err != nil {
			reject(w, err)
			return
		}
		writeJSON(w, http.StatusOK, body)
	}
}

// writeJSON writes an answer with a JSON body.
func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// reject writes err if it is a *Refusal. For any other error, that is, if the engine is dead, it aborts the connection.
func reject(w http.ResponseWriter, err error) {
	var refusal *Refusal
	if !errors.As(err, &refusal) {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, statusOf(refusal.Code), errorBody{Error: errorRow{Code: refusal.Code, Message: refusal.Message}})
}

// statusOf returns the HTTP status of a refusal.
func statusOf(code engine.Code) int {
	switch code {
	case engine.CodeStaleFence, engine.CodeDuplicateAttempt, engine.CodeKVMismatch:
		return http.StatusConflict
	case engine.CodeNoMemory, engine.CodeOverloaded:
		return http.StatusServiceUnavailable
	case engine.CodeUnknownModel, engine.CodeUnknownAttempt, engine.CodeUnknownKV:
		return http.StatusNotFound
	default:
		return http.StatusBadRequest
	}
}

// decodeBody decodes the JSON body of a request; the error is a *Refusal.
func decodeBody(r *http.Request, body any) error {
	if err := json.NewDecoder(r.Body).Decode(body); err != nil {
		return refuse(engine.CodeInvalid, "read call: %v", err)
	}
	_, _ = io.Copy(io.Discard, r.Body)
	return nil
}

// cancelAttempt handles DELETE /v1/attempts/{id}.
func cancelAttempt(m *Model, now time.Time, r *http.Request) (any, error) {
	return struct{}{}, m.Cancel(now, fleet.AttemptID(r.PathValue("id")))
}

// exportKV handles GET /v1/kv/{handle}.
func exportKV(m *Model, _ time.Time, r *http.Request) (any, error) {
	kv, err := m.ExportKV(engine.KVHandle(r.PathValue("handle")))
	return kvBody(kv), err
}

// importKV handles PUT /v1/kv/{handle}.
func importKV(m *Model, now time.Time, r *http.Request) (any, error) {
	var body kvBody
	if err := decodeBody(r, &body); err != nil {
		return nil, err
	}
	return struct{}{}, m.ImportKV(now, engine.KVHandle(r.PathValue("handle")), engine.KV(body))
}

// dropKV handles DELETE /v1/kv/{handle}.
func dropKV(m *Model, now time.Time, r *http.Request) (any, error) {
	return struct{}{}, m.DropKV(now, engine.KVHandle(r.PathValue("handle")))
}

// applyOrder handles POST /v1/orders.
func applyOrder(m *Model, now time.Time, r *http.Request) (any, error) {
	var body orderBody
	if err := decodeBody(r, &body); err != nil {
		return nil, err
	}
	return struct{}{}, m.Order(now, engine.Order(body))
}

// listCacheEvents handles GET /v1/cache/events.
func listCacheEvents(m *Model, now time.Time, r *http.Request) (any, error) {
	var after uint64
	if text := r.URL.Query().Get("after"); text != "" {
		number, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return nil, refuse(engine.CodeInvalid, "after is %q", text)
		}
		after = number
	}
	return newCacheBody(m.CacheEvents(now, after)), nil
}
