package dispatch

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"wisteriadyke/core/clusterstate"
	"wisteriadyke/core/fleet"
	"wisteriadyke/core/retry"
)

const (
	// confirmPeriod is the interval at which the registry is compared with the unconfirmed deaths.
	confirmPeriod = 200 * time.Millisecond
	// confirmTimeout is the time after a broken attempt by which the registry must have shown that the endpoint ended. It
	// removes silent endpoints after less than 4 s.
	confirmTimeout = 10 * time.Second
	// relistTime is the time within which an endpoint that lives registers again once its zone is reachable. It is also shorter
	// than the time after which the registry removes an endpoint that has just renewed its row.
	relistTime = 2 * time.Second
	// renewTime is the time within which an endpoint that lives renews its row.
	renewTime = 1400 * time.Millisecond
	// exitTime is how long an endpoint whose process ends may still accept connections.
	exitTime = 100 * time.Millisecond
	// maxDiagnoses bounds the endpoints that are tried again at the same time.
	maxDiagnoses = 8
	// maxUnconfirmed bounds the deaths that wait for confirmation.
	maxUnconfirmed = 256
)

// UnconfirmedDeaths holds broken attempts whose endpoints may have ended. One that still accepted a connection, maybe while
// its process was ending, is tried once more. If no entry can tell whether an endpoint ended or the paths to it are cut, the
// registry confirms its death by a later incarnation, or by removing it while others of its zone are reachable or start
// anew. Its fields must be set before Run is called; it is safe for concurrent use.
//
// Load pattern: a request crashes the endpoints of a small pool one after the other, at an entry that has no other one to
// ask. Each crash counts, though later than one that other entries confirm.
type UnconfirmedDeaths struct {
	// State holds the listed endpoints. Endpoints that disappear during an outage of the registry must remain in it.
	State *clusterstate.State
	// ReachesZone reports whether this entry can connect to another endpoint in the zone of the given one.
	ReachesZone func(ctx context.Context, endpoint fleet.Endpoint) bool
	// Log receives the outcome of each unconfirmed death.
	Log zerolog.Logger

	mu      sync.Mutex
	pending []*unconfirmedDeath
}

// unconfirmedDeath is one broken attempt at an endpoint that may have ended.
type unconfirmedDeath struct {
	*Dispatcher
	endpoint fleet.Endpoint
	observed observedDeath
	// listed holds the endpoints that were listed when the attempt broke, and started those of its zone that were listed for the
	// first time since, with the time of that.
	listed  map[fleet.EndpointID]fleet.Endpoint
	started map[endpointStart]time.Time
	// unlistedAt is when the registry was first seen to have removed the endpoint, and zoneAliveAt when the zone of the
	// endpoint first turned out to start endpoints, or to be reachable after that; both are zero before.
	unlistedAt, zoneAliveAt time.Time
	// diagnosis is the latest one of the endpoint. If the endpoint was reached then, it is tried once more; again reports
	// whether it was.
	diagnosis diagnosis
	again     bool
	// survived reports whether the request was answered after the attempt.
	survived atomic.Bool
}

// endpointStart identifies a start of an endpoint.
type endpointStart struct {
	id          fleet.EndpointID
	incarnation fleet.Incarnation
}

// verdict is what became of the endpoint of a broken attempt.
type verdict string

const (
	// verdictPending means that it is not known yet.
	verdictPending verdict = "pending"
	// verdictEnded means that the endpoint ended.
	verdictEnded verdict = "ended"
	// verdictAlive means that the endpoint lives or left in an orderly way.
	verdictAlive verdict = "alive"
	// verdictExpired means that it was not known within confirmTimeout, or that too many others wait.
	verdictExpired verdict = "expired"
)

// add holds a death until it is confirmed or turns out not to be one. The oldest one is dropped if there are too many.
func (u *UnconfirmedDeaths) add(by *Dispatcher, endpoint fleet.Endpoint, observed observedDeath, d diagnosis) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.pending) >= maxUnconfirmed {
		u.log(u.pending[0], verdictExpired)
		u.pending = u.pending[1:]
	}
	u.pending = append(u.pending, &unconfirmedDeath{
		Dispatcher: by, endpoint: endpoint, observed: observed, diagnosis: d, listed: u.State.Endpoints.Snapshot().Rows,
	})
}

// recordSurvival records that a request was answered, so that its earlier attempts did not crash their endpoints.
func (u *UnconfirmedDeaths) recordSurvival(fingerprint retry.Fingerprint) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, d := range u.pending {
		if d.observed.fingerprint == fingerprint {
			d.survived.Store(true)
		}
	}
}

// Run compares the unconfirmed deaths with the registry until ctx ends; it returns no error.
func (u *UnconfirmedDeaths) Run(ctx context.Context) error {
	ticker := time.NewTicker(confirmPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			u.resolve(ctx)
		}
	}
}

