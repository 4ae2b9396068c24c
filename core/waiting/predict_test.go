package waiting

import (
	"testing"
	"time"

	"wisteriadyke/core/fleet"
)

// quickRequest returns a quick request that arrives at a time.
func quickRequest(now time.Time) Request {
	return Request{
		Account: "account", Prompt: 5000, Output: 500, PrefillTime: testPrefill, ArrivedAt: now, Objective: testObjective,
		LatestStart: now.Add(testCallerTimeout),
	}
}

// TestBurstAfterLowLoad guards against a measured throughput that is the demand: after ten seconds in which each of 20
// requests a second was placed on arrival, most of a burst within the capacity was refused.
func TestBurstAfterLowLoad(t *testing.T) {
	const capacity = 400
	var q Queue[int]
	now := time.Now()
	for range 200 {
		q.Add(quickRequest(now), 0, now)
		q.Refresh(now, testOverhead, capacity)
		q.Place(q.Next())
		q.EndPass()
		now = now.Add(50 * time.Millisecond)
	}
	refused := 0
	for range 120 {
		r := quickRequest(now)
		if q.Full(r, now) || q.Predict(r, now).Start.After(r.LatestStart) {
			refused++
			continue
		}
		q.Add(r, 0, now)
	}
	if got := q.throughput.perSecond(); refused > 0 || got < capacity {
		t.Errorf("%d of 120 simultaneous requests are refused at %.0f placements/s, want none at %d/s", refused, got, capacity)
	}
}

// TestLateThatFitNowhere guards against sixteen late requests that fit no endpoint and block all others for ever.
func TestLateThatFitNowhere(t *testing.T) {
	var q Queue[int]
	now := time.Now()
	late := quickRequest(now)
	late.ArrivedAt = now.Add(-time.Second)
	for range maxSkips {
		q.Add(late, 0, now)
	}
	placed := 0
	for range 20 {
		q.Add(quickRequest(now), 1, now)
		q.Refresh(now, testOverhead, 400)
		for i := q.Next(); i != nil; i = q.Next() {
			if i.Value == 1 {
				placed++
				q.Place(i)
				break
			}
			q.Skip(i)
		}
		q.EndPass()
	}
	if placed != 20 {
		t.Errorf("%d of 20 requests that can meet their objective are placed, want all", placed)
	}
}

// TestFullOfOthers guards against requests of small accounts and of the most urgent rank that are refused because a large
// account or a less urgent rank fills the queue.
func TestFullOfOthers(t *testing.T) {
	tests := map[string]struct {
		account fleet.AccountID
		rank    int
		want    bool
	}{
		"same account":     {account: "large", rank: 1, want: true},
		"other account":    {account: "small", rank: 1},
		"more urgent rank": {account: "large"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var q Queue[int]
			now := time.Now()
			q.Refresh(now, testOverhead, 20)
			large := quickRequest(now)
			large.Account, large.Rank = "large", 1
			for range 60 {
				q.Add(large, 0, now)
			}
			r := quickRequest(now)
			r.Account, r.Rank = tc.account, tc.rank
			if got := q.Full(r, now); got != tc.want {
				t.Errorf("full %t, want %t", got, tc.want)
			}
		})
	}
}

// TestLateRefusalCountsThoseThatStay guards against late requests that are refused although the ones ahead of them, which
// are refused as well, take no turn.
func TestLateRefusalCountsThoseThatStay(t *testing.T) {
	var q Queue[int]
	now := time.Now()
	q.Refresh(now, testOverhead, 100)
	for i := range 40 {
		r := quickRequest(now.Add(-time.Second))
		r.LatestStart = now.Add(testPrefill + testOverhead + time.Millisecond)
		if i >= 20 {
			r.LatestStart = now.Add(testPrefill + testOverhead + 50*time.Millisecond)
		}
		q.Add(r, i, now)
	}
	last := 0
	for _, i := range q.Refresh(now, testOverhead, 100) {
		if i.Value >= 20 {
			last++
		}
	}
	if last >= 20 {
		t.Error("all requests with time for a turn are refused, want those kept that have one")
	}
}
