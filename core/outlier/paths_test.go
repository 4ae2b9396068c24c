package outlier

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"wisteriadyke/core/clusterstate"
	"wisteriadyke/core/fleet"
)

// newPathTable returns the table of an entry of zone a that knows endpoints of zones a and b, ten each.
func newPathTable(self fleet.EntryID) *PathTable {
	state := &clusterstate.State{}
	for i := range 20 {
		endpoint := fleet.Endpoint{
			ID: fleet.EndpointID(fmt.Sprintf("%s%d", []string{"a", "b"}[i/10], i%10)), Zone: []fleet.Zone{"a", "b"}[i/10],
			Pool: "p", Incarnation: 2, State: fleet.StateLive,
		}
		state.Endpoints.Set(endpoint.ID, endpoint)
	}
	for _, id := range []fleet.EntryID{"e1", "e2", "e3"} {
		state.Entries.Set(id, fleet.Entry{ID: id, Zone: "a"})
	}
	return &PathTable{
		Self: fleet.Entry{ID: self, Zone: "a"}, State: state, Log: zerolog.Nop(),
		Contended: func(pool fleet.PoolName) bool { return pool == "p" },
		CutOff:    func(fleet.PoolName) bool { return false },
	}
}

// endpoint returns a listed endpoint.
func (p *PathTable) endpoint(id fleet.EndpointID) fleet.Endpoint {
	endpoint, _ := p.State.Endpoints.Get(id)
	return endpoint
}

// TestQuorumOfWitnesses guards against endpoints that are left out for all because of the local fault of one entry, and
// against reports that stay in force after the path works again or the endpoint was replaced.
func TestQuorumOfWitnesses(t *testing.T) {
	start := time.Unix(1000, 0)
	report := func(witness fleet.EntryID, after time.Duration, corroborated bool) PathReport {
		return PathReport{
			Endpoint: "b1", Incarnation: 2, Zone: "a", Witness: witness, At: start.Add(after), Corroborated: corroborated,
		}
	}
	reached := func(witness fleet.EntryID, after time.Duration) PathReport {
		r := report(witness, after, false)
		r.Reached = true
		return r
	}
	old := report("e2", 0, true)
	old.Incarnation = 1
	elsewhere := report("e2", 0, true)
	elsewhere.Zone = "b"
	const ms = time.Millisecond
	tests := map[string]struct {
		reports []PathReport
		at      time.Duration
		want    bool
	}{
		"one witness without other connections":  {reports: []PathReport{report("e2", 0, false)}},
		"one witness with other connections":     {reports: []PathReport{report("e2", 0, true)}, want: true},
		"two witnesses":                          {reports: []PathReport{report("e2", 0, false), report("e3", ms, false)}, want: true},
		"the same witness twice":                 {reports: []PathReport{report("e2", 0, false), report("e2", ms, false)}},
		"an earlier incarnation":                 {reports: []PathReport{old}},
		"another zone":                           {reports: []PathReport{elsewhere}},
		"expired":                                {reports: []PathReport{report("e2", 0, true)}, at: lostPathTTL},
		"renewed":                                {reports: []PathReport{report("e2", 0, true), report("e2", 900*ms, true)}, at: lostPathTTL, want: true},
		"reached since by another entry":         {reports: []PathReport{report("e2", 0, true), reached("e3", ms)}, at: ms},
		"reached before it was lost for two":     {reports: []PathReport{reached("e3", 0), report("e2", ms, true), report("e3", ms, true)}, at: ms, want: true},
		"lost for one while another reaches it":  {reports: []PathReport{report("e2", 0, true), reached("e3", ms), report("e2", 2*ms, true)}, at: 2 * ms},
		"reports that arrive in the wrong order": {reports: []PathReport{reached("e3", ms), report("e2", 0, true)}, at: ms},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			p := newPathTable("e1")
			for _, r := range tc.reports {
				p.Merge([]PathReport{r}, r.At)
			}
			if got := p.Lost(p.endpoint("b1"), "a", start.Add(tc.at)); got != tc.want {
				t.Errorf("lost = %v, want %v", got, tc.want)
			}
		})
	}
}

// TestEntryCutOffReportsNothing guards against an entry that lost its own path and makes others leave out the endpoints.
func TestEntryCutOffReportsNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, cutOff := range map[string]bool{"cut off": true, "not cut off": false} {
		t.Run(name, func(t *testing.T) {
			p := newPathTable("e1")
			p.RecordReached(p.endpoint("b2"), now)
			p.RecordLost(p.endpoint("b1"), now)
			p.CutOff = func(fleet.PoolName) bool { return cutOff }
			if got := len(p.Own(now)); (got == 0) != cutOff {
				t.Errorf("%d reports", got)
			}
			chooser := newPathTable("e2")
			chooser.Merge([]PathReport{
				{Endpoint: "b1", Incarnation: 2, Zone: "a", Witness: "e1", At: now, Corroborated: true},
			}, now)
			if cutOff {
				chooser.Withdraw("e1", []fleet.PoolName{"p"})
			}
			if got := chooser.Lost(chooser.endpoint("b1"), "a", now); got == cutOff {
				t.Errorf("lost = %v at the chooser", got)
			}
		})
	}
}

