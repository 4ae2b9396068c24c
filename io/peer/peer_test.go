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
	localAddress  = netip.MustParseAddrPort("10.0.0.1:1")
	remoteAddress = netip.MustParseAddrPort("10.0.0.2:1")
)

// fakeOwner returns err from all calls and counts releases; Reserve waits for delay first.
type fakeOwner struct {
	delay    time.Duration
	err      error
	released int
}

func (o *fakeOwner) Reserve(ctx context.Context, r reservation.Request) (reservation.Grant, error) {
	select {
	case <-ctx.Done():
		return reservation.Grant{}, ctx.Err()
	case <-time.After(o.delay):
	}
	return reservation.Grant{Endpoint: r.Endpoint}, o.err
}

func (o *fakeOwner) Renew(context.Context, reservation.Progress) error { return o.err }

func (o *fakeOwner) Release(context.Context, reservation.Release) error {
	o.released++
	return o.err
}

// fakeClaims answers every claim with reply.
type fakeClaims struct {
	reply ownership.ClaimReply
}

func (c *fakeClaims) HandleClaim(fleet.EntryID, fleet.EndpointID) ownership.ClaimReply {
	return c.reply
}

// echoProbeReceiver answers a probe with the same message.
type echoProbeReceiver struct{}

func (echoProbeReceiver) HandleProbe(m membership.Message) membership.Message { return m }

// serve runs a server at remoteAddress while body uses a client of it.
func serve(t *testing.T, server *Server, body func(ctx context.Context, client *Client)) {
	t.Helper()
	network := newPipeNetwork()
	client := NewClient()
	client.Dial = network.dial
	server.Client = client
	ctx, cancel := context.WithCancel(t.Context())
	var group errgroup.Group
	listener := network.listen(remoteAddress)
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
		server := &Server{Owner: &fakeOwner{delay: time.Hour}, ProbeReceiver: echoProbeReceiver{}}
		serve(t, server, func(ctx context.Context, client *Client) {
			waitCtx, stop := context.WithCancel(ctx)
			var group errgroup.Group
			for range 50 {
				group.Go(func() error {
					_, err := NewDRPCOwnerClient(client.blockingCallConn(waitCtx, remoteAddress)).Reserve(waitCtx, &ReserveRequest{})
					return err
				})
			}
			time.Sleep(time.Second)
			for range 3 {
				start := time.Now()
				if _, err := client.Probe(ctx, remoteAddress, membership.Message{}); err != nil {
					t.Errorf("probe while reservations wait: %v", err)
				}
				if elapsed := time.Since(start); elapsed > 0 {
					t.Errorf("probe took %s of virtual time, want none", elapsed)
				}
			}
			stop()
			if err := group.Wait(); err == nil {
				t.Error("got no error from the cancelled reservations")
			}
		})
	})
}

func TestMessagesKeepTheirMeaning(t *testing.T) {
	entry := fleet.Entry{ID: "e", Zone: "z", Address: remoteAddress, Incarnation: 7, State: fleet.StateLeaving}
	message := membership.Message{
		From:      entry,
		Timestamp: timeline.Timestamp{Wall: time.UnixMicro(12345), Logical: 3},
		ViewHash:  1 << 63,
		Join:      true,
		Updates:   []membership.Update{{Entry: entry, Status: membership.StatusLeft}},
	}
	handover := &scheduler.Handover{
		Endpoint:     "x",
		Fence:        9,
		Reservations: []ledger.Reservation{{Attempt: "a", Prompt: 4}},
	}
	reply := ownership.ClaimReply{Handover: handover, Owner: entry}
	synctest.Test(t, func(t *testing.T) {
		server := &Server{Owner: &fakeOwner{}, ProbeReceiver: echoProbeReceiver{}, Claims: &fakeClaims{reply: reply}}
		serve(t, server, func(ctx context.Context, client *Client) {
			got, err := client.Probe(ctx, remoteAddress, message)
			if diff := cmp.Diff(message, got, cmp.Comparer(sameAddress)); err != nil || diff != "" {
				t.Errorf("probe: error %v, difference %s", err, diff)
			}
			got, reached, err := client.ProbeFor(ctx, remoteAddress, remoteAddress, message)
			if diff := cmp.Diff(message, got, cmp.Comparer(sameAddress)); err != nil || !reached || diff != "" {
				t.Errorf("indirect probe: error %v, reached %t, difference %s", err, reached, diff)
			}
			if _, reached, err = client.ProbeFor(ctx, remoteAddress, localAddress, message); err != nil || reached {
				t.Errorf("indirect probe of an address without a listener: error %v, reached %t, want not reached", err, reached)
			}
			claimed, err := client.Claim(ctx, remoteAddress, "me", "x")
			if diff := cmp.Diff(reply, claimed, cmp.Comparer(sameAddress), cmpopts.IgnoreUnexported(ledger.Reservation{})); err != nil || diff != "" {
				t.Errorf("claim: error %v, difference %s", err, diff)
			}
		})
	})
}

// sameAddress reports whether two addresses are equal.
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
				remote := &fakeOwner{}
				serve(t, &Server{Owner: remote}, func(ctx context.Context, client *Client) {
					state := &clusterstate.State{}
					state.Endpoints.Set("x", fleet.Endpoint{ID: "x", Zone: "z"})
					state.Entries.Set("far", fleet.Entry{ID: "far", Zone: "z", Address: remoteAddress, State: fleet.StateLive})
					owners := &Owners{State: state, Entry: "near", Local: &fakeOwner{err: tc.local}, Client: client}
					err := owners.Release(ctx, reservation.Release{Endpoint: "x", Owner: tc.granting})
					if tc.want == "" && err != nil || tc.want != "" && !hasReason(err, tc.want) {
						t.Errorf("release: got error %v, want reason %q", err, tc.want)
					}
				})
				if remote.released != tc.released {
					t.Errorf("got %d releases at the current owner, want %d", remote.released, tc.released)
				}
			})
		})
	}
}

func TestReserveLooksAgainWhileTheOwnerChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		remote := &fakeOwner{err: &reservation.Refusal{Reason: reservation.ReasonNotOwner}}
		serve(t, &Server{Owner: remote}, func(ctx context.Context, client *Client) {
			state := &clusterstate.State{}
			state.Endpoints.Set("x", fleet.Endpoint{ID: "x", Zone: "z"})
			state.Entries.Set("far", fleet.Entry{ID: "far", Zone: "z", Address: remoteAddress, State: fleet.StateLive})
			owners := &Owners{State: state, Entry: "near", Client: client}
			var group errgroup.Group
			group.Go(func() error {
				time.Sleep(2 * ownerLookupInterval)
				state.Entries.Set("near", fleet.Entry{ID: "near", Zone: "z", State: fleet.StateLive})
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
