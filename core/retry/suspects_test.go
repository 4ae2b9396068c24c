package retry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"wisteriadyke/core/fleet"
)

// step is one step of a test: wait, then a death or a finish.
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
		want  Status
		other Status
	}{
		"unknown":              {want: StatusClear, other: StatusClear},
		"one death":            {steps: []step{{died: first}}, want: StatusTrial, other: StatusTrialElsewhere},
		"same death twice":     {steps: []step{{died: first}, {died: first}}, want: StatusTrial, other: StatusTrialElsewhere},
		"two deaths":           {steps: []step{{died: first}, {died: second}}, want: StatusQuarantined, other: StatusQuarantined},
		"finished after one":   {steps: []step{{died: first}, {finished: true}}, want: StatusClear, other: StatusClear},
		"death after finish":   {steps: []step{{died: first}, {finished: true}, {died: second}}, want: StatusTrial, other: StatusTrialElsewhere},
		"trial expired":        {steps: []step{{died: first}, {wait: trialDuration + time.Second}}, want: StatusClear, other: StatusClear},
		"quarantine outlasts":  {steps: []step{{died: first}, {died: second}, {wait: time.Hour}}, want: StatusQuarantined, other: StatusQuarantined},
		"quarantine ends once": {steps: []step{{died: first}, {died: second}, {wait: 25 * time.Hour}}, want: StatusClear, other: StatusClear},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				other := &Suspects{Entry: "b"}
				here := &Suspects{Entry: "a", Broadcaster: broadcasterFunc(other.Merge)}
				for _, s := range tc.steps {
					time.Sleep(s.wait + time.Millisecond)
					if s.died != (Death{}) {
						here.RecordDeath(context.Background(), "f", s.died)
					}
					if s.finished {
						here.MarkCleared(context.Background(), "f")
					}
				}
				if got := here.Status("f"); got != tc.want {
					t.Errorf("got status %q at this entry, want %q", got, tc.want)
				}
				if got := other.Status("f"); got != tc.other {
					t.Errorf("got status %q at another entry, want %q", got, tc.other)
				}
			})
		})
	}
}

// broadcasterFunc is a Broadcaster that calls a function.
type broadcasterFunc func(SuspectRecord) SuspectRecord

// Broadcast calls the function with the record.
func (f broadcasterFunc) Broadcast(_ context.Context, record SuspectRecord) {
	f(record)
}

func TestMergeDoesNotDependOnOrder(t *testing.T) {
	at := time.Unix(1000, 0)
	records := map[string]SuspectRecord{
		"first":   {Fingerprint: "f", Deaths: []Death{{Endpoint: "e1"}}, TrialEntry: "a", ChangedAt: at},
		"same":    {Fingerprint: "f", Deaths: []Death{{Endpoint: "e2"}}, TrialEntry: "b", ChangedAt: at},
		"later":   {Fingerprint: "f", Deaths: []Death{{Endpoint: "e3"}}, TrialEntry: "c", ChangedAt: at.Add(time.Second)},
		"cleared": {Fingerprint: "f", Deaths: []Death{{Endpoint: "e1"}}, TrialEntry: "a", Cleared: true, ChangedAt: at.Add(time.Minute)},
	}
	for name, a := range records {
		for other, b := range records {
			if diff := cmp.Diff(Merge(a, b), Merge(b, a)); diff != "" {
				t.Errorf("merge of %s and %s depends on the order: %s", name, other, diff)
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
