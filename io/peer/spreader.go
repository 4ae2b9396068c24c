package peer

import (
	"context"
	"net/netip"

	"github.com/pkg/errors"

	"wisteriadyke/core/gossip"
)

// Spreader handles the gossip of other entries.
type Spreader interface {
	// HandleCompare returns the difference between the local items and a digest.
	HandleCompare(digest gossip.Digest) gossip.Difference
	// HandleOffer returns the keys of the offered versions that this entry requests.
	HandleOffer(versions []gossip.Version) []string
	// HandleExchange stores items and returns those with the requested keys.
	HandleExchange(items []gossip.Item, keys []string) []gossip.Item
}

// Compare sends a digest and returns the difference from the other entry's items.
func (c *Client) Compare(ctx context.Context, to netip.AddrPort, digest gossip.Digest) (gossip.Difference, error) {
	conn := c.gossipConn(ctx, to)
	reply, err := NewDRPCSpreadClient(conn).Compare(ctx, &CompareRequest{Groups: digest[:]})
	if err != nil {
		return gossip.Difference{}, errors.Wrapf(err, "compare with %s", to)
	}
	return gossip.Difference{Buckets: reply.Groups, Versions: fromItemStamps(reply.Stamps)}, nil
}

// Offer sends versions and returns the keys that the other entry requests.
func (c *Client) Offer(ctx context.Context, to netip.AddrPort, versions []gossip.Version) ([]string, error) {
	conn := c.gossipConn(ctx, to)
	reply, err := NewDRPCSpreadClient(conn).Offer(ctx, &OfferRequest{Stamps: toItemStamps(versions)})
	if err != nil {
		return nil, errors.Wrapf(err, "offer to %s", to)
	}
	return reply.Wanted, nil
}

// Exchange sends items and returns those with the requested keys.
func (c *Client) Exchange(
	ctx context.Context, to netip.AddrPort, items []gossip.Item, keys []string,
) ([]gossip.Item, error) {
	conn := c.gossipConn(ctx, to)
	request := &ExchangeRequest{Items: toItems(items), Wanted: keys}
	reply, err := NewDRPCSpreadClient(conn).Exchange(ctx, request)
	if err != nil {
		return nil, errors.Wrapf(err, "exchange with %s", to)
	}
	return fromItems(reply.Items), nil
}

// spreadHandler implements the Spread service.
type spreadHandler struct {
	spreader Spreader
}

// Compare returns the difference between the local items and a digest.
func (h *spreadHandler) Compare(_ context.Context, m *CompareRequest) (*CompareReply, error) {
	var digest gossip.Digest
	if len(m.Groups) != len(digest) {
		return nil, errors.Errorf("digest of %d groups, want %d", len(m.Groups), len(digest))
	}
	difference := h.spreader.HandleCompare(gossip.Digest(m.Groups))
	return &CompareReply{Groups: difference.Buckets, Stamps: toItemStamps(difference.Versions)}, nil
}

// Offer returns the keys of the offered versions that this entry requests.
func (h *spreadHandler) Offer(_ context.Context, m *OfferRequest) (*OfferReply, error) {
	return &OfferReply{Wanted: h.spreader.HandleOffer(fromItemStamps(m.Stamps))}, nil
}

// Exchange stores items and returns those with the requested keys.
func (h *spreadHandler) Exchange(_ context.Context, m *ExchangeRequest) (*ExchangeReply, error) {
	return &ExchangeReply{Items: toItems(h.spreader.HandleExchange(fromItems(m.Items), m.Wanted))}, nil
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
