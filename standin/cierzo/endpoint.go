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

// ReceivedRequest is a request that reached an endpoint.
type ReceivedRequest struct {
	// Method is the HTTP method.
	Method string
	// URI is the unparsed path and query.
	URI string
	// Host is the host that the request names.
	Host string
	// Header holds the headers of the request, without Host, which net/http removes.
	Header http.Header
	// Body is the request body.
	Body string
	// From is the address of the client's connection.
	From string
	// At is when the request arrived.
	At time.Time
	// Ran reports whether X-Expect-Instance names this endpoint or is absent. The endpoint then runs the request, unless
	// Intercept answers it.
	Ran bool
}

// Endpoint stands in for an endpoint, either a model engine or a plain service. Its fields must be set before Start.
type Endpoint struct {
	// ID is the endpoint's key in the registry.
	ID string
	// Service is the name of the endpoint's pool.
	Service string
	// Zone is the endpoint's availability zone.
	Zone string
	// Slots is the number of concurrent requests that Register states in the registry.
	Slots int
	// Events is the number of events of a complete stream; 0 means a plain answer.
	Events int
	// Pause is the time between two events.
	Pause time.Duration
	// Work is the time until the first event or the plain answer.
	Work time.Duration
	// TokensPerMs is the number of prompt tokens that the endpoint prefills per millisecond, after Work; 0 means that it
	// doesn't prefill.
	TokensPerMs int
	// Queue makes requests wait while Slots of them run. Otherwise, all run at once.
	Queue bool
	// ColdTime is how long the endpoint stays cold from its registration, as Register states it.
	ColdTime time.Duration
	// Public is the address that Register states in the registry; the zero value means the listen address.
	Public netip.AddrPort
	// CrashPart is the ID of a prompt part. The endpoint crashes when it begins to write the answer to a prompt with this
	// part that other requests may share; "" means that there is none.
	CrashPart string
	// Intercept, if not nil, may answer a request in place of the endpoint. It reports whether it did.
	Intercept func(w http.ResponseWriter, r *http.Request, seen ReceivedRequest) bool

	mu          sync.Mutex
	leaving     bool
	limit       float64
	received    []ReceivedRequest
	disconnects int
	// reservations holds the end of the lease of each memory reservation by its ID.
	reservations map[string]time.Time
	// slots holds one element for each running request if Queue is set.
	slots       chan struct{}
	server      *httptest.Server
	startedAtMs int64
}

// Start listens on a free port of 127.0.0.1 and serves in the background.
func (k *Endpoint) Start() {
	k.reservations = make(map[string]time.Time)
	k.startedAtMs = time.Now().UnixMilli()
	if k.Queue {
		k.slots = make(chan struct{}, k.Slots)
	}
	k.server = httptest.NewServer(http.HandlerFunc(k.serve))
}

// Close aborts all connections and stops serving.
func (k *Endpoint) Close() {
	k.server.CloseClientConnections()
	k.server.Close()
}

// Address returns the address that the endpoint listens on.
func (k *Endpoint) Address() netip.AddrPort {
	return addressOf(k.server)
}

// Crash stops listening and aborts all connections at once. Unlike Close, it does not wait for the requests in
// progress, so that Intercept may call it.
func (k *Endpoint) Crash() {
	_ = k.server.Listener.Close()
	k.server.CloseClientConnections()
}

// Register writes the endpoint's row with the given state into the registry, the table "servers" of s.
func (k *Endpoint) Register(s *Store, state string) {
	address := k.Public
	if !address.IsValid() {
		address = k.Address()
	}
	record, _ := json.Marshal(map[string]any{
		"service": k.Service, "address": address.String(), "zone": k.Zone, "version": "v1",
		"slots": k.Slots, "state": state, "coldLeftMs": k.ColdTime.Milliseconds(), "sequence": 1, "born": k.startedAtMs,
	})
	s.Put("servers", k.ID, base64.StdEncoding.EncodeToString(record))
}

// WithAddress returns the row of an endpoint with another address. Values that are no such row are returned unchanged.
func WithAddress(value string, address netip.AddrPort) string {
	data, err := base64.StdEncoding.DecodeString(value)
	if err != nil {
		return value
	}
	var record map[string]any
	if json.Unmarshal(data, &record) != nil {
		return value
	}
	record["address"] = address.String()
	data, err = json.Marshal(record)
	if err != nil {
		return value
	}
	return base64.StdEncoding.EncodeToString(data)
}

// Leave makes the endpoint say in all its answers that it leaves, and go on serving.
func (k *Endpoint) Leave() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.leaving = true
}

// SetLimit makes the endpoint state in all its answers how many requests per second it takes from all entries; 0 makes
// it state no limit.
func (k *Endpoint) SetLimit(perSecond float64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.limit = perSecond
}

// Restart begins a new incarnation under the same ID and address: the endpoint no longer leaves and has no limit, and
// Register states a later start.
func (k *Endpoint) Restart() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.leaving = false
	k.limit = 0
	k.startedAtMs++
}

