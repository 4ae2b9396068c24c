package gateway

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"wisteriadyke/standin/cierzo"
)

// streamCall is a request on the route of streams.
var streamCall = call{method: http.MethodPost, uri: "/s/x", header: []string{"X-Token-Counts: 1000,500"}, body: "prompt"}

func TestRequestsArePassedUnchanged(t *testing.T) {
	w := newCluster(t)
	k := w.startEndpoint(&cierzo.Endpoint{ID: "i-1", Service: "services"})
	e := w.startEntry()
	got := w.send(e, call{
		method: http.MethodPost,
		uri:    "/u/a%2Fb/./c//d?x=%20&y",
		header: []string{
			"X-Tenant: evil", "X-Expect-Instance: i-9", "X-Helpers: 10.0.0.1:1", "X-Request-Urgency: 0",
			"Connection: X-Hop", "X-Hop: 1", "X-Own: kept",
		},
		body: "one body",
	})
	if got.status != http.StatusOK || got.body != "answer of i-1" || got.header.Get("X-Response-Seal") != "seal-i-1" {
		t.Fatalf("answer = %+v", got)
	}
	seen := k.Requests()
	if len(seen) != 1 {
		t.Fatalf("%d requests reached the endpoint, want 1", len(seen))
	}
	if s := seen[0]; s.URI != "/u/a%2Fb/./c//d?x=%20&y" || s.Body != "one body" || s.Host != "App.Example.:80" {
		t.Errorf("request = %+v", s)
	}
	want := map[string]string{
		"X-Tenant": "acme", "X-Expect-Instance": "i-1", "X-Helpers": "", "X-Hop": "", "X-Own": "kept", "X-Credential": "",
		"X-Attempt-Id": "attempt-1", "X-Request-Urgency": "2",
	}
	for name, value := range want {
		if got := seen[0].Header.Get(name); got != value {
			t.Errorf("%s = %q, want %q", name, got, value)
		}
	}
}

func TestRefusals(t *testing.T) {
	w := newCluster(t)
	w.startEndpoint(&cierzo.Endpoint{ID: "i-1", Service: "services"})
	e := w.startEntry()
	tests := map[string]struct {
		call call
		want int
	}{
		"unknown path":      {call: call{method: http.MethodGet, uri: "/none/x"}, want: http.StatusNotFound},
		"unknown host":      {call: call{method: http.MethodGet, uri: "/r/x", header: []string{"Host: b"}}, want: http.StatusBadRequest},
		"prefix, no slash":  {call: call{method: http.MethodGet, uri: "/r"}, want: http.StatusNotFound},
		"no engine is left": {call: streamCall, want: http.StatusServiceUnavailable},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			got := w.send(e, tc.call)
			if got.status != tc.want {
				t.Errorf("status = %d, want %d", got.status, tc.want)
			}
			if tc.want == http.StatusServiceUnavailable && got.header.Get("Retry-After") == "" {
				t.Error("the refusal has no Retry-After header")
			}
		})
	}
}

func TestBrokenStreamGoesOnElsewhere(t *testing.T) {
	w := newCluster(t)
	const events = 6
	breakStream := func(rw http.ResponseWriter, r *http.Request, _ cierzo.ReceivedRequest) bool {
		if r.Header.Get("Last-Event-Id") != "" {
			return false
		}
		rw.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		rw.Header().Set("X-Response-Seal", "seal-of-first")
		rw.Header().Set("Content-Type", "text/event-stream")
		_, _ = rw.Write([]byte(cierzo.Stream(1, 3) + "id: 4\ndata: pie"))
		_ = http.NewResponseController(rw).Flush()
		panic(http.ErrAbortHandler)
	}
	first := w.startEndpoint(&cierzo.Endpoint{ID: "i-1", Events: events, Intercept: breakStream})
	second := w.startEndpoint(&cierzo.Endpoint{ID: "i-2", Events: events, Intercept: breakStream})
	e := w.startEntry()
	got := w.send(e, streamCall)
	if got.status != http.StatusOK || !got.complete || got.body != cierzo.Stream(1, events) {
		t.Fatalf("answer = %+v", got)
	}
	if seal := got.header.Get("X-Response-Seal"); seal != "seal-of-first" {
		t.Errorf("seal = %q, want the seal of the first endpoint", seal)
	}
	if n := len(first.Requests()) + len(second.Requests()); n != 2 {
		t.Errorf("%d requests reached endpoints, want 2", n)
	}
}

