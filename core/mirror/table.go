package mirror

import (
	"slices"
	"sync"
	"time"
)

// maxLoggedChanges bounds the changes that are kept for other entries; an entry that missed more gets the whole table.
const maxLoggedChanges = 1024

// Table is a copy of one table of the store. A row never goes back: not to an earlier version, whichever way an answer
// came, nor, for rows that Keep holds, to that of a restored store. It is safe for concurrent use; the zero value is
// ready to use.
type Table struct {
	// Keep reports whether a known row stays in force although a restored store lists another row, or none (found is
	// false then). It must be set before the first call of a method; nil keeps no row.
	Keep func(known, listed Row, found bool) bool

	mu     sync.Mutex
	synced bool
	// position is that of the latest update; rows holds the rows that are not deleted.
	position Position
	rows     map[string]Row
	// kept holds the keys of the rows that stay in force although the store doesn't list them.
	kept map[string]bool
	// log holds the latest change of each key after logStart, in the order of their arrival.
	log      []Row
	logStart int64
	// direct, answeredAt, confirmed and confirmedAt are those of the latest update; see Update.
	direct      bool
	answeredAt  time.Duration
	confirmed   bool
	confirmedAt time.Duration
	changed     chan struct{}
}

// Effect is what an update changes.
type Effect struct {
	// Rows holds the changed rows or, if Whole is set, all rows.
	Rows []Row
	// Whole reports whether Rows holds all rows.
	Whole bool
	// Restored reports whether the store came back from a copy since the update before.
	Restored bool
}

// Position returns the position of the latest update; it reports false if the whole table has to be read.
func (t *Table) Position() (Position, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.position, t.synced
}

// Invalidate records that the store no longer has the changes after the position, so that the whole table has to be
// read.
func (t *Table) Invalidate() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.synced = false
}

// Kept reports whether a row stays in force although the store lists an older one, or none.
func (t *Table) Kept(key string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.kept[key]
}

// Answered returns when the store was asked for its latest answer, and whether it was asked by this entry itself.
func (t *Table) Answered() (answeredAt time.Duration, direct bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.answeredAt, t.direct
}

// Confirm records that the rows hold every change that was acknowledged before confirmedAt.
func (t *Table) Confirm(confirmedAt time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.confirmed || confirmedAt > t.confirmedAt {
		t.confirmed, t.confirmedAt = true, confirmedAt
	}
}

// ConfirmedAt returns the latest time of Confirm; it reports false if there is none.
func (t *Table) ConfirmedAt() (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.confirmedAt, t.confirmed
}

// Apply applies an update and returns what changed. The error is ErrStale if the update is older than what is known, or
// ErrGap if it doesn't continue it; neither changes the table.
func (t *Table) Apply(u Update) (Effect, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.rows != nil
	switch {
	case known && u.Position.Era < t.position.Era:
		return Effect{}, ErrStale
	case u.Whole && known && u.Position.Era == t.position.Era && u.Position.Version < t.position.Version:
		return Effect{}, ErrStale
	case !u.Whole && (!t.synced || u.Position.Era != t.position.Era || u.After > t.position.Version):
		return Effect{}, ErrGap
	}
	var effect Effect
	if u.Whole {
		effect = t.replace(u)
	} else {
		effect = t.change(u)
	}
	if len(effect.Rows) > 0 || effect.Whole || t.direct != u.Direct {
		t.wake()
	}
	t.direct = u.Direct
	t.answeredAt = max(t.answeredAt, u.AnsweredAt)
	return effect, nil
}

// Adopt takes the rows of another entry that Keep holds against the known ones, and returns them. An entry that started
// after the store came back from a copy so learns what the copy lacks.
func (t *Table) Adopt(rows []Row) []Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.Keep == nil || t.rows == nil {
		return nil
	}
	var adopted []Row
	for _, row := range rows {
		listed, found := t.rows[row.Key]
		if row.Deleted || !t.Keep(row, listed, found) {
			continue
		}
		t.keep(row)
		adopted = append(adopted, row)
	}
	return adopted
}

// Since returns what has changed after a position, or the whole table if the changes are not known or synced is false.
// It reports false if the table is not known, or is older than the position.
func (t *Table) Since(after Position, synced bool) (Update, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.synced || after.Era > t.position.Era {
		return Update{}, false
	}
	u := Update{
		Position: t.position, After: after.Version, Direct: t.direct,
		AnsweredAt: t.answeredAt, Confirmed: t.confirmed, ConfirmedAt: t.confirmedAt,
	}
	if !synced || after.Era != t.position.Era || after.Version < t.logStart {
		u.Whole = true
		u.Rows = make([]Row, 0, len(t.rows))
		for _, row := range t.rows {
			u.Rows = append(u.Rows, row)
		}
		return u, true
	}
	for _, row := range t.log {
		if row.Version > after.Version {
			u.Rows = append(u.Rows, row)
		}
	}
	return u, true
}

// Changed returns a channel that is closed at the next change of the rows, or the next call of Wake.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.changed == nil {
		t.changed = make(chan struct{})
	}
	return t.changed
}

// Wake closes the channel of Changed.
func (t *Table) Wake() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.wake()
}

// wake closes the channel of Changed; the caller holds the lock.
func (t *Table) wake() {
	if t.changed != nil {
		close(t.changed)
		t.changed = nil
	}
}

// replace replaces all rows, except those that Keep holds if the store came back from a copy; the caller holds the lock.
func (t *Table) replace(u Update) Effect {
	restored := t.rows != nil && u.Position.Era > t.position.Era
	previous, previouslyKept := t.rows, t.kept
	t.rows, t.kept = make(map[string]Row, len(u.Rows)), nil
	for _, row := range u.Rows {
		if !row.Deleted {
			t.rows[row.Key] = row
		}
	}
	t.synced, t.position = true, u.Position
	t.log, t.logStart = nil, u.Position.Version
	for key, row := range previous {
		if t.Keep == nil || !restored && !previouslyKept[key] {
			continue
		}
		if listed, found := t.rows[key]; t.Keep(row, listed, found) {
			t.keep(row)
		}
	}
	effect := Effect{Whole: true, Restored: restored, Rows: make([]Row, 0, len(t.rows))}
	for _, row := range t.rows {
		effect.Rows = append(effect.Rows, row)
	}
	return effect
}

// keep holds a row although the store doesn't list it; the caller holds the lock. Its version is lowered to that of the
// table, so that every later change of the store replaces it.
func (t *Table) keep(row Row) {
	row.Version = min(row.Version, t.position.Version)
	t.rows[row.Key] = row
	if t.kept == nil {
		t.kept = make(map[string]bool)
	}
	t.kept[row.Key] = true
}

// change applies changed rows; the caller holds the lock. Rows up to the position are contained already.
func (t *Table) change(u Update) Effect {
	var effect Effect
	for _, row := range u.Rows {
		if row.Version <= t.position.Version {
			continue
		}
		if row.Deleted {
			delete(t.rows, row.Key)
		} else {
			t.rows[row.Key] = row
		}
		delete(t.kept, row.Key)
		t.log = slices.DeleteFunc(t.log, func(logged Row) bool { return logged.Key == row.Key })
		t.log = append(t.log, row)
		effect.Rows = append(effect.Rows, row)
	}
	for len(t.log) > maxLoggedChanges {
		t.logStart = max(t.logStart, t.log[0].Version)
		t.log = t.log[1:]
	}
	t.position.Version = max(t.position.Version, u.Position.Version)
	return effect
}
