package sharedload

import (
	"cmp"
	"context"
	"maps"
	"net/netip"
	"slices"
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
	// tellFanout bounds the entries that are told at once, so that the cost of an entry does not grow with their number
	// beyond it; those that were told longest ago come first.
	tellFanout = 16
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

	mu      sync.Mutex
	peers   map[fleet.EntryID]*listener
	last    map[fleet.EndpointID]Usage
	version uint64
}

// listener is what is known of the telling of one entry.
type listener struct {
	// version is that of the figures that it was told last, at a time.
	version uint64
	at      time.Time
	// busy tells that it is being told, and pausedUntil when a silent one is tried again.
	busy        bool
	pausedUntil time.Time
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

// tell sends the present figures to the entries that need them.
func (t *Teller) tell(ctx context.Context, group *errgroup.Group, now time.Time) {
	usages := t.Book.Own()
	for _, entry := range t.begin(usages, now) {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, tellTimeout)
			defer cancel()
			// A lost message is made up for by the next one.
			t.end(entry.ID, t.Transport.Tell(ctx, entry.Address, t.Entry, usages))
			return nil
		})
	}
}

// begin returns the entries to tell now: those whose figures are old, the oldest first, unless they are silent or still
// busy with a message.
func (t *Teller) begin(usages map[fleet.EndpointID]Usage, now time.Time) []fleet.Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !maps.Equal(usages, t.last) {
		t.last = usages
		t.version++
	}
	var due []fleet.Entry
	for id, entry := range t.Board.Entries.View().Rows {
		if id != t.Entry && t.listener(id).due(t.version, now) {
			due = append(due, entry)
		}
	}
	slices.SortFunc(due, func(a, b fleet.Entry) int {
		return cmp.Or(t.peers[a.ID].at.Compare(t.peers[b.ID].at), cmp.Compare(a.ID, b.ID))
	})
	due = due[:min(len(due), tellFanout)]
	for _, entry := range due {
		l := t.peers[entry.ID]
		l.busy, l.version, l.at = true, t.version, now
	}
	return due
}

// listener returns what is known of an entry; the caller holds the lock.
func (t *Teller) listener(id fleet.EntryID) *listener {
	l, found := t.peers[id]
	if !found {
		if t.peers == nil {
			t.peers = make(map[fleet.EntryID]*listener)
		}
		l = &listener{}
		t.peers[id] = l
	}
	return l
}

// due tells whether an entry needs figures of a version.
func (l *listener) due(version uint64, now time.Time) bool {
	if l.busy || now.Before(l.pausedUntil) {
		return false
	}
	return l.version != version || now.Sub(l.at) >= tellAgain
}

// end notes that an entry was told, or that it is silent.
func (t *Teller) end(id fleet.EntryID, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.listener(id)
	l.busy = false
	if err != nil {
		l.pausedUntil = time.Now().Add(silentPause)
	}
}