func TestBrokenAnswers(t *testing.T) {
	reset := func(http.ResponseWriter, *http.Request, cierzo.ReceivedRequest) bool { panic(http.ErrAbortHandler) }
	head := func(attempt, seal string, status int) func(http.ResponseWriter, *http.Request, cierzo.ReceivedRequest) bool {
		return func(rw http.ResponseWriter, _ *http.Request, _ cierzo.ReceivedRequest) bool {
			if attempt != "" {
				rw.Header().Set("X-Attempt-Id", attempt)
			}
			if seal != "" {
				rw.Header().Set("X-Response-Seal", seal)
			}
			rw.WriteHeader(status)
			_, _ = rw.Write([]byte("body"))
			return true
		}
	}
	notRun := func(rw http.ResponseWriter, _ *http.Request, _ cierzo.ReceivedRequest) bool {
		rw.Header().Set("X-Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return true
	}
	tests := map[string]struct {
		call      call
		intercept func(http.ResponseWriter, *http.Request, cierzo.ReceivedRequest) bool
		status    int
		body      string
		arrivals  int
	}{
		"reset, once":        {call{method: "POST", uri: "/u/x"}, reset, http.StatusBadGateway, "", 1},
		"reset, idempotent":  {call{method: "GET", uri: "/r/x"}, reset, http.StatusBadGateway, "", 2},
		"reset, key":         {call{method: "GET", uri: "/r/x", header: []string{"Idempotency-Key: 7"}}, reset, http.StatusBadGateway, "", 2},
		"crossed, once":      {call{method: "POST", uri: "/u/x"}, head("attempt-0", "s", 200), http.StatusBadGateway, "", 1},
		"no attempt, once":   {call{method: "POST", uri: "/u/x"}, head("", "s", 200), http.StatusBadGateway, "", 1},
		"no seal, once":      {call{method: "POST", uri: "/u/x"}, head("attempt-1", "", 200), http.StatusBadGateway, "", 1},
		"failure, once":      {call{method: "POST", uri: "/u/x"}, head("attempt-1", "s", 500), http.StatusInternalServerError, "body", 1},
		"failure, repeated":  {call{method: "GET", uri: "/r/x"}, head("attempt-1", "s", 500), http.StatusInternalServerError, "body", 2},
		"not run, once":      {call{method: "POST", uri: "/u/x"}, notRun, http.StatusServiceUnavailable, "", 1},
		"not run, repeated":  {call{method: "GET", uri: "/r/x"}, notRun, http.StatusServiceUnavailable, "", 2},
		"not found, as said": {call{method: "POST", uri: "/u/x"}, head("attempt-1", "s", 404), http.StatusNotFound, "body", 1},

		// The endpoint has run the call, but these statuses promise callers that it has not.
		"full, run once":       {call{method: "POST", uri: "/u/x"}, head("attempt-1", "s", 503), http.StatusBadGateway, "", 1},
		"too many, run once":   {call{method: "POST", uri: "/u/x"}, head("attempt-1", "s", 429), http.StatusBadGateway, "", 1},
		"timeout, run once":    {call{method: "POST", uri: "/u/x"}, head("attempt-1", "s", 408), http.StatusBadGateway, "", 1},
		"full, run repeatedly": {call{method: "GET", uri: "/r/x"}, head("attempt-1", "s", 503), http.StatusServiceUnavailable, "body", 2},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			w := newCluster(t)
			first := w.startEndpoint(&cierzo.Endpoint{ID: "i-1", Service: "services", Intercept: tc.intercept})
			second := w.startEndpoint(&cierzo.Endpoint{ID: "i-2", Service: "services", Intercept: tc.intercept})
			got := w.send(w.startEntry(), tc.call)
			if got.status != tc.status || got.body != tc.body {
				t.Errorf("answer = %+v, want status %d and body %q", got, tc.status, tc.body)
			}
			if got.status == http.StatusBadGateway && got.header.Get("X-Response-Seal") != "" {
				t.Error("an answer of the entry has the seal of an endpoint")
			}
			if n := len(first.Requests()) + len(second.Requests()); n != tc.arrivals {
				t.Errorf("%d requests reached endpoints, want %d", n, tc.arrivals)
			}
		})
	}
}

