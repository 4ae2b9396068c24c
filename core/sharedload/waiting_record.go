package sharedload

import (
	"fmt"
	"strings"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"wisteriadyke/core/reservation"
	"wisteriadyke/core/waiting"
)

// The names of the metrics of waiting requests; metricName adds the pool and the rank.
const (
	// metricWaitingNow is the number of requests that wait at this entry as their chooser.
	metricWaitingNow = "now"
	// metricWaitingTime times requests from arrival to placement.
	metricWaitingTime = "time"
	// metricWaitingRefused is the prefix of the counters of refused requests; the reason follows.
	metricWaitingRefused = "refused."
	// metricPlacedInTime and metricPlacedLate count placed requests by whether the predicted first token meets the
	// objective.
	metricPlacedInTime = "placed_in_time"
	metricPlacedLate   = "placed_late"
)

// metricName returns the name of a metric for the pool and the rank of a request, in characters that all exporters
// accept.
func metricName(call *heldCall, name string) string {
	pool := strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' {
			return r
		}
		return '_'
	}, string(call.need.Pool))
	return fmt.Sprintf("waiting.%s.rank_%d.%s", pool, call.need.Rank, name)
}

// recordWaiting records the number of waiting requests of a pool with the rank of a call.
func (p *ChooserSet) recordWaiting(call *heldCall, q *waitingPool) {
	if p.Metrics != nil {
		gauge := metrics.GetOrRegisterGauge(metricName(call, metricWaitingNow), p.Metrics)
		gauge.Update(int64(q.queue.LenOfRank(call.need.Rank)))
	}
}

// recordPlacement ends a call with a choice and records it; the caller holds the lock.
func (p *ChooserSet) recordPlacement(call *heldCall, choice Choice, now time.Time) {
	call.choice = choice
	if p.Metrics != nil {
		waited := now.Sub(call.need.ArrivedAt)
		metrics.GetOrRegisterTimer(metricName(call, metricWaitingTime), p.Metrics).Update(waited)
		name := metricPlacedInTime
		if call.need.Objective > 0 && waited+choice.Predicted > call.need.Objective {
			name = metricPlacedLate
		}
		metrics.GetOrRegisterCounter(metricName(call, name), p.Metrics).Inc(1)
	}
	p.finish(call)
}

// recordQueueRefusal counts a refused request by reason.
func (p *ChooserSet) recordQueueRefusal(call *heldCall, refusal *reservation.Refusal) {
	if p.Metrics != nil {
		metrics.GetOrRegisterCounter(metricName(call, metricWaitingRefused+string(refusal.Reason)), p.Metrics).Inc(1)
	}
}

// logWaitBegun logs that a request begins to wait, and why: no slot is free, or none that meets its objective.
func (p *ChooserSet) logWaitBegun(call *heldCall, q *waitingPool, prediction waiting.Prediction, now time.Time) {
	reason := "no_slot_in_time"
	if q.blocked {
		reason = "no_free_slot"
	}
	p.Log.Info().
		Str("request", string(call.need.Request)).
		Str("pool", string(call.need.Pool)).
		Int("rank", call.need.Rank).
		Int("position", prediction.Position).
		Dur("predicted_start_ms", prediction.Start.Sub(now)).
		Str("reason", reason).
		Msg("sharedload: request waits")
}
