package operator

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"
	metrics "github.com/rcrowley/go-metrics"

	"wisteriadyke/core/timeline"
)

// newServer returns a server with the key "secret", two events, and a counter, a gauge and a timer.
func newServer() *Server {
	sum := sha256.Sum256([]byte("secret"))
	s := &Server{
		KeyDigest: hex.EncodeToString(sum[:]),
		Status: func() Status {
			return Status{Entry: "e", Zone: "a", ConfigurationRevision: 7, Endpoints: []EndpointStatus{{Endpoint: "n1", Owned: true, Used: 5}}}
		},
		Timeline: &timeline.Recorder{Entry: "e"},
		Metrics:  metrics.NewRegistry(),
	}
	s.Timeline.Record(timeline.Event{Kind: timeline.KindRequestFailed, Request: "r1", Reason: "too_late", Duration: time.Second, RetryAfter: 2 * time.Second, Predicted: 3 * time.Second})
	s.Timeline.Record(timeline.Event{Kind: timeline.KindRequestDone, Request: "r2", Tokens: 9})
	metrics.GetOrRegisterCounter("dispatch.requests", s.Metrics).Inc(3)
	metrics.GetOrRegisterGauge("scheduler.queue", s.Metrics).Update(4)
	metrics.GetOrRegisterTimer("dispatch.first_token", s.Metrics).Update(250 * time.Millisecond)
	return s
}

// start serves s on a loopback port until the test ends and returns a client that sends the given key.
func start(t *testing.T, s *Server, key string) *Client {
	t.Helper()
	handler, err := s.Handler()
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	address := netip.MustParseAddrPort(server.Listener.Addr().String())
	return &Client{Address: address, Key: key, HTTP: server.Client()}
}

func TestStatusAndTimelineReachTheClient(t *testing.T) {
	s := newServer()
	s.SetReady(true)
	client := start(t, s, "secret")
	status, err := client.Status(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	want := s.Status()
	want.Ready = true
	if diff := cmp.Diff(want, status); diff != "" {
		t.Errorf("status differs (-want +got):\n%s", diff)
	}
	events, err := client.Timeline(t.Context(), timeline.Filter{Request: "r1"})
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(s.Timeline.Events(timeline.Filter{Request: "r1"}), events); diff != "" {
		t.Errorf("time line differs (-want +got):\n%s", diff)
	}
}

func TestKeyIsAskedFor(t *testing.T) {
	tests := map[string]struct {
		key     string
		refused bool
	}{
		"right": {key: "secret"},
		"wrong": {key: "other", refused: true},
		"none":  {refused: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			client := start(t, newServer(), tc.key)
			_, err := client.Status(t.Context())
			if errors.Is(err, ErrUnauthorized) != tc.refused {
				t.Errorf("status: got error %v", err)
			}
			if _, err = client.Timeline(t.Context(), timeline.Filter{}); errors.Is(err, ErrUnauthorized) != tc.refused {
				t.Errorf("time line: got error %v", err)
			}
		})
	}
}

func TestReadinessIsOpenToTheBalancer(t *testing.T) {
	s := newServer()
	client := start(t, s, "")
	for _, ready := range []bool{false, true, false} {
		s.SetReady(ready)
		body, err := client.get(t.Context(), "/readyz", nil)
		if (err == nil) != ready {
			t.Errorf("ready %t: got error %v", ready, err)
		}
		if err == nil {
			_ = body.Close()
		}
	}
}

func TestMetricsText(t *testing.T) {
	handler, err := newServer().Handler()
	if err != nil {
		t.Fatal(err)
	}
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/metrics", http.NoBody))
	for _, want := range []string{
		"wisteriadyke_dispatch_requests_total 3",
		"wisteriadyke_scheduler_queue 4",
		`wisteriadyke_dispatch_first_token_seconds{quantile="0.95"} 0.25`,
		"wisteriadyke_dispatch_first_token_seconds_count 1",
	} {
		if !strings.Contains(recorder.Body.String(), want) {
			t.Errorf("got metrics without %q:\n%s", want, recorder.Body)
		}
	}
}

func TestProfilesAreServedOnlyIfSet(t *testing.T) {
	tests := map[string]struct {
		profiling bool
		key       string
		want      int
	}{
		"not set":   {key: "secret", want: http.StatusNotFound},
		"set":       {profiling: true, key: "secret", want: http.StatusOK},
		"wrong key": {profiling: true, key: "other", want: http.StatusUnauthorized},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s := newServer()
			s.Profiling = tc.profiling
			handler, err := s.Handler()
			if err != nil {
				t.Fatal(err)
			}
			request := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/debug/pprof/heap", http.NoBody)
			request.Header.Set("Authorization", "Bearer "+tc.key)
			recorder := httptest.NewRecorder()
			handler.ServeHTTP(recorder, request)
			if recorder.Code != tc.want {
				t.Errorf("got status %d, want %d", recorder.Code, tc.want)
			}
		})
	}
}
