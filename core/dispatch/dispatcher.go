package dispatch

import (
	"context"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"wisteriadyke/core/clusterstate"
	"wisteriadyke/core/fleet"
	"wisteriadyke/core/placement"
	"wisteriadyke/core/retry"
	"wisteriadyke/core/timeline"
)

// The names of the dispatcher's metrics.
const (
	// metricRequests counts requests of callers.
	metricRequests = "dispatch.requests"
	// metricDone counts requests that got the whole answer.
	metricDone = "dispatch.done"
	// metricFailed counts requests that got a failure.
	metricFailed = "dispatch.failed"
	// metricRetries counts attempts after the first that ran.
	metricRetries = "dispatch.retries"
	// metricDropped counts late and crossed answers that were dropped.
	metricDropped = "dispatch.answers_dropped"
	// metricDeaths counts endpoints found dead during an attempt.
	metricDeaths = "dispatch.endpoint_deaths"
	// metricFirstToken measures the time from arrival to the first token.
	metricFirstToken = "dispatch.first_token"
)

// ViewProvider yields what placements are decided on.
type ViewProvider interface {
	// View returns the present view, which is never written.
	View() placement.View
}

// cacheHint is a placement policy that tells how much of a prompt an endpoint may hold already.
type cacheHint interface {
	// Cached returns the number of leading prompt tokens that the endpoint may hold; it is a hint.
	Cached(id fleet.EndpointID, need placement.Need) fleet.Tokens
}

// Dispatcher serves model requests. It reads the entries of the blackboard and writes nothing there.
type Dispatcher struct {
	// State holds the live entries.
	State *clusterstate.State
	// Views yields what placements are decided on.
	Views ViewProvider
	// Entry is the entry that dispatches.
	Entry fleet.EntryID
	// Zone is the entry's availability zone.
	Zone fleet.Zone
	// Reservations reaches the owners of endpoints.
	Reservations ReservationClient
	// Engines runs attempts.
	Engines EngineClient
	// Placement orders the endpoints.
	Placement placement.Policy
	// Prefixes returns the prefixes of a prompt that engines may hold, the shortest first; nil tells of none.
	Prefixes func(prompt string) []placement.Prefix
	// Budget bounds retries.
	Budget *retry.Budget
	// BudgetRefused charges the budget also for attempts that an endpoint refused.
	BudgetRefused bool
	// Reachable tells whether a zone can be reached; nil asks the board when its entries were heard of.
	Reachable func(zone fleet.Zone) bool
	// Suspects knows the requests that may crash endpoints.
	Suspects *retry.Suspects
	// Timeline records events; nil records none.
	Timeline *timeline.Recorder
	// Metrics counts; nil counts nowhere.
	Metrics metrics.Registry
	// Log takes the dispatcher's messages.
	Log zerolog.Logger
}

// Generate serves one request and passes the answer to sink; an error is a *Failure or that of the sink.
func (d *Dispatcher) Generate(ctx context.Context, request Request, sink Sink) error {
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	d.count(metricRequests)
	d.Budget.AddRequest()
	r := &run{
		Dispatcher:  d,
		request:     request,
		sink:        sink,
		fingerprint: request.Fingerprint,
		position:    request.ResumeAfter,
		excluded:    make(map[fleet.EndpointID]bool),
		arrivedAt:   time.Now(),
	}
	if r.fingerprint == "" {
		r.fingerprint = retry.FingerprintOf(request.Account, request.Prompt)
	}
	if d.Prefixes != nil {
		r.prefixes = d.Prefixes(request.Prompt)
	}
	r.record(timeline.Event{Kind: timeline.KindRequestArrived, Tokens: request.PromptTokens})
	err := r.serve(ctx)
	if r.onTrial {
		d.Suspects.EndTrial(r.fingerprint)
	}
	r.finish(err)
	return err
}

// count adds one to a counter.
func (d *Dispatcher) count(name string) {
	if d.Metrics != nil {
		metrics.GetOrRegisterCounter(name, d.Metrics).Inc(1)
	}
}

// measure adds a duration to a timer.
func (d *Dispatcher) measure(name string, took time.Duration) {
	if d.Metrics != nil {
		metrics.GetOrRegisterTimer(name, d.Metrics).Update(took)
	}
}
