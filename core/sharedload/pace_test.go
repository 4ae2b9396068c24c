package sharedload

import (
	"testing"
	"testing/synctest"
	"time"

	"wisteriadyke/core/cost"
	"wisteriadyke/core/fleet"
	"wisteriadyke/core/placement"
	"wisteriadyke/core/reservation"
)

// TestSlowEndpointIsAvoided guards against endpoints that take several times the published time and are chosen like
// others, by quick requests or as helpers, and against one that is avoided for ever: it is tried every 2 s.
func TestSlowEndpointIsAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newContendedFleet(12)
		f.policy.Paces = &cost.Paces{}
		quick := placement.Need{Pool: testPool.Name, PromptTokens: 5000, MaxTokens: 1500, Objective: 250 * time.Millisecond}
		first, err := f.choose(quick)
		if err != nil {
			t.Fatal(err)
		}
		slow := first.Endpoint
		// Attempts at the endpoint with the best rank take five times the prediction.
		for range 4 {
			grant, err := f.reserver.Reserve(t.Context(), reservation.Request{
				Pool: testPool.Name, PromptTokens: 5000, MaxTokens: 1500, Objective: 250 * time.Millisecond,
			})
			if err != nil {
				t.Fatal(err)
			}
			time.Sleep(200 * time.Millisecond)
			_ = f.reserver.Renew(t.Context(), reservation.Progress{
				Reservation: grant.Reservation, Started: true, TimeToFirstToken: 5 * grant.Predicted,
			})
			_ = f.reserver.Release(t.Context(), reservation.Release{Reservation: grant.Reservation})
		}
		long := placement.Need{Pool: testPool.Name, PromptTokens: 200_000, MaxTokens: 1500, Objective: 8 * time.Second}
		var trials []time.Duration
		start := time.Now()
		for elapsed := time.Duration(0); elapsed < 4500*time.Millisecond; elapsed = time.Since(start) {
			choice, err := f.choose(quick)
			if err != nil {
				t.Fatal(err)
			}
			if choice.Endpoint == slow {
				trials = append(trials, elapsed)
			}
			choice, err = f.choose(long)
			if err != nil {
				t.Fatal(err)
			}
			if _, used := choice.initialUsages()[slow]; used {
				t.Errorf("a part of a long prompt is prefilled at the slow endpoint after %v", elapsed)
			}
			time.Sleep(100 * time.Millisecond)
		}
		previous := time.Duration(0)
		for _, at := range append(trials, 4500*time.Millisecond) {
			if at-previous > 2100*time.Millisecond {
				t.Errorf("no request at the slow endpoint from %v to %v, want one every 2 s", previous, at)
			}
			previous = at
		}
		if len(trials) > 3 {
			t.Errorf("quick requests tried the slow endpoint after %v, want at most one every 2 s", trials)
		}
	})
}

// TestOverdueFirstToken guards against a slow endpoint that stays unknown until its first answer: an attempt without a
// first token after 2.5 times the prediction is a sample.
func TestOverdueFirstToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newContendedFleet(1)
		f.policy.Paces = &cost.Paces{}
		var grants []reservation.Grant
		for range 3 {
			grant, err := f.reserver.Reserve(t.Context(), reservation.Request{
				Pool: testPool.Name, PromptTokens: 5000, MaxTokens: 1500, Objective: 250 * time.Millisecond,
			})
			if err != nil {
				t.Fatal(err)
			}
			grants = append(grants, grant)
			time.Sleep(200 * time.Millisecond)
		}
		time.Sleep(grants[2].OverdueAfter)
		for _, grant := range grants {
			_ = f.reserver.Renew(t.Context(), reservation.Progress{Reservation: grant.Reservation})
		}
		endpoint := f.View().Endpoints[testEndpoint(0).ID]
		if pace := f.policy.Paces.Estimate(endpoint, time.Now()).Pace; pace < 2 {
			t.Errorf("pace = %.2f, want at least 2", pace)
		}
	})
}

// TestPacesOfOtherEntries guards against a chooser that only knows what its own attempts show: entries report paces.
func TestPacesOfOtherEntries(t *testing.T) {
	f := newContendedFleet(1)
	paces := &cost.Paces{}
	choosers := f.reserver.Choosers
	choosers.Paces = paces
	for _, entry := range []fleet.EntryID{"entry-2", "entry-3", "entry-4"} {
		choosers.HandleUsage(UsageReport{Entry: entry, Paces: []cost.PaceSample{
			{Endpoint: testEndpoint(0).ID, Pace: 5, Samples: 1, At: time.Now()},
		}})
	}
	if pace := paces.Estimate(testEndpoint(0), time.Now()).Pace; pace < 2 {
		t.Errorf("pace = %.2f, want at least 2", pace)
	}
}

// TestBusyAttemptIsNotStalled guards against attempts that are moved as soon as they miss their objective: in a burst, the
// moved ones take slots twice, and the pool that was nearly full becomes overloaded.
func TestBusyAttemptIsNotStalled(t *testing.T) {
	const objective, callerTimeout = 300 * time.Millisecond, 2 * time.Second
	now := time.Unix(1000, 0)
	tests := map[string]struct {
		predicted   time.Duration
		latestStart time.Time
		want        time.Duration
	}{
		"short prediction":       {predicted: 120 * time.Millisecond, latestStart: now.Add(callerTimeout), want: callerTimeout / 2},
		"long prediction":        {predicted: 500 * time.Millisecond, latestStart: now.Add(callerTimeout), want: 1500 * time.Millisecond},
		"caller timeout unknown": {predicted: 50 * time.Millisecond, want: objective},
		"no estimate":            {latestStart: now.Add(callerTimeout)},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			need := placement.Need{Objective: objective, ArrivedAt: now, LatestStart: tc.latestStart}
			if got := (firstTokenEstimate{predicted: tc.predicted}).stallAfter(need); got != tc.want {
				t.Errorf("got %v, want %v", got, tc.want)
			}
		})
	}
}