// TestKeptConnectionIsNotReplayed breaks a reused connection after a request was read: net/http must not send the
// request again.
func TestKeptConnectionIsNotReplayed(t *testing.T) {
	w := newCluster(t)
	served := 0
	k := w.startEndpoint(&cierzo.Endpoint{ID: "i-1", Service: "services", Intercept: func(http.ResponseWriter, *http.Request, cierzo.ReceivedRequest) bool {
		served++
		if served > 1 {
			panic(http.ErrAbortHandler)
		}
		return false
	}})
	e := w.startEntry()
	if got := w.send(e, call{method: http.MethodGet, uri: "/r/x"}); got.status != http.StatusOK {
		t.Fatalf("first answer = %+v", got)
	}
	w.send(e, call{method: http.MethodGet, uri: "/r/x", header: []string{"Idempotency-Key: 7"}})
	if n := len(k.Requests()); n != 2 {
		t.Errorf("%d requests reached the endpoint, want 2", n)
	}
}

// TestConnectionsByRepeatability sends the same method on two kinds of routes: each request that may run at most once
// must get a connection of its own, while repeatable requests must share one.
func TestConnectionsByRepeatability(t *testing.T) {
	const requests = 3
	w := newCluster(t)
	k := w.startEndpoint(&cierzo.Endpoint{ID: "i-1", Service: "services"})
	e := w.startEntry()
	for path, want := range map[string]int{"/u/x": requests, "/r/x": 1} {
		before := len(k.Requests())
		for range requests {
			if got := w.send(e, call{method: http.MethodGet, uri: path}); got.status != http.StatusOK {
				t.Fatalf("answer = %+v", got)
			}
		}
		connections := make(map[string]bool)
		for _, seen := range k.Requests()[before:] {
			connections[seen.From] = true
		}
		if len(connections) != want {
			t.Errorf("%s: %d connections for %d requests, want %d", path, len(connections), requests, want)
		}
	}
}

func TestWorkEndsWhenTheCallerLeaves(t *testing.T) {
	w := newCluster(t)
	k := w.startEndpoint(&cierzo.Endpoint{ID: "i-1", Events: 100, Work: 2 * time.Second, Pause: 50 * time.Millisecond})
	e := w.startEntry()
	conn := w.open(e, streamCall)
	w.waitFor("the endpoint has the request", func() bool { return len(k.Requests()) == 1 })
	_ = conn.Close()
	disconnected := time.Now()
	w.waitFor("the endpoint's connection is closed", func() bool { return k.Disconnects() == 1 })
	if elapsed := time.Since(disconnected); elapsed > 500*time.Millisecond {
		t.Errorf("the work ended after %v, want 500ms at most", elapsed)
	}
}

