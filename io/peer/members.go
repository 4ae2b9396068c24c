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

// relayTimeout bounds a probe that this entry sends as a relay, on behalf of another one.
const relayTimeout = 400 * time.Millisecond

// ProbeReceiver answers probes from other entries. It sends none; Client.Probe does.
type ProbeReceiver interface {
	// HandleProbe applies the message of a probe and returns the reply.
	HandleProbe(message membership.Message) membership.Message
}

// Probe sends a message to the entry at an address and returns its reply.
func (c *Client) Probe(ctx context.Context, to netip.AddrPort, message membership.Message) (membership.Message, error) {
	return c.probe(ctx, to, toMemberMessage(message))
}

// probe is Probe with a message in its wire form.
func (c *Client) probe(ctx context.Context, to netip.AddrPort, message *MemberMessage) (membership.Message, error) {
	conn := c.shortCallConn(ctx, to)
	answer, err := NewDRPCMemberClient(conn).Probe(ctx, message)
	if err != nil {
		return membership.Message{}, errors.Wrapf(err, "probe %s", to)
	}
	return fromMemberMessage(answer), nil
}

// ProbeFor asks the entry at the address relay to probe the target for this one. The result reached is false if the
// relay answered but the target did not.
func (c *Client) ProbeFor(
	ctx context.Context, relay, target netip.AddrPort, message membership.Message,
) (answer membership.Message, reached bool, err error) {
	conn := c.shortCallConn(ctx, relay)
	request := &ProbeForRequest{Target: toAddress(target), Message: toMemberMessage(message)}
	reply, err := NewDRPCMemberClient(conn).ProbeFor(ctx, request)
	if err != nil {
		return membership.Message{}, false, errors.Wrapf(err, "probe %s through %s", target, relay)
	}
	if !reply.Reached {
		return membership.Message{}, false, nil
	}
	return fromMemberMessage(reply.Answer), true, nil
}

// memberHandler implements the Member service.
type memberHandler struct {
	receiver ProbeReceiver
	client   *Client
}

// Probe answers a probe that another entry sends to this one.
func (h *memberHandler) Probe(_ context.Context, m *MemberMessage) (*MemberMessage, error) {
	return toMemberMessage(h.receiver.HandleProbe(fromMemberMessage(m))), nil
}

// ProbeFor forwards the message to the target and returns the target's reply. Reached is false if there is none within
// relayTimeout.
func (h *memberHandler) ProbeFor(ctx context.Context, m *ProbeForRequest) (*ProbeForReply, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	answer, err := h.client.probe(ctx, fromAddress(m.Target), m.Message)
	if err != nil {
		// The reply reports to the calling entry that the target was not reached.
		return &ProbeForReply{}, nil //nolint:nilerr // the reply reports the failure
	}
	return &ProbeForReply{Reached: true, Answer: toMemberMessage(answer)}, nil
}

// toMemberMessage converts a message to its wire form.
func toMemberMessage(m membership.Message) *MemberMessage {
	wire := &MemberMessage{
		From:    toEntryRecord(m.From),
		WallUs:  m.Timestamp.Wall.UnixMicro(),
		Logical: m.Timestamp.Logical,
		View:    m.ViewHash,
		Join:    m.Join,
	}
	for _, u := range m.Updates {
		wire.Updates = append(wire.Updates, &MemberUpdate{Entry: toEntryRecord(u.Entry), Status: uint32(u.Status)})
	}
	return wire
}

// fromMemberMessage converts the wire form to a message; updates with an unknown status are left out.
func fromMemberMessage(wire *MemberMessage) membership.Message {
	m := membership.Message{
		From:      fromEntryRecord(wire.GetFrom()),
		Timestamp: timeline.Timestamp{Wall: time.UnixMicro(wire.GetWallUs()), Logical: wire.GetLogical()},
		ViewHash:  wire.GetView(),
		Join:      wire.GetJoin(),
	}
	for _, u := range wire.GetUpdates() {
		if u.Status <= uint32(membership.StatusLeft) {
			update := membership.Update{Entry: fromEntryRecord(u.Entry), Status: membership.Status(u.Status)}
			m.Updates = append(m.Updates, update)
		}
	}
	return m
}

// toEntryRecord converts an entry to its wire form.
func toEntryRecord(e fleet.Entry) *EntryRecord {
	return &EntryRecord{
		Id:          string(e.ID),
		Zone:        string(e.Zone),
		Address:     toAddress(e.Address),
		Incarnation: uint64(e.Incarnation),
		Leaving:     e.State == fleet.StateLeaving,
	}
}

// fromEntryRecord converts the wire form to an entry.
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

// toAddress returns the binary form of an address, or nil for the zero address.
func toAddress(address netip.AddrPort) []byte {
	if !address.IsValid() {
		return nil
	}
	// MarshalBinary of netip.AddrPort never returns an error.
	binary, _ := address.MarshalBinary()
	return binary
}

// fromAddress returns the address of a binary form, or the zero address if the form is invalid.
func fromAddress(binary []byte) netip.AddrPort {
	var address netip.AddrPort
	if err := address.UnmarshalBinary(binary); err != nil {
		return netip.AddrPort{}
	}
	return address
}
