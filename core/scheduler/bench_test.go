package scheduler

import (
	"fmt"
	"testing"
	"time"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/reservation"
)

// BenchmarkReservation measures one reservation from submission to release while a request of each account waits.
func BenchmarkReservation(b *testing.B) {
	for _, endpoints := range []int{25, 1_300} {
		for _, accounts := range []int{10, 100, 1_000, 4_300} {
			b.Run(fmt.Sprintf("endpoints=%d/accounts=%d", endpoints, accounts), func(b *testing.B) {
				now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
				owned := newBenchEndpoints(b, now, endpoints, accounts)
				ids := accountIDs(accounts)
				b.ReportAllocs()
				n := 0
				for b.Loop() {
					now = now.Add(100 * time.Microsecond)
					reserveAndRelease(owned[n%endpoints], now, ids[n%accounts])
					n++
				}
			})
		}
	}
}

// accountIDs returns the given number of distinct account ids.
func accountIDs(count int) []fleet.AccountID {
	var ids []fleet.AccountID
	for n := range count {
		ids = append(ids, fleet.AccountID(fmt.Sprint("account-", n)))
	}
	return ids
}

// newBenchEndpoints returns owned endpoints; on the first 25 of them a long request of each account waits.
func newBenchEndpoints(b *testing.B, now time.Time, count, accounts int) []*Endpoint {
	var owned []*Endpoint
	for n := range count {
		endpoint := fleet.Endpoint{ID: fleet.EndpointID(fmt.Sprint("engine-", n)), State: fleet.StateLive, Memory: 400_000}
		e := &Endpoint{Entry: "entry-1", Settings: DefaultSettings()}
		e.Settings.MaxQueue = 10_000
		e.Start(now, endpoint, 1, Takeover{Handover: &Handover{}})
		owned = append(owned, e)
	}
	for _, id := range accountIDs(accounts) {
		for _, e := range owned[:min(count, 25)] {
			if _, refusal := e.Submit(now, newBenchRequest(now, id, 300_000)); refusal != nil {
				b.Fatal(refusal)
			}
			e.Advance(now)
		}
	}
	return owned
}

// newBenchRequest returns a request with distant deadlines.
func newBenchRequest(now time.Time, id fleet.AccountID, prompt fleet.Tokens) reservation.Request {
	return reservation.Request{
		Request:            "request",
		Attempt:            "request.1",
		Account:            id,
		Weight:             1,
		PromptTokens:       prompt,
		MaxTokens:          50,
		FirstTokenDeadline: now.Add(1_000_000 * time.Hour),
		Deadline:           now.Add(1_000_000 * time.Hour),
	}
}

// reserveAndRelease submits a request and releases everything that is granted.
func reserveAndRelease(e *Endpoint, now time.Time, id fleet.AccountID) {
	_, _ = e.Submit(now, newBenchRequest(now, id, 1_000))
	for _, d := range e.Advance(now) {
		if d.Refusal == nil {
			_ = e.Release(now, unusedRelease(d.Grant))
		}
	}
}

// BenchmarkPredict measures one prediction while a request of each account waits.
func BenchmarkPredict(b *testing.B) {
	for _, accounts := range []int{10, 4_300} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
			owned := newBenchEndpoints(b, now, 1, accounts)
			request := PredictedRequestOf(newBenchRequest(now, "account-1", 1_000))
			b.ReportAllocs()
			for b.Loop() {
				owned[0].Predict(now, request)
			}
		})
	}
}

// BenchmarkPool measures one reservation and its release through a pool that owns many endpoints.
func BenchmarkPool(b *testing.B) {
	for _, endpoints := range []int{25, 1_300} {
		b.Run(fmt.Sprintf("endpoints=%d", endpoints), func(b *testing.B) {
			p := &Pool{Entry: "entry-1"}
			for n := range endpoints {
				endpoint := fleet.Endpoint{ID: fleet.EndpointID(fmt.Sprint("engine-", n)), State: fleet.StateLive, Memory: 400_000}
				p.Acquire(endpoint, 1, Takeover{Handover: &Handover{}})
			}
			request := newBenchRequest(time.Now(), "account-1", 1_000)
			b.ReportAllocs()
			n := 0
			for b.Loop() {
				request.Endpoint = fleet.EndpointID(fmt.Sprint("engine-", n%endpoints))
				grant, err := p.Reserve(b.Context(), request)
				if err != nil {
					b.Fatal(err)
				}
				if err := p.Release(b.Context(), unusedRelease(grant)); err != nil {
					b.Fatal(err)
				}
				n++
			}
		})
	}
}
