// Package mirror keeps copies of the tables of the platform's store, decides which of two answers is newer, and decides
// where an entry reads the tables: from the store, or through another entry of its availability zone.
package mirror

import (
	"time"

	"github.com/pkg/errors"

	"wisteriadyke/core/fleet"
)

// Errors of this package, to be matched by errors.Is.
var (
	// ErrStale means that an answer is older than what is known.
	ErrStale = errors.New("answer is older than the known rows")
	// ErrGap means that changes don't continue the known rows, so that the whole table must be read.
	ErrGap = errors.New("changes don't continue the known rows")
	// ErrStoreAway means that the asked entry is alive and doesn't reach the store.
	ErrStoreAway = errors.New("entry doesn't reach the store")
	// ErrUnknownTable means that the asked entry doesn't read the table.
	ErrUnknownTable = errors.New("unknown table")
)

// Position is a point in the history of the store.
type Position struct {
	// Era counts how often the store came back from a copy of earlier rows. What was written after the copy is lost then,
	// and versions are given out again.
	Era int64
	// Version is the version of the store within the era.
	Version int64
}

// Row is one row of a table.
type Row struct {
	// Key identifies the row within its table.
	Key string
	// Value is the content; it is empty if the row was deleted or its content could not be decoded.
	Value []byte
	// Version is the version of the store at the last change of the row.
	Version int64
	// Deleted reports whether the row was deleted.
	Deleted bool
	Origin
}

// Origin is where and when a row was read.
type Origin struct {
	// ReadAt is when the store's answer with the row arrived, on the clock of this entry.
	ReadAt time.Duration
	// StoreTime is the time of that answer on the store's clock, which all entries share; 0 if the store didn't state it.
	StoreTime time.Duration
	// Via is the entry through which this one read the row, or "" for the store.
	Via fleet.EntryID
}

// Update is an answer about one table, from the store or from another entry.
type Update struct {
	// Rows holds the changes after the position that was asked for or, if Whole is set, all rows.
	Rows []Row
	// Position is the point up to which Rows contains every change.
	Position Position
	// After is the version after which Rows contains every change, unless Whole is set.
	After int64
	// Whole reports whether Rows holds all rows of the table.
	Whole bool
	// Direct reports whether the answer is that of the store itself.
	Direct bool
	// AnsweredAt is when the store was asked for its latest answer that is contained.
	AnsweredAt time.Duration
	// Confirmed reports whether the rows are known to hold every change that was acknowledged before ConfirmedAt.
	Confirmed   bool
	ConfirmedAt time.Duration
	// StoreSince is since when the store has answered without an outage, as far as the answering entry knows.
	StoreSince time.Duration
}
