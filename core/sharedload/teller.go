package sharedload

import (
	"context"
	"maps"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"wisteriadyke/core/blackboard"
	"wisteriadyke/core/fleet"
)

const (
	// tellPeriod is the time between two looks at what this entry runs; a pass of an engine takes about as long.
	tellPeriod = 50 * time.Millisecond
	// tellAgain is how long unchanged figures are not told again; it is well within peerTTL.
	tellAgain = 400 * time.Millisecond
	// tellTimeout bounds one message.
	tellTimeout = 250 * time.Millisecond
	// silentPause is how long an entry that gave no answer is left alone.
	silentPause = time.Second
)

// Transport carries usages to other entries.
type Transport interface {
	// Tell sends all that this entry runs.
	Tell(ctx context.Context, to netip.AddrPort, entry fleet.EntryID, usages map[fleet.EndpointID]Usage) error
}

// Teller tells the other entries what this one runs, and takes what they tell. Its fields are set before Run.
type Teller struct {
	// Entry is this entry.
	Entry fleet.EntryID
	// Book holds what all run.
	Book *Book
	// Board holds the other entries.
	Board *blackboard.Board
	// Transport reaches them.
	Transport Transport

	mu     sync.Mutex
	paused map[fleet.EntryID]time.Time
	busy   map[fleet.EntryID]bool
	last   map[fleet.EndpointID]Usage
	lastAt time.Time
}

// Run tells until ctx ends; it returns no error.
func (t *Teller) Run(ctx context.Context) error {
	var group errgroup.Group
	ticker := time.NewTicker(tellPeriod)
	defer ticker.Stop()
	for {
		t.tell(ctx, &group, time.Now())
		select {
		case <-ctx.Done():
			return group.Wait()
		case <-ticker.C:
		}
	}
}

// TakeUsages takes all that one entry runs.
func (t *Teller) TakeUsages(entry fleet.EntryID, usages map[fleet.EndpointID]Usage) {
	t.Book.Told(entry, usages, time.Now())
}

// tell sends the present figures to every other entry that is neither silent nor still busy with older ones.
func (t *Teller) tell(ctx context.Context, group *errgroup.Group, now time.Time) {
	usages := t.Book.Own()
	if maps.Equal(usages, t.last) && now.Sub(t.lastAt) < tellAgain {
		return
	}
	t.last, t.lastAt = usages, now
	for id, entry := range t.Board.Entries.View().Rows {
		if id == t.Entry || !t.begin(id, now) {
			continue
		}
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, tellTimeout)
			defer cancel()
			// A lost message is made up for by the next one.
			t.end(id, t.Transport.Tell(ctx, entry.Address, t.Entry, usages))
			return nil
		})
	}
}

// begin notes that an entry is being told, unless it must not be.
func (t *Teller) begin(id fleet.EntryID, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.busy[id] || now.Before(t.paused[id]) {
		return false
	}
	if t.busy == nil {
		t.busy = make(map[fleet.EntryID]bool)
		t.paused = make(map[fleet.EntryID]time.Time)
	}
	t.busy[id] = true
	return true
}

// end notes that an entry was told, or that it is silent.
func (t *Teller) end(id fleet.EntryID, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.busy, id)
	if err != nil {
		t.paused[id] = time.Now().Add(silentPause)
	}
}
