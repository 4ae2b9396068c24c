package dispatch

import (
	"context"
	"errors"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"wisteriadyke/core/timeline"
)

// The names of the metrics of service calls.
const (
	// metricCallsDone counts calls that were answered.
	metricCallsDone = "calls.done"
	// metricCallsFailed counts calls that failed.
	metricCallsFailed = "calls.failed"
	// metricCallTime times calls from arrival to the answer or failure.
	metricCallTime = "calls.time"
)

// InstrumentedCaller is a ServiceCaller that records calls in the timeline and the metrics.
type InstrumentedCaller struct {
	// Next serves the calls.
	Next ServiceCaller
	// Timeline records events; nil records none.
	Timeline *timeline.Recorder
	// Metrics receives the counts and durations of calls.
	Metrics metrics.Registry
}

// Call serves one call. Errors are *Failure.
func (c *InstrumentedCaller) Call(ctx context.Context, call Call) (CallResult, error) {
	startedAt := time.Now()
	event := timeline.Event{Request: call.ID, Account: call.Account, Class: call.Class}
	c.record(event, timeline.KindRequestArrived)
	result, err := c.Next.Call(ctx, call)
	event.Duration = time.Since(startedAt)
	metrics.GetOrRegisterTimer(metricCallTime, c.Metrics).Update(event.Duration)
	if err == nil {
		metrics.GetOrRegisterCounter(metricCallsDone, c.Metrics).Inc(1)
		c.record(event, timeline.KindRequestDone)
		return result, nil
	}
	metrics.GetOrRegisterCounter(metricCallsFailed, c.Metrics).Inc(1)
	var failure *Failure
	if errors.As(err, &failure) {
		event.Reason = string(failure.State) + ": " + failure.Reason
		event.RetryAfter = failure.RetryAfter
	}
	c.record(event, timeline.KindRequestFailed)
	return result, err
}

// record appends an event of the given kind to the timeline.
func (c *InstrumentedCaller) record(event timeline.Event, kind timeline.Kind) {
	event.Kind = kind
	c.Timeline.Record(event)
}
