package platform_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"

	"wisteriadyke/core/clusterstate"
	"wisteriadyke/core/fleet"
	"wisteriadyke/core/gossip"
	"wisteriadyke/core/ownership"
	"wisteriadyke/io/platform"
	standin "wisteriadyke/standin/platform"
)

// settleTime is the time within which all entries of a new deployment have applied what is stored.
const settleTime = 20 * time.Second

// inDeployment runs a test in virtual time on a deployment without faults, whose entries have applied revision 1 of the
// configuration.
func inDeployment(t *testing.T, test func(t *testing.T, d *deployment, updater platform.RecordUpdater)) {
	t.Helper()
	onOneProcessor(t)
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(context.Background())
		group, ctx := errgroup.WithContext(ctx)
		defer func() {
			stop()
			if err := group.Wait(); err != nil {
				t.Error(err)
			}
		}()
		d := newDeployment(ctx, t, group, 1)
		updater := platform.RecordUpdater{Tables: &link{deployment: d}}
		d.publish(updater, 1)
		d.sleep(settleTime)
		test(t, d, updater)
	})
}

// publish publishes a configuration with the given mark as the next revision.
func (d *deployment) publish(updater platform.RecordUpdater, mark float64) {
	d.t.Helper()
	old, err := updater.ReadConfiguration(d.ctx)
	if err != nil {
		d.t.Fatal(err)
	}
	if _, err := updater.Publish(d.ctx, old, marked(mark), platform.Change{Token: "t", By: "o", At: time.Now()}); err != nil {
		d.t.Fatal(err)
	}
}

// drain drains a zone.
func (d *deployment) drain(updater platform.RecordUpdater, zone fleet.Zone) {
	d.t.Helper()
	d.setZone(updater, zone, true, time.Now())
}

// setZone drains or restores a zone; at is the operator's time of the change.
func (d *deployment) setZone(updater platform.RecordUpdater, zone fleet.Zone, drained bool, at time.Time) {
	d.t.Helper()
	changesRecord, err := updater.ReadZoneChanges(d.ctx)
	if err != nil {
		d.t.Fatal(err)
	}
	old, err := updater.ReadZone(d.ctx, zone)
	if err != nil {
		d.t.Fatal(err)
	}
	change := platform.Change{Token: fmt.Sprint("zone", at), By: "o", At: at}
	if _, err := updater.SetZone(d.ctx, changesRecord, old, drained, change); err != nil {
		d.t.Fatal(err)
	}
}

// pollerOf returns the polling entry of a zone.
func (d *deployment) pollerOf(zone fleet.Zone) fleet.EntryID {
	rows := make(map[fleet.EntryID]fleet.Entry)
	for _, e := range d.live() {
		rows[e.id] = fleet.Entry{ID: e.id, Zone: e.zone, State: fleet.StateLive}
	}
	return ownership.RendezvousOwner(fleet.Endpoint{ID: "poller", Zone: zone}, rows)
}

func TestChangesAreInForceWithinFiveSeconds(t *testing.T) {
	tests := map[string]func(*deployment){
		"healthy":            func(*deployment) {},
		"polling entry dies": func(d *deployment) { d.kill(d.pollerOf("a")) },
		"polling entry lives and can't reach the platform, in a zone that is cut off from the others": func(d *deployment) {
			id := d.pollerOf("c")
			d.mu.Lock()
			defer d.mu.Unlock()
			d.isolatedZones["c"] = true
			d.blockedEntries[id] = true
		},
		"platform answers slowly": func(d *deployment) { d.store.Faults.Set(standin.FaultSettings{Delay: 400 * time.Millisecond}) },
		"a zone is cut off from the platform": func(d *deployment) {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.cutZones["b"] = true
		},
		"a zone is cut off from the others": func(d *deployment) {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.isolatedZones["c"] = true
		},
	}
	for name, injectFault := range tests {
		t.Run(name, func(t *testing.T) {
			inDeployment(t, func(t *testing.T, d *deployment, updater platform.RecordUpdater) {
				injectFault(d)
				d.publish(updater, 2)
				d.drain(updater, "a")
				d.sleep(applyTimeout)
				for _, e := range d.live() {
					if configuration, _ := e.clusterState.Configuration.Get(clusterstate.SingleKey{}); configuration.Revision != 2 {
						t.Errorf("%s: got revision %d, want 2", e.id, configuration.Revision)
					}
					if state, _ := e.clusterState.Zones.Get("a"); !state.Drained {
						t.Errorf("%s: zone a is not drained", e.id)
					}
				}
			})
		})
	}
}

func TestEntryStartsDuringAnOutage(t *testing.T) {
	inDeployment(t, func(t *testing.T, d *deployment, updater platform.RecordUpdater) {
		d.drain(updater, "c")
		d.sleep(applyTimeout)
		d.store.Faults.Set(standin.FaultSettings{Outage: true})
		d.start("entry-new", "a")
		d.sleep(applyTimeout)
		clusterState := d.entries["entry-new"].clusterState
		if configuration, _ := clusterState.Configuration.Get(clusterstate.SingleKey{}); configuration.Revision != 1 {
			t.Errorf("got revision %d, want 1", configuration.Revision)
		}
		if state, _ := clusterState.Zones.Get("c"); !state.Drained {
			t.Error("zone c is not drained at the new entry")
		}
		if n := len(clusterState.Endpoints.Snapshot().Rows); n != 6 {
			t.Errorf("got %d endpoints at the new entry, want 6", n)
		}
	})
}

