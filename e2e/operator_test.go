package e2e

import (
	"syscall"
	"testing"
	"time"
)

// maxLateAttempts is the largest number of attempts, already in flight, that may still reach an engine after every
// entry knows that its zone is drained.
const maxLateAttempts = 20

// zoneDrained reports whether a zone is drained according to an entry, and whether the entry answered.
func zoneDrained(e *entry, zone string) (drained, known bool) {
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

// waitZoneState waits until all entries report a zone as drained or, if drained is false, as not drained.
func (d *deployment) waitZoneState(zone string, drained bool) {
	d.t.Helper()
	d.waitUntil("every entry knows the state of zone "+zone, func() bool {
		for _, e := range d.entries {
			if current, known := zoneDrained(e, zone); !known || current != drained {
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
	d.waitUntil("zone a serves", func() bool { return d.sumCounts(engine).Attempts > 5 })
	d.runCommand("zone", "drain", "a", "--platform", d.platform.String())
	d.waitZoneState("a", true)
	attemptsBefore := d.sumCounts(engine).Attempts
	servedBefore := l.served.Load()
	d.waitUntil("the other zones keep serving", func() bool { return l.served.Load() > servedBefore+30 })
	if late := d.sumCounts(engine).Attempts - attemptsBefore; late > maxLateAttempts {
		t.Errorf("%d attempts reached the drained zone, want at most %d", late, maxLateAttempts)
	}
	attemptsBefore = d.sumCounts(engine).Attempts
	servedBefore = l.served.Load()
	d.waitUntil("the other zones keep serving", func() bool { return l.served.Load() > servedBefore+30 })
	if late := d.sumCounts(engine).Attempts - attemptsBefore; late != 0 {
		t.Errorf("%d attempts reached the drained zone later, want 0", late)
	}
	d.runCommand("zone", "restore", "a", "--platform", d.platform.String())
	d.waitZoneState("a", false)
	d.waitUntil("zone a serves again", func() bool { return d.sumCounts(engine).Attempts > attemptsBefore+5 })
	l.end()
	l.check(t)
	if interrupted := l.interrupted.Load(); interrupted != 0 {
		t.Errorf("%d requests were interrupted", interrupted)
	}
	if deaths := d.sumCounts().Deaths; deaths != 0 {
		t.Errorf("%d engines died, want 0", deaths)
	}
}

func TestLeavingEngineCutsNothing(t *testing.T) {
	d := deploy(t, 2)
	l := startLoad(t, 6, d.entries...)
	d.waitUntil("requests are served", func() bool { return l.served.Load() > 10 })
	leaving := d.processes["engine-1"]
	leaving.signal(t, syscall.SIGTERM)
	if err := leaving.command.Wait(); err != nil {
		t.Errorf("the engine ended with %v", err)
	}
	servedBefore := l.served.Load()
	d.waitUntil("the other engines keep serving", func() bool { return l.served.Load() > servedBefore+20 })
	l.end()
	l.check(t)
	if interrupted := l.interrupted.Load(); interrupted != 0 {
		t.Errorf("%d requests were interrupted", interrupted)
	}
}

func TestEngineTurnedColdDoesNotDie(t *testing.T) {
	d := deploy(t, 1, "--cold-time", "3s")
	l := startLoad(t, 9, d.entries...)
	d.waitUntil("the engines are loaded", func() bool { return l.served.Load() > 200 })
	for range 3 {
		d.control(d.engines[0], `{"die":true}`)
		time.Sleep(2 * time.Second)
	}
	servedBefore := l.served.Load()
	d.waitUntil("requests are served", func() bool { return l.served.Load() > servedBefore+100 })
	l.end()
	l.check(t)
	if deaths := d.sumCounts().OverloadDeaths; deaths != 0 {
		t.Errorf("%d engines died of overload while cold", deaths)
		t.Logf("timeline of the engine:\n%s", d.timeline("engine-1"))
	}
	if interrupted := l.interrupted.Load(); interrupted != 0 {
		t.Errorf("%d requests were interrupted", interrupted)
	}
	d.waitMemoryFree(d.entries...)
}
