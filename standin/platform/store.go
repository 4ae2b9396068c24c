// Package platform is a stand-in for the store and the instance list of the platform that package io/platform calls
// (package standin/cierzo is one for Cierzo). Tests and the local demo use it.
package platform

import (
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/pkg/errors"
)

// Special values of Write.IfVersion.
const (
	// VersionAbsent requires that the row does not exist.
	VersionAbsent int64 = 0
	// VersionAny allows any version and an absent row.
	VersionAny int64 = -1
)

// Errors of the stand-in.
var (
	// ErrOutage means that the store is down. Nothing was applied.
	ErrOutage = errors.New("store is down")
	// ErrThrottled means that the request exceeded a rate limit. Nothing was applied.
	ErrThrottled = errors.New("store limits the rate")
	// ErrAnswerLost means that the transaction was applied, but its answer must not be sent.
	ErrAnswerLost = errors.New("answer was lost")
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("not found")
	// ErrInvalid means that a transaction has no writes, or writes a row twice.
	ErrInvalid = errors.New("transaction is not valid")
)

// RowKey identifies a row.
type RowKey struct {
	// Table is the name of the table.
	Table string
	// Key is the row's key within the table.
	Key string
}

// Row is a row as read from the store.
type Row struct {
	// Key identifies the row.
	Key RowKey
	// Value is a JSON text, empty if the row does not exist.
	Value []byte
	// Version is the version of the row, VersionAbsent if it does not exist.
	Version int64
}

// Write writes or deletes a row.
type Write struct {
	// Key identifies the row.
	Key RowKey
	// Value is the JSON text to write.
	Value []byte
	// IfVersion is the version that the row must have, VersionAbsent or VersionAny.
	IfVersion int64
	// Delete deletes the row instead.
	Delete bool
}

// ConflictError means that rows did not have the required versions. Nothing was applied.
type ConflictError struct {
	// Rows holds these rows with their current versions, without values.
	Rows []Row
}

// Error implements error.
func (e *ConflictError) Error() string {
	return "transaction conflicts with row " + e.Rows[0].Key.Table + "/" + e.Rows[0].Key.Key
}

// Store is an in-memory store of tables and objects. The zero value is ready to use.
type Store struct {
	// Faults decides which requests fail and how.
	Faults Faults

	mu      sync.Mutex
	version int64
	tables  map[string]map[string]Row
	objects map[string][]byte
	stats   Stats
}

// Stats holds counters of a store.
type Stats struct {
	// Transactions counts the applied transactions.
	Transactions int64
	// Writes counts the rows written or deleted by transactions.
	Writes int64
	// Reads counts the batch reads, scans and object reads.
	Reads int64
	// Conflicts counts the transactions refused because of a ConflictError.
	Conflicts int64
	// Throttled counts the requests refused because of a rate limit.
	Throttled int64
	// LostAnswers counts the applied transactions whose answers were lost.
	LostAnswers int64
}

// Transact applies all writes or none, and returns the new versions of the rows.
//
// It returns ErrOutage, ErrThrottled, ErrInvalid or a *ConflictError if nothing was applied, and ErrAnswerLost if all
// writes were applied but the answer must not be sent.
func (s *Store) Transact(writes []Write) ([]int64, error) {
	s.Faults.delay()
	versions, err := s.apply(writes)
	if err != nil {
		return nil, err
	}
	s.Faults.delay()
	if s.Faults.drawLostAnswer() {
		s.updateStats(func(st *Stats) { st.LostAnswers++ })
		return nil, ErrAnswerLost
	}
	return versions, nil
}

// apply validates and applies a transaction under the lock.
func (s *Store) apply(writes []Write) ([]int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.Faults.admitWrite(); err != nil {
		s.countThrottled(err)
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

// validate returns ErrInvalid if there are no writes or a row is written twice.
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

// conflicts returns the rows that don't have the required versions; the caller must hold the lock.
func (s *Store) conflicts(writes []Write) []Row {
	var rows []Row
	for _, w := range writes {
		current := s.tables[w.Key.Table][w.Key.Key].Version
		if w.IfVersion != VersionAny && w.IfVersion != current {
			rows = append(rows, Row{Key: w.Key, Version: current})
		}
	}
	return rows
}

// write applies one write and returns the row's new version. No version is used twice in a store. The caller must hold
// the lock.
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

// Read returns the rows of the given keys in the same order. Rows that don't exist have VersionAbsent. Errors are
// ErrOutage and ErrThrottled.
func (s *Store) Read(keys []RowKey) ([]Row, error) {
	s.Faults.delay()
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

// Scan returns up to limit rows of a table, in key order, whose keys have the given prefix and are greater than the
// value of after. Errors are ErrOutage and ErrThrottled.
func (s *Store) Scan(table, prefix, after string, limit int) ([]Row, error) {
	s.Faults.delay()
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

// admitRead returns ErrOutage or ErrThrottled if a read is to be refused. It counts admitted and throttled reads. The
// caller must hold the lock.
func (s *Store) admitRead() error {
	if err := s.Faults.admitRead(); err != nil {
		s.countThrottled(err)
		return err
	}
	s.stats.Reads++
	return nil
}

// PutObject stores an object. Errors are ErrOutage and ErrThrottled.
func (s *Store) PutObject(key string, content []byte) error {
	s.Faults.delay()
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.Faults.admitWrite(); err != nil {
		s.countThrottled(err)
		return err
	}
	if s.objects == nil {
		s.objects = make(map[string][]byte)
	}
	s.objects[key] = content
	return nil
}

// GetObject returns an object. Errors are ErrOutage, ErrThrottled and ErrNotFound.
func (s *Store) GetObject(key string) ([]byte, error) {
	s.Faults.delay()
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

// DeleteObject deletes an object if it exists. Errors are ErrOutage and ErrThrottled.
func (s *Store) DeleteObject(key string) error {
	s.Faults.delay()
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.Faults.admitWrite(); err != nil {
		s.countThrottled(err)
		return err
	}
	delete(s.objects, key)
	return nil
}

// Stats returns the current counters.
func (s *Store) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// updateStats changes the counters under the lock.
func (s *Store) updateStats(change func(*Stats)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.stats)
}

// countThrottled counts a refused request if err is ErrThrottled; the caller must hold the lock.
func (s *Store) countThrottled(err error) {
	if errors.Is(err, ErrThrottled) {
		s.stats.Throttled++
	}
}
