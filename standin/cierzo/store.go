// Package cierzo stands in for the Cierzo platform in tests: its store, its model engines and its plain services.
package cierzo

import (
	"cmp"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Fault is what the store does to a call instead of answering it.
type Fault int

// The faults of the store.
const (
	// FaultNone answers.
	FaultNone Fault = iota
	// FaultUnavailable answers 503 and does nothing.
	FaultUnavailable
	// FaultReset breaks the connection and does nothing.
	FaultReset
	// FaultHang does nothing until the caller gives up.
	FaultHang
	// FaultLostResponse does what was asked and breaks the connection.
	FaultLostResponse
	// FaultCompacted answers 410 to feeds.
	FaultCompacted
)

// row is a row of a table.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   string `json:"value,omitempty"`
	Version int64  `json:"ver"`
	Deleted bool   `json:"tombstone,omitempty"`
}

// Store is a small store of rows with a feed of changes.
type Store struct {
	// Fault decides what happens to a call; nil answers all.
	Fault func(r *http.Request) Fault

	mu      sync.Mutex
	version int64
	rows    map[[2]string]row
	log     []row
	changed chan struct{}
	server  *httptest.Server
	calls   int
}

// Start serves at a free port of 127.0.0.1.
func (s *Store) Start() {
	s.rows = make(map[[2]string]row)
	s.changed = make(chan struct{})
	s.server = httptest.NewServer(http.HandlerFunc(s.serve))
}

// ServeAt serves the same rows at another port, with faults of its own; the caller closes it.
func (s *Store) ServeAt(fault func(r *http.Request) Fault) (netip.AddrPort, func()) {
	door := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.serveWith(w, r, fault)
	}))
	return addressOf(door), func() {
		door.CloseClientConnections()
		door.Close()
	}
}

// Close stops serving.
func (s *Store) Close() {
	s.server.CloseClientConnections()
	s.server.Close()
}

// Address is where the store answers.
func (s *Store) Address() netip.AddrPort {
	return addressOf(s.server)
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put writes a row; value is base64 as the store keeps it.
func (s *Store) Put(table, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(row{Table: table, Key: key, Value: value})
}

// Remove drops a row.
func (s *Store) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(row{Table: table, Key: key, Deleted: true})
}

// put makes one change; the caller holds the lock.
func (s *Store) put(r row) {
	s.version++
	r.Version = s.version
	if r.Deleted {
		delete(s.rows, [2]string{r.Table, r.Key})
	} else {
		s.rows[[2]string{r.Table, r.Key}] = r
	}
	s.log = append(s.log, r)
	close(s.changed)
	s.changed = make(chan struct{})
}

// serve answers one call, unless a fault comes first.
func (s *Store) serve(w http.ResponseWriter, r *http.Request) {
	s.serveWith(w, r, s.Fault)
}

// serveWith answers one call, unless a fault comes first; a nil function knows no faults.
func (s *Store) serveWith(w http.ResponseWriter, r *http.Request, decide func(r *http.Request) Fault) {
	s.mu.Lock()
	s.calls++
	s.mu.Unlock()
	fault := FaultNone
	if decide != nil {
		fault = decide(r)
	}
	switch fault {
	case FaultUnavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case FaultReset:
		panic(http.ErrAbortHandler)
	case FaultHang:
		// net/http notices that the caller has gone only once the body has been read.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		return
	case FaultLostResponse:
		s.answer(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	case FaultCompacted:
		if strings.HasSuffix(r.URL.Path, "rows-feed") {
			w.WriteHeader(http.StatusGone)
			return
		}
	}
	s.answer(w, r)
}

// answer does what a call asks.
func (s *Store) answer(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/wisteriadyke/rows-get":
		s.get(w, r.URL.Query())
	case "/wisteriadyke/rows-feed":
		s.feed(w, r)
	case "/wisteriadyke/rows-tx":
		s.write(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// get answers a page of a table.
func (s *Store) get(w http.ResponseWriter, query url.Values) {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []row{}
	for _, r := range s.rows {
		if r.Table == query.Get("table") && r.Key >= query.Get("from") {
			rows = append(rows, r)
		}
	}
	slices.SortFunc(rows, func(a, b row) int { return cmp.Compare(a.Key, b.Key) })
	limit, _ := strconv.Atoi(query.Get("limit"))
	more := limit > 0 && len(rows) > limit
	if more {
		rows = rows[:limit]
	}
	writeJSON(w, map[string]any{"rows": rows, "hasMore": more, "ver": s.version})
}

// feed answers the changes behind a version and waits for the first.
func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("afterRev"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		rows := []row{}
		for _, change := range s.log {
			if change.Table == query.Get("table") && change.Version > after {
				rows = append(rows, change)
			}
		}
		version, changed := s.version, s.changed
		s.mu.Unlock()
		if len(rows) > 0 {
			writeJSON(w, map[string]any{"rows": rows, "ver": version})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			writeJSON(w, map[string]any{"rows": rows, "ver": version})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// write makes the changes of a transaction.
func (s *Store) write(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Writes []row `json:"writes"`
		Remove []row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, change := range body.Writes {
		s.put(change)
	}
	for _, change := range body.Remove {
		change.Deleted = true
		s.put(change)
	}
	writeJSON(w, map[string]any{"ver": s.version})
}

// writeJSON answers with a value.
func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// addressOf returns where a server listens.
func addressOf(server *httptest.Server) netip.AddrPort {
	return netip.MustParseAddrPort(server.Listener.Addr().String())
}
