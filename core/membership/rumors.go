package membership

import (
	"cmp"
	"math/bits"
	"slices"

	"wisteriadyke/core/fleet"
)

const (
	// maxRumors bounds the updates that one message carries by gossip.
	maxRumors = 8
	// retransmissionFactor times the logarithm of the number of members bounds how often an entry sends one update.
	retransmissionFactor = 3
)

// rumor is an update that still has to be sent.
type rumor struct {
	update Update
	sent   int
}

// rumors holds the updates that still have to be sent; each is sent a bounded number of times.
type rumors struct {
	rows map[fleet.EntryID]*rumor
}

// add puts an update in place of an older one about the same entry.
func (r *rumors) add(update Update) {
	if r.rows == nil {
		r.rows = make(map[fleet.EntryID]*rumor)
	}
	r.rows[update.Entry.ID] = &rumor{update: update}
}

// take returns the least sent updates and counts them as sent to one of members entries.
func (r *rumors) take(members int) []Update {
	order := make([]*rumor, 0, len(r.rows))
	for _, row := range r.rows {
		order = append(order, row)
	}
	slices.SortFunc(order, func(a, b *rumor) int {
		return cmp.Or(cmp.Compare(a.sent, b.sent), cmp.Compare(a.update.Entry.ID, b.update.Entry.ID))
	})
	limit := retransmissionFactor * bits.Len(uint(members))
	var updates []Update
	for _, row := range order[:min(len(order), maxRumors)] {
		updates = append(updates, row.update)
		row.sent++
		if row.sent >= limit {
			delete(r.rows, row.update.Entry.ID)
		}
	}
	return updates
}
