// Package routing selects the route and the pool of a request by the current configuration.
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

// Repeatability specifies how often a request of a route may run.
type Repeatability int

// The repeatabilities of a route.
const (
	// Once means that a request may run only once each time the caller sends it.
	Once Repeatability = iota
	// Idempotent means that a request may run more than once.
	Idempotent
	// Resumable means that a stream may continue on another endpoint after the last event that the caller received.
	Resumable
)

// Route is one route of the configuration. Host and path of a request select its route.
type Route struct {
	// Name is the name of the route.
	Name string
	// Host is the host name that requests are sent to.
	Host string
	// Prefix is the path prefix of the route's requests; it begins and ends with a slash.
	Prefix string
	// Stream reports whether answers are streams of events.
	Stream bool
	// Repeatability specifies how often a request may run.
	Repeatability Repeatability
	// Timeout is the maximum duration of a request.
	Timeout time.Duration
	// Objective is the target for the time until the answer, or until the first event of a stream.
	Objective time.Duration
	// PauseObjective is the target for the longest pause between two events; 0 means none.
	PauseObjective time.Duration
	// Rank orders the routes by importance: 0 is the most important, and larger values are less so, the reverse of the
	// order in reservation.Request.
	Rank int
	// Pools are the pools that serve the route.
	Pools []WeightedPool
	// MaxAttempts limits the attempts of one request that may have reached an endpoint, including those that the endpoint
	// refused; values below 1 mean 1.
	MaxAttempts int
	// Public reports whether requests need no API key.
	Public bool
}

// WeightedPool is a pool and its share of the route's requests.
type WeightedPool struct {
	// Pool is the name of the pool.
	Pool fleet.PoolName
	// Weight is the share relative to the other pools of the route.
	Weight float64
}

// ChoosePool returns a random pool, chosen in proportion to the weights. It returns false if no pool has a positive
// weight.
func (r *Route) ChoosePool() (fleet.PoolName, bool) {
	var total float64
	for _, s := range r.Pools {
		total += s.Weight
	}
	if total <= 0 {
		return "", false
	}
	point := rand.Float64() * total
	for _, s := range r.Pools {
		if point -= s.Weight; point < 0 {
			return s.Pool, true
		}
	}
	return r.Pools[len(r.Pools)-1].Pool, true
}

// Pool is a set of endpoints that serve the same model or plain service.
type Pool struct {
	// Name is the name of the pool.
	Name fleet.PoolName
	// MaxConnections is the number of connections that one endpoint accepts from all entries together. This program does
	// not enforce it.
	MaxConnections int
	// ColdRate is the number of requests per second that a cold endpoint can process, or 0 if it has no limit.
	ColdRate float64
	// ColdTime is the duration of a cold start.
	ColdTime time.Duration
	// PauseObjective is the shortest PauseObjective of the routes that the pool serves, or 0 if none has any.
	PauseObjective time.Duration
	// Engine is the published performance model of the pool's engines, or nil for plain services.
	Engine *enginemodel.Model
	// Contended reports whether a request that waits at a full engine for a slot likely misses the shortest objective of
	// the pool's streams.
	Contended bool
}

// Account is a client account.
type Account struct {
	// Name identifies the account.
	Name fleet.AccountID
	// Rank orders the accounts by importance: 0 is the most important, and larger values are less so. This program does
	// not use it.
	Rank int
}

// Limits holds the operators' limits on what a caller may send. This program enforces only BodyBytes of them; the other
// limits of its servers are constants.
type Limits struct {
	// HeaderBytes is the maximum size of a request header.
	HeaderBytes int
	// BodyBytes is the maximum size of a request body.
	BodyBytes int64
	// HeaderTimeout is the maximum time to receive a request header.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a caller's connection may stay idle.
	IdleTimeout time.Duration
}

// Table is the routing configuration at one version. It is immutable after BuildIndex.
type Table struct {
	// Version increases with every accepted configuration.
	Version int64
	// Routes holds all routes.
	Routes []Route
	// Pools holds the pools by name.
	Pools map[fleet.PoolName]Pool
	// Accounts holds the client accounts by API key; nil means that requests need no key.
	Accounts map[string]Account
	// Limits limits what callers may send.
	Limits Limits

	hosts map[string][]*Route
}

// SafeShare is the share of an objective up to which a predicted time is never counted as late; the rest of the objective
// covers the prediction error.
const SafeShare = 0.6

// BuildIndex builds the host index that Match uses, sets the pause objectives of the pools and whether they are contended,
// and returns the table.
func (t *Table) BuildIndex() *Table {
	t.hosts = make(map[string][]*Route)
	for i := range t.Routes {
		r := &t.Routes[i]
		host := NormalizeHost(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
		t.applyPauseObjective(r)
	}
	t.markContended()
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t
}

// applyPauseObjective lowers the pause objective of the pools that serve a route to that of the route.
func (t *Table) applyPauseObjective(r *Route) {
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

// markContended sets Contended of each pool: whether the time until a full engine has a free slot exceeds the safe share of
// the shortest objective of the streams that the pool serves.
func (t *Table) markContended() {
	for name, pool := range t.Pools {
		objective := t.shortestObjective(name)
		if pool.Engine == nil || objective <= 0 {
			continue
		}
		pool.Contended = float64(pool.Engine.SlotInterval()) > SafeShare*float64(objective)
		t.Pools[name] = pool
	}
}

// shortestObjective returns the shortest objective of the streams that a pool serves, or 0 if none has any.
func (t *Table) shortestObjective(pool fleet.PoolName) time.Duration {
	var shortest time.Duration
	for i := range t.Routes {
		r := &t.Routes[i]
		serves := slices.ContainsFunc(r.Pools, func(s WeightedPool) bool { return s.Pool == pool })
		if r.Stream && serves && r.Objective > 0 && (shortest == 0 || r.Objective < shortest) {
			shortest = r.Objective
		}
	}
	return shortest
}

// Match returns the route of the host with the longest prefix that path begins with, and whether there is one. It
// compares the path as sent, without decoding or cleaning it.
func (t *Table) Match(host, path string) (*Route, bool) {
	for _, r := range t.hosts[NormalizeHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// NormalizeHost normalizes a host for comparison: without port and trailing dot, in lower case.
func NormalizeHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}
