package bench_test

import (
	"fmt"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
)

// seeds holds the seeds of the benchmark.
var seeds = []uint64{1, 2, 3}

// loads holds the offered loads in parts of the capacity.
var loads = []float64{0.5, 0.8, 0.95, 1.2}

// Lengths of the benchmark's runs.
const (
	// steady is how long requests arrive where nothing happens.
	steady = time.Minute
	// settling is the time that is left out of the useful tokens a second.
	settling = 20 * time.Second
	// outage is how long requests arrive where a zone is gone for a third of the time.
	outage = 90 * time.Second
	// outageLoad is the load then; two of three zones bear it.
	outageLoad = 0.5
)

// quantiles holds the quantiles that are reported.
var quantiles = map[string]float64{"p50": 0.5, "p95": 0.95, "p99": 0.99}

// runAll runs a scenario with each seed, each in its own virtual time.
func runAll(c scenario, seeds []uint64) merged {
	m := make(merged, len(seeds))
	var group errgroup.Group
	for i, seed := range seeds {
		run := c
		run.seed = seed
		group.Go(func() error {
			m[i] = run.run()
			return nil
		})
	}
	// No run returns an error.
	_ = group.Wait()
	return m
}

// BenchmarkPolicy reports the figures of the policies at several loads and while a zone is gone.
func BenchmarkPolicy(b *testing.B) {
	for _, d := range deployments {
		for _, l := range loads {
			b.Run(fmt.Sprintf("%s/load=%.0f", d.name, 100*l), func(b *testing.B) {
				for _, p := range append([]policy{product}, baselines...) {
					benchmarkLoad(b, d, l, p)
				}
			})
		}
		b.Run(d.name+"/zone_leaves", func(b *testing.B) { benchmarkOutage(b, d, zoneLeaves(outage)) })
		b.Run(d.name+"/zone_cut", func(b *testing.B) { benchmarkOutage(b, d, zoneCut(outage)) })
	}
}

// benchmarkLoad reports a policy at a steady load, and with the product the idle fleet.
func benchmarkLoad(b *testing.B, d deployment, l float64, p policy) {
	c := scenario{deployment: d, policy: p, load: l, lasting: steady}
	alone := c
	alone.only = short
	b.Run(p.name, func(b *testing.B) {
		for b.Loop() {
			m := runAll(c, seeds)
			reportSteady(b, m, runAll(alone, seeds))
		}
	})
	if p.name != product.name {
		return
	}
	b.Run("idle_fleet", func(b *testing.B) {
		for b.Loop() {
			m := runAll(c, seeds)
			for _, band := range bands {
				reportQuantiles(b, "ttft_"+band.name, m.lowerBound(inBand(band)))
			}
		}
	})
}

// reportSteady reports the figures of a steady load beside its short requests alone.
func reportSteady(b *testing.B, m, alone merged) {
	for _, band := range bands {
		reportQuantiles(b, "ttft_"+band.name, m.waits(inBand(band)))
	}
	b.ReportMetric(m.goodput(settling, steady), "useful/capacity")
	b.ReportMetric(m.served(every), "in_time")
	b.ReportMetric(m.served(isShort), "short_in_time")
	b.ReportMetric(float64(m.count(failed)), "failed")
	b.ReportMetric(float64(m.coldReports()), "cold_reports")
	b.ReportMetric(firstTokenSlowdown(m, alone), "slowdown_ttft_p95")
	b.ReportMetric(answerSlowdown(m, alone), "slowdown_answer_p95")
	b.ReportMetric(at(m.archiveRatios(), 0.5), "archive/idle_p50")
	b.ReportMetric(at(m.archiveRatios(), 0.95), "archive/idle_p95")
	b.ReportMetric(0, "ns/op")
}

// firstTokenSlowdown is the 95th percentile of the time to the first token of short requests over that without long
// ones.
func firstTokenSlowdown(m, alone merged) float64 {
	return quantile(m.waits(isShort), 0.95) / quantile(alone.waits(isShort), 0.95)
}

// answerSlowdown is the 95th percentile of the time to the whole answer of short requests over that without long ones.
func answerSlowdown(m, alone merged) float64 {
	return quantile(m.answers(isShort), 0.95) / quantile(alone.answers(isShort), 0.95)
}

// reportQuantiles reports the quantiles of some times in seconds.
func reportQuantiles(b *testing.B, name string, values []time.Duration) {
	for label, q := range quantiles {
		b.ReportMetric(quantile(values, q), name+"_"+label+"_s")
	}
	b.ReportMetric(0, "ns/op")
}

// benchmarkOutage reports the policies while a zone is gone.
func benchmarkOutage(b *testing.B, d deployment, change func(s *simulation)) {
	for _, p := range append([]policy{product}, baselines...) {
		c := scenario{deployment: d, policy: p, load: outageLoad, lasting: outage, change: change}
		b.Run(p.name, func(b *testing.B) {
			for b.Loop() {
				m := runAll(c, seeds)
				for _, part := range phases(outage) {
					arrived := during(part)
					b.ReportMetric(m.served(arrived), part.name+"_in_time")
					b.ReportMetric(quantile(m.waits(remaining(part)), 0.95), part.name+"_short_ttft_p95_s")
				}
				b.ReportMetric(float64(m.count(failed)), "failed")
				b.ReportMetric(float64(m.deaths()), "engine_deaths")
				b.ReportMetric(0, "ns/op")
			}
		})
	}
}

// during keeps the requests that came in a phase.
func during(part phase) func(r *request) bool {
	return func(r *request) bool { return part.contains(r.arrivedAt.Sub(epoch)) }
}

// remaining keeps the short requests that came in a phase to entries of the zones that stay.
func remaining(part phase) func(r *request) bool {
	arrived := during(part)
	return func(r *request) bool {
		return isShort(r) && arrived(r) && r.entry.zone != r.simulation.zones[0]
	}
}
