package sharedload

import (
	"cmp"
	"context"
	"errors"
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
	// leaseTime is the duration of a lease. If an entry dies, its leases end before the memory counts as leaked.
	leaseTime = 3 * time.Second
	// leaseRenewal is the interval between renewals of a lease; a lease survives the loss of one.
	leaseRenewal = 1200 * time.Millisecond
	// leaseRequestTimeout bounds one request to a helper, which normally takes a few milliseconds.
	leaseRequestTimeout = 250 * time.Millisecond
	// leaseCheckPeriod is the interval at which Run renews the leases that are due and releases those that have ended.
	leaseCheckPeriod = 200 * time.Millisecond
	// leaseSlack is the memory that is leased in addition to each part, in tokens, since engines round parts up.
	leaseSlack fleet.Tokens = 256
	// usableMemoryShare is the share of the free memory that plans use, since other choosers plan at the same time.
	usableMemoryShare = 0.9
)

// MemoryClient reserves memory at helpers.
type MemoryClient interface {
	// Reserve reserves memory under the helper's ticket for ttl or renews that reservation; after an error the memory
	// may or may not be reserved.
	Reserve(ctx context.Context, helper reservation.Helper, tokens fleet.Tokens, ttl time.Duration) error
	// Release releases the memory reserved under the helper's ticket. The error wraps
	// reservation.ErrOrderRejected if the helper rejected it.
	Release(ctx context.Context, helper reservation.Helper) error
}

// memoryLease is a lease of memory at one helper; requestedAt is when it was last requested.
type memoryLease struct {
	helper      reservation.Helper
	tokens      fleet.Tokens
	requestedAt time.Time
}

// MemoryLeases holds the memory leases of running attempts at helpers.
//
// Load pattern: a prompt is larger than the free memory of any engine. Its parts are stored at several engines, which
// free the memory even if the attempt or this entry dies.
type MemoryLeases struct {
	// Entry is the ID of this entry.
	Entry fleet.EntryID
	// Memory reserves and releases the memory.
	Memory MemoryClient
	// Log receives messages about failed requests.
	Log zerolog.Logger

	mu       sync.Mutex
	sequence int
	// held holds the leases that Run renews, by ticket; ending holds those that Run releases at its next check.
	held   map[string]*memoryLease
	ending []*memoryLease
}

// Run renews and releases leases until ctx ends, and once more then; it returns no error.
func (t *MemoryLeases) Run(ctx context.Context) error {
	ticker := time.NewTicker(leaseCheckPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			t.maintain(context.WithoutCancel(ctx), time.Now())
			return nil
		case <-ticker.C:
			t.maintain(ctx, time.Now())
		}
	}
}

// Acquire leases sizes[i] tokens of memory and leaseSlack at each helpers[i] for which sizes[i] is positive, and
// sets that helper's ticket. If a request fails, it returns the error, and Run releases all of these leases.
func (t *MemoryLeases) Acquire(ctx context.Context, helpers []reservation.Helper, sizes []fleet.Tokens) error {
	var leases []*memoryLease
	for i := range helpers {
		if sizes[i] > 0 {
			helpers[i].Ticket = t.newTicket()
			leases = append(leases, &memoryLease{helper: helpers[i], tokens: sizes[i] + leaseSlack, requestedAt: time.Now()})
		}
	}
	group, groupCtx := errgroup.WithContext(ctx)
	for _, lease := range leases {
		group.Go(func() error { return t.reserve(groupCtx, lease) })
	}
	err := group.Wait()
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil {
		// A request without an answer may have reserved the memory, so all leases are released.
		t.ending = append(t.ending, leases...)
		return err
	}
	if t.held == nil {
		t.held = make(map[string]*memoryLease)
	}
	for _, lease := range leases {
		t.held[lease.helper.Ticket] = lease
	}
	return nil
}

