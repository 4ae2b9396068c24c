package claimtest

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/idempotency"
	"wisteriadyke/io/jsonhttp"
	"wisteriadyke/io/platform"
	"wisteriadyke/io/service"
	standin "wisteriadyke/standin/platform"
	standinservice "wisteriadyke/standin/service"
)

// Parameters of TestAtMostOnceOverHTTP: number of keys, of concurrent calls and of submissions per key.
const (
	httpKeys            = 60
	httpConcurrentCalls = 10
	httpSubmissions     = 6
)

// serveOn runs a server on a free loopback port until the test ends, and returns its address.
func serveOn(t *testing.T, serve func(context.Context, net.Listener) error) netip.AddrPort {
	t.Helper()
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return serve(ctx, listener) })
	t.Cleanup(func() {
		cancel()
		if err := group.Wait(); err != nil {
			t.Errorf("serve: %v", err)
		}
	})
	return netip.MustParseAddrPort(listener.Addr().String())
}

// startExecutors starts one executor for each entry. They reach the store over HTTP and run until the test ends.
func startExecutors(t *testing.T, store netip.AddrPort) []*idempotency.Executor {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	executors := make([]*idempotency.Executor, entries)
	for i := range executors {
		client := &platform.Client{Addresses: []netip.AddrPort{store}, HTTP: jsonhttp.NewPooled()}
		executors[i] = &idempotency.Executor{
			Store:         &platform.Claims{Tables: client},
			ClaimTimeout:  time.Second,
			RecordTimeout: 200 * time.Millisecond,
			DrainTimeout:  time.Second,
		}
		group.Go(func() error { return executors[i].Run(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		_ = group.Wait()
	})
	return executors
}

// sender returns a function that calls the service once, with the idempotency key as the call ID, and converts the
// error to the outcome.
func sender(address netip.AddrPort, key idempotency.Key, attempt string) func(context.Context) (idempotency.Answer, idempotency.SendOutcome) {
	client := service.Client{HTTP: jsonhttp.NewUnpooled()}
	return func(ctx context.Context) (idempotency.Answer, idempotency.SendOutcome) {
		answer, err := client.Call(ctx, service.Request{
			Address: address, Operation: "file_credit", CallID: key.Key, AttemptID: fleet.AttemptID(attempt),
			Account: key.Account, Body: []byte(`{"amount":3}`),
		})
		switch {
		case err == nil:
			return idempotency.Answer{Body: answer.Result}, idempotency.SendAnswered
		case errors.Is(err, service.ErrNotSent):
			return idempotency.Answer{}, idempotency.SendNotSent
		case errors.Is(err, service.ErrRefused):
			return idempotency.Answer{Body: []byte(err.Error()), Failed: true}, idempotency.SendAnswered
		}
		return idempotency.Answer{}, idempotency.SendUnknown
	}
}

// checkResult fails the test if the result that a caller received contradicts the number of runs of the call at the
// service.
func checkResult(t *testing.T, key idempotency.Key, result idempotency.Result, runs int) {
	t.Helper()
	switch {
	case runs > 1:
		t.Errorf("key %s: got %d runs, want at most 1", key.Key, runs)
	case result.State == idempotency.StateDone && runs != 1:
		t.Errorf("key %s: got state done and %d runs, want 1 run", key.Key, runs)
	case result.State == idempotency.StateNotRun && !result.EarlierUnknown && runs != 0:
		t.Errorf("key %s: got state not_run and %d runs, want no run", key.Key, runs)
	case result.State == idempotency.StateFailed && runs != 0:
		t.Errorf("key %s: got state failed and %d runs, want no run", key.Key, runs)
	}
}

// TestAtMostOnceOverHTTP runs calls through several executors over real connections. It guards against a second run of
// a call when the connection to the service is cut after the first run, and when the store loses responses or is
// unavailable.
func TestAtMostOnceOverHTTP(t *testing.T) {
	store := &standin.Server{Store: &standin.Store{}, Instances: &standin.Instances{}, Weights: &standin.Weights{}}
	server := &standinservice.Server{Service: &standinservice.Service{}}
	storeAddress, serviceAddress := serveOn(t, store.Serve), serveOn(t, server.Serve)
	store.Store.Faults.Set(standin.FaultSettings{LoseAnswers: 0.3})
	server.Service.Set(standinservice.FaultSettings{FailBefore: 0.1, CutAfter: 0.2, Delay: time.Millisecond})
	executors := startExecutors(t, storeAddress)
	states := make(chan idempotency.State, httpKeys)
	var group errgroup.Group
	group.SetLimit(httpConcurrentCalls)
	for i := range httpKeys {
		store.Store.Faults.Set(standin.FaultSettings{LoseAnswers: 0.3, Outage: i/10 == 3})
		group.Go(func() error {
			key := loadKey(i)
			for r := range httpSubmissions {
				result, err := executors[(i+r)%entries].Do(t.Context(), key, idempotency.Digest{}, sender(serviceAddress, key, key.Key))
				checkResult(t, key, result, server.Service.Runs(key.Key))
				if err != nil || r == httpSubmissions-1 {
					states <- result.State
					return err
				}
			}
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		t.Error(err)
	}
	close(states)
	counts := make(map[idempotency.State]int)
	for s := range states {
		counts[s]++
	}
	t.Logf("last states %v, lost responses %d", counts, store.Store.Stats().LostAnswers)
	if store.Store.Stats().LostAnswers == 0 || counts[idempotency.StateDone] == 0 {
		t.Error("got no lost response or no completed call, want both")
	}
}
