package sharedload

import (
	"fmt"
	"testing"
	"time"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/placement"
	"wisteriadyke/core/routing"
)

// BenchmarkPass measures one pass with the endpoints and entries of a new deployment, which a chooser with a fifth of a
// core runs up to 200 times a second, and 300 waiting requests.
func BenchmarkPass(b *testing.B) {
	const entries, engines, waiters = 76, 78, 300
	f := newFleet(engines)
	pool := contendedPool()
	f.policy.Pool = func(fleet.PoolName) (routing.Pool, bool) { return pool, true }
	for i := range entries {
		usages := make(map[fleet.EndpointID]Usage)
		for j := range 12 {
			usages[testEndpoint((i*7+j*5)%engines).ID] = Usage{Running: 2, Quick: 2, Memory: 14_000}
		}
		f.policy.Usages.UpdatePeer(fleet.EntryID(fmt.Sprint(i)), usages, 0, time.Now().Add(time.Hour))
	}
	p := f.reserver.Choosers
	p.waiting.ticking = true
	for i := range waiters {
		need := placement.Need{
			Pool: testPool.Name, PromptTokens: 5000, Objective: waitObjective, MayWait: true, ArrivedAt: time.Now(),
			LatestStart: time.Now().Add(time.Hour), Account: fleet.AccountID(fmt.Sprint(i % 24)),
		}
		p.startCall(&heldCall{need: need, pool: pool, record: func(Choice) {}, done: make(chan struct{})})
	}
	for b.Loop() {
		p.waiting.mu.Lock()
		p.pass(p.waiting.pool(testPool.Name), pool, time.Now())
		p.waiting.mu.Unlock()
	}
}
