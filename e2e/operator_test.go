package e2e

import (
	"syscall"
	"testing"
	"time"
)

// attemptsInFlight is how many attempts may still reach endpoints that have just been closed for new work.
const attemptsInFlight = 20

// zoneState tells whether an entry holds a zone for drained.
func zoneState(e *entry, zone string) (drained, known bool) {
	var s struct {
		Zones []struct {
			Zone    string `json:"zone"`
			Drained bool   `json:"drained"`
		} `json:"zones"`
	}
	if getJSON(e.operator, "/v1/status", &s) != nil {
		return false, false
	}
	for _, z := range s.Zones {
		if z.Zone == zone {
			return z.Drained, true
		}
	}
	return false, true
}

// everyEntryHolds waits until all entries hold a zone for drained, or for in service.
func (d *deployment) everyEntryHolds(zone string, drained bool) {
	d.t.Helper()
	d.eventually("every entry knows the state of zone "+zone, func() bool {
		for _, e := range d.entries {
			if held, known := zoneState(e, zone); !known || held != drained {
				return false
			}
		}
		return true
	})
}

func TestDrainedZoneGetsNothingNew(t *testing.T) {
	d := deploy(t, 1)
	l := startLoad(t, 6, d.entries...)
	engine := d.engines[0]
	d.eventually("zone a serves", func() bool { return d.stats(engine).Attempts > 5 })
	d.run("zone", "drain", "a", "--platform", d.platform.String())
	d.everyEntryHolds("a", true)
	settled := d.stats(engine).Attempts
	before := l.served.Load()
	d.eventually("the other zones go on", func() bool { return l.served.Load() > before+30 })
	if late := d.stats(engine).Attempts - settled; late > attemptsInFlight {
		t.Errorf("%d attempts reached the drained zone", late)
	}
	settled = d.stats(engine).Attempts
	before = l.served.Load()
	d.eventually("the other zones go on", func() bool { return l.served.Load() > before+30 })
	if late := d.stats(engine).Attempts - settled; late != 0 {
		t.Errorf("%d attempts reached the zone long after its drain", late)
	}
	d.run("zone", "restore", "a", "--platform", d.platform.String())
	d.everyEntryHolds("a", false)
	d.eventually("zone a serves again", func() bool { return d.stats(engine).Attempts > settled+5 })
	l.end()
	l.check(t)
	if cut := l.cut.Load(); cut != 0 {
		t.Errorf("%d requests were cut", cut)
	}
	if deaths := d.stats().Deaths; deaths != 0 {
		t.Errorf("%d engines died", deaths)
	}
}

func TestLeavingEngineCutsNothing(t *testing.T) {
	d := deploy(t, 2)
	l := startLoad(t, 6, d.entries...)
	d.eventually("requests are served", func() bool { return l.served.Load() > 10 })
	leaving := d.processes["engine-1"]
	leaving.signal(t, syscall.SIGTERM)
	if err := leaving.command.Wait(); err != nil {
		t.Errorf("the engine ended with %v", err)
	}
	before := l.served.Load()
	d.eventually("the others go on", func() bool { return l.served.Load() > before+20 })
	l.end()
	l.check(t)
	if cut := l.cut.Load(); cut != 0 {
		t.Errorf("%d requests were cut", cut)
	}
}

func TestEngineTurnedColdDoesNotDie(t *testing.T) {
	d := deploy(t, 1, "--cold-time", "3s")
	l := startLoad(t, 9, d.entries...)
	d.eventually("the engines are loaded", func() bool { return l.served.Load() > 200 })
	for range 3 {
		d.control(d.engines[0], `{"die":true}`)
		time.Sleep(2 * time.Second)
	}
	before := l.served.Load()
	d.eventually("requests are served", func() bool { return l.served.Load() > before+100 })
	l.end()
	l.check(t)
	if deaths := d.stats().OverloadDeaths; deaths != 0 {
		t.Errorf("%d engines died of overload while cold", deaths)
		t.Logf("time line of the engine:\n%s", d.timeline("engine-1"))
	}
	if cut := l.cut.Load(); cut != 0 {
		t.Errorf("%d requests were cut", cut)
	}
	d.allMemoryFree(d.entries...)
}
