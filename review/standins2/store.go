package main

import (
	"cmp"
	"context"
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"
)

// row is a row of the store as it is sent.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   string `json:"value,omitempty"`
	Version int64  `json:"ver"`
	Deleted bool   `json:"tombstone,omitempty"`
}

// rowID identifies a row.
type rowID struct{ table, part, key string }

// id returns the identity of the row.
func (r row) id() rowID {
	return rowID{table: r.Table, part: r.Part, key: r.Key}
}

// store is the platform's store: rows with versions, and a feed of their changes.
type store struct {
	mu      sync.Mutex
	started time.Time
	version int64
	rows    map[rowID]row
	log     []row
	// changed is closed and replaced at each change.
	changed chan struct{}
	group   sync.WaitGroup
}

// newStore returns an empty store.
func newStore() *store {
	return &store{started: time.Now(), rows: make(map[rowID]row), changed: make(chan struct{})}
}

// serve serves the store on a free loopback port and returns its address.
func (s *store) serve() (string, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /wisteriadyke/rows-get", s.get)
	mux.HandleFunc("GET /wisteriadyke/rows-feed", s.feed)
	mux.HandleFunc("POST /wisteriadyke/rows-tx", s.transact)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	s.group.Go(func() { _ = server.Serve(listener) })
	return listener.Addr().String(), nil
}

// put writes a row on behalf of the operator or a worker.
func (s *store) put(table, key string, value any) error {
	encoded, err := json.Marshal(value)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]row{{Table: table, Key: key, Value: base64.StdEncoding.EncodeToString(encoded)}})
	return nil
}

// remove removes a row on behalf of the operator or a worker.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]row{{Table: table, Key: key, Deleted: true}})
}

// apply applies the changes of one transaction; the caller holds the lock.
func (s *store) apply(changes []row) {
	s.version++
	for _, r := range changes {
		r.Version = s.version
		if r.Deleted {
			delete(s.rows, r.id())
		} else {
			s.rows[r.id()] = r
		}
		s.log = append(s.log, r)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// reply answers with rows and the version; the caller holds the lock.
func (s *store) reply(w http.ResponseWriter, status int, rows []row, more bool) {
	body := map[string]any{"ver": s.version, "nowMs": time.Since(s.started).Milliseconds()}
	if rows != nil {
		body["rows"], body["hasMore"] = rows, more
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// get answers with the rows of a part of a table.
func (s *store) get(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []row{}
	for _, candidate := range s.rows {
		if inRange(candidate, query) {
			rows = append(rows, candidate)
		}
	}
	slices.SortFunc(rows, func(a, b row) int { return cmp.Compare(a.Key, b.Key) })
	limit := 500
	if asked, err := strconv.Atoi(query.Get("limit")); err == nil && asked > 0 {
		limit = min(limit, asked)
	}
	more := len(rows) > limit
	s.reply(w, http.StatusOK, rows[:min(limit, len(rows))], more)
}

// inRange reports whether a row is one that a call of rows-get asks for.
func inRange(r row, query url.Values) bool {
	target := query.Get("target")
	return r.Table == query.Get("table") && r.Part == query.Get("part") && r.Key >= query.Get("from") &&
		(target == "" || r.Key < target)
}

// feed answers with the rows of a table that have changed after a version, as soon as there is one.
func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("afterRev"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	timer := time.NewTimer(time.Duration(min(wait, 30_000)) * time.Millisecond)
	defer timer.Stop()
	for expired := false; ; {
		s.mu.Lock()
		rows := []row{}
		for _, change := range s.log {
			if change.Table == query.Get("table") && change.Version > after {
				rows = append(rows, change)
			}
		}
		if len(rows) > 0 || expired {
			s.reply(w, http.StatusOK, rows, false)
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

// transact applies a transaction of an entry if the rows that it expects are as it expects them.
func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var transaction struct {
		Expected []row `json:"expected"`
		Writes   []row `json:"writes"`
		Remove   []row `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&transaction) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	changes := slices.Clone(transaction.Writes)
	for _, removed := range transaction.Remove {
		removed.Deleted = true
		changes = append(changes, removed)
	}
	for _, change := range changes {
		if change.Table == "op" || change.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, expected := range transaction.Expected {
		if s.rows[expected.id()].Version != expected.Version {
			s.reply(w, http.StatusPreconditionFailed, []row{s.rows[expected.id()]}, false)
			return
		}
	}
	s.apply(changes)
	s.reply(w, http.StatusOK, nil, false)
}