// resolve records the deaths that the registry confirms and drops those of endpoints that live.
func (u *UnconfirmedDeaths) resolve(ctx context.Context) {
	u.mu.Lock()
	pending := slices.Clone(u.pending)
	u.mu.Unlock()
	u.diagnoseAgain(ctx, pending)
	reaches := make(map[fleet.Zone]bool)
	resolved := make(map[*unconfirmedDeath]bool)
	for _, d := range pending {
		v := u.judge(ctx, d, reaches)
		if v == verdictPending {
			continue
		}
		resolved[d] = true
		u.log(d, v)
		if v == verdictEnded {
			d.observed.survived = d.survived.Load()
			d.recordDeath(ctx, d.observed)
		}
	}
	if len(resolved) == 0 {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.pending = slices.DeleteFunc(u.pending, func(d *unconfirmedDeath) bool { return resolved[d] })
}

// diagnoseAgain tries the endpoints that were reached after an attempt broke. Attempts at the same endpoint share the result.
func (u *UnconfirmedDeaths) diagnoseAgain(ctx context.Context, pending []*unconfirmedDeath) {
	var group errgroup.Group
	group.SetLimit(maxDiagnoses)
	byDeath := make(map[retry.Death][]*unconfirmedDeath)
	for _, d := range pending {
		if d.diagnosis.reached() && time.Since(d.observed.brokeAt) >= exitTime {
			byDeath[d.observed.death] = append(byDeath[d.observed.death], d)
		}
	}
	for _, same := range byDeath {
		group.Go(func() error {
			again := same[0].diagnose(ctx, same[0].endpoint, same[0].observed.death.Incarnation)
			for _, d := range same {
				d.diagnosis, d.again = again, true
			}
			return nil
		})
	}
	_ = group.Wait()
}

// judge returns what became of the endpoint. reaches holds the zones that were connected to for this purpose.
//
// An endpoint is removed from the registry as well if its zone is partitioned, and registers again afterwards. It has
// relistTime for that, from its removal and from the first sign that the zone isn't partitioned. If another endpoint of the zone
// registered longer than renewTime, but less than relistTime before the removal, this one could have renewed its row since, so
// that it has ended. Directly after a partition it may not have had the time to.
func (u *UnconfirmedDeaths) judge(ctx context.Context, d *unconfirmedDeath, reaches map[fleet.Zone]bool) verdict {
	now := time.Now()
	listed, found := u.State.Endpoints.Get(d.endpoint.ID)
	switch {
	case d.diagnosis.reached() && !d.again:
		return verdictPending
	case d.diagnosis.reached():
		return verdictAlive
	case d.diagnosis == diagnosisDied, found && listed.Incarnation > d.endpoint.Incarnation:
		return verdictEnded
	case found && (listed.State == fleet.StateLeaving || !d.unlistedAt.IsZero()):
		return verdictAlive
	case now.Sub(d.observed.brokeAt) > confirmTimeout:
		return verdictExpired
	}
	if u.startedAnew(d, now) && d.zoneAliveAt.IsZero() {
		d.zoneAliveAt = now
	}
	if found {
		return verdictPending
	}
	if d.unlistedAt.IsZero() {
		d.unlistedAt = now
		for _, at := range d.started {
			if since := now.Sub(at); since > renewTime && since < relistTime {
				return verdictEnded
			}
		}
	}
	if d.zoneAliveAt.IsZero() && u.reachesZone(ctx, d.endpoint, reaches) {
		d.zoneAliveAt = now
	}
	if !d.zoneAliveAt.IsZero() && now.Sub(d.zoneAliveAt) >= relistTime && now.Sub(d.unlistedAt) >= relistTime {
		return verdictEnded
	}
	return verdictPending
}

// reachesZone reports whether this entry can connect to another endpoint in the zone of the given one. known holds the zones
// that were tried already.
func (u *UnconfirmedDeaths) reachesZone(ctx context.Context, endpoint fleet.Endpoint, known map[fleet.Zone]bool) bool {
	reached, tried := known[endpoint.Zone]
	if !tried {
		reached = u.ReachesZone(ctx, endpoint)
		known[endpoint.Zone] = reached
	}
	return reached
}

// startedAnew reports whether another endpoint has started in the zone of the broken attempt since the previous call. One that
// comes back after its removal has not.
func (u *UnconfirmedDeaths) startedAnew(d *unconfirmedDeath, now time.Time) bool {
	anew := false
	for id, endpoint := range u.State.Endpoints.Snapshot().Rows {
		start := endpointStart{id: id, incarnation: endpoint.Incarnation}
		before, found := d.listed[id]
		if endpoint.Zone != d.endpoint.Zone || !d.started[start].IsZero() || found && before.Incarnation == endpoint.Incarnation {
			continue
		}
		if d.started == nil {
			d.started = make(map[endpointStart]time.Time)
		}
		d.started[start] = now
		anew = true
	}
	return anew
}

// log logs the outcome of an unconfirmed death.
func (u *UnconfirmedDeaths) log(d *unconfirmedDeath, v verdict) {
	u.Log.Info().
		Str("attempt", string(d.observed.attempt)).
		Str("endpoint", string(d.endpoint.ID)).
		Uint64("incarnation", uint64(d.endpoint.Incarnation)).
		Str("verdict", string(v)).
		Bool("survived", d.survived.Load()).
		Dur("age_ms", time.Since(d.observed.brokeAt)).
		Msg("dispatch: unconfirmed endpoint death resolved")
}