// Requests returns the requests received so far, except orders.
func (k *Endpoint) Requests() []ReceivedRequest {
	k.mu.Lock()
	defer k.mu.Unlock()
	return append([]ReceivedRequest(nil), k.received...)
}

// Disconnects returns the number of requests whose client disconnected while they ran or waited.
func (k *Endpoint) Disconnects() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.disconnects
}

// Reservations returns the number of memory reservations that have not been released.
func (k *Endpoint) Reservations() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.reservations)
}

// ActiveReservations returns the number of memory reservations that have not been released and whose lease has not
// expired at now.
func (k *Endpoint) ActiveReservations(now time.Time) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	count := 0
	for _, until := range k.reservations {
		if now.Before(until) {
			count++
		}
	}
	return count
}

// serve records and answers a request. It executes orders without recording them.
func (k *Endpoint) serve(w http.ResponseWriter, r *http.Request) {
	k.mu.Lock()
	if k.leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	if k.limit > 0 {
		w.Header().Set("Server-Limit", strconv.FormatFloat(k.limit, 'f', -1, 64))
	}
	k.mu.Unlock()
	if r.URL.Path == "/wisteriadyke/order" {
		k.handleOrder(w, r)
		return
	}
	body, _ := io.ReadAll(r.Body)
	received := ReceivedRequest{
		Method: r.Method, URI: r.RequestURI, Host: r.Host, Header: r.Header.Clone(), Body: string(body), From: r.RemoteAddr,
		At: time.Now(),
	}
	expected := r.Header.Get("X-Expect-Instance")
	received.Ran = expected == "" || expected == k.ID
	k.mu.Lock()
	k.received = append(k.received, received)
	k.mu.Unlock()
	if k.Intercept != nil && k.Intercept(w, r, received) {
		return
	}
	if !received.Ran {
		w.Header().Set("X-Instance-Id", k.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
	w.Header().Set("X-Response-Seal", "seal-"+k.ID)
	if !k.takeSlot(r) {
		return
	}
	defer k.releaseSlot()
	if !k.wait(r, k.Work+k.prefillTime(r)) {
		return
	}
	if k.crashesOn(r.Header.Get("X-Prompt-Prefix")) {
		_ = http.NewResponseController(w).Flush()
		k.Crash()
		panic(http.ErrAbortHandler)
	}
	if k.Events == 0 {
		_, _ = fmt.Fprintf(w, "answer of %s", k.ID)
		return
	}
	k.stream(w, r)
}

// takeSlot waits until one of Slots is free, if Queue is set. If the client disconnects first, it counts the
// disconnection and returns false.
func (k *Endpoint) takeSlot(r *http.Request) bool {
	if k.slots == nil {
		return true
	}
	select {
	case k.slots <- struct{}{}:
		return true
	case <-r.Context().Done():
		k.countDisconnect()
		return false
	}
}

// releaseSlot releases the slot of takeSlot.
func (k *Endpoint) releaseSlot() {
	if k.slots != nil {
		<-k.slots
	}
}

// prefillTime returns the prefill time of a request by the number of its prompt tokens.
func (k *Endpoint) prefillTime(r *http.Request) time.Duration {
	if k.TokensPerMs == 0 {
		return 0
	}
	prompt, _, _ := strings.Cut(r.Header.Get("X-Token-Counts"), ",")
	tokens, _ := strconv.Atoi(prompt)
	return time.Duration(tokens) * time.Millisecond / time.Duration(k.TokensPerMs)
}

// crashesOn reports whether the parts of a prompt, but for the last, contain CrashPart.
func (k *Endpoint) crashesOn(parts string) bool {
	shared := parts[:max(0, strings.LastIndex(parts, ","))]
	for part := range strings.SplitSeq(shared, ",") {
		if id, _, _ := strings.Cut(part, ":"); id != "" && id == k.CrashPart {
			return true
		}
	}
	return false
}

// stream sends the events after the one that Last-Event-Id names.
func (k *Endpoint) stream(w http.ResponseWriter, r *http.Request) {
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

// Event returns the wire form of the event with the given id.
func Event(id int) string {
	return fmt.Sprintf("id: %d\ndata: piece %d\n\n", id, id)
}

// wait waits for d. If the client disconnects first, it counts the disconnection and returns false.
func (k *Endpoint) wait(r *http.Request, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		k.countDisconnect()
		return false
	}
}

// countDisconnect counts a request whose client disconnected while it ran or waited.
func (k *Endpoint) countDisconnect() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.disconnects++
}

// handleOrder executes an order to reserve or release memory.
func (k *Endpoint) handleOrder(w http.ResponseWriter, r *http.Request) {
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
		k.reservations[body.ID] = time.Now().Add(time.Duration(body.HoldMs) * time.Millisecond)
	case "release":
		delete(k.reservations, body.ID)
	default:
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	writeJSON(w, map[string]any{"free": 0})
}

// Stream returns the wire form of the events from the first given id to the second, both inclusive.
func Stream(from, to int) string {
	var text strings.Builder
	for id := from; id <= to; id++ {
		text.WriteString(Event(id))
	}
	return text.String()
}
