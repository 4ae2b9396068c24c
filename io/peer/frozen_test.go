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

// frozenOwner returns the board of an entry beside one other, which owns the only endpoint.
func frozenOwner() *clusterstate.State {
	board := &clusterstate.State{}
	board.Endpoints.Set("e", fleet.Endpoint{ID: "e", Zone: "a", State: fleet.StateLive})
	board.Entries.Set("owner", fleet.Entry{ID: "owner", Zone: "a", Address: farAddress, State: fleet.StateLive})
	return board
}

func TestReserveAtAFrozenOwnerIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := NewClient()
		var group errgroup.Group
		client.Dial = func(context.Context, netip.AddrPort) (net.Conn, error) {
			near, far := net.Pipe()
			group.Go(func() error {
				_, err := io.Copy(io.Discard, far)
				return err
			})
			return near, nil
		}
		owners := &Owners{State: frozenOwner(), Entry: "self", Client: client}
		begun := time.Now()
		_, err := owners.Reserve(t.Context(), reservation.Request{Endpoint: "e", FirstTokenDeadline: begun.Add(time.Hour), Deadline: begun.Add(time.Hour)})
		var refusal *reservation.Refusal
		if !errors.As(err, &refusal) || refusal.Reason != reservation.ReasonUnreachable {
			t.Errorf("error %v, want unreachable", err)
		}
		if took := time.Since(begun); took > 3*time.Second {
			t.Errorf("given up after %s", took)
		}
		_ = client.Close()
		_ = group.Wait()
	})
}

func TestReserveWaitsForALiveOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := &Server{Owner: &fakeOwner{hold: 10 * time.Second}}
		serve(t, server, func(ctx context.Context, client *Client) {
			owners := &Owners{State: frozenOwner(), Entry: "self", Client: client}
			begun := time.Now()
			_, err := owners.Reserve(ctx, reservation.Request{Endpoint: "e", FirstTokenDeadline: begun.Add(time.Hour), Deadline: begun.Add(time.Hour)})
			if hasReason(err, reservation.ReasonUnreachable) {
				t.Errorf("a live owner was given up after %s", time.Since(begun))
			}
			if took := time.Since(begun); took < 10*time.Second {
				t.Errorf("answered after %s, want the owner's 10s", took)
			}
		})
	})
}
