package capacity

import (
	"crypto/sha256"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"wisteriadyke/core/clusterstate"
	"wisteriadyke/core/config"
	"wisteriadyke/core/fleet"
	"wisteriadyke/io/platform"
)

// newConfiguration returns a configuration with the given number of client accounts and 21 classes.
func newConfiguration(count int) config.Configuration {
	configuration := config.Configuration{
		Accounts: make(map[fleet.AccountID]config.Account),
		Classes:  make(map[fleet.ClassName]config.Class),
	}
	for i := range count {
		name := fleet.AccountID(fmt.Sprintf("account-%04d", i))
		digest := fmt.Sprintf("%x", sha256.Sum256([]byte(name)))
		configuration.Accounts[name] = config.Account{Name: name, Weight: 1, KeyDigest: digest}
	}
	for i := range 21 {
		name := fleet.ClassName(fmt.Sprintf("class-%02d", i))
		configuration.Classes[name] = config.Class{
			Name: name, Pool: fleet.PoolName(fmt.Sprintf("model-%02d", i)), Kind: fleet.KindEngine,
			StartTimeout: time.Minute, FinishTimeout: time.Hour, MaxPrompt: 1_000_000, MaxOutput: 1000,
		}
	}
	return configuration
}

// measureChanges measures configuration changes, the replacement of an endpoint and the crash of an entry. The bytes
// that the idle cluster sends in the same time are subtracted from the measured bytes.
func measureChanges(t *testing.T, s size) []figure {
	t.Helper()
	var figures []figure
	addFigure := func(name string, value float64) {
		figures = append(figures, figure{size: s, stage: stageGossip, name: name, value: value})
	}
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(s, stageGossip)
		c.run(t, func() {
			c.publishAndWait(t, 10)
			time.Sleep(settleTime)
			idle := c.measureIdleRates(convergenceTimeout)
			for _, count := range []int{20, 4300} {
				took, bytes := c.publishAndWait(t, count)
				addFigure(fmt.Sprintf("change_seconds_%d_accounts", count), took.Seconds())
				addFigure(
					fmt.Sprintf("change_bytes_%d_accounts", count),
					bytes-idle["bytes_per_second"]*convergenceTimeout.Seconds(),
				)
			}
			addFigure("replacement_bytes", c.replaceEndpoint()-idle["bytes_per_second"]*convergenceTimeout.Seconds())
			took := c.crashEntry(t, c.nodes[len(c.nodes)-1])
			addFigure("crash_known_seconds", took.Seconds())
		})
	})
	return figures
}

// publishAndWait publishes a configuration with the given number of client accounts and waits for convergenceTimeout.
// It returns the time until all entries had applied the configuration, and the mean number of bytes that an entry sent.
// The test fails if an entry has not applied the configuration in that time.
func (c *cluster) publishAndWait(t *testing.T, count int) (time.Duration, float64) {
	t.Helper()
	before := c.readCounters()
	start := time.Now()
	updater := platform.RecordUpdater{Tables: c.platform}
	current, err := updater.ReadConfiguration(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	change, err := updater.Publish(
		t.Context(), current, newConfiguration(count), platform.Change{Token: fmt.Sprint(count)},
	)
	if err != nil {
		t.Fatal(err)
	}
	took, ok := waitUntil(convergenceTimeout, func() bool {
		return c.allNodes(func(n *node) bool {
			configuration, _ := n.state.Configuration.Get(clusterstate.SingleKey{})
			return configuration.Revision >= change.Revision
		})
	})
	if !ok {
		t.Errorf("%d entries: configuration not applied everywhere within %s", len(c.nodes), convergenceTimeout)
	}
	time.Sleep(convergenceTimeout - time.Since(start))
	return took, float64(c.readCounters().bytes-before.bytes) / float64(len(c.nodes))
}

// replaceEndpoint replaces an endpoint in the instance list and returns the mean number of bytes that an entry sent
// within convergenceTimeout after that.
func (c *cluster) replaceEndpoint() float64 {
	before := c.readCounters()
	c.platform.mu.Lock()
	instances := slices.Clone(c.platform.instances)
	instances[0].ID = "engine-new"
	c.platform.instances = instances
	c.platform.mu.Unlock()
	time.Sleep(convergenceTimeout)
	return float64(c.readCounters().bytes-before.bytes) / float64(len(c.nodes))
}

// crashEntry stops an entry that does not announce that it leaves. It returns the time until no other entry of any zone
// lists it, or 0 if its zone has no other entry. The test fails if that takes more than a minute.
func (c *cluster) crashEntry(t *testing.T, dead *node) time.Duration {
	t.Helper()
	c.network.mu.Lock()
	delete(c.network.listeners, dead.entry.Address)
	c.network.mu.Unlock()
	dead.stop()
	peers := 0
	for _, n := range c.nodes {
		if n.entry.Zone == dead.entry.Zone && n != dead {
			peers++
		}
	}
	if peers == 0 {
		return 0
	}
	took, ok := waitUntil(time.Minute, func() bool {
		return c.allNodes(func(n *node) bool {
			_, found := n.state.Entries.Get(dead.entry.ID)
			return !found || n == dead
		})
	})
	if !ok {
		t.Errorf("%d entries: crash not detected everywhere within a minute", len(c.nodes))
	}
	return took
}