// TestReportsAreBounded guards against messages and records that grow with the entries times the endpoints.
func TestReportsAreBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	p := newPathTable("e1")
	for i := range 100 {
		for id := range p.State.Endpoints.Snapshot().Rows {
			p.Merge([]PathReport{{
				Endpoint: id, Incarnation: 2, Zone: "a", Witness: fleet.EntryID(fmt.Sprint(i)), At: now.Add(time.Duration(i)),
			}}, now.Add(time.Duration(i)))
		}
	}
	if got := len(p.ForZone("a", now.Add(time.Second))); got == 0 || got > maxPathReports {
		t.Errorf("%d reports for one zone, want 1 to %d", got, maxPathReports)
	}
	for key, r := range p.records {
		if len(r.lost) > maxPathWitnesses {
			t.Errorf("%d witnesses of the path to %s, want at most %d", len(r.lost), key.endpoint, maxPathWitnesses)
		}
	}
	p.dropExpired(now.Add(2 * lostPathTTL))
	if len(p.records) != 0 {
		t.Errorf("%d records are left after all reports expired", len(p.records))
	}
}

// TestCorrelatedLosses checks when the other endpoints of a zone become suspect, and that an answer of one clears it.
func TestCorrelatedLosses(t *testing.T) {
	const ms = time.Millisecond
	tests := map[string]struct {
		lost []fleet.EndpointID
		gap  time.Duration
		want bool
	}{
		"three of one zone at once":  {lost: []fleet.EndpointID{"b1", "b2", "b3"}, gap: 100 * ms, want: true},
		"two of one zone":            {lost: []fleet.EndpointID{"b1", "b2"}, gap: 100 * ms},
		"three one after the other":  {lost: []fleet.EndpointID{"b1", "b2", "b3"}, gap: 400 * ms},
		"three of different zones":   {lost: []fleet.EndpointID{"b1", "b2", "a1"}, gap: 100 * ms},
		"three, of which one twice":  {lost: []fleet.EndpointID{"b1", "b2", "b1"}, gap: 100 * ms},
		"three of one zone, one off": {lost: []fleet.EndpointID{"b1", "a1", "b2", "b3"}, gap: 100 * ms, want: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			p, now := newPathTable("e1"), time.Unix(1000, 0)
			for i, id := range tc.lost {
				if i > 0 {
					now = now.Add(tc.gap)
				}
				p.Merge([]PathReport{{Endpoint: id, Incarnation: 2, Zone: "a", Witness: "e2", At: now, Corroborated: true}}, now)
			}
			for _, id := range []fleet.EndpointID{"b7", "b8", "b9"} {
				if got := p.View("a", now).Suspect(p.endpoint(id)); got != tc.want {
					t.Errorf("%s is suspect: %v, want %v", id, got, tc.want)
				}
			}
			if p.View("a", now).Suspect(p.endpoint("a7")) || p.View("b", now).Suspect(p.endpoint("b7")) {
				t.Error("an endpoint of another zone, or from another zone, is suspect")
			}
			p.RecordReached(p.endpoint("b7"), now.Add(ms))
			if p.View("a", now.Add(ms)).Suspect(p.endpoint("b7")) {
				t.Error("an endpoint that answered is suspect")
			}
			if p.View("a", now.Add(lostPathTTL)).Suspect(p.endpoint("b8")) {
				t.Error("suspect after all reports have expired")
			}
		})
	}
}

// TestOneEntryProbesASuspect guards against probes whose number grows with entries times endpoints, and against suspect
// endpoints that nobody probes.
func TestOneEntryProbesASuspect(t *testing.T) {
	now := time.Unix(1000, 0)
	var reports []PathReport
	for _, id := range []fleet.EndpointID{"b1", "b2", "b3"} {
		reports = append(reports, PathReport{Endpoint: id, Incarnation: 2, Zone: "a", Witness: "e9", At: now, Corroborated: true})
	}
	probes := make(map[fleet.EndpointID]int)
	for _, self := range []fleet.EntryID{"e1", "e2", "e3"} {
		p := newPathTable(self)
		p.Merge(reports, now)
		for range 4 {
			for id, endpoint := range p.State.Endpoints.Snapshot().Rows {
				if p.probeDue(endpoint, false, now) {
					probes[id]++
				}
			}
		}
	}
	for i := range 10 {
		want := 1
		if i >= 1 && i <= 3 {
			want = lostPathProbers
		}
		if got := probes[fleet.EndpointID(fmt.Sprintf("b%d", i))]; got != want {
			t.Errorf("%d probes of b%d, want %d", got, i, want)
		}
		if got := probes[fleet.EndpointID(fmt.Sprintf("a%d", i))]; got != 0 {
			t.Errorf("%d probes of a%d in a sound zone", got, i)
		}
	}
}

// TestRecoveryEndsProbes guards against entries of a zone that make each other probe without end once an endpoint is
// reached again: each report of it must not lead to a report of the next entry.
func TestRecoveryEndsProbes(t *testing.T) {
	const entries, rounds = 10, 50
	const maxProbes = entries + lostPathProbers
	now := time.Unix(1000, 0)
	var tables []*PathTable
	for i := range entries {
		tables = append(tables, newPathTable(fleet.EntryID(fmt.Sprintf("e%d", i))))
	}
	endpoint := tables[0].endpoint("b1")
	for _, p := range tables[:2] {
		p.RecordLost(endpoint, now)
	}
	probes := 0
	for range rounds {
		var reports []PathReport
		for _, p := range tables {
			reports = append(reports, p.Own(now)...)
		}
		now = now.Add(100 * time.Millisecond)
		for _, p := range tables {
			p.Merge(reports, now)
			if p.probeDue(endpoint, false, now) {
				probes++
				p.RecordReached(endpoint, now)
			}
		}
	}
	if probes > maxProbes {
		t.Errorf("%d probes in %d rounds, want at most %d", probes, rounds, maxProbes)
	}
}
