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

// settle is the time after which a fresh deployment has read and spread everything.
const settle = 20 * time.Second

// inDeployment runs a test in virtual time on a deployment that has revision 1 in force and no faults.
func inDeployment(t *testing.T, test func(t *testing.T, d *deployment, reviser platform.RecordUpdater)) {
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
		reviser := platform.RecordUpdater{Tables: &link{deployment: d}}
		d.publish(reviser, 1)
		d.sleep(settle)
		test(t, d, reviser)
	})
}

// publish puts a configuration with a mark in force.
func (d *deployment) publish(reviser platform.RecordUpdater, mark float64) {
	d.t.Helper()
	old, err := reviser.ReadConfiguration(d.ctx)
	if err != nil {
		d.t.Fatal(err)
	}
	if _, err := reviser.Publish(d.ctx, old, marked(mark), platform.Change{Token: "t", By: "o", At: time.Now()}); err != nil {
		d.t.Fatal(err)
	}
}

// drain takes a zone out of service.
func (d *deployment) drain(reviser platform.RecordUpdater, zone fleet.Zone) {
	d.t.Helper()
	d.setZone(reviser, zone, true, time.Now())
}

// setZone changes the state of a zone.
func (d *deployment) setZone(reviser platform.RecordUpdater, zone fleet.Zone, drained bool, at time.Time) {
	d.t.Helper()
	order, err := reviser.ReadZoneOrder(d.ctx)
	if err != nil {
		d.t.Fatal(err)
	}
	old, err := reviser.ReadZone(d.ctx, zone)
	if err != nil {
		d.t.Fatal(err)
	}
	change := platform.Change{Token: fmt.Sprint("zone", at), By: "o", At: at}
	if _, err := reviser.SetZone(d.ctx, order, old, drained, change); err != nil {
		d.t.Fatal(err)
	}
}

// pollerOf returns the entry that polls for a zone.
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
			d.isolated["c"] = true
			d.barred[id] = true
		},
		"platform answers slowly": func(d *deployment) { d.store.Faults.Set(standin.FaultSettings{Delay: 400 * time.Millisecond}) },
		"a zone is cut off from the platform": func(d *deployment) {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.cut["b"] = true
		},
		"a zone is cut off from the others": func(d *deployment) {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.isolated["c"] = true
		},
	}
	for name, disturb := range tests {
		t.Run(name, func(t *testing.T) {
			inDeployment(t, func(t *testing.T, d *deployment, reviser platform.RecordUpdater) {
				disturb(d)
				d.publish(reviser, 2)
				d.drain(reviser, "a")
				d.sleep(inForce)
				for _, e := range d.live() {
					if configuration, _ := e.board.Configuration.Get(clusterstate.SingleKey{}); configuration.Revision != 2 {
						t.Errorf("%s has revision %d, want 2", e.id, configuration.Revision)
					}
					if state, _ := e.board.Zones.Get("a"); !state.Drained {
						t.Errorf("%s does not know that zone a is drained", e.id)
					}
				}
			})
		})
	}
}

func TestEntryStartsDuringAnOutage(t *testing.T) {
	inDeployment(t, func(t *testing.T, d *deployment, reviser platform.RecordUpdater) {
		d.drain(reviser, "c")
		d.sleep(inForce)
		d.store.Faults.Set(standin.FaultSettings{Outage: true})
		d.start("entry-new", "a")
		d.sleep(inForce)
		board := d.entries["entry-new"].board
		if configuration, _ := board.Configuration.Get(clusterstate.SingleKey{}); configuration.Revision != 1 {
			t.Errorf("revision %d, want 1", configuration.Revision)
		}
		if state, _ := board.Zones.Get("c"); !state.Drained {
			t.Error("the new entry does not know that zone c is drained")
		}
		if n := len(board.Endpoints.Snapshot().Rows); n != 6 {
			t.Errorf("the new entry knows %d endpoints, want 6", n)
		}
	})
}

