package idempotency

import "github.com/rcrowley/go-metrics"

// counters counts the outcomes of calls and the load on the store.
type counters struct {
	// claims counts the claims held, and claimsFailed the calls whose claim was unavailable or uncertain.
	claims       metrics.Counter
	claimsFailed metrics.Counter
	// repeats counts the calls that are answered with the result or the state of another call with the same key.
	repeats metrics.Counter
	// done, failed, notRun and unknown count the calls of held claims by their state.
	done    metrics.Counter
	failed  metrics.Counter
	notRun  metrics.Counter
	unknown metrics.Counter
	// refused counts the calls refused for another digest, MaxInProgress, a shutdown or, before the claim, the timestamp
	// of their key.
	refused metrics.Counter
	// readBacks counts the reads of rows after a conflict; while an outcome is written, only the read that ends the
	// attempt counts.
	readBacks metrics.Counter
	// unrecorded counts the outcomes that could not be recorded.
	unrecorded metrics.Counter
	// transactions, rows and reads count the transactions sent to the store, the rows in them, and the batch reads.
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
