package peer

import (
	"context"
	"net/netip"

	"github.com/pkg/errors"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/sharedload"
)

// Usages takes what other entries run on endpoints.
type Usages interface {
	// TakeUsages takes all that one entry runs.
	TakeUsages(entry fleet.EntryID, usages map[fleet.EndpointID]sharedload.Usage)
}

// UsageTransport carries usages to other entries.
type UsageTransport struct {
	// Client reaches the other entries.
	Client *Client
}

// Tell sends all that this entry runs.
func (t *UsageTransport) Tell(
	ctx context.Context, to netip.AddrPort, entry fleet.EntryID, usages map[fleet.EndpointID]sharedload.Usage,
) error {
	message := &UsageSet{Entry: string(entry)}
	for id, u := range usages {
		message.Usages = append(message.Usages, &EndpointUsage{
			Endpoint:     string(id),
			Running:      int64(u.Running),
			Quick:        int64(u.Quick),
			ReadingUs:    u.Reading.Microseconds(),
			MemoryTokens: int64(u.Memory),
		})
	}
	_, err := NewDRPCUsageClient(t.Client.gossipConn(ctx, to)).Take(ctx, message)
	return errors.Wrapf(err, "usages to %s", to)
}

// usageHandler turns messages into usages.
type usageHandler struct {
	usages Usages
}

// Take takes all that one entry runs.
func (h *usageHandler) Take(_ context.Context, m *UsageSet) (*UsageReply, error) {
	usages := make(map[fleet.EndpointID]sharedload.Usage, len(m.Usages))
	for _, u := range m.Usages {
		usages[fleet.EndpointID(u.Endpoint)] = sharedload.Usage{
			Running: int(u.Running),
			Quick:   int(u.Quick),
			Reading: microseconds(u.ReadingUs),
			Memory:  fleet.Tokens(u.MemoryTokens),
		}
	}
	h.usages.TakeUsages(fleet.EntryID(m.Entry), usages)
	return &UsageReply{}, nil
}