func TestEndpointsThatLeaveGetNothing(t *testing.T) {
	tests := map[string]func(w *cluster, k *cierzo.Endpoint){
		"draining":     func(w *cluster, k *cierzo.Endpoint) { k.Register(w.store, "draining") },
		"removed":      func(w *cluster, k *cierzo.Endpoint) { w.store.Remove("servers", k.ID) },
		"unreadable":   func(w *cluster, k *cierzo.Endpoint) { w.store.Put("servers", k.ID, "e30=") },
		"zone drained": func(w *cluster, k *cierzo.Endpoint) { w.store.Put("op", "evacuate/"+k.Zone, "e30=") },
	}
	for name, leave := range tests {
		t.Run(name, func(t *testing.T) {
			w := newCluster(t)
			remaining := w.startEndpoint(&cierzo.Endpoint{ID: "i-1", Events: 1})
			leaving := w.startEndpoint(&cierzo.Endpoint{ID: "i-2", Events: 1, Zone: "b"})
			e := w.startEntry()
			leave(w, leaving)
			// The drain time of endpoints is two seconds.
			time.Sleep(1500 * time.Millisecond)
			before := len(leaving.Requests())
			for range 8 {
				if got := w.send(e, streamCall); got.status != http.StatusOK {
					t.Fatalf("answer = %+v", got)
				}
			}
			if n := len(leaving.Requests()) - before; n != 0 || len(remaining.Requests()) < 8 {
				t.Errorf("%d requests reached the leaving endpoint, %d the other; want 0 and at least 8",
					n, len(remaining.Requests()))
			}
		})
	}
}

func TestGracefulShutdownFinishesStreams(t *testing.T) {
	w := newCluster(t)
	k := w.startEndpoint(&cierzo.Endpoint{ID: "i-1", Events: 20, Pause: 50 * time.Millisecond})
	e := w.startEntry()
	conn := w.open(e, streamCall)
	defer func() { _ = conn.Close() }()
	w.waitFor("the endpoint has the request", func() bool { return len(k.Requests()) == 1 })
	e.stop()
	w.waitFor("the entry is not ready", func() bool { return e.readyStatus() != http.StatusOK })
	if got := w.read(conn, http.MethodPost); !got.complete || got.body != cierzo.Stream(1, 20) {
		t.Errorf("answer = %+v", got)
	}
}

// TestHelperAtFaultIsLeftOut makes one endpoint fail every prefill that it takes part in, as the chosen endpoint or as
// helper. Neither the retry of a failed request nor the next request may use the endpoint.
func TestHelperAtFaultIsLeftOut(t *testing.T) {
	for _, name := range []string{"i-1", "i-2", "i-3", "i-4"} {
		t.Run(name, func(t *testing.T) {
			w := newCluster(t)
			var faulty *cierzo.Endpoint
			refuse := func(rw http.ResponseWriter, r *http.Request, _ cierzo.ReceivedRequest) bool {
				at := faulty.Address().String()
				if r.Header.Get("X-Expect-Instance") != faulty.ID && !strings.Contains(r.Header.Get("X-Helpers"), at) {
					return false
				}
				rw.Header().Set("X-Not-Executed", "1")
				rw.Header().Set("At-Server", at)
				rw.WriteHeader(http.StatusServiceUnavailable)
				return true
			}
			var endpoints []*cierzo.Endpoint
			for _, id := range []string{"i-1", "i-2", "i-3", "i-4"} {
				k := w.startEndpoint(&cierzo.Endpoint{ID: id, Events: 2, Intercept: refuse})
				endpoints = append(endpoints, k)
				if id == name {
					faulty = k
				}
			}
			e := w.startEntry()
			for range 2 {
				got := w.send(e, call{method: http.MethodPost, uri: "/s/x", header: []string{"X-Token-Counts: 60000,500"}, body: "p"})
				if got.status != http.StatusOK || got.body != cierzo.Stream(1, 2) {
					t.Errorf("answer = %+v", got)
				}
			}
			total := 0
			for _, k := range endpoints {
				total += len(k.Requests())
			}
			if total > 3 {
				t.Errorf("%d attempts for two requests, want at most 3: the second request must exclude the endpoint", total)
			}
		})
	}
}
