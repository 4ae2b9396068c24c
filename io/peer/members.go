package peer

import (
	"context"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/membership"
	"wisteriadyke/core/timeline"
)

// relayTimeout bounds the probe that an entry makes for another.
const relayTimeout = 400 * time.Millisecond

// Prober answers probes of other entries.
type Prober interface {
	// HandleProbe returns the answer to a probe.
	HandleProbe(message membership.Message) membership.Message
}

// Probe sends a message to the entry at an address and returns its answer.
func (c *Client) Probe(ctx context.Context, to netip.AddrPort, message membership.Message) (membership.Message, error) {
	return c.probe(ctx, to, toMemberMessage(message))
}

// probe sends a wire message.
func (c *Client) probe(ctx context.Context, to netip.AddrPort, message *MemberMessage) (membership.Message, error) {
	conn := c.gossipConn(ctx, to)
	answer, err := NewDRPCMemberClient(conn).Probe(ctx, message)
	if err != nil {
		return membership.Message{}, errors.Wrapf(err, "probe %s", to)
	}
	return fromMemberMessage(answer), nil
}

// ProbeFor asks a helper to pass the message on; reached is false if the helper answered and the target did not.
func (c *Client) ProbeFor(
	ctx context.Context, helper, target netip.AddrPort, message membership.Message,
) (answer membership.Message, reached bool, err error) {
	conn := c.gossipConn(ctx, helper)
	request := &ProbeForRequest{Target: toAddress(target), Message: toMemberMessage(message)}
	reply, err := NewDRPCMemberClient(conn).ProbeFor(ctx, request)
	if err != nil {
		return membership.Message{}, false, errors.Wrapf(err, "probe %s by %s", target, helper)
	}
	if !reply.Reached {
		return membership.Message{}, false, nil
	}
	return fromMemberMessage(reply.Answer), true, nil
}

// memberHandler answers probes.
type memberHandler struct {
	prober Prober
	client *Client
}

// Probe answers for this entry.
func (h *memberHandler) Probe(_ context.Context, m *MemberMessage) (*MemberMessage, error) {
	return toMemberMessage(h.prober.HandleProbe(fromMemberMessage(m))), nil
}

// ProbeFor passes the message on to the target.
func (h *memberHandler) ProbeFor(ctx context.Context, m *ProbeForRequest) (*ProbeForReply, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	answer, err := h.client.probe(ctx, fromAddress(m.Target), m.Message)
	if err != nil {
		// The asking entry learns that the target was missed.
		return &ProbeForReply{}, nil //nolint:nilerr // the failure is the answer
	}
	return &ProbeForReply{Reached: true, Answer: toMemberMessage(answer)}, nil
}

// toMemberMessage turns a message into its wire form.
func toMemberMessage(m membership.Message) *MemberMessage {
	wire := &MemberMessage{
		From:    toEntryRecord(m.From),
		WallUs:  m.Stamp.Wall.UnixMicro(),
		Logical: m.Stamp.Logical,
		View:    m.ViewHash,
		Join:    m.Join,
	}
	for _, u := range m.Updates {
		wire.Updates = append(wire.Updates, &MemberUpdate{Entry: toEntryRecord(u.Entry), Status: uint32(u.Status)})
	}
	return wire
}

// fromMemberMessage turns the wire form into a message.
func fromMemberMessage(wire *MemberMessage) membership.Message {
	m := membership.Message{
		From:     fromEntryRecord(wire.GetFrom()),
		Stamp:    timeline.Timestamp{Wall: time.UnixMicro(wire.GetWallUs()), Logical: wire.GetLogical()},
		ViewHash: wire.GetView(),
		Join:     wire.GetJoin(),
	}
	for _, u := range wire.GetUpdates() {
		if u.Status <= uint32(membership.StatusLeft) {
			update := membership.Update{Entry: fromEntryRecord(u.Entry), Status: membership.Status(u.Status)}
			m.Updates = append(m.Updates, update)
		}
	}
	return m
}

// toEntryRecord turns an entry into its wire form.
func toEntryRecord(e fleet.Entry) *EntryRecord {
	return &EntryRecord{
		Id:          string(e.ID),
		Zone:        string(e.Zone),
		Address:     toAddress(e.Address),
		Incarnation: uint64(e.Incarnation),
		Leaving:     e.State == fleet.StateLeaving,
	}
}

// fromEntryRecord turns the wire form into an entry.
func fromEntryRecord(wire *EntryRecord) fleet.Entry {
	entry := fleet.Entry{
		ID:          fleet.EntryID(wire.GetId()),
		Zone:        fleet.Zone(wire.GetZone()),
		Address:     fromAddress(wire.GetAddress()),
		Incarnation: fleet.Incarnation(wire.GetIncarnation()),
		State:       fleet.StateLive,
	}
	if wire.GetLeaving() {
		entry.State = fleet.StateLeaving
	}
	return entry
}

// toAddress turns an address into its binary form, empty for the zero address.
func toAddress(address netip.AddrPort) []byte {
	if !address.IsValid() {
		return nil
	}
	// AppendBinary of netip can't fail.
	binary, _ := address.MarshalBinary()
	return binary
}

// fromAddress turns the binary form into an address, the zero address if it can't be read.
func fromAddress(binary []byte) netip.AddrPort {
	var address netip.AddrPort
	if err := address.UnmarshalBinary(binary); err != nil {
		return netip.AddrPort{}
	}
	return address
}
