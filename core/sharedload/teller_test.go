package sharedload

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"

	"wisteriadyke/core/blackboard"
	"wisteriadyke/core/fleet"
)

// fakeTransport counts what it carries to each address.
type fakeTransport struct {
	mu     sync.Mutex
	told   map[netip.AddrPort]int
	silent netip.AddrPort
}

// Tell takes one message.
func (f *fakeTransport) Tell(_ context.Context, to netip.AddrPort, _ fleet.EntryID, _ map[fleet.EndpointID]Usage) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.told[to]++
	if to == f.silent {
		return errors.New("no answer")
	}
	return nil
}

// TestTellerReachesAllAtABoundedCost lets an entry with ever changing figures tell far more entries than it may at once.
func TestTellerReachesAllAtABoundedCost(t *testing.T) {
	const (
		entries = 100
		span    = 2 * time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		board := &blackboard.Board{}
		for i := range entries {
			id := fleet.EntryID(fmt.Sprintf("entry-%03d", i))
			address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1)
			board.Entries.Set(id, fleet.Entry{ID: id, Address: address})
		}
		self, _ := board.Entries.Get("entry-000")
		silent, _ := board.Entries.Get("entry-050")
		transport := &fakeTransport{told: make(map[netip.AddrPort]int), silent: silent.Address}
		teller := &Teller{Entry: self.ID, Book: &Book{}, Board: board, Transport: transport}
		ctx, stop := context.WithTimeout(t.Context(), span)
		defer stop()
		var group errgroup.Group
		group.Go(func() error { return teller.Run(ctx) })
		for i := range int(span / (10 * time.Millisecond)) {
			teller.Book.Add(map[fleet.EndpointID]Usage{"i-1": {Running: 1, Memory: fleet.Tokens(i)}})
			time.Sleep(10 * time.Millisecond)
		}
		if err := group.Wait(); err != nil {
			t.Fatal(err)
		}
		total := 0
		for address, count := range transport.told {
			total += count
			// Figures older than peerTTL are not used.
			if least := int(span / peerTTL); address != silent.Address && count < least {
				t.Errorf("%s was told %d times in %v, want %d", address, count, span, least)
			}
		}
		if len(transport.told) != entries-1 || transport.told[self.Address] != 0 {
			t.Errorf("%d entries were told, want all but itself", len(transport.told))
		}
		if most := tellFanout * int(span/tellPeriod+1); total > most {
			t.Errorf("%d messages in %v, want %d at most", total, span, most)
		}
		if count := transport.told[silent.Address]; count > int(span/silentPause)+1 {
			t.Errorf("a silent entry was told %d times", count)
		}
	})
}