func TestEndpointsOutlastAnOutage(t *testing.T) {
	inDeployment(t, func(t *testing.T, d *deployment, _ platform.RecordUpdater) {
		d.store.Faults.Set(standin.FaultSettings{Outage: true})
		d.sleep(10 * time.Minute)
		for _, e := range d.live() {
			if n := len(e.board.Endpoints.Snapshot().Rows); n != 6 {
				t.Errorf("%s knows %d endpoints, want 6", e.id, n)
			}
		}
	})
}

func TestLeavingEndpointIsKnownWithinFiveSeconds(t *testing.T) {
	inDeployment(t, func(t *testing.T, d *deployment, _ platform.RecordUpdater) {
		d.instances.Put(standin.Instance{ID: "engine-0", Kind: fleet.KindEngine, Zone: "a", State: fleet.StateLeaving})
		d.instances.Remove("engine-1")
		d.sleep(inForce)
		for _, e := range d.live() {
			rows := e.board.Endpoints.Snapshot().Rows
			if rows["engine-0"].State != fleet.StateLeaving {
				t.Errorf("%s takes engine-0 for %q", e.id, rows["engine-0"].State)
			}
			if _, found := rows["engine-1"]; found {
				t.Errorf("%s still knows engine-1", e.id)
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
				d.paused[id] = pause
				d.mu.Unlock()
				d.sleep(1500 * time.Millisecond)
				d.instances.Put(standin.Instance{ID: "engine-0", Kind: fleet.KindEngine, Zone: "a", State: fleet.StateLeaving})
				d.sleep(3500 * time.Millisecond)
				for range 200 {
					d.sleep(50 * time.Millisecond)
					for _, e := range d.live() {
						if state := e.board.Endpoints.Snapshot().Rows["engine-0"].State; e.zone == "a" && state != fleet.StateLeaving {
							t.Fatalf("%s takes engine-0 for %q", e.id, state)
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
			inDeployment(t, func(t *testing.T, d *deployment, reviser platform.RecordUpdater) {
				heads, err := reviser.Read(d.ctx, platform.ConfigurationHead)
				if err != nil {
					t.Fatal(err)
				}
				write := platform.Write{Key: platform.ConfigurationRow, Value: []byte(stored), IfVersion: platform.VersionAny}
				change := platform.Change{Token: "bad", By: "o", At: time.Now()}
				if _, err := reviser.Update(d.ctx, heads[0], change, []byte(`{}`), write); err != nil {
					t.Fatal(err)
				}
				d.live()[0].spread.Put(gossip.Item{Key: "configuration", Revision: 2, Payload: []byte(stored)})
				d.sleep(inForce)
				for _, e := range d.live() {
					configuration, _ := e.board.Configuration.Get(clusterstate.SingleKey{})
					if configuration.Revision != 1 || markOf(configuration) != 1 {
						t.Errorf("%s has revision %d, want 1", e.id, configuration.Revision)
					}
				}
				d.publish(reviser, 3)
				d.sleep(inForce)
				for _, e := range d.live() {
					if configuration, _ := e.board.Configuration.Get(clusterstate.SingleKey{}); configuration.Revision != 3 {
						t.Errorf("%s has revision %d after the repair, want 3", e.id, configuration.Revision)
					}
				}
			})
		})
	}
}

func TestReturnOfAZoneCountsFromWhenItIsHeard(t *testing.T) {
	inDeployment(t, func(t *testing.T, d *deployment, reviser platform.RecordUpdater) {
		d.drain(reviser, "a")
		d.sleep(time.Minute)
		d.setZone(reviser, "a", false, time.Now().Add(-time.Hour))
		d.sleep(inForce)
		for _, e := range d.live() {
			state, _ := e.board.Zones.Get("a")
			if age := time.Since(state.ChangedAt); state.Drained || age > inForce {
				t.Errorf("%s: drained %t, changed %v ago", e.id, state.Drained, age)
			}
		}
	})
}

func TestOneEntryOfAZonePolls(t *testing.T) {
	inDeployment(t, func(t *testing.T, d *deployment, _ platform.RecordUpdater) {
		before := d.store.Stats().Reads
		d.sleep(time.Minute)
		// Three zones read the head and the zones once a second; the first and the last second may add a poll.
		if reads := d.store.Stats().Reads - before; reads < 300 || reads > 2*3*62 {
			t.Errorf("%d reads in a minute, want 360", reads)
		}
	})
}
