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

// testPool is a pool of engines with the performance figures that were published for the first deployments.
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

// testEndpoint returns the engine of testPool with the given number.
func testEndpoint(number int) fleet.Endpoint {
	return fleet.Endpoint{
		ID:    fleet.EndpointID(fmt.Sprintf("i-%02d", number)),
		Pool:  testPool.Name,
		Zone:  "a",
		State: fleet.StateLive,
		Slots: testPool.Engine.Slots,
	}
}

// testFleet holds a policy, a chooser and a reserver over the engines of testPool.
type testFleet struct {
	state    *clusterstate.State
	policy   *Policy
	chooser  *Chooser
	reserver *Reserver
	memory   *fakeMemory
}

// newFleet returns a fleet of idle engines.
func newFleet(engines int) *testFleet {
	f := &testFleet{state: &clusterstate.State{}, memory: &fakeMemory{}}
	for i := range engines {
		endpoint := testEndpoint(i)
		f.state.Endpoints.Set(endpoint.ID, endpoint)
	}
	outliers := &outlier.Detector{}
	f.policy = &Policy{
		Usages: &UsageTable{},
		Pool:   func(name fleet.PoolName) (routing.Pool, bool) { return testPool, name == testPool.Name },
		Usable: outliers.Usable,
	}
	f.chooser = &Chooser{
		State:  f.state,
		Views:  f,
		Policy: f.policy,
		Rate:   func(fleet.Endpoint, Role, time.Time) (float64, bool) { return 0, false },
	}
	f.reserver = &Reserver{
		Entry:    "entry-1",
		State:    f.state,
		Views:    f,
		Policy:   f.policy,
		Choosers: &ChooserSet{Self: fleet.Entry{ID: "entry-1"}, State: f.state, Usages: f.policy.Usages, Chooser: f.chooser},
		Leases:   &MemoryLeases{Entry: "entry-1", Memory: f.memory},
		Outliers: outliers,
	}
	// Start the demand averages an hour ago, so that their initial values have decayed by the first choice.
	f.policy.demand.update(testPool, f.endpointStates(), time.Now().Add(-time.Hour))
	return f
}

// View returns the view that choices are based on.
func (f *testFleet) View() placement.View {
	return placement.View{Endpoints: f.state.Endpoints.Snapshot().Rows, Zones: f.state.Zones.Snapshot().Rows, Local: "a"}
}

// addUsage reports usage of another entry at each engine whose number is in [from, to); a quick attempt has the
// value 1.
func (f *testFleet) addUsage(from, to int, usage Usage) {
	usage.ValueByPause[0] += usage.Quick * valueUnit
	usages := make(map[fleet.EndpointID]Usage)
	for i := from; i < to; i++ {
		usages[testEndpoint(i).ID] = usage
	}
	f.policy.Usages.UpdatePeer(fleet.EntryID(fmt.Sprintf("entry-%d-%d", from, to)), usages, 0, time.Now())
}

// choose returns the choice for a request without recording it.
func (f *testFleet) choose(need placement.Need) (Choice, error) {
	return f.chooser.Choose(need, RoleLeader, time.Now(), func(Choice) {})
}

// endpointStates returns the current states of all engines.
func (f *testFleet) endpointStates() []endpointState {
	return f.policy.endpointStates(f.View(), placement.Need{Pool: testPool.Name})
}
