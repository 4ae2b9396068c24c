package sharedload

import (
	"testing"
	"time"

	"wisteriadyke/core/clusterstate"
	"wisteriadyke/core/fleet"
)

// TestRolesAtTheEndOfTheStart asks for the role of an entry at the moments around which it begins to choose for others.
// Guards against a panic that ends the process if that moment lies between two looks at the clock.
func TestRolesAtTheEndOfTheStart(t *testing.T) {
	self := fleet.Entry{ID: "entry-1", Zone: "a", State: fleet.StateLive}
	state := &clusterstate.State{}
	state.Entries.Set(self.ID, self)
	choosers := &ChooserSet{Self: self, State: state, Usages: &UsageTable{}}
	choosers.ownRole()
	const rounds, maxOffset = 300_000, time.Microsecond
	for i := range rounds {
		choosers.Started = time.Now().Add(-startupDelay + time.Duration(i)%maxOffset)
		if role := choosers.ownRole(); role != RoleAlone && role != RoleLeader {
			t.Fatalf("the only entry has role %v, want alone or leader", role)
		}
	}
}
