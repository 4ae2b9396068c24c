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

// maxCall bounds the body of a call, in bytes.
const maxCall = 64 << 20

// call is one call with the model held; it returns the answer.
type call func(m *Model, now time.Time, r *http.Request) (any, error)

// errorAnswer is the body of a refusal.
type errorAnswer struct {
	Error errorRow `json:"error"`
}

// errorRow is the reason for a refusal or an incomplete answer.
type errorRow struct {
	Code    engine.Code `json:"code"`
	Message string      `json:"message"`
}

// kvBody is a KV cache on the wire.
type kvBody struct {
	Tokens    fleet.Tokens  `json:"tokens"`
	ChainFrom fleet.Tokens  `json:"chain_from"`
	From      fleet.Tokens  `json:"from"`
	To        fleet.Tokens  `json:"to"`
	Digest    engine.Digest `json:"digest"`
}

// orderBody is an order on the wire.
type orderBody struct {
	Kind  engine.OrderKind `json:"kind"`
	Name  string           `json:"name"`
	Fence fleet.Fence      `json:"fence"`
}

// routes lays out the calls.
func (e *Engine) routes() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/generate", e.generate)
	mux.HandleFunc("GET /v1/attempts", e.answer(listAttempts))
	mux.HandleFunc("DELETE /v1/attempts/{id}", e.answer(cancelAttempt))
	mux.HandleFunc("GET /v1/load", e.answer(reportLoad))
	mux.HandleFunc("GET /v1/cache/events", e.answer(listCacheEvents))
	mux.HandleFunc("GET /v1/kv/{handle}", e.answer(exportKV))
	mux.HandleFunc("PUT /v1/kv/{handle}", e.answer(importKV))
	mux.HandleFunc("DELETE /v1/kv/{handle}", e.answer(dropKV))
	mux.HandleFunc("POST /v1/orders", e.answer(takeOrder))
	mux.HandleFunc("POST /control", e.answer(applyControl))
	mux.HandleFunc("GET /control/stats", e.answer(reportStats))
	return mux
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.init()
	if r.URL.Path != "/control" && r.URL.Path != "/control/stats" {
		e.waitAlive(r)
	}
	r.Body = http.MaxBytesReader(w, r.Body, maxCall)
	e.mux.ServeHTTP(w, r)
}

// waitAlive waits out a pause and cuts the connection if the engine is dead.
func (e *Engine) waitAlive(r *http.Request) {
	for {
		var pause time.Duration
		var dead bool
		e.with(func(m *Model, now time.Time) {
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

// answer returns the handler of one call.
func (e *Engine) answer(c call) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		content, err := io.ReadAll(r.Body)
		if err != nil {
			reject(w, refuse(engine.CodeInvalid, "read call: %v", err))
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(content))
		var body any
		e.with(func(m *Model, now time.Time) { body, err = c(m, now, r) })
		if err != nil {
			reject(w, err)
			return
		}
		write(w, http.StatusOK, body)
	}
}

// write writes an answer.
func write(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// reject writes a refusal, or cuts the connection if the engine is dead.
func reject(w http.ResponseWriter, err error) {
	var refusal *Refusal
	if !errors.As(err, &refusal) {
		panic(http.ErrAbortHandler)
	}
	write(w, status(refusal.Code), errorAnswer{Error: errorRow{Code: refusal.Code, Message: refusal.Message}})
}

// status returns the HTTP status of a refusal.
func status(code engine.Code) int {
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

// read decodes the body of a call.
func read(r *http.Request, body any) error {
	if err := json.NewDecoder(r.Body).Decode(body); err != nil {
		return refuse(engine.CodeInvalid, "read call: %v", err)
	}
	_, _ = io.Copy(io.Discard, r.Body)
	return nil
}

// cancelAttempt serves DELETE /v1/attempts/{id}.
func cancelAttempt(m *Model, now time.Time, r *http.Request) (any, error) {
	return struct{}{}, m.Cancel(now, fleet.AttemptID(r.PathValue("id")))
}

// exportKV serves GET /v1/kv/{handle}.
func exportKV(m *Model, _ time.Time, r *http.Request) (any, error) {
	kv, err := m.ExportKV(engine.KVHandle(r.PathValue("handle")))
	return kvBody(kv), err
}

// importKV serves PUT /v1/kv/{handle}.
func importKV(m *Model, now time.Time, r *http.Request) (any, error) {
	var body kvBody
	if err := read(r, &body); err != nil {
		return nil, err
	}
	return struct{}{}, m.ImportKV(now, engine.KVHandle(r.PathValue("handle")), engine.KV(body))
}

// dropKV serves DELETE /v1/kv/{handle}.
func dropKV(m *Model, now time.Time, r *http.Request) (any, error) {
	return struct{}{}, m.DropKV(now, engine.KVHandle(r.PathValue("handle")))
}

// takeOrder serves POST /v1/orders.
func takeOrder(m *Model, now time.Time, r *http.Request) (any, error) {
	var body orderBody
	if err := read(r, &body); err != nil {
		return nil, err
	}
	return struct{}{}, m.Order(now, engine.Order(body))
}

// listCacheEvents serves GET /v1/cache/events.
func listCacheEvents(m *Model, now time.Time, r *http.Request) (any, error) {
	var after uint64
	if text := r.URL.Query().Get("after"); text != "" {
		number, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return nil, refuse(engine.CodeInvalid, "after is %q", text)
		}
		after = number
	}
	return cacheBodyOf(m.CacheEvents(now, after)), nil
}
