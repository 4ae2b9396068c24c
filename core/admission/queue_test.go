package admission

import (
	"fmt"
	"testing"
	"time"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/reservation"
)

// start is the time at which the tests begin.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// push records an arrival and adds an item of the quick band, modified by change if that isn't nil.
func push(q *Queue, id fleet.AccountID, weight, cost float64, change func(i *Item)) *Item {
	q.RecordArrival(start, id, weight)
	i := &Item{
		Ticket: uint64(q.Len()), Request: reservation.Request{Account: id, Weight: weight},
		Cost: cost, LatestStart: start.Add(time.Minute)}
	if change != nil {
		change(i)
	}
	q.Push(i)
	return i
}

// dequeueFirst dequeues and returns the first item of the quick band.
func dequeueFirst(q *Queue) *Item {
	i, _ := q.Head(Quick)
	q.Dequeue(i)
	return i
}

// TestManyAccounts asserts that the queue accepts more accounts than the number after which it removes idle ones.
func TestManyAccounts(t *testing.T) {
	q := NewQueue(0, 2*accountsPerCleanup, 10)
	for n := range accountsPerCleanup + 10 {
		push(q, fleet.AccountID(fmt.Sprint(n)), 1, 1, nil)
	}
	if q.Len() != accountsPerCleanup+10 {
		t.Errorf("got %d queued items, want %d", q.Len(), accountsPerCleanup+10)
	}
}

// TestShares asserts that accounts that always have queued items are granted work in proportion to their weights.
func TestShares(t *testing.T) {
	tests := map[string]struct {
		weights [2]float64
		costs   [2]float64
	}{
		"equal":             {weights: [2]float64{1, 1}, costs: [2]float64{10, 10}},
		"unequal weights":   {weights: [2]float64{3, 1}, costs: [2]float64{10, 10}},
		"unequal requests":  {weights: [2]float64{1, 1}, costs: [2]float64{100, 7}},
		"both are unequal":  {weights: [2]float64{1, 5}, costs: [2]float64{50, 3}},
		"a tiny weight too": {weights: [2]float64{0.01, 1}, costs: [2]float64{10, 10}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			q := NewQueue(0, 100, 10)
			ids := [2]fleet.AccountID{"a", "b"}
			for n, id := range ids {
				push(q, id, tc.weights[n], tc.costs[n], nil)
			}
			granted := make(map[fleet.AccountID]float64)
			for range 20_000 {
				i := dequeueFirst(q)
				id := i.Request.Account
				granted[id] += i.Cost
				push(q, id, i.Request.Weight, i.Cost, nil)
			}
			gap := granted["a"]/tc.weights[0] - granted["b"]/tc.weights[1]
			bound := tc.costs[0]/tc.weights[0] + tc.costs[1]/tc.weights[1]
			if gap > bound || gap < -bound {
				t.Errorf("got shares that differ by %.1f, want at most %.1f", gap, bound)
			}
		})
	}
}

// TestNoHoard asserts that a returning account is granted no more than its credit, and one item, ahead of another.
func TestNoHoard(t *testing.T) {
	q := NewQueue(30, 1000, 1000)
	push(q, "idle", 1, 10, nil)
	dequeueFirst(q)
	for range 200 {
		push(q, "busy", 1, 10, nil)
	}
	for range 100 {
		dequeueFirst(q)
	}
	for range 50 {
		push(q, "idle", 1, 10, nil)
	}
	ahead := 0
	for dequeueFirst(q).Request.Account == "idle" {
		ahead++
	}
	if ahead > 30/10+1 {
		t.Errorf("got %d items of the returning account ahead, want at most 4", ahead)
	}
}

// TestOrderWithinAccount asserts that items are ordered by priority, then by latest start.
func TestOrderWithinAccount(t *testing.T) {
	q := NewQueue(0, 100, 100)
	want := []*Item{2: nil, 3: nil}
	want[3] = push(q, "a", 1, 1, func(i *Item) { i.LatestStart = start.Add(2 * time.Second) })
	want[1] = push(q, "a", 1, 1, func(i *Item) { i.Request.Priority = 1; i.LatestStart = start.Add(time.Hour) })
	want[2] = push(q, "a", 1, 1, func(i *Item) { i.LatestStart = start.Add(time.Second) })
	want[0] = push(q, "a", 1, 1, func(i *Item) { i.Request.Priority = 1; i.LatestStart = start.Add(time.Minute) })
	for n, i := range want {
		if got := dequeueFirst(q); got != i {
			t.Errorf("got ticket %[2]d as item %[1]d, want %[3]d", n, got.Ticket, i.Ticket)
		}
	}
}

// TestOverdue asserts that items are found once their latest start has passed, the earliest one first.
func TestOverdue(t *testing.T) {
	q := NewQueue(0, 100, 100)
	late := push(q, "a", 1, 1, func(i *Item) { i.LatestStart = start.Add(2 * time.Second) })
	soon := push(q, "b", 1, 1, func(i *Item) { i.LatestStart = start.Add(time.Second) })
	if got := q.Expired(start); got != nil {
		t.Errorf("got expired ticket %d at the start, want none", got.Ticket)
	}
	if got := q.Expired(start.Add(time.Second)); got != soon {
		t.Error("item with the earliest latest start has not expired")
	}
	q.Remove(soon)
	if got := q.NextExpiry(); !got.Equal(late.LatestStart) {
		t.Errorf("got next expiry at %s, want %s", got, late.LatestStart)
	}
}

// TestAhead asserts that an account's long items don't count as work ahead of its quick and medium ones.
func TestAhead(t *testing.T) {
	tests := map[string]struct {
		id   fleet.AccountID
		band Band
		want float64
	}{
		"quick item behind own long ones": {id: "reader", band: Quick, want: 5},
		"medium item":                     {id: "reader", band: Medium, want: 5},
		"long item behind own long ones":  {id: "reader", band: Long, want: 1005},
		"quick item behind own quick one": {id: "writer", band: Quick, want: 5},
		"quick item of a third account":   {id: "third", band: Quick, want: 2},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			q := NewQueue(0, 100, 10)
			push(q, "reader", 1, 1000, func(i *Item) { i.Band = Long })
			push(q, "writer", 1, 5, func(i *Item) { i.Band = Quick })
			cost := 1.0
			if tc.id == "reader" {
				cost = 100
			}
			if got := q.WorkAhead(tc.id, tc.band, 1, cost); got != tc.want {
				t.Errorf("got %v work ahead, want %v", got, tc.want)
			}
		})
	}
}

// TestGivenMore asserts that accounts are compared by granted work divided by weight.
func TestGivenMore(t *testing.T) {
	tests := map[string]struct {
		id    fleet.AccountID
		other fleet.AccountID
		want  bool
	}{
		"more":                  {id: "small", other: "large", want: true},
		"less":                  {id: "large", other: "small"},
		"the same account":      {id: "small", other: "small"},
		"an unknown account":    {id: "unknown", other: "large"},
		"than an unknown other": {id: "small", other: "unknown"},
	}
	q := NewQueue(0, 100, 10)
	push(q, "large", 4, 200, nil)
	push(q, "small", 1, 100, nil)
	q.AdjustCharge("large", 200)
	q.AdjustCharge("small", 100)
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			if got := q.ServedMore(tc.id, tc.other); got != tc.want {
				t.Errorf("got served more %t, want %t", got, tc.want)
			}
		})
	}
}
