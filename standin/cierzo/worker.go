package cierzo

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"
)

// ReceivedRequest is a request that reached a worker.
type ReceivedRequest struct {
	// Method is the HTTP method.
	Method string
	// URI is the path and query as they came.
	URI string
	// Host is the host asked for.
	Host string
	// Header holds the headers.
	Header http.Header
	// Body is the whole body.
	Body string
	// From is the address that the request came from.
	From string
	// Ran tells that the worker ran it.
	Ran bool
}

// Worker is a model engine or a plain service. Its fields are set before Start.
type Worker struct {
	// ID is its name in the registry.
	ID string
	// Service is the pool that it serves.
	Service string
	// Zone is its availability zone.
	Zone string
	// Slots is the number of requests at once.
	Slots int
	// Events is the number of events of a whole stream.
	Events int
	// Pause is the time between two events.
	Pause time.Duration
	// Work is the time until the first event, or that of a call.
	Work time.Duration
	// Public is where it tells others to find it; zero stands for where it listens.
	Public netip.AddrPort
	// Intercept may answer a request in place of the worker; it reports whether it did.
	Intercept func(w http.ResponseWriter, r *http.Request, seen ReceivedRequest) bool

	mu      sync.Mutex
	seen    []ReceivedRequest
	gone    int
	tickets map[string]time.Time
	server  *httptest.Server
	born    int64
}

// Start serves at a free port of 127.0.0.1.
func (k *Worker) Start() {
	k.tickets = make(map[string]time.Time)
	k.born = time.Now().UnixMilli()
	k.server = httptest.NewServer(http.HandlerFunc(k.serve))
}

// Close stops serving and breaks all connections.
func (k *Worker) Close() {
	k.server.CloseClientConnections()
	k.server.Close()
}

// Address is where the worker answers.
func (k *Worker) Address() netip.AddrPort {
	return addressOf(k.server)
}

// Crash stops listening and breaks all connections at once, from within a request as well.
func (k *Worker) Crash() {
	_ = k.server.Listener.Close()
	k.server.CloseClientConnections()
}

// Register writes the worker's entry into the registry.
func (k *Worker) Register(s *Store, state string) {
	address := k.Public
	if !address.IsValid() {
		address = k.Address()
	}
	entry, _ := json.Marshal(map[string]any{
		"service": k.Service, "address": address.String(), "zone": k.Zone, "version": "v1",
		"slots": k.Slots, "state": state, "coldLeftMs": 0, "sequence": 1, "born": k.born,
	})
	s.Put("servers", k.ID, base64.StdEncoding.EncodeToString(entry))
}

// Requests returns the requests that have come so far.
func (k *Worker) Requests() []ReceivedRequest {
	k.mu.Lock()
	defer k.mu.Unlock()
	return append([]ReceivedRequest(nil), k.seen...)
}

// Disconnects returns the number of requests whose connection closed while they ran.
func (k *Worker) Disconnects() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.gone
}

// Reservations returns the number of outstanding reservations.
func (k *Worker) Reservations() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.tickets)
}

// ActiveReservations returns the number of reservations whose lease has not ended.
func (k *Worker) ActiveReservations(now time.Time) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	count := 0
	for _, until := range k.tickets {
		if now.Before(until) {
			count++
		}
	}
	return count
}

// serve answers one request.
func (k *Worker) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/wisteriadyke/order" {
		k.order(w, r)
		return
	}
	body, _ := io.ReadAll(r.Body)
	seen := ReceivedRequest{Method: r.Method, URI: r.RequestURI, Host: r.Host, Header: r.Header.Clone(), Body: string(body), From: r.RemoteAddr}
	expected := r.Header.Get("X-Expect-Instance")
	seen.Ran = expected == "" || expected == k.ID
	k.mu.Lock()
	k.seen = append(k.seen, seen)
	k.mu.Unlock()
	if k.Intercept != nil && k.Intercept(w, r, seen) {
		return
	}
	if !seen.Ran {
		w.Header().Set("X-Instance-Id", k.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
	w.Header().Set("X-Response-Seal", "seal-"+k.ID)
	if !k.wait(r, k.Work) {
		return
	}
	if k.Events == 0 {
		_, _ = fmt.Fprintf(w, "answer of %s", k.ID)
		return
	}
	k.stream(w, r)
}

// stream sends the events behind the one that the request names.
func (k *Worker) stream(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for id := last + 1; id <= k.Events; id++ {
		_, _ = io.WriteString(w, Event(id))
		_ = http.NewResponseController(w).Flush()
		if !k.wait(r, k.Pause) {
			return
		}
	}
}

// Event returns the text of an event.
func Event(id int) string {
	return fmt.Sprintf("id: %d\ndata: piece %d\n\n", id, id)
}

// wait passes time unless the client leaves, which it counts and reports as false.
func (k *Worker) wait(r *http.Request, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		k.mu.Lock()
		k.gone++
		k.mu.Unlock()
		return false
	}
}

// order reserves or releases memory.
func (k *Worker) order(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Operation string `json:"operation"`
		ID        string `json:"id"`
		HoldMs    int    `json:"holdMs"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	switch body.Operation {
	case "reserve":
		k.tickets[body.ID] = time.Now().Add(time.Duration(body.HoldMs) * time.Millisecond)
	case "release":
		delete(k.tickets, body.ID)
	default:
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	writeJSON(w, map[string]any{"free": 0})
}

// Route is a route of a configuration.
type Route map[string]any

// Configuration writes a configuration into the store: a pool of engines, a pool of plain services, routes and keys by
// client account.
func Configuration(s *Store, version int, keys map[string][]string, routes ...Route) {
	accounts := []map[string]any{}
	for name, list := range keys {
		accounts = append(accounts, map[string]any{"name": name, "apiKeys": list, "priority": 1})
	}
	engine := map[string]any{
		"slots": 4, "kvCapacity": 100000, "stride": 51, "step_ms": 0.85, "per_seq_ms": 0.004, "context_per_k": 0.003,
		"read_per_s": 177000.0, "pairs_per_m": 0.184, "chunk": 2048,
	}
	value, _ := json.Marshal(map[string]any{
		"version": version, "routes": routes, "tenants": accounts,
		"services": []map[string]any{
			{"name": "engines", "maxConns": 100, "coldS": 1, "coldPerS": 300, "engine": engine},
			{"name": "services", "maxConns": 100},
		},
		"limits": map[string]any{
			"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
		},
	})
	s.Put("op", "config", base64.StdEncoding.EncodeToString(value))
}

// Routes returns one route of each kind at host "app.example": streams at "/s/", safe calls at "/r/" and unsafe ones at
// "/u/".
func Routes() []Route {
	return []Route{
		{"name": "s", "host": "app.example", "prefix": "/s/", "kind": "stream", "timeoutMs": 5000, "goalMs": 300, "priority": 1,
			"service": "engines", "maxAttempts": 2, "sticky": true, "resumable": true, "gapGoalMs": 250},
		{"name": "r", "host": "app.example", "prefix": "/r/", "kind": "safe", "timeoutMs": 2000, "goalMs": 150, "priority": 2,
			"service": "services", "maxAttempts": 2},
		{"name": "u", "host": "app.example", "prefix": "/u/", "kind": "unsafe", "timeoutMs": 2000, "goalMs": 150, "priority": 2,
			"service": "services", "maxAttempts": 1},
	}
}

// Stream returns the whole text of a stream from one event to another.
func Stream(from, to int) string {
	var text strings.Builder
	for id := from; id <= to; id++ {
		text.WriteString(Event(id))
	}
	return text.String()
}
