package peer

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"golang.org/x/sync/errgroup"

	"wisteriadyke/core/clusterstate"
	"wisteriadyke/core/fleet"
	"wisteriadyke/core/ledger"
	"wisteriadyke/core/membership"
	"wisteriadyke/core/ownership"
	"wisteriadyke/core/reservation"
	"wisteriadyke/core/scheduler"
	"wisteriadyke/core/timeline"
)

var (
	nearAddress = netip.MustParseAddrPort("10.0.0.1:1")
	farAddress  = netip.MustParseAddrPort("10.0.0.2:1")
)

// fakeOwner answers with what is set; Reserve waits for hold first.
type fakeOwner struct {
	hold     time.Duration
	err      error
	released int
}

func (o *fakeOwner) Reserve(ctx context.Context, r reservation.Request) (reservation.Grant, error) {
	select {
	case <-ctx.Done():
		return reservation.Grant{}, ctx.Err()
	case <-time.After(o.hold):
	}
	return reservation.Grant{Endpoint: r.Endpoint}, o.err
}

func (o *fakeOwner) Renew(context.Context, reservation.Progress) error { return o.err }

func (o *fakeOwner) Release(context.Context, reservation.Release) error {
	o.released++
	return o.err
}

// echo answers a probe with the probe, and a claim with what is set.
type echo struct {
	answer ownership.ClaimReply
}

func (e *echo) HandleClaim(fleet.EntryID, fleet.EndpointID) ownership.ClaimReply { return e.answer }

// echoProber answers a probe with the probe.
type echoProber struct{}

func (echoProber) HandleProbe(m membership.Message) membership.Message { return m }

// serve runs a server at the far address while body uses a client.
func serve(t *testing.T, server *Server, body func(ctx context.Context, client *Client)) {
	t.Helper()
	network := newPipeNetwork()
	client := NewClient()
	client.Dial = network.dial
	server.Client = client
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	listener := network.listen(farAddress)
	group.Go(func() error { return server.Serve(ctx, listener) })
	body(ctx, client)
	cancel()
	_ = client.Close()
	if err := group.Wait(); err != nil {
		t.Error(err)
	}
}

func TestWaitingReservationsDelayNoProbe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := &Server{Owner: &fakeOwner{hold: time.Hour}, Prober: echoProber{}}
		serve(t, server, func(ctx context.Context, client *Client) {
			waiting, stop := context.WithCancel(ctx)
			var group errgroup.Group
			for range 50 {
				group.Go(func() error {
					_, err := NewDRPCOwnerClient(client.conn(waiting, farAddress)).Reserve(waiting, &ReserveRequest{})
					return err
				})
			}
			time.Sleep(time.Second)
			for range 3 {
				start := time.Now()
				if _, err := client.Probe(ctx, farAddress, membership.Message{}); err != nil {
					t.Errorf("probe beside waiting reservations: %v", err)
				}
				if took := time.Since(start); took > 0 {
					t.Errorf("probe took %s of virtual time, want none", took)
				}
			}
			stop()
			if err := group.Wait(); err == nil {
				t.Error("the reservations did not wait")
			}
		})
	})
}

