package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// beatInterval is the interval at which a worker writes to the registry.
const beatInterval = 1200 * time.Millisecond

// worker is a stand-in for a worker. It prints a line of JSON for each request that arrives, runs and ends.
type worker struct {
	id, service, zone, address, registry string
	slots                                int
	born                                 int64
	// firstAfter is the time to the first event of a stream, eventEvery that between two events, and events their number.
	firstAfter, eventEvery time.Duration
	events                 int
	// work is how long a request that is no stream runs.
	work time.Duration
	// failEvery makes each failEvery-th request fail with failStatus after it ran; 0 means none.
	failEvery, failStatus int
	// coldLeft is how long the worker says it stays cold.
	coldLeft time.Duration
	// leaveAfter is how long the worker serves after it has reported that it drains.
	leaveAfter time.Duration

	requests atomic.Int64
	running  atomic.Int64
	draining atomic.Bool
	started  time.Time
	out      sync.Mutex
}

func workerMain(args []string) int {
	w := &worker{born: time.Now().UnixMilli(), started: time.Now()}
	flags := flag.NewFlagSet("worker", flag.ExitOnError)
	flags.StringVar(&w.id, "id", "", "")
	flags.StringVar(&w.service, "service", "", "")
	flags.StringVar(&w.zone, "zone", "", "")
	flags.StringVar(&w.address, "address", "", "")
	flags.StringVar(&w.registry, "registry", "", "")
	flags.IntVar(&w.slots, "slots", 16, "")
	flags.DurationVar(&w.firstAfter, "first-after", 100*time.Millisecond, "")
	flags.DurationVar(&w.eventEvery, "event-every", 100*time.Millisecond, "")
	flags.IntVar(&w.events, "events", 10, "")
	flags.DurationVar(&w.work, "work", 30*time.Millisecond, "")
	flags.IntVar(&w.failEvery, "fail-every", 0, "")
	flags.IntVar(&w.failStatus, "fail-status", 503, "")
	flags.DurationVar(&w.coldLeft, "cold-left", 0, "")
	flags.DurationVar(&w.leaveAfter, "leave-after", 2500*time.Millisecond, "")
	_ = flags.Parse(args)
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	go w.beats()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM)
	go func() {
		<-signals
		w.draining.Store(true)
		w.beat()
		time.Sleep(w.leaveAfter)
		w.print(map[string]any{"event": "exit", "running": w.running.Load()})
		_, _ = http.Post("http://"+w.registry+"/leave/"+w.id, "application/json", nil)
		os.Exit(0)
	}()
	if err := http.Serve(listener, http.HandlerFunc(w.serve)); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	return exitNotRun
}

// print prints an event.
func (w *worker) print(event map[string]any) {
	event["worker"], event["service"] = w.id, w.service
	line, _ := json.Marshal(event)
	w.out.Lock()
	defer w.out.Unlock()
	_, _ = os.Stdout.Write(append(line, '\n'))
}

func (w *worker) beats() {
	for {
		w.beat()
		time.Sleep(beatInterval)
	}
}

// entry returns the worker's entry in the registry.
func (w *worker) entry() []byte {
	state := "ready"
	if w.draining.Load() {
		state = "draining"
	}
	left := max(0, w.coldLeft-time.Since(w.started))
	entry := map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": w.slots, "state": state,
		"coldLeftMs": left.Milliseconds() / 1000 * 1000, "sequence": 0, "born": w.born,
	}
	value, _ := json.Marshal(entry)
	return value
}

func (w *worker) beat() {
	response, err := http.Post("http://"+w.registry+"/beat/"+w.id, "application/json", bytes.NewReader(w.entry()))
	if err == nil {
		_ = response.Body.Close()
	}
}

// headers sets the headers that all answers to a request have.
func (w *worker) headers(header http.Header, r *http.Request) {
	header["Date"] = nil
	header.Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
	header.Set("X-Server-Load", fmt.Sprintf("%d,0,%d", w.running.Load(), w.slots))
	if w.draining.Load() {
		header.Set("Connection", "close")
	}
}

// reject answers that a request was not run.
func (w *worker) reject(rw http.ResponseWriter, r *http.Request, status int) {
	w.headers(rw.Header(), r)
	rw.Header().Set("X-Not-Executed", "1")
	rw.Header().Set("At-Server", w.address)
	rw.Header().Set("X-Instance-Id", w.id)
	rw.WriteHeader(status)
}

func (w *worker) serve(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		rw.Header().Set("X-Instance-Id", w.id)
		rw.WriteHeader(http.StatusOK)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	expected := r.Header.Get("X-Expect-Instance")
	w.print(map[string]any{
		"event": "arrives", "id": id, "path": r.RequestURI, "tenant": r.Header.Get("X-Tenant"), "expected": expected,
		"credential": r.Header.Get("X-Credential"), "draining": w.draining.Load(),
	})
	switch {
	case expected != "" && expected != w.id:
		w.reject(rw, r, http.StatusMisdirectedRequest)
		return
	case id == "":
		w.reject(rw, r, http.StatusBadRequest)
		return
	case w.running.Load() >= int64(w.slots)*3:
		w.reject(rw, r, http.StatusServiceUnavailable)
		return
	}
	w.running.Add(1)
	defer w.running.Add(-1)
	w.print(map[string]any{"event": "runs", "id": id, "path": r.RequestURI, "body": len(body)})
	if r.Header.Get("X-Token-Counts") != "" {
		w.stream(rw, r, id)
		return
	}
	w.call(rw, r, id)
}

// call runs a request that is no stream.
func (w *worker) call(rw http.ResponseWriter, r *http.Request, id string) {
	time.Sleep(w.work)
	number := w.requests.Add(1)
	w.headers(rw.Header(), r)
	rw.Header().Set("X-Response-Seal", fmt.Sprintf("%s.%d", w.id, number))
	status := http.StatusOK
	if w.failEvery > 0 && number%int64(w.failEvery) == 0 {
		status = w.failStatus
	}
	w.print(map[string]any{"event": "ends", "id": id, "status": status})
	body := fmt.Sprintf("%s %s by %s\n", id, http.StatusText(status), w.service)
	rw.Header().Set("Content-Length", strconv.Itoa(len(body)))
	rw.WriteHeader(status)
	_, _ = io.WriteString(rw, body)
}

// stream runs a stream of events.
func (w *worker) stream(rw http.ResponseWriter, r *http.Request, id string) {
	number := w.requests.Add(1)
	if !pause(r, w.firstAfter) {
		w.print(map[string]any{"event": "left", "id": id, "events": 0})
		return
	}
	w.headers(rw.Header(), r)
	rw.Header().Set("Content-Type", "text/event-stream")
	rw.Header().Set("X-Response-Seal", fmt.Sprintf("%s.%d", w.id, number))
	rw.WriteHeader(http.StatusOK)
	first := 1
	if after, err := strconv.Atoi(strings.TrimSpace(r.Header.Get("Last-Event-Id"))); err == nil {
		first = after + 1
	}
	for event := first; event <= w.events; event++ {
		if event > first && !pause(r, w.eventEvery) {
			w.print(map[string]any{"event": "left", "id": id, "events": event - 1})
			return
		}
		fmt.Fprintf(rw, "id: %d\ndata: %s %d\n\n", event, id, event)
		rw.(http.Flusher).Flush()
	}
	w.print(map[string]any{"event": "ends", "id": id, "status": 200, "events": w.events})
}

// pause waits; it reports false if the caller has left.
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
