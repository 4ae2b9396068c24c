package outlier

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/singleflight"

	"wisteriadyke/core/clusterstate"
	"wisteriadyke/core/fleet"
)

const (
	// witnessTimeout bounds the connection to an endpoint on behalf of another entry.
	witnessTimeout = 300 * time.Millisecond
	// maxControls is the number of other endpoints that are connected to in order to tell whether an endpoint or the path
	// to all of them is at fault.
	maxControls = 2
)

// Witness tells other entries whether this one reaches an endpoint. Its fields must be set before use.
type Witness struct {
	// State holds the listed endpoints.
	State *clusterstate.State
	// Reach tells which pools this entry is cut off from.
	Reach *Reach
	// Connect opens and closes a connection to an endpoint, and returns an error if it cannot be opened.
	Connect func(ctx context.Context, endpoint fleet.Endpoint) error

	// probes shares one connection, and controls one check of the path, among all that ask at the same time.
	probes   singleflight.Group
	controls singleflight.Group
}

// Reaches reports whether an incarnation of an endpoint accepts connections; known is false if this entry can't tell,
// since it reaches no other endpoint either or doesn't list this one. An incarnation before the listed one has ended.
func (w *Witness) Reaches(ctx context.Context, id fleet.EndpointID, incarnation fleet.Incarnation) (reached, known bool) {
	endpoint, found := w.State.Endpoints.Get(id)
	if !found || endpoint.Incarnation < incarnation {
		return false, false
	}
	if endpoint.Incarnation > incarnation {
		return false, true
	}
	result := w.probes.DoChan(string(id), func() (any, error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), witnessTimeout)
		defer cancel()
		return nil, w.Connect(ctx, endpoint)
	})
	select {
	case r := <-result:
		return r.Err == nil, r.Err == nil || w.CanTell(ctx, endpoint)
	case <-ctx.Done():
		return false, false
	}
}

// CanTell reports whether a failure to connect to an endpoint says something about the endpoint: this entry is not cut off
// from its pool, and reaches another endpoint.
func (w *Witness) CanTell(ctx context.Context, endpoint fleet.Endpoint) bool {
	if w.Reach.CutOff(endpoint.Pool) {
		return false
	}
	result := w.controls.DoChan("", func() (any, error) {
		return w.reachesAny(context.WithoutCancel(ctx), w.others(endpoint, func(fleet.Endpoint) bool { return true })), nil
	})
	select {
	case r := <-result:
		reaches, ok := r.Val.(bool)
		return ok && reaches
	case <-ctx.Done():
		return false
	}
}

// ReachesZone reports whether this entry reaches another endpoint in the zone of the given one.
func (w *Witness) ReachesZone(ctx context.Context, endpoint fleet.Endpoint) bool {
	return w.reachesAny(ctx, w.others(endpoint, func(other fleet.Endpoint) bool { return other.Zone == endpoint.Zone }))
}

// EndedAlone reports whether an endpoint in a zone without entries accepts no connection while another one of the zone does.
// It connects to the endpoint last, in case the path to the zone has just come back.
func (w *Witness) EndedAlone(ctx context.Context, endpoint fleet.Endpoint) bool {
	for _, entry := range w.State.Entries.Snapshot().Rows {
		if entry.Zone == endpoint.Zone {
			return false
		}
	}
	return w.ReachesZone(ctx, endpoint) && !w.reachesAny(ctx, []fleet.Endpoint{endpoint}) && ctx.Err() == nil
}

// others returns the live endpoints other than the given one that meet a condition and are not known to have ended, in
// random order.
func (w *Witness) others(than fleet.Endpoint, condition func(fleet.Endpoint) bool) []fleet.Endpoint {
	var others []fleet.Endpoint
	for id, endpoint := range w.State.Endpoints.Snapshot().Rows {
		if id != than.ID && endpoint.State == fleet.StateLive && condition(endpoint) && !w.Reach.died(endpoint) {
			others = append(others, endpoint)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others
}

// reachesAny connects to the first maxControls endpoints and reports whether one accepts.
func (w *Witness) reachesAny(ctx context.Context, endpoints []fleet.Endpoint) bool {
	ctx, cancel := context.WithTimeout(ctx, witnessTimeout)
	defer cancel()
	var reached atomic.Bool
	var group errgroup.Group
	for _, endpoint := range endpoints[:min(len(endpoints), maxControls)] {
		group.Go(func() error {
			if w.Connect(ctx, endpoint) == nil {
				reached.Store(true)
			}
			return nil
		})
	}
	_ = group.Wait()
	return reached.Load()
}
