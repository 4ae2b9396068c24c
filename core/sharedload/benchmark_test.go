package sharedload

import (
	"fmt"
	"testing"
	"time"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/placement"
)

// BenchmarkChoose measures one choice of a contended pool whose engines 76 entries use.
func BenchmarkChoose(b *testing.B) {
	for _, engines := range []int{78, 1300} {
		for name, need := range map[string]placement.Need{
			"quick": {Pool: testPool.Name, PromptTokens: 5000, MaxTokens: 1500, Objective: 250 * time.Millisecond},
			"long":  {Pool: testPool.Name, PromptTokens: 220_000, MaxTokens: 1500, Objective: 8 * time.Second},
		} {
			b.Run(fmt.Sprintf("%s/%d", name, engines), func(b *testing.B) {
				f := newContendedFleet(engines)
				f.policy.Paths = newPaths(f.reserver.Choosers)
				for entry := range 76 {
					usages := make(map[fleet.EndpointID]Usage)
					for i := range max(4, engines/76) {
						usages[testEndpoint((entry*7+i*11)%engines).ID] = Usage{
							Running: 1, Quick: 1, Memory: 7000, ValueByPause: ValueByPause{valueUnit, 0, 0},
						}
					}
					f.policy.Usages.UpdatePeer(fleet.EntryID(fmt.Sprint(entry)), usages, 0, time.Now().Add(time.Hour))
				}
				b.ReportAllocs()
				for b.Loop() {
					if _, err := f.choose(need); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}
