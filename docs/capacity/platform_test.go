package capacity

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"

	"wisteriadyke/io/platform"
)

// memoryPlatform implements the platform's client with an instance list and rows in memory, and counts its use.
type memoryPlatform struct {
	// reads is the number of keys passed to Read plus the number of calls of Scan.
	reads atomic.Int64
	// lists is the number of calls of Instances.
	lists atomic.Int64
	// writes is the number of writes passed to Transact, applied or not.
	writes atomic.Int64

	// mu guards the fields below.
	mu        sync.Mutex
	instances []platform.Instance
	rows      map[platform.RowKey]platform.Row
}

// Instances returns the instance list.
func (t *memoryPlatform) Instances(context.Context) ([]platform.Instance, error) {
	t.lists.Add(1)
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.instances, nil
}

// Transact applies all writes if their version conditions hold, else returns platform.ErrConflict. It does not support
// deletions.
func (t *memoryPlatform) Transact(_ context.Context, _ string, writes []platform.Write) ([]int64, error) {
	t.writes.Add(int64(len(writes)))
	t.mu.Lock()
	defer t.mu.Unlock()
	versions := make([]int64, len(writes))
	for _, w := range writes {
		if w.IfVersion != platform.VersionAny && w.IfVersion != t.rows[w.Key].Version {
			return nil, platform.ErrConflict
		}
	}
	for i, w := range writes {
		versions[i] = t.rows[w.Key].Version + 1
		t.rows[w.Key] = platform.Row{Key: w.Key, Value: w.Value, Version: versions[i]}
	}
	return versions, nil
}

// Read returns the rows with the given keys, in the order of the keys; absent rows have version 0.
func (t *memoryPlatform) Read(_ context.Context, keys []platform.RowKey) ([]platform.Row, error) {
	t.reads.Add(int64(len(keys)))
	t.mu.Lock()
	defer t.mu.Unlock()
	rows := make([]platform.Row, len(keys))
	for i, key := range keys {
		rows[i] = t.rows[key]
		rows[i].Key = key
	}
	return rows, nil
}

// Scan returns the rows of a table whose keys have a prefix, in no defined order; it ignores the start and the limit.
func (t *memoryPlatform) Scan(_ context.Context, table, prefix, _ string, _ int) ([]platform.Row, error) {
	t.reads.Add(1)
	t.mu.Lock()
	defer t.mu.Unlock()
	var rows []platform.Row
	for key, row := range t.rows {
		if key.Table == table && strings.HasPrefix(key.Key, prefix) {
			rows = append(rows, row)
		}
	}
	return rows, nil
}
