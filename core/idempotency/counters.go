package idempotency

import "github.com/rcrowley/go-metrics"

// counters counts the outcomes of calls and the load on the store.
type counters struct {
	claims       metrics.Counter
	claimsFailed metrics.Counter
	repeats      metrics.Counter
	done         metrics.Counter
	failed       metrics.Counter
	notRun       metrics.Counter
	unknown      metrics.Counter
	refused      metrics.Counter
	readBacks    metrics.Counter
	unrecorded   metrics.Counter
	transactions metrics.Counter
	rows         metrics.Counter
	reads        metrics.Counter
}

// newCounters registers the counters in registry, or in a private registry if it is nil.
func newCounters(registry metrics.Registry) *counters {
	if registry == nil {
		registry = metrics.NewRegistry()
	}
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("idempotency."+name, registry)
	}
	return &counters{
		claims:       counter("claims"),
		claimsFailed: counter("claims_failed"),
		repeats:      counter("repeats"),
		done:         counter("done"),
		failed:       counter("failed"),
		notRun:       counter("not_run"),
		unknown:      counter("outcome_unknown"),
		refused:      counter("refused"),
		readBacks:    counter("read_backs"),
		unrecorded:   counter("unsettled"),
		transactions: counter("store_transactions"),
		rows:         counter("store_rows"),
		reads:        counter("store_reads"),
	}
}
