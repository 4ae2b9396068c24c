package sharedload

import (
	"fmt"
	"time"

	"wisteriadyke/core/clusterstate"
	"wisteriadyke/core/enginemodel"
	"wisteriadyke/core/fleet"
	"wisteriadyke/core/outlier"
	"wisteriadyke/core/placement"
	"wisteriadyke/core/routing"
)

// testPool is a pool of engines with the published pace of the first deployments.
var testPool = routing.Pool{
	Name:           "engines",
	PauseObjective: 250 * time.Millisecond,
	Engine: &enginemodel.Model{
		Slots:           16,
		Memory:          315_000,
		Step:            850 * time.Microsecond,
		StepPerDecode:   4250 * time.Nanosecond,
		StepPerContext:  2.85,
		PrefillPerToken: 1e6 / 177,
		PrefillPerPair:  0.184,
		Chunk:           2048,
		Stride:          51,
	},
}

// testEndpoint returns an engine of the pool.
func testEndpoint(number int) fleet.Endpoint {
	return fleet.Endpoint{
		ID:    fleet.EndpointID(fmt.Sprintf("i-%02d", number)),
		Pool:  testPool.Name,
		Zone:  "a",
		State: fleet.StateLive,
		Slots: testPool.Engine.Slots,
	}
}

// testFleet is a policy and a granter over engines.
type testFleet struct {
	board   *clusterstate.State
	policy  *Policy
	chooser *Chooser
	granter *Reserver
	memory  *fakeMemory
}

// newFleet returns a fleet of some idle engines.
func newFleet(engines int) *testFleet {
	f := &testFleet{board: &clusterstate.State{}, memory: &fakeMemory{}}
	for i := range engines {
		endpoint := testEndpoint(i)
		f.board.Endpoints.Set(endpoint.ID, endpoint)
	}
	outliers := &outlier.Detector{}
	f.policy = &Policy{
		Usages: &UsageTable{},
		Pool:   func(name fleet.PoolName) (routing.Pool, bool) { return testPool, name == testPool.Name },
		Usable: outliers.Usable,
	}
	f.chooser = &Chooser{
		State:  f.board,
		Views:  f,
		Policy: f.policy,
		Rate:   func(fleet.Endpoint, Role, time.Time) (float64, bool) { return 0, false },
	}
	f.granter = &Reserver{
		Entry:    "entry-1",
		State:    f.board,
		Views:    f,
		Policy:   f.policy,
		Choosers: &ChooserSet{Self: fleet.Entry{ID: "entry-1"}, State: f.board, Usages: f.policy.Usages, Chooser: f.chooser},
		Leases:   &MemoryLeases{Entry: "entry-1", Memory: f.memory},
		Outliers: outliers,
	}
	// The entry has run for an hour.
	f.policy.demand.observe(testPool.Name, f.states(), time.Now().Add(-time.Hour))
	return f
}

// View returns what placements are decided on.
func (f *testFleet) View() placement.View {
	return placement.View{Endpoints: f.board.Endpoints.Snapshot().Rows, Zones: f.board.Zones.Snapshot().Rows, Local: "a"}
}

// use notes work of another entry at all engines with a number in a range; quick attempts are worth one each.
func (f *testFleet) use(from, to int, usage Usage) {
	usage.ValueByPause[0] += usage.Quick * stakeUnit
	usages := make(map[fleet.EndpointID]Usage)
	for i := from; i < to; i++ {
		usages[testEndpoint(i).ID] = usage
	}
	f.policy.Usages.UpdatePeer(fleet.EntryID(fmt.Sprintf("entry-%d-%d", from, to)), usages, 0, time.Now())
}

// choose returns the choice for a request, which is not noted.
func (f *testFleet) choose(need placement.Need) (Choice, error) {
	return f.chooser.Choose(need, RoleLeader, time.Now(), func(Choice) {})
}

// states returns the present states.
func (f *testFleet) states() []state {
	return f.policy.states(f.View(), placement.Need{Pool: testPool.Name})
}