func TestMessagesKeepTheirMeaning(t *testing.T) {
	entry := fleet.Entry{ID: "e", Zone: "z", Address: farAddress, Incarnation: 7, State: fleet.StateLeaving}
	message := membership.Message{
		From:     entry,
		Stamp:    timeline.Timestamp{Wall: time.UnixMicro(12345), Logical: 3},
		ViewHash: 1 << 63,
		Join:     true,
		Updates:  []membership.Update{{Entry: entry, Status: membership.StatusLeft}},
	}
	handover := &scheduler.Handover{
		Endpoint:     "x",
		Fence:        9,
		Reservations: []ledger.Reservation{{Attempt: "a", Prompt: 4}},
	}
	answer := ownership.ClaimReply{Handover: handover, Owner: entry}
	synctest.Test(t, func(t *testing.T) {
		server := &Server{Owner: &fakeOwner{}, Prober: echoProber{}, Claims: &echo{answer: answer}}
		serve(t, server, func(ctx context.Context, client *Client) {
			got, err := client.Probe(ctx, farAddress, message)
			if diff := cmp.Diff(message, got, cmp.Comparer(sameAddress)); err != nil || diff != "" {
				t.Errorf("probe: %v, difference %s", err, diff)
			}
			got, reached, err := client.ProbeFor(ctx, farAddress, farAddress, message)
			if diff := cmp.Diff(message, got, cmp.Comparer(sameAddress)); err != nil || !reached || diff != "" {
				t.Errorf("indirect probe: %v, reached %t, difference %s", err, reached, diff)
			}
			if _, reached, err = client.ProbeFor(ctx, farAddress, nearAddress, message); err != nil || reached {
				t.Errorf("indirect probe of nobody: %v, reached %t", err, reached)
			}
			claimed, err := client.Claim(ctx, farAddress, "me", "x")
			if diff := cmp.Diff(answer, claimed, cmp.Comparer(sameAddress), cmpopts.IgnoreUnexported(ledger.Reservation{})); err != nil || diff != "" {
				t.Errorf("claim: %v, difference %s", err, diff)
			}
		})
	})
}

// sameAddress compares addresses.
func sameAddress(a, b netip.AddrPort) bool { return a == b }

func TestReleaseFindsThePresentOwner(t *testing.T) {
	refusal := func(reason reservation.Reason) error { return &reservation.Refusal{Reason: reason} }
	tests := map[string]struct {
		granting fleet.EntryID
		local    error
		released int
		want     reservation.Reason
	}{
		"the granting entry is gone":    {granting: "gone", released: 1},
		"the granting entry gave it up": {granting: "near", local: refusal(reservation.ReasonNotOwner), released: 1},
		"the granting entry forgot it":  {granting: "near", local: refusal(reservation.ReasonUnknownReservation), released: 1},
		"the granting entry takes it":   {granting: "near"},
		"the granting entry refuses":    {granting: "near", local: refusal(reservation.ReasonLeaving), want: reservation.ReasonLeaving},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				far := &fakeOwner{}
				serve(t, &Server{Owner: far}, func(ctx context.Context, client *Client) {
					board := &clusterstate.State{}
					board.Endpoints.Set("x", fleet.Endpoint{ID: "x", Zone: "z"})
					board.Entries.Set("far", fleet.Entry{ID: "far", Zone: "z", Address: farAddress, State: fleet.StateLive})
					owners := &Owners{State: board, Entry: "near", Local: &fakeOwner{err: tc.local}, Client: client}
					err := owners.Release(ctx, reservation.Release{Endpoint: "x", Owner: tc.granting})
					if tc.want == "" && err != nil || tc.want != "" && !hasReason(err, tc.want) {
						t.Errorf("release: %v, want %q", err, tc.want)
					}
				})
				if far.released != tc.released {
					t.Errorf("%d releases at the present owner, want %d", far.released, tc.released)
				}
			})
		})
	}
}

func TestReserveLooksAgainWhileTheOwnerChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		far := &fakeOwner{err: &reservation.Refusal{Reason: reservation.ReasonNotOwner}}
		serve(t, &Server{Owner: far}, func(ctx context.Context, client *Client) {
			board := &clusterstate.State{}
			board.Endpoints.Set("x", fleet.Endpoint{ID: "x", Zone: "z"})
			board.Entries.Set("far", fleet.Entry{ID: "far", Zone: "z", Address: farAddress, State: fleet.StateLive})
			owners := &Owners{State: board, Entry: "near", Client: client}
			var group errgroup.Group
			group.Go(func() error {
				time.Sleep(2 * ownerLookupInterval)
				board.Entries.Set("near", fleet.Entry{ID: "near", Zone: "z", State: fleet.StateLive})
				return nil
			})
			owners.Local = &fakeOwner{}
			if _, err := owners.Reserve(ctx, reservation.Request{Endpoint: "x"}); err != nil {
				t.Errorf("reserve: %v", err)
			}
			_ = group.Wait()
		})
	})
}
