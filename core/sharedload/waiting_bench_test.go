package sharedload

import (
	"context"
	"fmt"
	"testing"
	"time"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/placement"
	"wisteriadyke/core/routing"
)

// BenchmarkPass measures one pass with the endpoints and entries of a new deployment, which a chooser with a fifth of a
// core runs up to 200 times a second, and 300 waiting requests. In the case "acceptable to none", slots are free at
// endpoints with a long prefill backlog.
func BenchmarkPass(b *testing.B) {
	for name, usage := range map[string]Usage{
		"blocked":            {Running: 2, Quick: 2, Memory: 14_000},
		"acceptable to none": {Running: 1, Quick: 1, Memory: 14_000, PrefillTime: time.Minute},
	} {
		b.Run(name, func(b *testing.B) {
			p, pool := newWaitingLoad(usage)
			b.ReportAllocs()
			for b.Loop() {
				p.waiting.mu.Lock()
				p.pass(p.waiting.pool(testPool.Name), pool, time.Now())
				p.waiting.mu.Unlock()
			}
		})
	}
}

// newWaitingLoad returns a chooser of 78 engines with usage reports of 76 entries, at which 300 requests wait.
func newWaitingLoad(usage Usage) (*ChooserSet, routing.Pool) {
	const entries, engines, waiters = 76, 78, 300
	f := newFleet(engines)
	pool := contendedPool()
	f.policy.Pool = func(fleet.PoolName) (routing.Pool, bool) { return pool, true }
	for i := range entries {
		usages := make(map[fleet.EndpointID]Usage)
		for j := range 12 {
			usages[testEndpoint((i*7+j*5)%engines).ID] = usage
		}
		f.policy.Usages.UpdatePeer(fleet.EntryID(fmt.Sprint(i)), usages, 0, time.Now().Add(time.Hour))
	}
	p := f.reserver.Choosers
	// No ticks run; the chooser does not count as frozen for that.
	p.waiting.ticking, p.waiting.tickedAt = true, time.Now().Add(time.Hour)
	for i := range waiters {
		need := placement.Need{
			Pool: testPool.Name, PromptTokens: 5000, Objective: waitObjective, MayWait: true, ArrivedAt: time.Now(),
			LatestStart: time.Now().Add(time.Hour), Account: fleet.AccountID(fmt.Sprint(i % 24)),
		}
		p.startCall(&heldCall{need: need, pool: pool, record: func(Choice) {}, ctx: context.Background(), receivedAt: time.Now().Add(time.Hour), done: make(chan struct{})})
	}
	return p, pool
}