// Release ends the leases at helpers; Run releases their memory at its next check.
func (t *MemoryLeases) Release(helpers []reservation.Helper) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, h := range helpers {
		if lease, found := t.held[h.Ticket]; found {
			delete(t.held, h.Ticket)
			t.ending = append(t.ending, lease)
		}
	}
}

// newTicket returns a ticket that is unique across entries and their restarts.
func (t *MemoryLeases) newTicket() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sequence++
	return fmt.Sprintf("%s-%d-%x", t.Entry, t.sequence, rand.Uint64())
}

// reserve reserves or renews the memory of a lease.
func (t *MemoryLeases) reserve(ctx context.Context, lease *memoryLease) error {
	ctx, cancel := context.WithTimeout(ctx, leaseRequestTimeout)
	defer cancel()
	return t.Memory.Reserve(ctx, lease.helper, lease.tokens, leaseTime)
}

// maintain renews leases that are due and releases those that are ending. A release without a response is repeated at the next
// check, until the lease has expired.
func (t *MemoryLeases) maintain(ctx context.Context, now time.Time) {
	renew, release := t.due(now)
	var group errgroup.Group
	for _, lease := range renew {
		group.Go(func() error {
			if err := t.reserve(ctx, lease); err != nil {
				t.Log.Warn().Str("endpoint", string(lease.helper.Endpoint)).Str("ticket", lease.helper.Ticket).Err(err).
					Msg("sharedload: memory lease not renewed")
			}
			return nil
		})
	}
	for _, lease := range release {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, leaseRequestTimeout)
			defer cancel()
			if err := t.Memory.Release(ctx, lease.helper); err != nil {
				t.Log.Warn().Str("endpoint", string(lease.helper.Endpoint)).Str("ticket", lease.helper.Ticket).Err(err).
					Msg("sharedload: memory lease not released; it will expire")
				if !errors.Is(err, reservation.ErrOrderRejected) && time.Since(lease.requestedAt) < leaseTime {
					t.mu.Lock()
					t.ending = append(t.ending, lease)
					t.mu.Unlock()
				}
			}
			return nil
		})
	}
	_ = group.Wait()
}

// due returns the leases to renew, whose renewal time it sets to now, and those to release, which it removes from
// ending.
func (t *MemoryLeases) due(now time.Time) (renew, release []*memoryLease) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, lease := range t.held {
		if now.Sub(lease.requestedAt) >= leaseRenewal {
			lease.requestedAt = now
			renew = append(renew, lease)
		}
	}
	release, t.ending = t.ending, nil
	return renew, release
}

// distributeMemory divides the memory for a prompt and its output among endpoints and returns the tokens to lease at
// each, excluding leaseSlack. states[decoder] provides as much as plans may use; its size is 0, as it leases nothing.
// The others provide the rest, in descending order of free memory. It reports false if that is not enough, or if
// states[decoder] has no room for the output.
func distributeMemory(
	pool routing.Pool, states []endpointState, decoder int, prompt, output fleet.Tokens,
) ([]fleet.Tokens, bool) {
	sizes := make([]fleet.Tokens, len(states))
	remaining := prompt + output - plannableMemory(pool, &states[decoder])
	if plannableMemory(pool, &states[decoder]) < output {
		return nil, false
	}
	order := make([]int, 0, len(states))
	for i := range states {
		if i != decoder {
			order = append(order, i)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(states[b].freeMemory(pool), states[a].freeMemory(pool))
	})
	for _, i := range order {
		if remaining <= 0 {
			break
		}
		sizes[i] = max(0, min(remaining, plannableMemory(pool, &states[i])-leaseSlack))
		remaining -= sizes[i]
	}
	return sizes, remaining <= 0
}

// plannableMemory returns the memory of an endpoint that plans may use, in tokens: usableMemoryShare of its free
// memory.
func plannableMemory(pool routing.Pool, s *endpointState) fleet.Tokens {
	return max(0, fleet.Tokens(float64(s.freeMemory(pool))*usableMemoryShare))
}
