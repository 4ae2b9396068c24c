package warmup

import (
	"testing"
	"time"
)

// start is the start time of the tests.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// warm returns an estimator of a warm endpoint.
func warm() *Estimator {
	pace := Pace{Prefill: 50_000, Decode: 60, Batch: 32}
	return &Estimator{Settings: DefaultSettings(), Memory: 400_000, State: State{Incarnation: 1, Pace: pace}}
}

// servedSample returns the sample of an answer at a share of the warm pace.
func servedSample(share float64) Sample {
	return Sample{
		PrefillTokens:   4_000,
		PrefillTime:     seconds(4_000 / 50_000.0 / share),
		GeneratedTokens: 60,
		DecodeTime:      seconds(1 / share),
	}
}

// TestCold asserts which observations turn a warm endpoint cold.
func TestCold(t *testing.T) {
	tests := map[string]struct {
		steps func(e *Estimator)
		cold  bool
	}{
		"answers at the warm pace": {steps: func(e *Estimator) {
			e.ObserveSample(start, servedSample(1))
			e.ObserveSample(start, servedSample(0.8))
		}},
		"one slow answer": {steps: func(e *Estimator) { e.ObserveSample(start, servedSample(0.25)) }},
		"two slow answers": {steps: func(e *Estimator) {
			e.ObserveSample(start, servedSample(0.25))
			e.ObserveSample(start, servedSample(0.25))
		}, cold: true},
		"two slow ones far apart": {steps: func(e *Estimator) {
			e.ObserveSample(start, servedSample(0.25))
			e.ObserveSample(start.Add(time.Minute), servedSample(0.25))
		}},
		"slow, good, slow": {steps: func(e *Estimator) {
			e.ObserveSample(start, servedSample(0.25))
			e.ObserveSample(start, servedSample(1))
			e.ObserveSample(start, servedSample(0.25))
		}},
		"a later life":               {steps: func(e *Estimator) { e.ObserveIncarnation(start, 2) }, cold: true},
		"the same life":              {steps: func(e *Estimator) { e.ObserveIncarnation(start, 1) }},
		"an answer of a former life": {steps: func(e *Estimator) { e.State.Incarnation = 3; e.ObserveIncarnation(start, 2) }},
		"crowded answers": {
			steps: func(e *Estimator) {
				for range 3 {
					e.ObserveSample(start, Sample{GeneratedTokens: 60, DecodeTime: 4 * time.Second, OtherStreams: 96})
				}
			},
		},
		"many broken connections": {
			steps: func(e *Estimator) {
				for range 2 * e.Settings.SlowSamples {
					e.RecordBroken(start)
				}
			},
			cold: true,
		},
		"readings that do not end": {
			steps: func(e *Estimator) {
				for range 2 {
					e.ObserveUnfinishedPrefill(start, Sample{PrefillTokens: 4_000, PrefillTime: 3 * time.Second, Partial: true})
				}
			},
			cold: true,
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			e := warm()
			tc.steps(e)
			if e.State.Cold != tc.cold {
				t.Errorf("cold = %t, want %t", e.State.Cold, tc.cold)
			}
		})
	}
}

// TestSuspect checks that one broken connection limits an endpoint until it is observed again in the same incarnation.
func TestSuspect(t *testing.T) {
	e := warm()
	e.RecordBroken(start)
	if attempts, _, limited := e.Limit(); !limited || attempts != e.Settings.InitialAttempts {
		t.Errorf("limit = %d attempts, limited = %t; want the initial attempts, true", attempts, limited)
	}
	e.ObserveIncarnation(start, 1)
	if !e.RestartSuspected() {
		t.Error("a report that may predate the broken connection ended the suspicion")
	}
	e.ObserveIncarnation(start.Add(time.Second), 1)
	if e.RestartSuspected() {
		t.Error("a later report did not end the suspicion")
	}
}

// TestRaise checks that only attempts at the warm pace raise the limit, and that enough of them end the cold start.
func TestRaise(t *testing.T) {
	e := warm()
	e.BeginColdStart(start)
	for range 50 {
		e.ObserveSample(start.Add(time.Second), servedSample(0.25))
	}
	if e.State.Attempts != e.Settings.InitialAttempts {
		t.Errorf("slow answers raised the limit to %d", e.State.Attempts)
	}
	last := 0
	for range 100 {
		if e.State.Attempts < last || e.State.Attempts > 2*max(last, 1) {
			t.Fatalf("the limit went from %d to %d", last, e.State.Attempts)
		}
		last = e.State.Attempts
		e.ObserveSample(start.Add(2*time.Second), servedSample(1))
	}
	if e.State.Cold {
		t.Errorf("still cold with a limit of %d attempts", e.State.Attempts)
	}
}

// TestUnknownPace checks that an endpoint without a known warm pace stays limited until its pace has lasted for a
// plateau.
func TestUnknownPace(t *testing.T) {
	e := warm()
	e.State.Pace = Pace{}
	e.BeginColdStart(start)
	now := start
	for ; e.State.Cold && now.Before(start.Add(time.Hour)); now = now.Add(100 * time.Millisecond) {
		e.ObserveSample(now, servedSample(0.1))
		if now.Before(start.Add(e.Settings.Plateau)) && e.State.Attempts > e.Settings.InitialAttempts {
			t.Fatalf("limit raised after %s, before the plateau ended", now.Sub(start))
		}
	}
	if e.State.Cold {
		t.Error("a slow endpoint stays cold forever")
	}
}

// TestIdleRamp checks that an idle cold endpoint eventually accepts a prompt as large as its memory.
func TestIdleRamp(t *testing.T) {
	e := warm()
	e.BeginColdStart(start)
	for now := start; now.Before(start.Add(time.Minute)); now = now.Add(time.Second) {
		e.UpdateIdle(now, true)
	}
	if e.State.Tokens != e.Memory {
		t.Errorf("limit = %d tokens, want %d", e.State.Tokens, e.Memory)
	}
}
