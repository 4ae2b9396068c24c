package outlier

import (
	"fmt"
	"testing"
	"time"

	"wisteriadyke/core/fleet"
)

// BenchmarkSharedPaths measures a reply and a round of probes of an entry among 350 while 20 paths are lost.
func BenchmarkSharedPaths(b *testing.B) {
	now := time.Unix(1000, 0)
	p := newPathTable("e1")
	for i := range 350 {
		id := fleet.EntryID(fmt.Sprintf("e%d", i))
		p.State.Entries.Set(id, fleet.Entry{ID: id, Zone: "a"})
	}
	for id, endpoint := range p.State.Endpoints.Snapshot().Rows {
		p.Merge([]PathReport{{Endpoint: id, Incarnation: endpoint.Incarnation, Zone: "a", Witness: "e2", At: now, Corroborated: true}}, now)
	}
	b.Run("reply", func(b *testing.B) {
		for b.Loop() {
			p.ForZone("a", now)
		}
	})
	b.Run("probes", func(b *testing.B) {
		for b.Loop() {
			for id := range p.State.Endpoints.Snapshot().Rows {
				p.isProber(id, lostPathProbers)
			}
		}
	})
}
