package routing

import "sync/atomic"

// Current holds the configuration in force, which never goes back to an older version.
type Current struct {
	table atomic.Pointer[Table]
}

// Table returns the configuration in force, or nil before the first one.
func (c *Current) Table() *Table {
	return c.table.Load()
}

// Adopt puts a newer configuration in force and reports whether it was newer.
func (c *Current) Adopt(table *Table) bool {
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
