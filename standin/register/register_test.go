package register_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"

	"wisteriadyke/core/fleet"
	"wisteriadyke/standin/register"
)

// platform is an http.RoundTripper that records the requests. It answers the first ones with status 503 and doesn't
// record them; broken is how many of these are left.
type platform struct {
	mu     sync.Mutex
	broken int
	calls  []string
}

// RoundTrip implements http.RoundTripper.
func (p *platform) RoundTrip(r *http.Request) (*http.Response, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.broken > 0 {
		p.broken--
		return &http.Response{StatusCode: http.StatusServiceUnavailable, Body: http.NoBody}, nil
	}
	call := r.Method + " " + r.URL.Path
	if r.Method == http.MethodPost {
		var body struct{ ID, Kind, Pool, Zone, Address, State string }
		content, _ := io.ReadAll(r.Body)
		if err := json.Unmarshal(content, &body); err != nil {
			return nil, err
		}
		call += " " + strings.Join([]string{body.ID, body.Kind, body.Pool, body.Zone, body.Address, body.State}, " ")
	}
	p.calls = append(p.calls, call)
	return &http.Response{StatusCode: http.StatusOK, Body: http.NoBody}, nil
}

// registrationAt returns a registration that sends its requests to p.
func registrationAt(p *platform) *register.Registration {
	return &register.Registration{
		Platform: netip.MustParseAddrPort("127.0.0.1:7000"),
		HTTP:     &http.Client{Transport: p},
		Endpoint: fleet.Endpoint{
			ID:      "e1",
			Kind:    fleet.KindEngine,
			Pool:    "summaries",
			Zone:    "a",
			Address: netip.MustParseAddrPort("127.0.0.1:7101"),
		},
	}
}

// untilDone blocks until ctx ends.
func untilDone(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

func TestServe(t *testing.T) {
	const (
		live    = "POST /control/instances e1 engine summaries a 127.0.0.1:7101 live"
		leaving = "POST /control/instances e1 engine summaries a 127.0.0.1:7101 leaving"
		removed = "DELETE /control/instances/e1"
	)
	tests := map[string]struct {
		broken int
		runs   time.Duration
		calls  []string
		took   time.Duration
	}{
		"idle":                     {calls: []string{live, leaving, removed}, took: 3 * time.Second},
		"platform down at first":   {broken: 3, calls: []string{live, leaving, removed}, took: 3 * time.Second},
		"finishes what it runs":    {runs: 10 * time.Second, calls: []string{live, leaving, removed}, took: 10 * time.Second},
		"gives up what won't end":  {runs: time.Hour, calls: []string{live, leaving, removed}, took: 30 * time.Second},
		"platform down throughout": {broken: 1000, took: 3 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := &platform{broken: test.broken}
				ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
				defer cancel()
				start := time.Now()
				ends := start.Add(time.Minute + test.runs)
				running := func() int {
					if time.Now().Before(ends) {
						return 1
					}
					return 0
				}
				if err := registrationAt(p).Serve(ctx, untilDone, running); err != nil {
					t.Fatal(err)
				}
				if diff := cmp.Diff(test.calls, p.calls); diff != "" {
					t.Errorf("calls (-want +got):\n%s", diff)
				}
				if took := time.Since(start) - time.Minute; took != test.took {
					t.Errorf("leaving took %v, want %v", took, test.took)
				}
			})
		})
	}
}

func TestServeEndsWithItsServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		failure := errors.New("listener lost")
		p := &platform{broken: 1000}
		serve := func(context.Context) error {
			time.Sleep(time.Second)
			return failure
		}
		err := registrationAt(p).Serve(context.Background(), serve, func() int { return 0 })
		if !errors.Is(err, failure) {
			t.Errorf("got error %v, want %v", err, failure)
		}
	})
}

func TestServeWithoutPlatformStopsAtOnce(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	var r *register.Registration
	if err := r.Serve(ctx, untilDone, func() int { return 1 }); err != nil {
		t.Error(err)
	}
}
