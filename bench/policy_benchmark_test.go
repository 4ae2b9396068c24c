package bench_test

import (
	"fmt"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

// seeds holds the seeds of the benchmark.
var seeds = []uint64{1, 2, 3}

// loads holds the offered loads as fractions of the capacity.
var loads = []float64{0.5, 0.8, 0.95, 1.2}

// Durations and load of the runs of BenchmarkPolicy.
const (
	// steadyDuration is the time in which requests arrive in a run without zone changes.
	steadyDuration = time.Minute
	// settleTime is the time at the start of a run that is excluded from the goodput.
	settleTime = 20 * time.Second
	// outageDuration is the time in which requests arrive in a run where a zone is missing for the second third.
	outageDuration = 90 * time.Second
	// outageLoad is the load of such a run as a fraction of the capacity; two of three zones can serve it.
	outageLoad = 0.5
)

// quantiles holds the reported quantiles by their labels.
var quantiles = map[string]float64{"p50": 0.5, "p95": 0.95, "p99": 0.99}

// runAll runs a scenario with each of the seeds concurrently.
func runAll(c scenario, seeds []uint64) simulations {
	m := make(simulations, len(seeds))
	var group errgroup.Group
	for i, seed := range seeds {
		run := c
		run.seed = seed
		group.Go(func() error {
			m[i] = run.run()
			return nil
		})
	}
	// The functions of the group return no errors.
	_ = group.Wait()
	return m
}

// BenchmarkPolicy reports metrics of the policies at several loads and while a zone is missing.
func BenchmarkPolicy(b *testing.B) {
	for _, d := range deployments {
		for _, l := range loads {
			b.Run(fmt.Sprintf("%s/load=%.0f", d.name, 100*l), func(b *testing.B) {
				for _, p := range append([]policy{product}, baselines...) {
					benchmarkLoad(b, d, l, p)
				}
			})
		}
		b.Run(d.name+"/zone_leaves", func(b *testing.B) { benchmarkOutage(b, d, zoneLeaves(outageDuration)) })
		b.Run(d.name+"/zone_cut", func(b *testing.B) { benchmarkOutage(b, d, zoneCut(outageDuration)) })
	}
}

// benchmarkLoad reports metrics of a policy at a steady load and, together with those of product, of the idle fleet.
func benchmarkLoad(b *testing.B, d deployment, l float64, p policy) {
	c := scenario{deployment: d, policy: p, load: l, duration: steadyDuration}
	shortOnly := c
	shortOnly.keep = isShortArrival
	b.Run(p.name, func(b *testing.B) {
		for b.Loop() {
			m := runAll(c, seeds)
			reportSteady(b, m, runAll(shortOnly, seeds))
		}
	})
	if p.name != product.name {
		return
	}
	b.Run("idle_fleet", func(b *testing.B) {
		for b.Loop() {
			m := runAll(c, seeds)
			for _, band := range bands {
				reportQuantiles(b, "ttft_"+band.name, m.idleFirstTokenTimes(inBand(band)))
			}
		}
	})
}

// reportSteady reports metrics of a steady load. shortOnly holds the simulations of its short requests only.
func reportSteady(b *testing.B, m, shortOnly simulations) {
	for _, band := range bands {
		reportQuantiles(b, "ttft_"+band.name, m.firstTokenTimes(inBand(band)))
	}
	b.ReportMetric(m.goodput(settleTime, steadyDuration), "useful/capacity")
	b.ReportMetric(m.shareInTime(allRequests), "in_time")
	b.ReportMetric(m.shareInTime(isShort), "short_in_time")
	b.ReportMetric(float64(m.count(failedOrLate)), "failed")
	b.ReportMetric(float64(m.coldReports()), "cold_reports")
	b.ReportMetric(firstTokenSlowdown(m, shortOnly), "slowdown_ttft_p95")
	b.ReportMetric(answerSlowdown(m, shortOnly), "slowdown_answer_p95")
	b.ReportMetric(sortedQuantile(m.archiveSlowdowns(), 0.5), "archive/idle_p50")
	b.ReportMetric(sortedQuantile(m.archiveSlowdowns(), 0.95), "archive/idle_p95")
	b.ReportMetric(0, "ns/op")
}

// firstTokenSlowdown returns the 95th percentile of the time to the first token of short requests divided by that
// without long requests.
func firstTokenSlowdown(m, shortOnly simulations) float64 {
	return quantile(m.firstTokenTimes(isShort), 0.95) / quantile(shortOnly.firstTokenTimes(isShort), 0.95)
}

// answerSlowdown returns the 95th percentile of the time to the whole answer of short requests divided by that without
// long requests.
func answerSlowdown(m, shortOnly simulations) float64 {
	return quantile(m.answerTimes(isShort), 0.95) / quantile(shortOnly.answerTimes(isShort), 0.95)
}

// reportQuantiles reports quantiles of durations in seconds.
func reportQuantiles(b *testing.B, name string, values []time.Duration) {
	for label, q := range quantiles {
		b.ReportMetric(quantile(values, q), name+"_"+label+"_s")
	}
	b.ReportMetric(0, "ns/op")
}

// benchmarkOutage reports metrics of all policies before, during and after the loss of a zone.
func benchmarkOutage(b *testing.B, d deployment, scheduleChanges func(s *simulation)) {
	for _, p := range append([]policy{product}, baselines...) {
		c := scenario{
			deployment: d, policy: p, load: outageLoad,
			duration: outageDuration, scheduleChanges: scheduleChanges,
		}
		b.Run(p.name, func(b *testing.B) {
			for b.Loop() {
				m := runAll(c, seeds)
				for _, part := range phases(outageDuration) {
					arrived := arrivedDuring(part)
					b.ReportMetric(m.shareInTime(arrived), part.name+"_in_time")
					b.ReportMetric(
						quantile(m.firstTokenTimes(shortInOtherZones(part)), 0.95),
						part.name+"_short_ttft_p95_s",
					)
				}
				b.ReportMetric(float64(m.count(failedOrLate)), "failed")
				b.ReportMetric(float64(m.overloadDeaths()), "engine_deaths")
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}

// arrivedDuring returns a filter that selects the requests that arrived in a phase.
func arrivedDuring(part phase) func(r *request) bool {
	return func(r *request) bool { return part.contains(r.arrivedAt.Sub(epoch)) }
}

// shortInOtherZones returns a filter that selects the short requests that arrived in a phase at entries of all zones
// but the first, which is the one that is missing for a time.
func shortInOtherZones(part phase) func(r *request) bool {
	arrived := arrivedDuring(part)
	return func(r *request) bool {
		return isShort(r) && arrived(r) && r.entry.zone != r.simulation.zones[0]
	}
}
