package membership

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"wisteriadyke/core/clusterstate"
	"wisteriadyke/core/fleet"
	"wisteriadyke/core/timeline"
)

const (
	// ProbeInterval is the time between two probes of one entry.
	ProbeInterval = time.Second
	// probeTimeout bounds a direct probe.
	probeTimeout = 400 * time.Millisecond
	// helpTimeout bounds the indirect probes after it.
	helpTimeout = 500 * time.Millisecond
	// zoneHelpers is the number of entries of the zone that are asked for an indirect probe.
	zoneHelpers = 3
	// outsideHelpers is the number of entries of other zones that are asked for one.
	outsideHelpers = 2
	// joinTime bounds the time in which a new entry looks for others before it may act alone.
	joinTime = 3 * time.Second
	// joinInterval is the time between two looks.
	joinInterval = 250 * time.Millisecond
	// joinContacts bounds the entries that are asked in one look.
	joinContacts = 8
)

// errOther is the error of a probe that another entry answered than the one probed.
var errOther = errors.New("membership: another entry answered the probe")

// Transport carries probes to other entries.
type Transport interface {
	// Probe sends a message to the entry at an address and returns its answer.
	Probe(ctx context.Context, to netip.AddrPort, message Message) (Message, error)
	// ProbeFor asks a helper to pass the message on; reached is false if the helper answered and the target did not.
	ProbeFor(ctx context.Context, helper, target netip.AddrPort, message Message) (answer Message, reached bool, err error)
}

// Controller probes the entries of the zone. It reads the listed entries and the entries of the blackboard, and
// writes its members.
type Controller struct {
	// Entry is this entry.
	Entry fleet.Entry
	// Seeds are addresses of entries of any zone to join by.
	Seeds []netip.AddrPort
	// State holds the tables.
	State *clusterstate.State
	// Transport reaches the other entries.
	Transport Transport
	// Lease is kept as long as the entry reaches the majority of its zone.
	Lease *Lease
	// Clock is the entry's hybrid logical clock.
	Clock *timeline.Clock
	// Random chooses whom to probe.
	Random *rand.Rand
	// Log takes the controller's messages.
	Log zerolog.Logger

	mu      sync.Mutex
	members *Members
	version uint64
}

// Run probes until ctx ends; it returns no error.
func (c *Controller) Run(ctx context.Context) error {
	c.with(time.Now(), func(*Members, time.Time) {})
	c.join(ctx)
	c.with(time.Now(), (*Members).EnableLease)
	ticker := time.NewTicker(ProbeInterval)
	defer ticker.Stop()
	for {
		c.period(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// Leave tells some entries of the zone that this one leaves; the others hear it by gossip.
func (c *Controller) Leave(ctx context.Context) {
	var helpers []fleet.Entry
	c.with(time.Now(), func(m *Members, _ time.Time) {
		m.Leave()
		helpers = m.Helpers("", zoneHelpers)
	})
	var group errgroup.Group
	for _, helper := range helpers {
		group.Go(func() error { return c.probe(ctx, helper, false) })
	}
	if err := group.Wait(); err != nil {
		c.Log.Warn().Err(err).Msg("membership: an entry did not hear that this one leaves")
	}
}

// HandleProbe returns the answer to a probe.
func (c *Controller) HandleProbe(message Message) Message {
	c.Clock.Observe(message.Stamp)
	var answer Message
	c.with(time.Now(), func(m *Members, now time.Time) { answer = m.HandleMessage(now, message) })
	answer.Stamp = c.Clock.Now()
	return answer
}

// with runs change on the state machine and puts a new list of members on the blackboard.
func (c *Controller) with(now time.Time, change func(m *Members, now time.Time)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.members == nil {
		random := rand.New(rand.NewPCG(c.Random.Uint64(), c.Random.Uint64()))
		c.members = &Members{Self: c.Entry, Lease: c.Lease, Random: random}
		c.members.Start(now)
	}
	change(c.members, now)
	if c.version == c.members.Version() {
		return
	}
	c.version = c.members.Version()
	rows := make(map[fleet.EntryID]fleet.Entry)
	for _, entry := range c.members.Live() {
		entry.LastSeenAt = now
		rows[entry.ID] = entry
	}
	c.State.ZoneEntries.Replace(rows)
}

// join looks for other entries until all that are listed or set have answered, at most for joinTime.
func (c *Controller) join(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, joinTime)
	defer cancel()
	answered := make(map[netip.AddrPort]bool)
	for {
		c.hint()
		if c.ask(ctx, answered) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(joinInterval):
		}
	}
}

// ask sends a join to contacts that have not answered and reports whether none is left.
func (c *Controller) ask(ctx context.Context, answered map[netip.AddrPort]bool) bool {
	contacts := c.contacts(answered)
	var mu sync.Mutex
	var group errgroup.Group
	for _, address := range contacts {
		group.Go(func() error {
			if c.probe(ctx, fleet.Entry{Address: address}, true) == nil {
				mu.Lock()
				defer mu.Unlock()
				answered[address] = true
			}
			return nil
		})
	}
	_ = group.Wait()
	return len(contacts) == 0 && c.State.ListedEntries.Snapshot().Version > 0
}

// contacts returns some of the addresses to join by that have not answered.
func (c *Controller) contacts(answered map[netip.AddrPort]bool) []netip.AddrPort {
	known := append([]netip.AddrPort(nil), c.Seeds...)
	for _, entry := range c.State.ListedEntries.Snapshot().Rows {
		if entry.Zone == c.Entry.Zone {
			known = append(known, entry.Address)
		}
	}
	c.Random.Shuffle(len(known), func(i, j int) { known[i], known[j] = known[j], known[i] })
	var contacts []netip.AddrPort
	for _, address := range known {
		if address != c.Entry.Address && !answered[address] && len(contacts) < joinContacts {
			contacts = append(contacts, address)
		}
	}
	return contacts
}

// hint passes the listed entries to the state machine.
func (c *Controller) hint() []fleet.Entry {
	view := c.State.ListedEntries.Snapshot()
	if view.Version == 0 {
		return nil
	}
	var entries []fleet.Entry
	for _, entry := range view.Rows {
		if entry.Zone == c.Entry.Zone {
			entries = append(entries, entry)
		}
	}
	c.with(time.Now(), func(m *Members, now time.Time) { m.UpdateListed(now, entries) })
	return entries
}

// period does the work of one period: one probe, and one try at an entry that is not believed alive.
func (c *Controller) period(ctx context.Context) {
	listed := c.hint()
	var target, stray fleet.Entry
	var probe, try bool
	var survey []fleet.Entry
	c.with(time.Now(), func(m *Members, now time.Time) {
		m.Tick(now)
		survey = m.SurveyTargets(now)
		target, probe = m.NextTarget()
		stray, try = m.ReconnectTarget(listed)
	})
	if !try && !probe && len(c.Seeds) > 0 {
		stray, try = fleet.Entry{Address: c.Seeds[c.Random.IntN(len(c.Seeds))]}, true
	}
	var group errgroup.Group
	if probe {
		group.Go(func() error { c.check(ctx, target); return nil })
	}
	for _, entry := range survey {
		group.Go(func() error { c.check(ctx, entry); return nil })
	}
	if try && stray.Address != c.Entry.Address {
		group.Go(func() error { _ = c.probe(ctx, stray, true); return nil })
	}
	_ = group.Wait()
}

// check probes an entry directly and then by helpers.
func (c *Controller) check(ctx context.Context, target fleet.Entry) {
	sent := time.Now()
	err := c.probe(ctx, target, false)
	missed := false
	if err != nil {
		sent = time.Now()
		missed, err = c.probeByHelpers(ctx, target)
	}
	if ctx.Err() != nil {
		return
	}
	c.with(time.Now(), func(m *Members, now time.Time) {
		if err == nil {
			m.RecordAck(now, sent)
			return
		}
		m.RecordFailure(now, target.ID, missed)
	})
}

// probe sends one message and takes in its answer.
func (c *Controller) probe(ctx context.Context, target fleet.Entry, join bool) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	answer, err := c.Transport.Probe(ctx, target.Address, c.compose(target.ID, join))
	if err != nil {
		return err
	}
	return c.receive(target, answer)
}

