// Package routing decides which route and which pool serve a request, by the configuration in force.
package routing

import (
	"cmp"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"time"

	"wisteriadyke/core/enginemodel"
	"wisteriadyke/core/fleet"
)

// Repeatability tells how often a request of a route may run.
type Repeatability int

// How often a request of a route may run.
const (
	// Once requests may run once for each attempt of the caller.
	Once Repeatability = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Resumable streams may go on elsewhere behind what was passed on.
	Resumable
)

// Route is one entry of the configuration, by which requests are told apart.
type Route struct {
	// Name names the route.
	Name string
	// Host is the host name that callers ask for.
	Host string
	// Prefix begins the path of each request of the route; it begins and ends with a slash.
	Prefix string
	// Stream tells that answers are streams of events.
	Stream bool
	// Repeatability tells how often a request may run.
	Repeatability Repeatability
	// Timeout is the longest time that a request may take.
	Timeout time.Duration
	// Objective is the time to the answer, or to its first event, that callers hope for.
	Objective time.Duration
	// PauseObjective is the longest pause between two events that callers hope for.
	PauseObjective time.Duration
	// Priority is the rank of the route; 0 goes first.
	Priority int
	// Pools are the pools that serve the route.
	Pools []WeightedPool
	// MaxAttempts bounds the endpoints that one request is sent to.
	MaxAttempts int
	// Public routes need no key.
	Public bool
}

// WeightedPool is the part of a route's requests that one pool serves.
type WeightedPool struct {
	// Pool names the pool.
	Pool fleet.PoolName
	// Weight is its part relative to the other shares.
	Weight float64
}

// ChoosePool returns the pool for the next request, at random by weight; it reports false if the route has none.
func (r *Route) ChoosePool() (fleet.PoolName, bool) {
	var total float64
	for _, s := range r.Pools {
		total += s.Weight
	}
	if total <= 0 {
		return "", false
	}
	at := rand.Float64() * total
	for _, s := range r.Pools {
		if at -= s.Weight; at < 0 {
			return s.Pool, true
		}
	}
	return r.Pools[len(r.Pools)-1].Pool, true
}

// Pool is a set of endpoints that serve the same model or plain service.
type Pool struct {
	// Name names the pool.
	Name fleet.PoolName
	// MaxConnections is the number of connections that one endpoint accepts from all entries.
	MaxConnections int
	// ColdRate is the requests a second that a cold endpoint bears, or 0 if it bears any.
	ColdRate float64
	// ColdTime is how long a cold start takes.
	ColdTime time.Duration
	// PauseObjective is the shortest one of the routes that the pool serves, or 0 if none has any.
	PauseObjective time.Duration
	// Engine is the published pace of the pool's model engines, or nil for plain services.
	Engine *enginemodel.Model
}

// Account is a client account.
type Account struct {
	// Name names the account.
	Name fleet.AccountID
	// Priority is its rank; 0 goes first.
	Priority int
}

// Limits bound what a caller may send.
type Limits struct {
	// HeaderBytes bounds the header of a request.
	HeaderBytes int
	// BodyBytes bounds the body of a request.
	BodyBytes int64
	// HeaderTimeout bounds the time to send a header.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a caller may leave a connection unused.
	IdleTimeout time.Duration
}

// Table is the configuration at one version. It is not written after Build.
type Table struct {
	// Version grows with every accepted configuration.
	Version int64
	// Routes holds all routes.
	Routes []Route
	// Pools holds the pools by name.
	Pools map[fleet.PoolName]Pool
	// Accounts holds the client accounts by key; nil means that requests need no key.
	Accounts map[string]Account
	// Limits bound what callers may send.
	Limits Limits

	hosts map[string][]*Route
}

// BuildIndex prepares the table for Match and returns it.
func (t *Table) BuildIndex() *Table {
	t.hosts = make(map[string][]*Route)
	for i := range t.Routes {
		r := &t.Routes[i]
		host := HostName(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
		t.pauseObjective(r)
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t
}

// pauseObjective notes the pause objective of a route with the pools that serve it.
func (t *Table) pauseObjective(r *Route) {
	for _, s := range r.Pools {
		pool, found := t.Pools[s.Pool]
		if !found || r.PauseObjective <= 0 {
			continue
		}
		if pool.PauseObjective <= 0 || r.PauseObjective < pool.PauseObjective {
			pool.PauseObjective = r.PauseObjective
			t.Pools[s.Pool] = pool
		}
	}
}

// Match returns the route with the longest prefix of the path among those of the host.
func (t *Table) Match(host, path string) (*Route, bool) {
	for _, r := range t.hosts[HostName(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// HostName returns a host as it is compared: without port and final dot, in lower case.
func HostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}