func TestEndpointsOutlastAnOutage(t *testing.T) {
	inDeployment(t, func(t *testing.T, d *deployment, _ platform.RecordUpdater) {
		d.store.Faults.Set(standin.FaultSettings{Outage: true})
		d.sleep(10 * time.Minute)
		for _, e := range d.live() {
			if n := len(e.clusterState.Endpoints.Snapshot().Rows); n != 6 {
				t.Errorf("%s: got %d endpoints, want 6", e.id, n)
			}
		}
	})
}

func TestLeavingEndpointIsKnownWithinFiveSeconds(t *testing.T) {
	inDeployment(t, func(t *testing.T, d *deployment, _ platform.RecordUpdater) {
		d.instances.Put(standin.Instance{ID: "engine-0", Kind: fleet.KindEngine, Zone: "a", State: fleet.StateLeaving})
		d.instances.Remove("engine-1")
		d.sleep(applyTimeout)
		for _, e := range d.live() {
			rows := e.clusterState.Endpoints.Snapshot().Rows
			if rows["engine-0"].State != fleet.StateLeaving {
				t.Errorf("%s: got state %q of engine-0, want leaving", e.id, rows["engine-0"].State)
			}
			if _, found := rows["engine-1"]; found {
				t.Errorf("%s: engine-1 is still listed", e.id)
			}
		}
	})
}

func TestPausedPollerBringsNoLeavingEndpointBack(t *testing.T) {
	tests := map[string]time.Duration{"shorter than the bound of a poll": 4 * time.Second, "longer": 8 * time.Second}
	for name, pause := range tests {
		t.Run(name, func(t *testing.T) {
			inDeployment(t, func(t *testing.T, d *deployment, _ platform.RecordUpdater) {
				d.store.Faults.Set(standin.FaultSettings{Delay: 200 * time.Millisecond})
				id := d.pollerOf("a")
				d.mu.Lock()
				d.pauses[id] = pause
				d.mu.Unlock()
				d.sleep(1500 * time.Millisecond)
				d.instances.Put(standin.Instance{ID: "engine-0", Kind: fleet.KindEngine, Zone: "a", State: fleet.StateLeaving})
				d.sleep(3500 * time.Millisecond)
				for range 200 {
					d.sleep(50 * time.Millisecond)
					for _, e := range d.live() {
						if state := e.clusterState.Endpoints.Snapshot().Rows["engine-0"].State; e.zone == "a" && state != fleet.StateLeaving {
							t.Fatalf("%s: got state %q of engine-0, want leaving", e.id, state)
						}
					}
				}
			})
		})
	}
}

func TestBadRevisionIsRefusedAsAWhole(t *testing.T) {
	tests := map[string]string{
		"no JSON":       `"`,
		"unknown field": `{"revision":2,"accounts":[],"classes":[],"more":1}`,
		"faulty whole":  `{"revision":2,"accounts":[{"name":"a","weight":1,"key_digest":"00"}],"classes":[]}`,
	}
	for name, stored := range tests {
		t.Run(name, func(t *testing.T) {
			inDeployment(t, func(t *testing.T, d *deployment, updater platform.RecordUpdater) {
				heads, err := updater.Read(d.ctx, platform.ConfigurationHead)
				if err != nil {
					t.Fatal(err)
				}
				write := platform.Write{Key: platform.ConfigurationRow, Value: []byte(stored), IfVersion: platform.VersionAny}
				change := platform.Change{Token: "bad", By: "o", At: time.Now()}
				if _, err := updater.Update(d.ctx, heads[0], change, []byte(`{}`), write); err != nil {
					t.Fatal(err)
				}
				d.live()[0].gossipStore.Put(gossip.Item{Key: "configuration", Revision: 2, Payload: []byte(stored)})
				d.sleep(applyTimeout)
				for _, e := range d.live() {
					configuration, _ := e.clusterState.Configuration.Get(clusterstate.SingleKey{})
					if configuration.Revision != 1 || markOf(configuration) != 1 {
						t.Errorf("%s: got revision %d, want 1", e.id, configuration.Revision)
					}
				}
				d.publish(updater, 3)
				d.sleep(applyTimeout)
				for _, e := range d.live() {
					if configuration, _ := e.clusterState.Configuration.Get(clusterstate.SingleKey{}); configuration.Revision != 3 {
						t.Errorf("%s: got revision %d after the repair, want 3", e.id, configuration.Revision)
					}
				}
			})
		})
	}
}

func TestReturnOfAZoneCountsFromWhenItIsHeard(t *testing.T) {
	inDeployment(t, func(t *testing.T, d *deployment, updater platform.RecordUpdater) {
		d.drain(updater, "a")
		d.sleep(time.Minute)
		d.setZone(updater, "a", false, time.Now().Add(-time.Hour))
		d.sleep(applyTimeout)
		for _, e := range d.live() {
			state, _ := e.clusterState.Zones.Get("a")
			if age := time.Since(state.ChangedAt); state.Drained || age > applyTimeout {
				t.Errorf("%s: got drained %t, changed %v ago, want in service and a recent change", e.id, state.Drained, age)
			}
		}
	})
}

func TestOneEntryOfAZonePolls(t *testing.T) {
	inDeployment(t, func(t *testing.T, d *deployment, _ platform.RecordUpdater) {
		before := d.store.Stats().Reads
		d.sleep(time.Minute)
		// Three zones read the head and the zones once a second; the first and last second may add one poll each.
		if reads := d.store.Stats().Reads - before; reads < 300 || reads > 2*3*62 {
			t.Errorf("got %d reads in a minute, want about 360", reads)
		}
	})
}
