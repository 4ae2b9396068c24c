package sharedload

import (
	"testing"
	"time"
)

// TestNoShareBeforeEntriesAreKnown guards against entries that start at the same time and each take themselves for the only
// one: before an entry knows the others, it must not use what all of them may send.
func TestNoShareBeforeEntriesAreKnown(t *testing.T) {
	p := newFleet(1).reserver.Choosers
	for _, role := range []Role{RoleAlone, RoleZone, RoleLeader} {
		if share := p.Share(role, time.Now()); share != 0 {
			t.Errorf("the share as %s is %.2f before any entry is known, want 0", role, share)
		}
	}
	p.State.Entries.Set(p.Self.ID, p.Self)
	if share := p.Share(RoleAlone, time.Now()); share != 1 {
		t.Errorf("the share of the only entry is %.2f, want 1", share)
	}
}
