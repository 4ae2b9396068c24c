package clusterstate

import (
	"cmp"
	"slices"
	"sync"

	"wisteriadyke/core/fleet"
)

// Ranking is the order in which entries are preferred for duties that one of them has for others. All entries that know
// the same entries agree on it: by descending CPU cores, then by fleet.Rank. Its zero value is ready to use, and it is
// safe for concurrent use.
type Ranking struct {
	mu      sync.Mutex
	ranked  []fleet.Entry
	version uint64
}

// Entries returns the entries of a table in the order of preference; callers must not modify the result. The table must
// be the same in all calls, since the order is computed once for each version of it.
func (r *Ranking) Entries(table *Table[fleet.EntryID, fleet.Entry]) []fleet.Entry {
	snapshot := table.Snapshot()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ranked != nil && r.version == snapshot.Version {
		return r.ranked
	}
	ranked := make([]fleet.Entry, 0, len(snapshot.Rows))
	for _, entry := range snapshot.Rows {
		ranked = append(ranked, entry)
	}
	slices.SortFunc(ranked, func(a, b fleet.Entry) int {
		return cmp.Or(
			cmp.Compare(b.CPUCores, a.CPUCores),
			cmp.Compare(fleet.Rank(a.ID), fleet.Rank(b.ID)),
			cmp.Compare(a.ID, b.ID),
		)
	})
	r.ranked, r.version = ranked, snapshot.Version
	return ranked
}
