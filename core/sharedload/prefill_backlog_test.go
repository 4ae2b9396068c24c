package sharedload

import (
	"testing"
	"time"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/placement"
	"wisteriadyke/core/routing"
)

// newContendedFleet returns a fleet of idle engines whose pool is contended.
func newContendedFleet(engines int) *testFleet {
	f := newFleet(engines)
	pool := contendedPool()
	f.policy.Pool = func(name fleet.PoolName) (routing.Pool, bool) { return pool, name == pool.Name }
	return f
}

// contendedPool returns testPool with 12 slots per engine and answers so long that it is contended.
func contendedPool() routing.Pool {
	pool := testPool
	engine := *pool.Engine
	engine.Slots, engine.MeanPrompt, engine.MeanOutput = 12, 30_000, 1500
	pool.Engine, pool.Contended = &engine, true
	return pool
}

// TestFinishedPartsDoNotCount guards against endpoints that look busy although they have prefilled their part of a long
// prompt, whose first token has not arrived yet.
func TestFinishedPartsDoNotCount(t *testing.T) {
	const part = 400 * time.Millisecond
	now := time.Now()
	usages := map[fleet.EndpointID]Usage{"i-00": {PrefillTime: part}}
	choose := func(b *UsageTable, number uint64) {
		b.AddPending("entry-1", number, usages, now)
		b.StartPrefill(Choice{Endpoint: "i-00", PrefillTime: part}, now)
	}
	tests := map[string]struct {
		record func(b *UsageTable)
		at     time.Duration
		// want is the wait until the prefill of another prompt starts; 0 stands for half of a pass.
		want time.Duration
	}{
		"half done": {
			record: func(b *UsageTable) { choose(b, 1) },
			at:     part / 2, want: part / 2,
		},
		"done": {
			record: func(b *UsageTable) { choose(b, 1) },
			at:     part,
		},
		"second part in the order of choice": {
			record: func(b *UsageTable) {
				choose(b, 1)
				choose(b, 2)
			},
			at: part + part/4, want: part * 3 / 4,
		},
		"own choice that is reported before it is settled": {
			record: func(b *UsageTable) {
				choose(b, 1)
				b.UpdatePeer("entry-1", usages, 0, now.Add(part/4))
				b.UpdatePeer("entry-1", usages, 1, now.Add(part/2))
			},
			at: part * 3 / 4, want: part / 4,
		},
		"new chooser starts from the reports": {
			record: func(b *UsageTable) { b.UpdatePeer("entry-2", usages, 0, now.Add(part)) },
			at:     part + part/4, want: part * 3 / 4,
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			f := newContendedFleet(1)
			tc.record(f.policy.Usages)
			states := f.policy.endpointStates(f.View(), placement.Need{Pool: testPool.Name, DecidedAt: now.Add(tc.at)})
			want := tc.want
			if want == 0 {
				want = states[0].passTime(testPool) / 2
			}
			if got := states[0].prefill.wait; got != want {
				t.Errorf("wait until the prefill starts = %v, want %v", got, want)
			}
		})
	}
}
