package membership

import (
	"cmp"
	"math/bits"
	"slices"

	"wisteriadyke/core/fleet"
)

const (
	// maxGossipUpdates bounds the updates of one message that come from the gossip queue.
	maxGossipUpdates = 8
	// retransmissionFactor times the bit length of the number of members is how many times an entry sends one update.
	retransmissionFactor = 3
)

// pendingUpdate is an update in the gossip queue.
type pendingUpdate struct {
	update    Update
	sendCount int
}

// gossipQueue holds the updates that still have to be sent, at most one for each entry. Each is sent a bounded number
// of times.
type gossipQueue struct {
	pending map[fleet.EntryID]*pendingUpdate
}

// add queues an update in place of one about the same entry that is still queued.
func (q *gossipQueue) add(update Update) {
	if q.pending == nil {
		q.pending = make(map[fleet.EntryID]*pendingUpdate)
	}
	q.pending[update.Entry.ID] = &pendingUpdate{update: update}
}

// next returns up to maxGossipUpdates updates that were sent least often, and counts them as sent. It drops those that
// have reached the retransmission limit for the given number of members.
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
