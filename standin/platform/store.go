// Package platform is a small stand-in for the platform's store and instance list.
package platform

import (
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/pkg/errors"
)

// Values of Write.IfVersion that name no version.
const (
	// VersionAbsent asks that the row is not there.
	VersionAbsent int64 = 0
	// VersionAny asks for nothing.
	VersionAny int64 = -1
)

// Errors of the stand-in.
var (
	// ErrOutage means the store is down; nothing was applied.
	ErrOutage = errors.New("store is down")
	// ErrThrottled means a rate limit was met; nothing was applied.
	ErrThrottled = errors.New("store limits the rate")
	// ErrAnswerLost means the write was applied and its answer must not be sent.
	ErrAnswerLost = errors.New("answer was lost")
	// ErrNotFound means no such object or weight is held.
	ErrNotFound = errors.New("not found")
	// ErrInvalid means a transaction names no rows or one row twice.
	ErrInvalid = errors.New("transaction is not valid")
)

// RowKey names one row.
type RowKey struct {
	// Table names the table.
	Table string
	// Key names the row in the table.
	Key string
}

// Row is one row as it was read.
type Row struct {
	// Key names the row.
	Key RowKey
	// Value is a JSON text, empty if the row is absent.
	Value []byte
	// Version is the row's version, VersionAbsent if the row is absent.
	Version int64
}

// Write changes one row.
type Write struct {
	// Key names the row.
	Key RowKey
	// Value is the JSON text to write.
	Value []byte
	// IfVersion is the version that the row must have.
	IfVersion int64
	// Delete removes the row.
	Delete bool
}

// ConflictError names the rows whose versions were not as asked; nothing was applied.
type ConflictError struct {
	// Rows holds the rows with their present versions and no values.
	Rows []Row
}

// Error implements error.
func (e *ConflictError) Error() string {
	return "transaction conflicts with the row " + e.Rows[0].Key.Table + "/" + e.Rows[0].Key.Key
}

// Store is the state machine behind the stand-in; its zero value is ready to use.
type Store struct {
	// Faults decides which calls fail and how.
	Faults Faults

	mu      sync.Mutex
	version int64
	tables  map[string]map[string]Row
	objects map[string][]byte
	stats   Stats
}

// Stats counts what the store was asked for.
type Stats struct {
	// Transactions counts applied transactions.
	Transactions int64
	// Writes counts rows written.
	Writes int64
	// Reads counts batch reads and scans.
	Reads int64
	// Conflicts counts refused transactions.
	Conflicts int64
	// Throttled counts calls that met a rate limit.
	Throttled int64
	// LostAnswers counts applied transactions whose answers were lost.
	LostAnswers int64
}

// Transact applies all writes or none and returns the new versions.
//
// It returns ErrOutage, ErrThrottled, ErrInvalid or a *ConflictError when nothing was applied,
// and ErrAnswerLost when all was applied and the answer must be dropped.
func (s *Store) Transact(writes []Write) ([]int64, error) {
	s.Faults.wait()
	versions, err := s.apply(writes)
	if err != nil {
		return nil, err
	}
	s.Faults.wait()
	if s.Faults.losesAnswer() {
		s.count(func(st *Stats) { st.LostAnswers++ })
		return nil, ErrAnswerLost
	}
	return versions, nil
}

// apply checks and applies a transaction under the lock.
func (s *Store) apply(writes []Write) ([]int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.Faults.admitWrite(); err != nil {
		s.countRefusal(err)
		return nil, err
	}
	if err := validate(writes); err != nil {
		return nil, err
	}
	if conflicts := s.conflicts(writes); len(conflicts) > 0 {
		s.stats.Conflicts++
		return nil, &ConflictError{Rows: conflicts}
	}
	versions := make([]int64, len(writes))
	for i, w := range writes {
		versions[i] = s.write(w)
	}
	s.stats.Transactions++
	s.stats.Writes += int64(len(writes))
	return versions, nil
}

