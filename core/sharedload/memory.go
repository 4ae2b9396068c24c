package sharedload

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/reservation"
	"wisteriadyke/core/routing"
)

const (
	// ticketHold is the lease of memory at a helper. It ends before memory counts as leaked if the entry dies.
	ticketHold = 3 * time.Second
	// ticketRenewal is the time between two renewals; one may be lost.
	ticketRenewal = 1200 * time.Millisecond
	// ticketTimeout bounds one order; links take a few milliseconds.
	ticketTimeout = 250 * time.Millisecond
	// ticketTick is the time between two looks at what is to be renewed or released.
	ticketTick = 200 * time.Millisecond
	// ticketSlack is the memory that is reserved beyond a part, since engines round parts up.
	ticketSlack fleet.Tokens = 256
	// usableMemory is the part of the free memory that is planned with, since others plan at the same time.
	usableMemory = 0.9
)

// MemoryClient reserves memory at helpers.
type MemoryClient interface {
	// Reserve takes or renews memory for a time; an error means that it may or may not be taken.
	Reserve(ctx context.Context, helper reservation.Helper, tokens fleet.Tokens, hold time.Duration) error
	// Release gives memory back.
	Release(ctx context.Context, helper reservation.Helper) error
}

// ticket is memory at one helper.
type ticket struct {
	helper  reservation.Helper
	tokens  fleet.Tokens
	renewed time.Time
}

// MemoryLeases holds the memory that running attempts have at helpers. Load pattern: a prompt larger than the free memory of
// any engine; its parts are stored at several, and given back whatever happens to the attempt or to this entry.
type MemoryLeases struct {
	// Entry is this entry.
	Entry fleet.EntryID
	// Memory gives the orders.
	Memory MemoryClient
	// Log takes messages about orders that failed.
	Log zerolog.Logger

	mu     sync.Mutex
	serial int
	held   map[string]*ticket
	ended  []*ticket
}

// Run renews and releases until ctx ends; it returns no error.
func (t *MemoryLeases) Run(ctx context.Context) error {
	ticker := time.NewTicker(ticketTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			t.tick(context.WithoutCancel(ctx), time.Now())
			return nil
		case <-ticker.C:
			t.tick(ctx, time.Now())
		}
	}
}

// Acquire reserves memory at each helper that has some tokens in sizes, and names the tickets in the helpers. All or none
// is taken.
func (t *MemoryLeases) Acquire(ctx context.Context, helpers []reservation.Helper, sizes []fleet.Tokens) error {
	var taken []*ticket
	for i := range helpers {
		if sizes[i] > 0 {
			helpers[i].Ticket = t.name()
			taken = append(taken, &ticket{helper: helpers[i], tokens: sizes[i] + ticketSlack, renewed: time.Now()})
		}
	}
	group, orders := errgroup.WithContext(ctx)
	for _, k := range taken {
		group.Go(func() error { return t.reserve(orders, k) })
	}
	err := group.Wait()
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil {
		// An order without an answer may have been carried out, so that all are given back.
		t.ended = append(t.ended, taken...)
		return err
	}
	if t.held == nil {
		t.held = make(map[string]*ticket)
	}
	for _, k := range taken {
		t.held[k.helper.Ticket] = k
	}
	return nil
}

// Release gives the memory at helpers back, soon.
func (t *MemoryLeases) Release(helpers []reservation.Helper) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, h := range helpers {
		if k, found := t.held[h.Ticket]; found {
			delete(t.held, h.Ticket)
			t.ended = append(t.ended, k)
		}
	}
}

// name returns a name that no other ticket has, whichever entry or life of this entry gave it.
func (t *MemoryLeases) name() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.serial++
	return fmt.Sprintf("%s-%d-%x", t.Entry, t.serial, rand.Uint64())
}

// reserve gives one order.
func (t *MemoryLeases) reserve(ctx context.Context, k *ticket) error {
	ctx, cancel := context.WithTimeout(ctx, ticketTimeout)
	defer cancel()
	return t.Memory.Reserve(ctx, k.helper, k.tokens, ticketHold)
}

// tick renews what is due and releases what has ended.
func (t *MemoryLeases) tick(ctx context.Context, now time.Time) {
	renew, release := t.due(now)
	var group errgroup.Group
	for _, k := range renew {
		group.Go(func() error {
			if err := t.reserve(ctx, k); err != nil {
				t.Log.Warn().Str("endpoint", string(k.helper.Endpoint)).Str("ticket", k.helper.Ticket).Err(err).
					Msg("memory: not renewed")
			}
			return nil
		})
	}
	for _, k := range release {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, ticketTimeout)
			defer cancel()
			if err := t.Memory.Release(ctx, k.helper); err != nil {
				t.Log.Warn().Str("endpoint", string(k.helper.Endpoint)).Str("ticket", k.helper.Ticket).Err(err).
					Msg("memory: not released; its lease ends it")
			}
			return nil
		})
	}
	_ = group.Wait()
}

// due returns the tickets to renew and those to release.
func (t *MemoryLeases) due(now time.Time) (renew, release []*ticket) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, k := range t.held {
		if now.Sub(k.renewed) >= ticketRenewal {
			k.renewed = now
			renew = append(renew, k)
		}
	}
	release, t.ended = t.ended, nil
	return renew, release
}

// spreadMemory divides the memory of a prompt over endpoints: the first keeps what it can, the others get the rest in
// the order of their free memory. It reports false if they have too little.
func spreadMemory(pool routing.Pool, states []state, first int, prompt, output fleet.Tokens) ([]fleet.Tokens, bool) {
	sizes := make([]fleet.Tokens, len(states))
	left := prompt + output - usable(pool, &states[first])
	if usable(pool, &states[first]) < output {
		return nil, false
	}
	order := make([]int, 0, len(states))
	for i := range states {
		if i != first {
			order = append(order, i)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(states[b].free(pool), states[a].free(pool))
	})
	for _, i := range order {
		if left <= 0 {
			break
		}
		sizes[i] = max(0, min(left, usable(pool, &states[i])-ticketSlack))
		left -= sizes[i]
	}
	return sizes, left <= 0
}

// usable returns the free memory of an endpoint that is planned with.
func usable(pool routing.Pool, s *state) fleet.Tokens {
	return max(0, fleet.Tokens(float64(s.free(pool))*usableMemory))
}
