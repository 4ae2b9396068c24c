package platform

import (
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"wisteriadyke/core/fleet"
)

// KindEntry marks an entry instance in the instance list, beside the kinds of endpoints.
const KindEntry fleet.Kind = "entry"

// Instance is one row of the instance list.
type Instance struct {
	// ID names the instance.
	ID string
	// Kind is KindEntry or a kind of endpoint.
	Kind fleet.Kind
	// Pool names what an endpoint serves.
	Pool fleet.PoolName
	// Zone is the instance's availability zone.
	Zone fleet.Zone
	// Address is where it listens.
	Address netip.AddrPort
	// State tells whether it takes new work.
	State fleet.State
	// Memory is the KV cache memory of an engine in tokens.
	Memory fleet.Tokens
	// ChecksFence tells whether the endpoint refuses stale fencing numbers.
	ChecksFence bool
}

// Instances is an instance list that shows changes after a lag; its zero value is ready to use.
type Instances struct {
	mu      sync.Mutex
	lag     time.Duration
	shown   map[string]Instance
	pending []instanceChange
}

// instanceChange is a change that is not shown yet.
type instanceChange struct {
	at       time.Time
	instance Instance
	gone     bool
}

// SetLag sets how long changes stay hidden.
func (i *Instances) SetLag(lag time.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.lag = lag
}

// Lag returns how long changes stay hidden.
func (i *Instances) Lag() time.Duration {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.lag
}

// Put adds or replaces an instance.
func (i *Instances) Put(instance Instance) {
	i.change(instanceChange{at: time.Now(), instance: instance})
}

// Remove takes an instance off the list.
func (i *Instances) Remove(id string) {
	i.change(instanceChange{at: time.Now(), instance: Instance{ID: id}, gone: true})
}

// change records a change.
func (i *Instances) change(c instanceChange) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.pending = append(i.pending, c)
}

// List returns the instances in the order of their names, as they were a lag ago.
func (i *Instances) List() []Instance {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.show(time.Now().Add(-i.lag))
	return slices.SortedFunc(maps.Values(i.shown), func(a, b Instance) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
}

// show applies the changes made until then; the caller holds the lock.
func (i *Instances) show(until time.Time) {
	if i.shown == nil {
		i.shown = make(map[string]Instance)
	}
	for len(i.pending) > 0 && !i.pending[0].at.After(until) {
		c := i.pending[0]
		i.pending = i.pending[1:]
		if c.gone {
			delete(i.shown, c.instance.ID)
			continue
		}
		i.shown[c.instance.ID] = c.instance
	}
}
