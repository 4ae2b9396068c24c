package dispatch

import (
	"context"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"wisteriadyke/core/clusterstate"
	"wisteriadyke/core/fleet"
	"wisteriadyke/core/placement"
	"wisteriadyke/core/quarantine"
	"wisteriadyke/core/reservation"
	"wisteriadyke/core/retry"
	"wisteriadyke/core/timeline"
)

// The names of the dispatcher's metrics.
const (
	// metricRequests counts all requests.
	metricRequests = "dispatch.requests"
	// metricDone counts requests that were answered completely.
	metricDone = "dispatch.done"
	// metricFailed counts requests that failed.
	metricFailed = "dispatch.failed"
	// metricPrediction and metricHelpedPrediction are the times to the first token in percent of the prediction, of attempts
	// without and with prefill helpers.
	metricPrediction       = "dispatch.prediction_percent"
	metricHelpedPrediction = "dispatch.helped_prediction_percent"
	// metricStalled counts attempts that were ended since their first token was late.
	metricStalled = "dispatch.stalled"
	// metricRetries counts retries after attempts that ran or may have run.
	metricRetries = "dispatch.retries"
	// metricTokensDropped counts received tokens that were dropped because the caller already had them.
	metricTokensDropped = "dispatch.answers_dropped"
	// metricEndpointDeaths counts endpoints found dead after an attempt on them broke.
	metricEndpointDeaths = "dispatch.endpoint_deaths"
	// metricFirstToken times requests from arrival to the first token of the answer.
	metricFirstToken = "dispatch.first_token"
)

// ViewProvider provides the view that placement decisions are based on.
type ViewProvider interface {
	// View returns the current view, which is immutable.
	View() placement.View
}

// cacheEstimator is a placement policy that estimates how much of a prompt an endpoint has cached.
type cacheEstimator interface {
	// Cached returns the estimated number of leading prompt tokens that the endpoint has cached.
	Cached(id fleet.EndpointID, need placement.Need) fleet.Tokens
}

// Dispatcher serves requests to models, and calls to plain services that are passed to it as a Request. It reads the
// endpoints and entries of the cluster state and writes none of its tables.
type Dispatcher struct {
	// State is the cluster state, which holds the endpoints and the entries.
	State *clusterstate.State
	// Views provides the view that placement decisions are based on.
	Views ViewProvider
	// Entry is the ID of this entry.
	Entry fleet.EntryID
	// Zone is the entry's availability zone.
	Zone fleet.Zone
	// Reservations reserves endpoints for attempts.
	Reservations ReservationClient
	// Engines runs attempts on endpoints.
	Engines EndpointClient
	// Placement ranks the endpoints; nil lets Reservations choose one.
	Placement placement.Policy
	// Prefixes returns the prefixes of a prompt that engines may have cached, shortest first; nil disables the
	// estimate.
	Prefixes func(prompt string) []placement.Prefix
	// Budget limits retries.
	Budget *retry.Budget
	// LimitRefusedRetries makes Budget and the request's MaxAttempts also limit the retries of attempts that an endpoint
	// refused. If it is false, only maxRefusals limits these retries.
	LimitRefusedRetries bool
	// Reachable reports whether a zone is reachable. If Reachable is nil, this entry's own zone counts as reachable, and
	// another zone does if one of its entries was seen within contactTimeout.
	Reachable func(zone fleet.Zone) bool
	// Forwarding lets other entries serve requests while this entry reaches no endpoint; nil disables that.
	Forwarding *Forwarding
	// ListAge returns how old the list of endpoints is, for the log; nil, and false, mean that it is not known.
	ListAge func() (time.Duration, bool)
	// AskOthers asks other entries whether they can connect to an endpoint that this one can't reach, and returns how many
	// can and how many can't; nil disables that.
	AskOthers func(ctx context.Context, endpoint fleet.Endpoint) (reached, failed int)
	// CanTell reports whether a failure to connect to an endpoint says something about the endpoint, and not about this
	// entry's path to all of them; nil means that it does.
	CanTell func(ctx context.Context, endpoint fleet.Endpoint) bool
	// EndedAlone reports whether an endpoint in a zone without entries accepts no connection while others of the zone do;
	// nil means that it can't tell.
	EndedAlone func(ctx context.Context, endpoint fleet.Endpoint) bool
	// Unconfirmed holds the broken attempts whose endpoints may have died, until that is known; nil ignores them.
	Unconfirmed *UnconfirmedDeaths
	// Suspects tracks the requests that may crash endpoints.
	Suspects *retry.Suspects
	// Parts tracks the prompt parts that crash endpoints; nil disables that.
	Parts *quarantine.Parts
	// Timeline records events; nil records none.
	Timeline *timeline.Recorder
	// Metrics is the metrics registry; nil disables metrics.
	Metrics metrics.Registry
	// Log receives the dispatcher's messages.
	Log zerolog.Logger
}

// Generate serves one request and writes the answer to sink. The error is a *Failure or the error of the sink.
func (d *Dispatcher) Generate(ctx context.Context, request Request, sink Sink) error {
	ctx, cancel := context.WithDeadline(ctx, request.Deadline)
	defer cancel()
	d.increment(metricRequests)
	if request.ForwardedBy == "" {
		// The entry that passed a request on has counted it.
		d.Budget.AddRequest()
	}
	r := &requestRun{
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
	r.recordFinish(err)
	return err
}

// increment adds one to a counter, unless metrics are disabled.
func (d *Dispatcher) increment(name string) {
	if d.Metrics != nil {
		metrics.GetOrRegisterCounter(name, d.Metrics).Inc(1)
	}
}

// recordDuration adds a sample to a timer, unless metrics are disabled.
func (d *Dispatcher) recordDuration(name string, took time.Duration) {
	if d.Metrics != nil {
		metrics.GetOrRegisterTimer(name, d.Metrics).Update(took)
	}
}

// recordPrediction adds the ratio of the measured to the predicted time to the first token to a histogram, unless metrics
// are disabled or the grant has no prediction that is meant to be checked.
func (d *Dispatcher) recordPrediction(grant reservation.Grant, took time.Duration) {
	if d.Metrics == nil || grant.OverdueAfter <= 0 {
		return
	}
	name := metricPrediction
	if len(grant.Helpers) > 0 {
		name = metricHelpedPrediction
	}
	sample := metrics.NewExpDecaySample(predictionSamples, predictionDecay)
	metrics.GetOrRegisterHistogram(name, d.Metrics, sample).Update(int64(100 * took / grant.Predicted))
}

// predictionSamples and predictionDecay are the size and the decay of the samples of a histogram, as the library's timers
// have them.
const (
	predictionSamples = 1028
	predictionDecay   = 0.015
)
