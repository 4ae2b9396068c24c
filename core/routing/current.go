package routing

import "sync/atomic"

// ActiveTable holds the configuration in force, which never goes back to an older version.
type ActiveTable struct {
	table atomic.Pointer[Table]
}

// Table returns the configuration in force, or nil before the first one.
func (c *ActiveTable) Table() *Table {
	return c.table.Load()
}

// ReplaceIfNewer puts a newer configuration in force and reports whether it was newer.
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
