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
	// ProbeInterval is the time between two probes that one entry sends.
	ProbeInterval = time.Second
	// probeTimeout bounds a direct probe.
	probeTimeout = 400 * time.Millisecond
	// indirectProbeTimeout bounds the indirect probes that follow a failed direct probe.
	indirectProbeTimeout = 500 * time.Millisecond
	// zoneRelays is the maximum number of entries of the zone that are asked for an indirect probe, or to which a leaving
	// entry announces its departure.
	zoneRelays = 3
	// otherZoneRelays is the maximum number of entries of other zones that are asked for an indirect probe.
	otherZoneRelays = 2
	// joinTimeout bounds the join phase of a new entry, after which it may hold the lease.
	joinTimeout = 3 * time.Second
	// joinRetryInterval is the time between two rounds of join messages.
	joinRetryInterval = 250 * time.Millisecond
	// maxJoinContacts bounds the join messages of one round.
	maxJoinContacts = 8
)

// errWrongEntry is the error of a probe that was answered by an entry other than the target.
var errWrongEntry = errors.New("membership: probe was answered by another entry")

// Transport carries probes to other entries.
type Transport interface {
	// Probe sends a message to the entry at an address and returns its reply.
	Probe(ctx context.Context, to netip.AddrPort, message Message) (Message, error)
	// ProbeFor asks a relay to send a message to the target and returns the target's reply. If the relay replied and the
	// target did not, reached is false and err is nil; if the relay did not reply, err is not nil.
	ProbeFor(ctx context.Context, relay, target netip.AddrPort, message Message) (reply Message, reached bool, err error)
}

// Controller probes the entries of the zone and maintains its members. It reads the tables ListedEntries and Entries of
// the cluster state, and writes ZoneEntries.
type Controller struct {
	// Entry is this entry.
	Entry fleet.Entry
	// Seeds are the addresses of entries, of any zone, that this entry sends join messages to, in addition to the listed
	// entries.
	Seeds []netip.AddrPort
	// State holds the tables of this entry.
	State *clusterstate.State
	// Transport sends messages to other entries.
	Transport Transport
	// Lease is renewed while the entry reaches the majority of its zone.
	Lease *Lease
	// Clock is the entry's hybrid logical clock.
	Clock *timeline.Clock
	// Random selects join contacts and the one of Seeds to reconnect through, and initializes the random source of the
	// state machine.
	Random *rand.Rand
	// Log receives the controller's messages.
	Log zerolog.Logger

	mu      sync.Mutex
	members *Members
	version uint64
}

