package platform_test

import (
	"testing"
	"time"

	"github.com/pkg/errors"

	"wisteriadyke/core/fleet"
	"wisteriadyke/io/platform"
)

func TestZonesCantBeDrainedAtOnce(t *testing.T) {
	tests := map[string][2]fleet.Zone{"same zone": {"a", "a"}, "unlike zones": {"a", "b"}}
	for name, pair := range tests {
		t.Run(name, func(t *testing.T) {
			inDeployment(t, func(t *testing.T, d *deployment, updater platform.RecordUpdater) {
				var changesRecords [2]platform.Record
				var old [2]platform.Zone
				var err error
				for i, zone := range pair {
					if changesRecords[i], err = updater.ReadZoneChanges(d.ctx); err != nil {
						t.Fatal(err)
					}
					if old[i], err = updater.ReadZone(d.ctx, zone); err != nil {
						t.Fatal(err)
					}
				}
				first := platform.Change{Token: "1", By: "ana", At: time.Now()}
				if _, err := updater.SetZone(d.ctx, changesRecords[0], old[0], true, first); err != nil {
					t.Fatal(err)
				}
				second := platform.Change{Token: "2", By: "ben", At: time.Now()}
				_, err = updater.SetZone(d.ctx, changesRecords[1], old[1], true, second)
				var conflict *platform.ConcurrentChangeError
				if !errors.As(err, &conflict) || conflict.Other.By != "ana" || conflict.Other.From[0] != "zone a" {
					t.Errorf("got error %v, want a conflict with ana's change of zone a", err)
				}
			})
		})
	}
}
