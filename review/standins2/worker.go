package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// worker is a plain service or a model worker in a process of its own. It writes one line to standard output for each
// request that it receives, begins to run or ends, and before it crashes.
type worker struct {
	id     string
	slots  int
	work   time.Duration
	events int
	pause  time.Duration
	// crashBody is the body of a request that crashes the worker: crashAfter after it has begun to run, or once
	// crashEvents of its events were sent.
	crashBody   string
	crashAfter  time.Duration
	crashEvents int

	running atomic.Int64
	waiting atomic.Int64
	places  chan struct{}
	mu      sync.Mutex
}

// workerEvent is a line of a worker's output.
type workerEvent struct {
	At      int64  `json:"at_us"`
	Event   string `json:"event"`
	Attempt string `json:"attempt"`
	Crasher bool   `json:"crasher"`
}

// Values of workerEvent.Event.
const (
	eventArrived = "arrived"
	eventRuns    = "runs"
	eventEnded   = "ended"
	eventCrashes = "crashes"
)

// runWorker serves until the process is killed.
func runWorker(arguments []string) error {
	k := &worker{}
	flags := flag.NewFlagSet("worker", flag.ContinueOnError)
	address := flags.String("address", "", "listen address")
	flags.StringVar(&k.id, "id", "", "id of the worker")
	flags.IntVar(&k.slots, "slots", 6, "requests that run at once")
	flags.DurationVar(&k.work, "work", 30*time.Millisecond, "time until the answer or its first event")
	flags.IntVar(&k.events, "events", 0, "events of a stream; 0 for a plain service")
	flags.DurationVar(&k.pause, "pause", 100*time.Millisecond, "time between two events")
	flags.StringVar(&k.crashBody, "crash-body", "", "body of the request that crashes the worker")
	flags.DurationVar(&k.crashAfter, "crash-after", 10*time.Millisecond, "time from the start of that request to the crash")
	flags.IntVar(&k.crashEvents, "crash-events", 0, "events of that request that are sent before the crash")
	if err := flags.Parse(arguments); err != nil {
		return err
	}
	k.places = make(chan struct{}, k.slots)
	server := &http.Server{Addr: *address, Handler: k, ReadHeaderTimeout: time.Minute, IdleTimeout: 10 * time.Second}
	return server.ListenAndServe()
}

// ServeHTTP serves one request.
func (k *worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	header := w.Header()
	header.Set("X-Instance-Id", k.id)
	header.Set("X-Server-Load", fmt.Sprintf("%d,%d,%d", k.running.Load(), k.waiting.Load(), k.slots))
	switch r.URL.Path {
	case "/health":
		return
	case "/wisteriadyke/report":
		k.report(w)
		return
	case "/wisteriadyke/order":
		header.Set("Content-Type", "application/json")
		_, _ = io.WriteString(w, `{"free":315000}`)
		return
	}
	body, err := io.ReadAll(r.Body)
	attempt := r.Header.Get("X-Attempt-Id")
	header.Set("X-Attempt-Id", attempt)
	switch expected := r.Header.Get("X-Expect-Instance"); {
	case err != nil || attempt == "":
		header.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	case expected != "" && expected != k.id:
		header.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	crasher := k.crashBody != "" && bytes.Equal(body, []byte(k.crashBody))
	k.write(eventArrived, attempt, crasher)
	k.waiting.Add(1)
	select {
	case k.places <- struct{}{}:
		k.waiting.Add(-1)
	case <-r.Context().Done():
		k.waiting.Add(-1)
		return
	}
	defer func() { <-k.places }()
	k.running.Add(1)
	defer k.running.Add(-1)
	k.run(w, r, attempt, crasher)
}

// run runs a request for which there is a place.
func (k *worker) run(w http.ResponseWriter, r *http.Request, attempt string, crasher bool) {
	k.write(eventRuns, attempt, crasher)
	if crasher && k.crashEvents == 0 {
		time.Sleep(k.crashAfter)
		k.crash(attempt)
	}
	if !pause(r, k.work) {
		return
	}
	w.Header().Set("X-Response-Seal", k.id+"."+attempt)
	if k.events == 0 {
		_, _ = fmt.Fprintf(w, "answer of %s to %s", k.id, attempt)
		k.write(eventEnded, attempt, crasher)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Weight-Versions", "1")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for id := last + 1; id <= k.events; id++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", id, id)
		_ = http.NewResponseController(w).Flush()
		if crasher && id == last+k.crashEvents {
			k.crash(attempt)
		}
		if !pause(r, k.pause) {
			return
		}
	}
	k.write(eventEnded, attempt, crasher)
}

// pause waits; it returns false if the caller has left.
func pause(r *http.Request, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

// report answers with the load of the worker.
func (k *worker) report(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"stage": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": false,
		"sequence": 0, "queued": k.waiting.Load(), "running": k.running.Load(), "kvUsed": 0, "kvTotal": 315000, "handles": 0,
		"tickets": []any{},
	})
}

// crash ends the process.
func (k *worker) crash(attempt string) {
	k.write(eventCrashes, attempt, true)
	os.Exit(exitBroken)
}

// write writes one event.
func (k *worker) write(event, attempt string, crasher bool) {
	line, _ := json.Marshal(workerEvent{At: time.Now().UnixMicro(), Event: event, Attempt: attempt, Crasher: crasher})
	k.mu.Lock()
	defer k.mu.Unlock()
	_, _ = os.Stdout.Write(append(line, '\n'))
}
