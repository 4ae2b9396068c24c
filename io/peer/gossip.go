package peer

import (
	"context"
	"net/netip"

	"github.com/pkg/errors"

	"wisteriadyke/core/gossip"
)

// GossipReceiver answers gossip calls from other entries. It makes none; Client does.
type GossipReceiver interface {
	// HandleCompare returns how the local items differ from the digest of another entry's items.
	HandleCompare(digest gossip.Digest) gossip.Difference
	// HandleOffer returns the keys of the offered versions that this entry requests.
	HandleOffer(versions []gossip.Version) []string
	// HandleExchange stores the items of another entry and returns the local items with the requested keys.
	HandleExchange(items []gossip.Item, keys []string) []gossip.Item
}

// Compare sends the digest of this entry's items and returns how the other entry's items differ from it.
func (c *Client) Compare(ctx context.Context, to netip.AddrPort, digest gossip.Digest) (gossip.Difference, error) {
	conn := c.shortCallConn(ctx, to)
	reply, err := NewDRPCSpreadClient(conn).Compare(ctx, &CompareRequest{Groups: digest[:]})
	if err != nil {
		return gossip.Difference{}, errors.Wrapf(err, "compare with %s", to)
	}
	return gossip.Difference{Buckets: reply.Groups, Versions: fromItemStamps(reply.Stamps)}, nil
}

// Offer sends versions and returns the keys that the other entry requests.
func (c *Client) Offer(ctx context.Context, to netip.AddrPort, versions []gossip.Version) ([]string, error) {
	conn := c.shortCallConn(ctx, to)
	reply, err := NewDRPCSpreadClient(conn).Offer(ctx, &OfferRequest{Stamps: toItemStamps(versions)})
	if err != nil {
		return nil, errors.Wrapf(err, "offer to %s", to)
	}
	return reply.Wanted, nil
}

// Exchange sends items and returns the other entry's items with the requested keys.
func (c *Client) Exchange(
	ctx context.Context, to netip.AddrPort, items []gossip.Item, keys []string,
) ([]gossip.Item, error) {
	conn := c.shortCallConn(ctx, to)
	request := &ExchangeRequest{Items: toItems(items), Wanted: keys}
	reply, err := NewDRPCSpreadClient(conn).Exchange(ctx, request)
	if err != nil {
		return nil, errors.Wrapf(err, "exchange with %s", to)
	}
	return fromItems(reply.Items), nil
}

// gossipHandler implements the Spread service.
type gossipHandler struct {
	receiver GossipReceiver
}

// Compare returns how the local items differ from the digest of another entry's items.
func (h *gossipHandler) Compare(_ context.Context, m *CompareRequest) (*CompareReply, error) {
	var digest gossip.Digest
	if len(m.Groups) != len(digest) {
		return nil, errors.Errorf("digest of %d groups, want %d", len(m.Groups), len(digest))
	}
	difference := h.receiver.HandleCompare(gossip.Digest(m.Groups))
	return &CompareReply{Groups: difference.Buckets, Stamps: toItemStamps(difference.Versions)}, nil
}

// Offer returns the keys of the offered versions that this entry requests.
func (h *gossipHandler) Offer(_ context.Context, m *OfferRequest) (*OfferReply, error) {
	return &OfferReply{Wanted: h.receiver.HandleOffer(fromItemStamps(m.Stamps))}, nil
}

// Exchange stores the items of another entry and returns the local items with the requested keys.
func (h *gossipHandler) Exchange(_ context.Context, m *ExchangeRequest) (*ExchangeReply, error) {
	return &ExchangeReply{Items: toItems(h.receiver.HandleExchange(fromItems(m.Items), m.Wanted))}, nil
}

// toItemStamps converts versions to their wire form.
func toItemStamps(versions []gossip.Version) []*ItemStamp {
	wire := make([]*ItemStamp, len(versions))
	for i, s := range versions {
		wire[i] = &ItemStamp{Key: s.Key, Revision: s.Revision}
	}
	return wire
}

// fromItemStamps converts the wire form to versions.
func fromItemStamps(wire []*ItemStamp) []gossip.Version {
	versions := make([]gossip.Version, len(wire))
	for i, w := range wire {
		versions[i] = gossip.Version{Key: w.Key, Revision: w.Revision}
	}
	return versions
}

// toItems converts items to their wire form; large payloads are compressed.
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

// fromItems converts the wire form to items. Items that can't be decompressed are left out; a later comparison fetches
// them again.
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
