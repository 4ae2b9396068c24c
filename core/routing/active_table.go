package routing

import "sync/atomic"

// ActiveTable holds the current routing table, which only a table with a greater version replaces. It is safe for
// concurrent use.
type ActiveTable struct {
	table atomic.Pointer[Table]
}

// Table returns the current table, or nil if there is none yet.
func (c *ActiveTable) Table() *Table {
	return c.table.Load()
}

// ReplaceIfNewer replaces the table if the new one has a greater version, and reports whether it did.
func (c *ActiveTable) ReplaceIfNewer(table *Table) bool {
	for {
		old := c.table.Load()
		if old != nil && old.Version >= table.Version {
			return false
		}
		if c.table.CompareAndSwap(old, table) {
			return true
		}
	}
}
