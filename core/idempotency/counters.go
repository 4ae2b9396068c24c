package idempotency

import "github.com/rcrowley/go-metrics"

// counters counts what callers did and what it cost the store.
type counters struct {
	claims       metrics.Counter
	notClaimed   metrics.Counter
	repeats      metrics.Counter
	done         metrics.Counter
	failed       metrics.Counter
	notRun       metrics.Counter
	unknown      metrics.Counter
	refused      metrics.Counter
	readBacks    metrics.Counter
	unsettled    metrics.Counter
	transactions metrics.Counter
	rows         metrics.Counter
	reads        metrics.Counter
}

// newCounters registers the counters; a nil registry keeps them private.
func newCounters(registry metrics.Registry) *counters {
	if registry == nil {
		registry = metrics.NewRegistry()
	}
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("idempotency."+name, registry)
	}
	return &counters{
		claims:       counter("claims"),
		notClaimed:   counter("claims_failed"),
		repeats:      counter("repeats"),
		done:         counter("done"),
		failed:       counter("failed"),
		notRun:       counter("not_run"),
		unknown:      counter("outcome_unknown"),
		refused:      counter("refused"),
		readBacks:    counter("read_backs"),
		unsettled:    counter("unsettled"),
		transactions: counter("store_transactions"),
		rows:         counter("store_rows"),
		reads:        counter("store_reads"),
	}
}
