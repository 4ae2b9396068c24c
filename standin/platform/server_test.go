package platform_test

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"wisteriadyke/core/fleet"
	"wisteriadyke/io/jsonhttp"
	client "wisteriadyke/io/platform"
	"wisteriadyke/standin/platform"
)

// start runs a stand-in on a free port and returns it and a client of it.
func start(t *testing.T) (*platform.Server, *client.Client) {
	t.Helper()
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &platform.Server{
		Store:     &platform.Store{},
		Instances: &platform.Instances{},
		Weights:   &platform.Weights{Size: 1000},
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return server.Serve(ctx, listener) })
	t.Cleanup(func() {
		cancel()
		if err := group.Wait(); err != nil {
			t.Errorf("serve: %v", err)
		}
	})
	address := netip.MustParseAddrPort(listener.Addr().String())
	return server, &client.Client{Addresses: []netip.AddrPort{address}, HTTP: jsonhttp.NewPooled()}
}

// claim is the key of the row that the tests write.
var claim = client.RowKey{Table: "claims", Key: "acme/k1"}

func TestTransact(t *testing.T) {
	_, c := start(t)
	writes := []client.Write{{Key: claim, Value: []byte(`{"state":"done"}`), IfVersion: client.VersionAbsent}}
	versions, err := c.Transact(t.Context(), "t1", writes)
	if err != nil {
		t.Fatal(err)
	}
	other := client.Write{Key: client.RowKey{Table: "claims", Key: "other"}, Value: []byte(`1`)}
	_, err = c.Transact(t.Context(), "t2", append(writes, other))
	var conflict *client.ConflictError
	if !errors.As(err, &conflict) || !errors.Is(err, client.ErrConflict) {
		t.Fatalf("second insert: got error %v", err)
	}
	if want := []client.Row{{Key: claim, Version: versions[0]}}; !cmp.Equal(conflict.Rows, want) {
		t.Errorf("got conflicting rows %v, want %v", conflict.Rows, want)
	}
	rows, err := c.Read(t.Context(), []client.RowKey{claim, other.Key})
	if err != nil {
		t.Fatal(err)
	}
	want := []client.Row{
		{Key: claim, Value: writes[0].Value, Version: versions[0]},
		{Key: other.Key, Version: client.VersionAbsent},
	}
	if diff := cmp.Diff(want, rows); diff != "" {
		t.Errorf("rows (-want +got):\n%s", diff)
	}
	scanned, err := c.Scan(t.Context(), "claims", "acme/", "", 10)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want[:1], scanned); diff != "" {
		t.Errorf("scan (-want +got):\n%s", diff)
	}
}

func TestFaults(t *testing.T) {
	tests := map[string]struct {
		settings platform.FaultSettings
		want     error
		applied  bool
	}{
		"healthy":     {settings: platform.FaultSettings{}, applied: true},
		"outage":      {settings: platform.FaultSettings{Outage: true}, want: client.ErrUnavailable},
		"limit":       {settings: platform.FaultSettings{WriteLimit: 0.5}, want: client.ErrUnavailable},
		"lost answer": {settings: platform.FaultSettings{LoseAnswers: 1}, want: client.ErrUnknownOutcome, applied: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			server, c := start(t)
			server.Store.Faults.Set(test.settings)
			_, err := c.Transact(t.Context(), "t", []client.Write{{Key: claim, Value: []byte(`1`)}})
			if !errors.Is(err, test.want) {
				t.Errorf("transact: got error %v, want %v", err, test.want)
			}
			server.Store.Faults.Set(platform.FaultSettings{})
			rows, err := c.Read(t.Context(), []client.RowKey{claim})
			if err != nil {
				t.Fatal(err)
			}
			if applied := rows[0].Version != client.VersionAbsent; applied != test.applied {
				t.Errorf("got applied %t, want %t", applied, test.applied)
			}
		})
	}
}

// TestGoneServer checks that a refused connection counts as ErrUnavailable, and not as an unknown outcome.
func TestGoneServer(t *testing.T) {
	c := &client.Client{Addresses: []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1")}, HTTP: jsonhttp.NewPooled()}
	_, err := c.Transact(t.Context(), "t", []client.Write{{Key: claim, Value: []byte(`1`)}})
	if !errors.Is(err, client.ErrUnavailable) {
		t.Errorf("transact: got error %v, want %v", err, client.ErrUnavailable)
	}
}

func TestObjects(t *testing.T) {
	_, c := start(t)
	if err := c.PutObject(t.Context(), "kv/segment-1", []byte("content")); err != nil {
		t.Fatal(err)
	}
	content, err := c.GetObject(t.Context(), "kv/segment-1")
	if err != nil || string(content) != "content" {
		t.Errorf("got object %q, error %v", content, err)
	}
	if err := c.DeleteObject(t.Context(), "kv/segment-1"); err != nil {
		t.Fatal(err)
	}
	if _, err := c.GetObject(t.Context(), "kv/segment-1"); !errors.Is(err, client.ErrNotFound) {
		t.Errorf("deleted object: got error %v, want %v", err, client.ErrNotFound)
	}
}

func TestWeightsAndControl(t *testing.T) {
	server, c := start(t)
	target := jsonhttp.URL(c.Addresses[0], "/v1/weights/model-a", nil)
	response, err := jsonhttp.Do(t.Context(), c.HTTP, http.MethodGet, target, nil)
	if err != nil || len(response.Body) != 1000 {
		t.Errorf("weights: got %d bytes, error %v", len(response.Body), err)
	}
	control := map[string]any{"outage": true, "delay_ms": 5, "lag_ms": 2000}
	response, err = jsonhttp.Post(t.Context(), c.HTTP, jsonhttp.URL(c.Addresses[0], "/control", nil), control)
	if err != nil || response.Status != http.StatusNoContent {
		t.Fatalf("control: got status %d, error %v", response.Status, err)
	}
	want := platform.FaultSettings{Outage: true, Delay: 5 * time.Millisecond}
	if got := server.Store.Faults.Settings(); got != want {
		t.Errorf("got settings %+v, want %+v", got, want)
	}
	if lag := server.Instances.Lag(); lag != 2*time.Second {
		t.Errorf("got lag %s, want 2s", lag)
	}
}

func TestInstances(t *testing.T) {
	server, c := start(t)
	server.Instances.Put(platform.Instance{
		ID:      "engine-1",
		Kind:    fleet.KindEngine,
		Pool:    "model-a",
		Zone:    "zone-a",
		Address: netip.MustParseAddrPort("127.0.0.1:9000"),
		State:   fleet.StateLive,
		Memory:  400_000,
	})
	got, err := c.Instances(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if len(got) != 1 || got[0].Endpoint().Memory != 400_000 {
		t.Errorf("got instances %+v", got)
	}
}
