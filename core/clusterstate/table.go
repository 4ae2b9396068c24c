// Package clusterstate holds versioned tables of what an entry knows about the cluster; controllers read and write
// them.
package clusterstate

import (
	"maps"
	"sync"
)

// Table is a versioned map that notifies readers of changes. Its zero value is ready to use, and it is safe for
// concurrent use.
type Table[K comparable, V any] struct {
	mu      sync.Mutex
	version uint64
	rows    map[K]V
	changed chan struct{}
}

// Snapshot is the immutable content of a table at one version.
type Snapshot[K comparable, V any] struct {
	// Version increases by one with every change of the table.
	Version uint64
	// Rows holds the rows at that version; callers must not modify it.
	Rows map[K]V
}

// Set inserts or replaces one row.
func (t *Table[K, V]) Set(key K, row V) {
	t.mu.Lock()
	defer t.mu.Unlock()
	rows := maps.Clone(t.rows)
	if rows == nil {
		rows = make(map[K]V)
	}
	rows[key] = row
	t.replace(rows)
}

// Update inserts or replaces one row by the result of change and reports whether it did. change is called under the
// table's lock with the current row; it returns false to keep that row.
func (t *Table[K, V]) Update(key K, change func(row V, found bool) (V, bool)) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	old, found := t.rows[key]
	row, ok := change(old, found)
	if !ok {
		return false
	}
	rows := maps.Clone(t.rows)
	if rows == nil {
		rows = make(map[K]V)
	}
	rows[key] = row
	t.replace(rows)
	return true
}

// Delete removes a row if it exists.
func (t *Table[K, V]) Delete(key K) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, found := t.rows[key]; !found {
		return
	}
	rows := maps.Clone(t.rows)
	delete(rows, key)
	t.replace(rows)
}

// Replace replaces all rows; the table takes ownership of rows.
func (t *Table[K, V]) Replace(rows map[K]V) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.replace(rows)
}

// Get returns one row and whether it exists.
func (t *Table[K, V]) Get(key K) (V, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row, found := t.rows[key]
	return row, found
}

// Snapshot returns the current rows without copying them.
func (t *Table[K, V]) Snapshot() Snapshot[K, V] {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Snapshot[K, V]{Version: t.version, Rows: t.rows}
}

// Changed returns a channel that is closed at the next change of the table after this call.
func (t *Table[K, V]) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.changed == nil {
		t.changed = make(chan struct{})
	}
	return t.changed
}

// replace sets the rows, increases the version and wakes the readers; the caller holds the lock.
func (t *Table[K, V]) replace(rows map[K]V) {
	t.rows = rows
	t.version++
	if t.changed != nil {
		close(t.changed)
		t.changed = nil
	}
}
