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

// Sizes of the test over HTTP.
const (
	httpKeys    = 60
	httpAtOnce  = 10
	httpRepeats = 6
)

// serveOn runs a server on a free port until the test ends.
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

// startCallers returns callers that reach a store over HTTP until the test ends.
func startCallers(t *testing.T, store netip.AddrPort) []*idempotency.Executor {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	callers := make([]*idempotency.Executor, entries)
	for i := range callers {
		client := &platform.Client{Addresses: []netip.AddrPort{store}, HTTP: jsonhttp.NewPooled()}
		callers[i] = &idempotency.Executor{
			Store:         &platform.Claims{Tables: client},
			ClaimTimeout:  time.Second,
			RecordTimeout: 200 * time.Millisecond,
			DrainTimeout:  time.Second,
		}
		group.Go(func() error { return callers[i].Run(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		_ = group.Wait()
	})
	return callers
}

// sender returns a function that calls the service once, with the key as the call's name.
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

// checkTruth compares what a caller was told with the runs of the call.
func checkTruth(t *testing.T, key idempotency.Key, result idempotency.Result, runs int) {
	t.Helper()
	switch {
	case runs > 1:
		t.Errorf("key %s ran %d times", key.Key, runs)
	case result.State == idempotency.StateDone && runs != 1:
		t.Errorf("key %s is done after %d runs", key.Key, runs)
	case result.State == idempotency.StateNotRun && !result.EarlierUnknown && runs != 0:
		t.Errorf("key %s is not run after %d runs", key.Key, runs)
	case result.State == idempotency.StateFailed && runs != 0:
		t.Errorf("key %s failed before the run after %d runs", key.Key, runs)
	}
}

// TestAtMostOnceOverHTTP runs calls through several callers over real connections, of which many
// are cut after the effect, with an outage of the store in the middle.
func TestAtMostOnceOverHTTP(t *testing.T) {
	store := &standin.Server{Store: &standin.Store{}, Instances: &standin.Instances{}, Weights: &standin.Weights{}}
	desk := &standinservice.Server{Service: &standinservice.Service{}}
	storeAddress, deskAddress := serveOn(t, store.Serve), serveOn(t, desk.Serve)
	store.Store.Faults.Set(standin.FaultSettings{LoseAnswers: 0.3})
	desk.Service.Set(standinservice.FaultSettings{FailBefore: 0.1, CutAfter: 0.2, Delay: time.Millisecond})
	callers := startCallers(t, storeAddress)
	states := make(chan idempotency.State, httpKeys)
	var group errgroup.Group
	group.SetLimit(httpAtOnce)
	for i := range httpKeys {
		store.Store.Faults.Set(standin.FaultSettings{LoseAnswers: 0.3, Outage: i/10 == 3})
		group.Go(func() error {
			key := loadKey(i)
			for r := range httpRepeats {
				result, err := callers[(i+r)%entries].Do(t.Context(), key, idempotency.Digest{}, sender(deskAddress, key, key.Key))
				checkTruth(t, key, result, desk.Service.Runs(key.Key))
				if err != nil || r == httpRepeats-1 {
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
	t.Logf("last states %v, lost answers %d", counts, store.Store.Stats().LostAnswers)
	if store.Store.Stats().LostAnswers == 0 || counts[idempotency.StateDone] == 0 {
		t.Error("no answer was lost, or no call was done")
	}
}
