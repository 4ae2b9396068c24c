// Package cierzo is a stand-in for the Cierzo platform, on which package gateway runs, in tests: its store, model
// engines and plain services. Package standin/platform is one for the platform of package entry.
package cierzo

import (
	"cmp"
	"encoding/json"
	"io"
	"maps"
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

// Fault specifies how the store deviates from the normal handling of a request.
type Fault int

// The faults of the store.
const (
	// FaultNone handles the request normally.
	FaultNone Fault = iota
	// FaultUnavailable answers with status 503 without handling the request.
	FaultUnavailable
	// FaultReset aborts the connection without handling the request.
	FaultReset
	// FaultHang does nothing until the client disconnects.
	FaultHang
	// FaultLostResponse handles the request, but aborts the connection instead of answering.
	FaultLostResponse
	// FaultCompacted answers requests for the change feed with status 410, and handles others normally.
	FaultCompacted
)

// row is the wire form of a row or of a change.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   string `json:"value,omitempty"`
	Version int64  `json:"ver"`
	Deleted bool   `json:"tombstone,omitempty"`
}

// Store is an in-memory store of rows with a change feed.
type Store struct {
	// Fault returns the fault for a request. Nil means no faults.
	Fault func(r *http.Request) Fault
	// LatePolls is how long after Restore the polls that were held are answered, as of before.
	LatePolls time.Duration

	mu      sync.Mutex
	era     int64
	version int64
	// rows holds the rows by table and key.
	rows map[[2]string]row
	// log holds all changes in the order of their versions.
	log []row
	// changed is closed and replaced at each change.
	changed chan struct{}
	server  *httptest.Server
	calls   int
}

// Start listens on a free port of 127.0.0.1 and serves in the background.
func (s *Store) Start() {
	s.rows = make(map[[2]string]row)
	s.changed = make(chan struct{})
	s.server = httptest.NewServer(http.HandlerFunc(s.serve))
}

// Copy is the content of a store at one moment.
type Copy struct {
	version int64
	rows    map[[2]string]row
	log     []row
}

// Copy returns the present content.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{version: s.version, rows: maps.Clone(s.rows), log: slices.Clone(s.log)}
}

// Restore replaces the content by that of a copy and begins a new era: what was written since the copy is lost, and its
// versions are given out again.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.version, s.rows, s.log = c.version, maps.Clone(c.rows), slices.Clone(c.log)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Row returns the value of a row, and whether it exists.
func (s *Store) Row(table, key string) (value string, found bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, found := s.rows[[2]string{table, key}]
	return r.Value, found
}

// Keys returns the keys of a table in ascending order.
func (s *Store) Keys(table string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for id := range s.rows {
		if id[0] == table {
			keys = append(keys, id[1])
		}
	}
	slices.Sort(keys)
	return keys
}

// ServeAt also serves the rows on another free port, with its own faults. It returns the address and a function that
// stops serving there.
func (s *Store) ServeAt(fault func(r *http.Request) Fault) (netip.AddrPort, func()) {
	return s.ServeView(fault, nil)
}

// View returns the value of a row as some of the readers see it. It must not call the store.
type View func(table, key, value string) string

// ServeView is like ServeAt, but its readers see the rows through a view; nil changes nothing.
func (s *Store) ServeView(fault func(r *http.Request) Fault, view View) (netip.AddrPort, func()) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.serveWithFaults(w, r, fault, view)
	}))
	return addressOf(server), func() {
		server.CloseClientConnections()
		server.Close()
	}
}

// Close aborts all connections and stops serving.
func (s *Store) Close() {
	s.server.CloseClientConnections()
	s.server.Close()
}

// Address returns the address that Start listens on.
func (s *Store) Address() netip.AddrPort {
	return addressOf(s.server)
}

// Calls returns the number of requests so far, including those with faults and those to the servers of ServeAt.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put writes a row; value is base64, as in the store's protocol.
func (s *Store) Put(table, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(row{Table: table, Key: key, Value: value})
}

// Remove deletes a row.
func (s *Store) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(row{Table: table, Key: key, Deleted: true})
}

// put applies a change and wakes the waiting feeds; the caller must hold the lock.
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

// serve answers a request with the fault that Fault returns for it.
func (s *Store) serve(w http.ResponseWriter, r *http.Request) {
	s.serveWithFaults(w, r, s.Fault, nil)
}

// serveWithFaults answers a request with the fault that decide returns for it. A nil decide means no faults.
func (s *Store) serveWithFaults(w http.ResponseWriter, r *http.Request, decide func(r *http.Request) Fault, view View) {
	s.mu.Lock()
	s.calls++
	w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
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
		// net/http detects that the client has disconnected only once the body has been read.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		return
	case FaultLostResponse:
		s.answer(httptest.NewRecorder(), r, view)
		panic(http.ErrAbortHandler)
	case FaultCompacted:
		if strings.HasSuffix(r.URL.Path, "rows-feed") {
			w.WriteHeader(http.StatusGone)
			return
		}
	}
	s.answer(w, r, view)
}

// answer answers a request normally.
func (s *Store) answer(w http.ResponseWriter, r *http.Request, view View) {
	switch r.URL.Path {
	case "/wisteriadyke/rows-get":
		s.get(w, r.URL.Query(), view)
	case "/wisteriadyke/rows-feed":
		s.feed(w, r, view)
	case "/wisteriadyke/rows-tx":
		s.write(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// get answers with the rows of a table from a key on, in key order, up to a limit.
func (s *Store) get(w http.ResponseWriter, query url.Values, view View) {
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
	writeJSON(w, map[string]any{"rows": view.apply(rows), "hasMore": more, "ver": s.version, "nowMs": clockMs()})
}

// feed is a long poll: it answers with the changes of a table after a version, and waits for the first one for up to
// waitMs.
func (s *Store) feed(w http.ResponseWriter, r *http.Request, view View) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("afterRev"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	s.mu.Lock()
	era, lastVersion := s.era, s.version
	s.mu.Unlock()
	for {
		s.mu.Lock()
		if s.era != era {
			s.mu.Unlock()
			time.Sleep(s.LatePolls)
			w.Header().Set("Store-Era", strconv.FormatInt(era, 10))
			writeJSON(w, map[string]any{"rows": []row{}, "ver": lastVersion})
			return
		}
		if after > s.version {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		lastVersion = s.version
		rows := []row{}
		for _, change := range s.log {
			if change.Table == query.Get("table") && change.Version > after {
				rows = append(rows, change)
			}
		}
		version, changed := s.version, s.changed
		s.mu.Unlock()
		if len(rows) > 0 {
			writeJSON(w, map[string]any{"rows": view.apply(rows), "ver": version, "nowMs": clockMs()})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			writeJSON(w, map[string]any{"rows": rows, "ver": version, "nowMs": clockMs()})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// apply returns the rows as the readers of the view see them.
func (v View) apply(rows []row) []row {
	if v == nil {
		return rows
	}
	for i := range rows {
		rows[i].Value = v(rows[i].Table, rows[i].Key, rows[i].Value)
	}
	return rows
}

// write applies the changes of a transaction, without checking versions.
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

// startedAt is the start of the store's steady clock.
var startedAt = time.Now()

// clockMs returns the time on the store's steady clock in milliseconds.
func clockMs() int64 {
	return time.Since(startedAt).Milliseconds()
}

// writeJSON answers with a JSON body.
func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// addressOf returns the address that a server listens on.
func addressOf(server *httptest.Server) netip.AddrPort {
	return netip.MustParseAddrPort(server.Listener.Addr().String())
}
