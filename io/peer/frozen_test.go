package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"

	"wisteriadyke/core/clusterstate"
	"wisteriadyke/core/fleet"
	"wisteriadyke/core/reservation"
)

// stateWithRemoteOwner returns a cluster state whose only endpoint is owned by another entry at remoteAddress.
func stateWithRemoteOwner() *clusterstate.State {
	state := &clusterstate.State{}
	state.Endpoints.Set("e", fleet.Endpoint{ID: "e", Zone: "a", State: fleet.StateLive})
	state.Entries.Set("owner", fleet.Entry{ID: "owner", Zone: "a", Address: remoteAddress, State: fleet.StateLive})
	return state
}

func TestReserveAtAFrozenOwnerIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := NewClient()
		var group errgroup.Group
		client.Dial = func(context.Context, netip.AddrPort) (net.Conn, error) {
			local, remote := net.Pipe()
			// The owner reads what it is sent and never answers.
			group.Go(func() error {
				_, err := io.Copy(io.Discard, remote)
				return err
			})
			return local, nil
		}
		owners := &Owners{State: stateWithRemoteOwner(), Entry: "self", Client: client}
		start := time.Now()
		_, err := owners.Reserve(t.Context(), reservation.Request{Endpoint: "e", FirstTokenDeadline: start.Add(time.Hour), Deadline: start.Add(time.Hour)})
		var refusal *reservation.Refusal
		if !errors.As(err, &refusal) || refusal.Reason != reservation.ReasonUnreachable {
			t.Errorf("got error %v, want a refusal as unreachable", err)
		}
		if elapsed := time.Since(start); elapsed > 3*time.Second {
			t.Errorf("frozen owner abandoned after %s, want at most 3s", elapsed)
		}
		_ = client.Close()
		_ = group.Wait()
	})
}

func TestReserveWaitsForALiveOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := &Server{Owner: &fakeOwner{delay: 10 * time.Second}}
		serve(t, server, func(ctx context.Context, client *Client) {
			owners := &Owners{State: stateWithRemoteOwner(), Entry: "self", Client: client}
			start := time.Now()
			_, err := owners.Reserve(ctx, reservation.Request{Endpoint: "e", FirstTokenDeadline: start.Add(time.Hour), Deadline: start.Add(time.Hour)})
			if hasReason(err, reservation.ReasonUnreachable) {
				t.Errorf("live owner abandoned after %s", time.Since(start))
			}
			if elapsed := time.Since(start); elapsed < 10*time.Second {
				t.Errorf("answered after %s, want at least the owner's delay of 10s", elapsed)
			}
		})
	})
}
