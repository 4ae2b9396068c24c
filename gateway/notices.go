package gateway

import (
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"wisteriadyke/core/discovery"
	"wisteriadyke/core/fleet"
	"wisteriadyke/core/outlier"
	"wisteriadyke/core/ratelimit"
)

// Counters of what endpoints say of themselves in their responses.
const (
	metricLeavingResponses = "endpoints.leaving_responses"
	metricPauseRequests    = "endpoints.pause_requests"
	metricLimitResponses   = "endpoints.limit_responses"
)

// endpointNotices applies what endpoints say of themselves in their responses. It implements endpointclient.Notices.
type endpointNotices struct {
	endpoints *discovery.EndpointList
	outliers  *outlier.Detector
	limits    *ratelimit.Limits
	metrics   metrics.Registry
	log       zerolog.Logger
}

// AnnounceLeaving marks an incarnation of an endpoint as leaving.
func (n *endpointNotices) AnnounceLeaving(id fleet.EndpointID, incarnation fleet.Incarnation) {
	metrics.GetOrRegisterCounter(metricLeavingResponses, n.metrics).Inc(1)
	n.endpoints.MarkLeaving(id, incarnation, true, time.Now())
}

// RequestPause keeps requests away from an endpoint for the time that it asked for.
func (n *endpointNotices) RequestPause(id fleet.EndpointID, incarnation fleet.Incarnation, pause time.Duration) {
	metrics.GetOrRegisterCounter(metricPauseRequests, n.metrics).Inc(1)
	now := time.Now()
	until := n.outliers.RecordPause(id, incarnation, pause, now)
	n.log.Info().Str("endpoint", string(id)).Uint64("incarnation", uint64(incarnation)).Dur("asked_ms", pause).
		Dur("held_ms", until.Sub(now)).Msg("outlier: endpoint asked for a pause")
}

// StateLimit applies the limit that an endpoint states and logs it if it is new.
func (n *endpointNotices) StateLimit(id fleet.EndpointID, incarnation fleet.Incarnation, perSecond float64) {
	metrics.GetOrRegisterCounter(metricLimitResponses, n.metrics).Inc(1)
	now := time.Now()
	n.recordLimit(id, ratelimit.Statement{Incarnation: incarnation, PerSecond: perSecond, At: now}, now)
}

// StateNoLimit ends the limit of an endpoint that states none.
func (n *endpointNotices) StateNoLimit(id fleet.EndpointID, incarnation fleet.Incarnation, sentAt time.Time) {
	n.recordLimit(id, ratelimit.Statement{Incarnation: incarnation, At: sentAt}, time.Now())
}

// recordLimit records what an endpoint said of its limit and logs changes.
func (n *endpointNotices) recordLimit(id fleet.EndpointID, statement ratelimit.Statement, now time.Time) {
	if !n.limits.Record(id, statement, now) {
		return
	}
	n.log.Info().Str("endpoint", string(id)).Uint64("incarnation", uint64(statement.Incarnation)).
		Float64("per_second", statement.PerSecond).Msg("ratelimit: endpoint changed its limit")
}
