package service_test

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"wisteriadyke/io/jsonhttp"
	client "wisteriadyke/io/service"
	"wisteriadyke/standin/service"
)

// start runs a stand-in on a free port. The returned group's Wait returns the error of Serve.
func start(t *testing.T) (*service.Server, netip.AddrPort, *errgroup.Group) {
	t.Helper()
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &service.Server{Service: &service.Service{Capacity: 4}}
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return server.Serve(ctx, listener) })
	t.Cleanup(func() {
		cancel()
		_ = group.Wait()
	})
	return server, netip.MustParseAddrPort(listener.Addr().String()), &group
}

func TestCall(t *testing.T) {
	tests := map[string]struct {
		settings service.FaultSettings
		want     error
		runs     int
	}{
		"answered": {settings: service.FaultSettings{}, runs: 1},
		"refused":  {settings: service.FaultSettings{FailBefore: 1}, want: client.ErrRefused, runs: 0},
		"cut":      {settings: service.FaultSettings{CutAfter: 1}, want: client.ErrUnanswered, runs: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			server, address, _ := start(t)
			server.Service.Set(test.settings)
			c := client.Client{HTTP: jsonhttp.NewUnpooled()}
			_, err := c.Call(t.Context(), client.Request{
				Address:   address,
				Operation: "file_credit",
				CallID:    "c1",
				AttemptID: "a1",
				Account:   "acme",
				Body:      []byte(`{"amount":3}`),
			})
			if !errors.Is(err, test.want) {
				t.Errorf("call: got error %v, want %v", err, test.want)
			}
			if runs := server.Service.Runs("c1"); runs != test.runs {
				t.Errorf("got %d runs, want %d", runs, test.runs)
			}
		})
	}
}

func TestCallToNobody(t *testing.T) {
	c := client.Client{HTTP: jsonhttp.NewUnpooled()}
	_, err := c.Call(t.Context(), client.Request{Address: netip.MustParseAddrPort("127.0.0.1:1"), Operation: "o"})
	if !errors.Is(err, client.ErrNotSent) {
		t.Errorf("call: got error %v, want %v", err, client.ErrNotSent)
	}
}

func TestLoadAndDeath(t *testing.T) {
	_, address, group := start(t)
	c := client.Client{HTTP: jsonhttp.NewUnpooled()}
	load, err := c.Load(t.Context(), address)
	if err != nil || load != (client.Load{Capacity: 4}) {
		t.Errorf("got load %+v, error %v", load, err)
	}
	control := map[string]bool{"die": true}
	_, _ = jsonhttp.Post(t.Context(), http.DefaultClient, jsonhttp.URL(address, "/control", nil), control)
	if err := group.Wait(); !errors.Is(err, service.ErrDied) {
		t.Errorf("serve: got error %v, want %v", err, service.ErrDied)
	}
}

func TestLoadLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := service.Service{LoadLag: 2 * time.Second}
		s.Set(service.FaultSettings{Delay: 10 * time.Second})
		var group errgroup.Group
		group.Go(func() error { return s.Run("c1") })
		time.Sleep(time.Second)
		if load := s.Load(); load != 0 {
			t.Errorf("got load %d before the lag, want 0", load)
		}
		time.Sleep(2 * time.Second)
		if load := s.Load(); load != 1 {
			t.Errorf("got load %d after the lag, want 1", load)
		}
		if err := group.Wait(); err != nil {
			t.Fatal(err)
		}
	})
}
