package retry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"wisteriadyke/core/fleet"
)

// step is one thing that happens to a request in a test.
type step struct {
	died     Death
	finished bool
	wait     time.Duration
}

func TestSuspectsStanding(t *testing.T) {
	first := Death{Endpoint: "e1", Incarnation: 1}
	second := Death{Endpoint: "e2", Incarnation: 7}
	tests := map[string]struct {
		steps []step
		want  Standing
		other Standing
	}{
		"unknown":              {want: StandingClear, other: StandingClear},
		"one death":            {steps: []step{{died: first}}, want: StandingTrial, other: StandingElsewhere},
		"same death twice":     {steps: []step{{died: first}, {died: first}}, want: StandingTrial, other: StandingElsewhere},
		"two deaths":           {steps: []step{{died: first}, {died: second}}, want: StandingQuarantined, other: StandingQuarantined},
		"finished after one":   {steps: []step{{died: first}, {finished: true}}, want: StandingClear, other: StandingClear},
		"death after finish":   {steps: []step{{died: first}, {finished: true}, {died: second}}, want: StandingTrial, other: StandingElsewhere},
		"trial expired":        {steps: []step{{died: first}, {wait: trialTime + time.Second}}, want: StandingClear, other: StandingClear},
		"quarantine outlasts":  {steps: []step{{died: first}, {died: second}, {wait: time.Hour}}, want: StandingQuarantined, other: StandingQuarantined},
		"quarantine ends once": {steps: []step{{died: first}, {died: second}, {wait: 25 * time.Hour}}, want: StandingClear, other: StandingClear},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				other := &Suspects{Entry: "b"}
				here := &Suspects{Entry: "a", Spreader: takerFunc(other.Take)}
				for _, s := range tc.steps {
					time.Sleep(s.wait + time.Millisecond)
					if s.died != (Death{}) {
						here.Died(context.Background(), "f", s.died)
					}
					if s.finished {
						here.Finished(context.Background(), "f")
					}
				}
				if got := here.Standing("f"); got != tc.want {
					t.Errorf("standing here %q, want %q", got, tc.want)
				}
				if got := other.Standing("f"); got != tc.other {
					t.Errorf("standing at another entry %q, want %q", got, tc.other)
				}
			})
		})
	}
}

// takerFunc spreads notes by a call.
type takerFunc func(Note) Note

// Spread passes the note on.
func (f takerFunc) Spread(_ context.Context, note Note) {
	f(note)
}

func TestMergeDoesNotDependOnOrder(t *testing.T) {
	at := time.Unix(1000, 0)
	notes := map[string]Note{
		"first":   {Fingerprint: "f", Deaths: []Death{{Endpoint: "e1"}}, Holder: "a", ChangedAt: at},
		"same":    {Fingerprint: "f", Deaths: []Death{{Endpoint: "e2"}}, Holder: "b", ChangedAt: at},
		"later":   {Fingerprint: "f", Deaths: []Death{{Endpoint: "e3"}}, Holder: "c", ChangedAt: at.Add(time.Second)},
		"cleared": {Fingerprint: "f", Deaths: []Death{{Endpoint: "e1"}}, Holder: "a", Cleared: true, ChangedAt: at.Add(time.Minute)},
	}
	for name, a := range notes {
		for other, b := range notes {
			if diff := cmp.Diff(Merge(a, b), Merge(b, a)); diff != "" {
				t.Errorf("%s with %s depends on the order: %s", name, other, diff)
			}
		}
	}
}

func TestFingerprintTellsAccountsApart(t *testing.T) {
	seen := make(map[Fingerprint]string)
	for name, f := range map[string]Fingerprint{
		"one":           FingerprintOf("a", "prompt"),
		"other account": FingerprintOf(fleet.AccountID("b"), "prompt"),
		"other prompt":  FingerprintOf("a", "prompt2"),
		"shifted":       FingerprintOf("ap", "rompt"),
	} {
		if other, found := seen[f]; found {
			t.Errorf("%q and %q have the same fingerprint", name, other)
		}
		seen[f] = name
	}
}
