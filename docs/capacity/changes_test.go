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

// accounts returns a configuration of so many client accounts.
func accounts(count int) config.Configuration {
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

// measureChanges measures a change of the configuration, a crash and the loss of a zone.
func measureChanges(t *testing.T, s size) []figure {
	t.Helper()
	var figures []figure
	add := func(name string, value float64) {
		figures = append(figures, figure{size: s, stage: stageSpread, name: name, value: value})
	}
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(s, stageSpread)
		c.run(t, func() {
			c.publish(t, 10)
			time.Sleep(settleTime)
			idle := c.rest(convergenceLimit)
			for _, count := range []int{20, 4300} {
				took, bytes := c.publish(t, count)
				add(fmt.Sprintf("change_seconds_%d_accounts", count), took.Seconds())
				add(fmt.Sprintf("change_bytes_%d_accounts", count), bytes-idle["bytes_per_second"]*convergenceLimit.Seconds())
			}
			add("replacement_bytes", c.replace()-idle["bytes_per_second"]*convergenceLimit.Seconds())
			took := c.crash(t, c.nodes[len(c.nodes)-1])
			add("crash_known_seconds", took.Seconds())
		})
	})
	return figures
}

// publish changes the configuration and returns when it was in force everywhere, and the bytes for each entry.
func (c *cluster) publish(t *testing.T, count int) (time.Duration, float64) {
	t.Helper()
	before := c.count()
	start := time.Now()
	reviser := platform.RecordUpdater{Tables: c.platform}
	old, err := reviser.ReadConfiguration(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	change, err := reviser.Publish(t.Context(), old, accounts(count), platform.Change{Token: fmt.Sprint(count)})
	if err != nil {
		t.Fatal(err)
	}
	took, ok := until(convergenceLimit, func() bool {
		return c.all(func(n *node) bool {
			configuration, _ := n.board.Configuration.Get(clusterstate.SingleKey{})
			return configuration.Revision >= change.Revision
		})
	})
	if !ok {
		t.Errorf("%d entries: configuration not in force within %s", len(c.nodes), convergenceLimit)
	}
	time.Sleep(convergenceLimit - time.Since(start))
	return took, float64(c.count().bytes-before.bytes) / float64(len(c.nodes))
}

// replace puts an endpoint in the place of another in the instance list and returns the bytes for each entry.
func (c *cluster) replace() float64 {
	before := c.count()
	c.platform.mu.Lock()
	instances := slices.Clone(c.platform.instances)
	instances[0].ID = "engine-new"
	c.platform.instances = instances
	c.platform.mu.Unlock()
	time.Sleep(convergenceLimit)
	return float64(c.count().bytes-before.bytes) / float64(len(c.nodes))
}

// crash stops an entry without a word and returns when nobody shows it any more, in its zone and elsewhere.
func (c *cluster) crash(t *testing.T, dead *node) time.Duration {
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
	took, ok := until(time.Minute, func() bool {
		return c.all(func(n *node) bool {
			_, found := n.board.Entries.Get(dead.entry.ID)
			return !found || n == dead
		})
	})
	if !ok {
		t.Errorf("%d entries: a crash is not known everywhere within a minute", len(c.nodes))
	}
	return took
}
