package main

import (
	"encoding/base64"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// storeLatency is the time that the store takes for an answer.
const storeLatency = 4 * time.Millisecond

// beatSilence is the silence after which the registry removes a worker: three beats of 1.2 s.
const beatSilence = 3600 * time.Millisecond

// row is a row of the store, or a change of one.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   string `json:"value,omitempty"`
	Version int64  `json:"ver"`
	Deleted bool   `json:"tombstone,omitempty"`
}

// store is the platform's metadata store: linearizable rows with a change feed.
type store struct {
	// view replaces the value of a row for one reader; nil changes nothing.
	view func(reader, table, key, value string) string

	started time.Time
	mu      sync.Mutex
	version int64
	rows    map[[2]string]row
	log     []row
	changed chan struct{}
	// beats holds the latest beat of each worker.
	beats map[string]beat
}

// beat is the latest registration of a worker.
type beat struct {
	at    time.Time
	value string
}

func newStore() *store {
	s := &store{
		started: time.Now(), version: 100, rows: map[[2]string]row{}, changed: make(chan struct{}), beats: map[string]beat{},
	}
	return s
}

// put writes a row and returns its version.
func (s *store) put(table, key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.apply(row{Table: table, Key: key, Value: base64.StdEncoding.EncodeToString(value)})
}

// remove drops a row.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, found := s.rows[[2]string{table, key}]; found {
		s.apply(row{Table: table, Key: key, Deleted: true})
	}
}

// apply applies a change; the caller holds the lock.
func (s *store) apply(r row) int64 {
	s.version++
	r.Version = s.version
	id := [2]string{r.Table, r.Key}
	if r.Deleted {
		delete(s.rows, id)
	} else {
		s.rows[id] = r
	}
	s.log = append(s.log, r)
	close(s.changed)
	s.changed = make(chan struct{})
	return r.Version
}

// beat records the beat of a worker. The row changes only if more than the sequence changes.
func (s *store) beat(id string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, found := s.beats[id]
	s.beats[id] = beat{at: time.Now(), value: string(value)}
	stored, listed := s.rows[[2]string{"servers", id}]
	encoded := base64.StdEncoding.EncodeToString(value)
	if found && known.value == string(value) && listed && stored.Value == encoded {
		return
	}
	s.apply(row{Table: "servers", Key: id, Value: encoded})
}

// leave removes a worker that has left.
func (s *store) leave(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.beats, id)
	if _, found := s.rows[[2]string{"servers", id}]; found {
		s.apply(row{Table: "servers", Key: id, Deleted: true})
	}
}

// expire removes the workers that are silent.
func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, b := range s.beats {
		if time.Since(b.at) > beatSilence {
			delete(s.beats, id)
			s.apply(row{Table: "servers", Key: id, Deleted: true})
		}
	}
}

// handler returns the handler of the calls of one reader.
func (s *store) handler(reader string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(storeLatency)
		switch r.URL.Path {
		case "/wisteriadyke/rows-get":
			s.get(w, r, reader)
		case "/wisteriadyke/rows-feed":
			s.feed(w, r, reader)
		case "/wisteriadyke/rows-tx":
			s.transact(w, r)
		default:
			w.WriteHeader(http.StatusNotFound)
		}
	})
}

// seen returns rows as a reader sees them.
func (s *store) seen(reader string, rows []row) []row {
	if s.view == nil {
		return rows
	}
	for i := range rows {
		if value, err := base64.StdEncoding.DecodeString(rows[i].Value); err == nil && !rows[i].Deleted {
			rows[i].Value = base64.StdEncoding.EncodeToString([]byte(s.view(reader, rows[i].Table, rows[i].Key, string(value))))
		}
	}
	return rows
}

func (s *store) answer(w http.ResponseWriter, status int, body map[string]any) {
	body["nowMs"] = time.Since(s.started).Milliseconds()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) get(w http.ResponseWriter, r *http.Request, reader string) {
	query := r.URL.Query()
	limit, _ := strconv.Atoi(query.Get("limit"))
	if limit <= 0 || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	rows := []row{}
	for _, found := range s.rows {
		in := found.Table == query.Get("table") && found.Part == query.Get("part") && found.Key >= query.Get("from")
		if in && (query.Get("target") == "" || found.Key < query.Get("target")) {
			rows = append(rows, found)
		}
	}
	version := s.version
	s.mu.Unlock()
	sort.Slice(rows, func(a, b int) bool { return rows[a].Key < rows[b].Key })
	more := len(rows) > limit
	if more {
		rows = rows[:limit]
	}
	s.answer(w, http.StatusOK, map[string]any{"rows": s.seen(reader, rows), "hasMore": more, "ver": version})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request, reader string) {
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
		version, changed := s.version, s.changed
		s.mu.Unlock()
		if len(rows) > 0 || expired || wait <= 0 {
			s.answer(w, http.StatusOK, map[string]any{"rows": s.seen(reader, rows), "ver": version})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Expected []row `json:"expected"`
		Writes   []row `json:"writes"`
		Remove   []row `json:"remove"`
	}
	data, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(data, &body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, change := range append(append([]row{}, body.Writes...), body.Remove...) {
		if change.Table == "op" || change.Table == "servers" {
			s.answer(w, http.StatusForbidden, map[string]any{})
			return
		}
	}
	for _, expected := range body.Expected {
		if s.rows[[2]string{expected.Table, expected.Key}].Version != expected.Version {
			s.answer(w, http.StatusPreconditionFailed, map[string]any{"rows": []row{}, "ver": s.version})
			return
		}
	}
	for _, change := range body.Writes {
		s.apply(change)
	}
	for _, change := range body.Remove {
		change.Deleted = true
		s.apply(change)
	}
	s.answer(w, http.StatusOK, map[string]any{"ver": s.version})
}
