package peer

import (
	"context"
	"net/netip"

	"github.com/pkg/errors"

	"wisteriadyke/core/gossip"
)

// Spreader answers the exchange of items with other entries.
type Spreader interface {
	// HandleCompare returns what differs from a digest.
	HandleCompare(digest gossip.Digest) gossip.Difference
	// HandleOffer returns the offered keys that are wanted.
	HandleOffer(stamps []gossip.Version) []string
	// HandleExchange takes items and returns those that are wanted.
	HandleExchange(items []gossip.Item, wanted []string) []gossip.Item
}

// Compare sends a digest and returns what differs.
func (c *Client) Compare(ctx context.Context, to netip.AddrPort, digest gossip.Digest) (gossip.Difference, error) {
	conn := c.gossipConn(ctx, to)
	reply, err := NewDRPCSpreadClient(conn).Compare(ctx, &CompareRequest{Groups: digest[:]})
	if err != nil {
		return gossip.Difference{}, errors.Wrapf(err, "compare with %s", to)
	}
	return gossip.Difference{Buckets: reply.Groups, Versions: fromStamps(reply.Stamps)}, nil
}

// Offer sends stamps and returns the keys that the other entry wants.
func (c *Client) Offer(ctx context.Context, to netip.AddrPort, stamps []gossip.Version) ([]string, error) {
	conn := c.gossipConn(ctx, to)
	reply, err := NewDRPCSpreadClient(conn).Offer(ctx, &OfferRequest{Stamps: toStamps(stamps)})
	if err != nil {
		return nil, errors.Wrapf(err, "offer to %s", to)
	}
	return reply.Wanted, nil
}

// Exchange sends items and returns those that were wanted.
func (c *Client) Exchange(
	ctx context.Context, to netip.AddrPort, items []gossip.Item, wanted []string,
) ([]gossip.Item, error) {
	conn := c.gossipConn(ctx, to)
	request := &ExchangeRequest{Items: toItems(items), Wanted: wanted}
	reply, err := NewDRPCSpreadClient(conn).Exchange(ctx, request)
	if err != nil {
		return nil, errors.Wrapf(err, "exchange with %s", to)
	}
	return fromItems(reply.Items), nil
}

// spreadHandler answers for this entry.
type spreadHandler struct {
	spreader Spreader
}

// Compare returns what differs from a digest.
func (h *spreadHandler) Compare(_ context.Context, m *CompareRequest) (*CompareReply, error) {
	var digest gossip.Digest
	if len(m.Groups) != len(digest) {
		return nil, errors.Errorf("digest of %d groups, want %d", len(m.Groups), len(digest))
	}
	difference := h.spreader.HandleCompare(gossip.Digest(m.Groups))
	return &CompareReply{Groups: difference.Buckets, Stamps: toStamps(difference.Versions)}, nil
}

// Offer returns the offered keys that are wanted.
func (h *spreadHandler) Offer(_ context.Context, m *OfferRequest) (*OfferReply, error) {
	return &OfferReply{Wanted: h.spreader.HandleOffer(fromStamps(m.Stamps))}, nil
}

// Exchange takes items and returns those that are wanted.
func (h *spreadHandler) Exchange(_ context.Context, m *ExchangeRequest) (*ExchangeReply, error) {
	return &ExchangeReply{Items: toItems(h.spreader.HandleExchange(fromItems(m.Items), m.Wanted))}, nil
}

// toStamps turns stamps into their wire form.
func toStamps(stamps []gossip.Version) []*ItemStamp {
	wire := make([]*ItemStamp, len(stamps))
	for i, s := range stamps {
		wire[i] = &ItemStamp{Key: s.Key, Revision: s.Revision}
	}
	return wire
}

// fromStamps turns the wire form into stamps.
func fromStamps(wire []*ItemStamp) []gossip.Version {
	stamps := make([]gossip.Version, len(wire))
	for i, w := range wire {
		stamps[i] = gossip.Version{Key: w.Key, Revision: w.Revision}
	}
	return stamps
}

// toItems turns items into their wire form.
func toItems(items []gossip.Item) []*SpreadItem {
	wire := make([]*SpreadItem, len(items))
	for i, item := range items {
		payload, compressed := compress(item.Payload)
		wire[i] = &SpreadItem{
			Key:        item.Key,
			Revision:   item.Revision,
			Urgent:     item.Urgent,
			Payload:    payload,
			Compressed: compressed,
		}
	}
	return wire
}

// fromItems turns the wire form into items; those that can't be read are left out and fetched again later.
func fromItems(wire []*SpreadItem) []gossip.Item {
	items := make([]gossip.Item, 0, len(wire))
	for _, w := range wire {
		payload, err := decompress(w.Payload, w.Compressed)
		if err != nil {
			continue
		}
		items = append(items, gossip.Item{Key: w.Key, Revision: w.Revision, Urgent: w.Urgent, Payload: payload})
	}
	return items
}