// validate refuses empty transactions and rows that are named twice.
func validate(writes []Write) error {
	if len(writes) == 0 {
		return errors.Wrap(ErrInvalid, "no writes")
	}
	seen := make(map[RowKey]bool, len(writes))
	for _, w := range writes {
		if seen[w.Key] {
			return errors.Wrapf(ErrInvalid, "row %s/%s twice", w.Key.Table, w.Key.Key)
		}
		seen[w.Key] = true
	}
	return nil
}

// conflicts returns the rows whose versions are not as asked; the caller holds the lock.
func (s *Store) conflicts(writes []Write) []Row {
	var rows []Row
	for _, w := range writes {
		present := s.tables[w.Key.Table][w.Key.Key].Version
		if w.IfVersion != VersionAny && w.IfVersion != present {
			rows = append(rows, Row{Key: w.Key, Version: present})
		}
	}
	return rows
}

// write applies one write and returns the row's new version; versions are never used twice.
func (s *Store) write(w Write) int64 {
	if w.Delete {
		delete(s.tables[w.Key.Table], w.Key.Key)
		return VersionAbsent
	}
	if s.tables == nil {
		s.tables = make(map[string]map[string]Row)
	}
	if s.tables[w.Key.Table] == nil {
		s.tables[w.Key.Table] = make(map[string]Row)
	}
	s.version++
	s.tables[w.Key.Table][w.Key.Key] = Row{Key: w.Key, Value: slices.Clone(w.Value), Version: s.version}
	return s.version
}

// Read returns the rows of keys in their order, absent ones with VersionAbsent.
func (s *Store) Read(keys []RowKey) ([]Row, error) {
	s.Faults.wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.admitRead(); err != nil {
		return nil, err
	}
	rows := make([]Row, len(keys))
	for i, k := range keys {
		rows[i] = s.tables[k.Table][k.Key]
		rows[i].Key = k
	}
	return rows, nil
}

// Scan returns up to limit rows of a table in key order whose keys have the prefix and follow after.
func (s *Store) Scan(table, prefix, after string, limit int) ([]Row, error) {
	s.Faults.wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.admitRead(); err != nil {
		return nil, err
	}
	var rows []Row
	for _, k := range slices.Sorted(maps.Keys(s.tables[table])) {
		if k <= after || !strings.HasPrefix(k, prefix) {
			continue
		}
		if len(rows) == limit {
			break
		}
		rows = append(rows, s.tables[table][k])
	}
	return rows, nil
}

// admitRead counts a read or its refusal; the caller holds the lock.
func (s *Store) admitRead() error {
	if err := s.Faults.admitRead(); err != nil {
		s.countRefusal(err)
		return err
	}
	s.stats.Reads++
	return nil
}

// PutObject stores an object.
func (s *Store) PutObject(key string, content []byte) error {
	s.Faults.wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.Faults.admitWrite(); err != nil {
		s.countRefusal(err)
		return err
	}
	if s.objects == nil {
		s.objects = make(map[string][]byte)
	}
	s.objects[key] = content
	return nil
}

// GetObject returns an object.
func (s *Store) GetObject(key string) ([]byte, error) {
	s.Faults.wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.admitRead(); err != nil {
		return nil, err
	}
	content, found := s.objects[key]
	if !found {
		return nil, errors.Wrapf(ErrNotFound, "object %q", key)
	}
	return content, nil
}

// DeleteObject removes an object, if it is there.
func (s *Store) DeleteObject(key string) error {
	s.Faults.wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.Faults.admitWrite(); err != nil {
		s.countRefusal(err)
		return err
	}
	delete(s.objects, key)
	return nil
}

// Stats returns the counts so far.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// count changes the counts under the lock.
func (s *Store) count(change func(*Stats)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.stats)
}

// countRefusal counts a call that met a rate limit; the caller holds the lock.
func (s *Store) countRefusal(err error) {
	if errors.Is(err, ErrThrottled) {
		s.stats.Throttled++
	}
}
