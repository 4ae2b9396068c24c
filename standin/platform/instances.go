package platform

import (
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"wisteriadyke/core/fleet"
)

// KindEntry is the kind of an entry in the instance list. The other kinds are those of endpoints.
const KindEntry fleet.Kind = "entry"

// Instance is a row of the instance list.
type Instance struct {
	// ID is the unique name of the instance.
	ID string
	// Kind is KindEntry or the kind of an endpoint.
	Kind fleet.Kind
	// Pool is the pool that an endpoint belongs to.
	Pool fleet.PoolName
	// Zone is the instance's availability zone.
	Zone fleet.Zone
	// Address is the address that the instance listens on.
	Address netip.AddrPort
	// State is the state of the instance: live or leaving.
	State fleet.State
	// Memory is the KV cache memory of an engine, in tokens.
	Memory fleet.Tokens
	// ChecksFence reports whether the endpoint refuses stale fencing tokens.
	ChecksFence bool
}

// Instances is an instance list in which changes become visible after a lag. The zero value is ready to use.
type Instances struct {
	mu      sync.Mutex
	lag     time.Duration
	visible map[string]Instance
	pending []instanceChange
}

// instanceChange is a change that is not visible yet.
type instanceChange struct {
	at       time.Time
	instance Instance
	removed  bool
}

// SetLag sets the time until a change becomes visible.
func (i *Instances) SetLag(lag time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.lag = lag
}

// Lag returns the time until a change becomes visible.
func (i *Instances) Lag() time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.lag
}

// Put adds or replaces an instance. The change becomes visible after the lag.
func (i *Instances) Put(instance Instance) {
	i.enqueue(instanceChange{at: time.Now(), instance: instance})
}

// Remove removes an instance. The change becomes visible after the lag.
func (i *Instances) Remove(id string) {
	i.enqueue(instanceChange{at: time.Now(), instance: Instance{ID: id}, removed: true})
}

// enqueue adds a pending change.
func (i *Instances) enqueue(c instanceChange) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.pending = append(i.pending, c)
}

// List returns the visible instances, sorted by ID.
func (i *Instances) List() []Instance {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.applyUntil(time.Now().Add(-i.lag))
	return slices.SortedFunc(maps.Values(i.visible), func(a, b Instance) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
}

// applyUntil makes the changes up to the time until visible; the caller must hold the lock.
func (i *Instances) applyUntil(until time.Time) {
	if i.visible == nil {
		i.visible = make(map[string]Instance)
	}
	for len(i.pending) > 0 && !i.pending[0].at.After(until) {
		c := i.pending[0]
		i.pending = i.pending[1:]
		if c.removed {
			delete(i.visible, c.instance.ID)
			continue
		}
		i.visible[c.instance.ID] = c.instance
	}
}