// Run joins the zone and then probes its entries until ctx ends; it returns no error.
func (c *Controller) Run(ctx context.Context) error {
	c.withMembers(time.Now(), func(*Members, time.Time) {})
	c.join(ctx)
	c.withMembers(time.Now(), (*Members).EnableLease)
	ticker := time.NewTicker(ProbeInterval)
	defer ticker.Stop()
	for {
		c.probeOnce(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// Leave announces to up to zoneRelays live entries of the zone that this one leaves; the others receive the
// announcement by gossip. Failures are only logged.
func (c *Controller) Leave(ctx context.Context) {
	var targets []fleet.Entry
	c.withMembers(time.Now(), func(m *Members, _ time.Time) {
		m.Leave()
		targets = m.RandomAlive("", zoneRelays)
	})
	var group errgroup.Group
	for _, target := range targets {
		group.Go(func() error { return c.probe(ctx, target, false) })
	}
	if err := group.Wait(); err != nil {
		c.Log.Warn().Err(err).Msg("membership: cannot announce the departure of this entry")
	}
}

// HandleProbe applies the message of a probe and returns the reply to it.
func (c *Controller) HandleProbe(message Message) Message {
	c.Clock.Observe(message.Timestamp)
	var reply Message
	c.withMembers(time.Now(), func(m *Members, now time.Time) { reply = m.HandleMessage(now, message) })
	reply.Timestamp = c.Clock.Now()
	return reply
}

// withMembers calls change with the state machine under the controller's lock. It creates and starts the state machine
// if there is none yet. After change it replaces the rows of ZoneEntries if the members have changed.
func (c *Controller) withMembers(now time.Time, change func(m *Members, now time.Time)) {
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

// join sends join messages until all seeds and listed entries of the zone have replied and the instance list is known,
// for joinTimeout at most.
func (c *Controller) join(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	answered := make(map[netip.AddrPort]bool)
	for {
		c.updateListed()
		if c.sendJoins(ctx, answered) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(joinRetryInterval):
		}
	}
}

// sendJoins sends a join message to contacts that have not replied, and adds those that reply to answered. It reports
// whether no contact was left and the instance list is known.
func (c *Controller) sendJoins(ctx context.Context, answered map[netip.AddrPort]bool) bool {
	contacts := c.pickContacts(answered)
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

// pickContacts returns up to maxJoinContacts random addresses of seeds and of listed entries of the zone, except for
// this entry's own address and those in answered.
func (c *Controller) pickContacts(answered map[netip.AddrPort]bool) []netip.AddrPort {
	addresses := append([]netip.AddrPort(nil), c.Seeds...)
	for _, entry := range c.State.ListedEntries.Snapshot().Rows {
		if entry.Zone == c.Entry.Zone {
			addresses = append(addresses, entry.Address)
		}
	}
	c.Random.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	var contacts []netip.AddrPort
	for _, address := range addresses {
		if address != c.Entry.Address && !answered[address] && len(contacts) < maxJoinContacts {
			contacts = append(contacts, address)
		}
	}
	return contacts
}

// updateListed passes the listed entries of the zone to the state machine and returns them. Before the instance list is
// known it does nothing and returns nil.
func (c *Controller) updateListed() []fleet.Entry {
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
	c.withMembers(time.Now(), func(m *Members, now time.Time) { m.UpdateListed(now, entries) })
	return entries
}

// probeOnce sends the probes of one ProbeInterval and waits for their results. It probes the next member, all live
// members if a survey is due, and sends a join message to one listed entry that is not a member, or to one that is
// believed dead but may be reachable. If there is neither a member to probe nor such an entry, it sends the join
// message to one of Seeds.
func (c *Controller) probeOnce(ctx context.Context) {
	listed := c.updateListed()
	var target, reconnect fleet.Entry
	var probe, tryReconnect bool
	var surveyed []fleet.Entry
	c.withMembers(time.Now(), func(m *Members, now time.Time) {
		m.Tick(now)
		surveyed = m.SurveyTargets(now)
		target, probe = m.NextTarget()
		reconnect, tryReconnect = m.ReconnectTarget(listed)
	})
	if !tryReconnect && !probe && len(c.Seeds) > 0 {
		reconnect, tryReconnect = fleet.Entry{Address: c.Seeds[c.Random.IntN(len(c.Seeds))]}, true
	}
	var group errgroup.Group
	if probe {
		group.Go(func() error { c.probeAndRecord(ctx, target); return nil })
	}
	for _, entry := range surveyed {
		group.Go(func() error { c.probeAndRecord(ctx, entry); return nil })
	}
	if tryReconnect && reconnect.Address != c.Entry.Address {
		group.Go(func() error { _ = c.probe(ctx, reconnect, true); return nil })
	}
	_ = group.Wait()
}

// probeAndRecord probes an entry, first directly and then through relays, and records the result in the state machine.
// It records nothing if ctx has ended.
func (c *Controller) probeAndRecord(ctx context.Context, target fleet.Entry) {
	sent := time.Now()
	err := c.probe(ctx, target, false)
	confirmed := false
	if err != nil {
		sent = time.Now()
		confirmed, err = c.probeIndirectly(ctx, target)
	}
	if ctx.Err() != nil {
		return
	}
	c.withMembers(time.Now(), func(m *Members, now time.Time) {
		if err == nil {
			m.RecordAck(now, sent)
			return
		}
		m.RecordFailure(now, target.ID, confirmed)
	})
}

// probe sends one message and applies the reply, which must arrive within probeTimeout. It returns the error of the
// transport, or errWrongEntry.
func (c *Controller) probe(ctx context.Context, target fleet.Entry, join bool) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	reply, err := c.Transport.Probe(ctx, target.Address, c.newMessage(target.ID, join))
	if err != nil {
		return err
	}
	return c.handleReply(target, reply)
}

// newMessage returns the message for a target, with the current time of the hybrid logical clock.
func (c *Controller) newMessage(target fleet.EntryID, join bool) Message {
	var message Message
	c.withMembers(time.Now(), func(m *Members, _ time.Time) { message = m.NewMessage(target) })
	message.Join = join
	message.Timestamp = c.Clock.Now()
	return message
}

// handleReply applies the reply of a target, or returns errWrongEntry if another entry has replied. The ID of the
// target is empty if it is not known yet; then any entry may reply.
func (c *Controller) handleReply(target fleet.Entry, reply Message) error {
	if target.ID != "" && reply.From.ID != target.ID {
		return errWrongEntry
	}
	c.Clock.Observe(reply.Timestamp)
	c.withMembers(time.Now(), func(m *Members, now time.Time) { m.Receive(now, reply) })
	return nil
}

// probeIndirectly probes the target through relays and returns nil if a relay has returned the target's reply.
// Otherwise confirmed reports whether a relay of another zone could not reach the target either.
func (c *Controller) probeIndirectly(ctx context.Context, target fleet.Entry) (confirmed bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, indirectProbeTimeout)
	defer cancel()
	message := c.newMessage(target.ID, false)
	var mu sync.Mutex
	err = errors.New("membership: no relay reached the entry")
	var group errgroup.Group
	for _, relay := range c.pickRelays(target.ID) {
		group.Go(func() error {
			reply, reached, probeErr := c.Transport.ProbeFor(ctx, relay.Address, target.Address, message)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case probeErr != nil:
			case !reached:
				confirmed = confirmed || relay.Zone != c.Entry.Zone
			case c.handleReply(target, reply) == nil:
				err = nil
				cancel()
			}
			return nil
		})
	}
	_ = group.Wait()
	return confirmed, err
}

// pickRelays returns up to zoneRelays random live entries of the zone and up to otherZoneRelays of other zones, never
// the target.
func (c *Controller) pickRelays(target fleet.EntryID) []fleet.Entry {
	var otherZones []fleet.Entry
	for _, entry := range c.State.Entries.Snapshot().Rows {
		if entry.Zone != c.Entry.Zone && entry.State == fleet.StateLive {
			otherZones = append(otherZones, entry)
		}
	}
	var relays []fleet.Entry
	c.withMembers(time.Now(), func(m *Members, _ time.Time) {
		relays = m.RandomAlive(target, zoneRelays)
		m.Random.Shuffle(len(otherZones), func(i, j int) { otherZones[i], otherZones[j] = otherZones[j], otherZones[i] })
	})
	return append(relays, otherZones[:min(otherZoneRelays, len(otherZones))]...)
}
