package membership

import (
	"cmp"
	"math/bits"
	"slices"

	"wisteriadyke/core/fleet"
)

const (
	// maxGossipUpdates bounds the updates that one message takes from the gossip queue.
	maxGossipUpdates = 8
	// retransmissionFactor times the number of bits in the number of members is how often an entry sends one update.
	retransmissionFactor = 3
)

// pendingUpdate is an update in the gossip queue.
type pendingUpdate struct {
	update    Update
	sendCount int
}

// gossipQueue holds the updates that still have to be sent; each is sent a bounded number of times.
type gossipQueue struct {
	pending map[fleet.EntryID]*pendingUpdate
}

// add queues an update in place of an older one about the same entry.
func (q *gossipQueue) add(update Update) {
	if q.pending == nil {
		q.pending = make(map[fleet.EntryID]*pendingUpdate)
	}
	q.pending[update.Entry.ID] = &pendingUpdate{update: update}
}

// next returns the updates that were sent least often, and counts them as sent. It drops an update that was sent as
// often as a zone with the given number of members needs.
func (q *gossipQueue) next(members int) []Update {
	order := make([]*pendingUpdate, 0, len(q.pending))
	for _, item := range q.pending {
		order = append(order, item)
	}
	slices.SortFunc(order, func(a, b *pendingUpdate) int {
		return cmp.Or(cmp.Compare(a.sendCount, b.sendCount), cmp.Compare(a.update.Entry.ID, b.update.Entry.ID))
	})
	limit := retransmissionFactor * bits.Len(uint(members))
	var updates []Update
	for _, item := range order[:min(len(order), maxGossipUpdates)] {
		updates = append(updates, item.update)
		item.sendCount++
		if item.sendCount >= limit {
			delete(q.pending, item.update.Entry.ID)
		}
	}
	return updates
}