// compose returns the message for a target.
func (c *Controller) compose(target fleet.EntryID, join bool) Message {
	var message Message
	c.with(time.Now(), func(m *Members, _ time.Time) { message = m.NewMessage(target) })
	message.Join = join
	message.Stamp = c.Clock.Now()
	return message
}

// receive takes in the answer of a target, whose name may not be known yet.
func (c *Controller) receive(target fleet.Entry, answer Message) error {
	if target.ID != "" && answer.From.ID != target.ID {
		return errOther
	}
	c.Clock.Observe(answer.Stamp)
	c.with(time.Now(), func(m *Members, now time.Time) { m.Receive(now, answer) })
	return nil
}

// probeByHelpers asks others to probe the target; missed tells that an entry of another zone could not reach it.
func (c *Controller) probeByHelpers(ctx context.Context, target fleet.Entry) (missed bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, helpTimeout)
	defer cancel()
	message := c.compose(target.ID, false)
	var mu sync.Mutex
	err = errors.New("membership: no helper reached the entry")
	var group errgroup.Group
	for _, helper := range c.helpers(target.ID) {
		group.Go(func() error {
			answer, reached, failure := c.Transport.ProbeFor(ctx, helper.Address, target.Address, message)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case failure != nil:
			case !reached:
				missed = missed || helper.Zone != c.Entry.Zone
			case c.receive(target, answer) == nil:
				err = nil
				cancel()
			}
			return nil
		})
	}
	_ = group.Wait()
	return missed, err
}

// helpers returns the entries that are asked to probe the target: some of the zone and some of other zones.
func (c *Controller) helpers(target fleet.EntryID) []fleet.Entry {
	var outside []fleet.Entry
	for _, entry := range c.State.Entries.Snapshot().Rows {
		if entry.Zone != c.Entry.Zone && entry.State == fleet.StateLive {
			outside = append(outside, entry)
		}
	}
	var helpers []fleet.Entry
	c.with(time.Now(), func(m *Members, _ time.Time) {
		helpers = m.Helpers(target, zoneHelpers)
		m.Random.Shuffle(len(outside), func(i, j int) { outside[i], outside[j] = outside[j], outside[i] })
	})
	return append(helpers, outside[:min(outsideHelpers, len(outside))]...)
}
