package mirror

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// keysOf returns the keys of rows in ascending order.
func keysOf(rows []Row) []string {
	var keys []string
	for _, row := range rows {
		keys = append(keys, row.Key)
	}
	slices.Sort(keys)
	return keys
}

func TestTable(t *testing.T) {
	whole := func(era, version int64, keys ...string) Update {
		u := Update{Whole: true, Position: Position{Era: era, Version: version}}
		for _, key := range keys {
			u.Rows = append(u.Rows, Row{Key: key, Version: 1})
		}
		return u
	}
	change := func(era, version int64, rows ...Row) Update {
		return Update{Position: Position{Era: era, Version: version}, Rows: rows}
	}
	tests := map[string]struct {
		updates []Update
		// errs holds the wanted error of each update; missing ones are nil.
		errs map[int]error
		// want holds the keys after all updates; restored reports whether the last one found the store restored.
		want     []string
		restored bool
	}{
		"whole": {updates: []Update{whole(0, 5, "a", "b")}, want: []string{"a", "b"}},
		"changes": {
			updates: []Update{whole(0, 5, "a", "b"), change(0, 7, Row{Key: "c", Version: 6}, Row{Key: "a", Version: 7, Deleted: true})},
			want:    []string{"b", "c"},
		},
		"changes before the whole table": {
			updates: []Update{change(0, 7, Row{Key: "c", Version: 6})}, errs: map[int]error{0: ErrGap},
		},
		"changes that are contained": {
			updates: []Update{whole(0, 5, "a"), change(0, 5, Row{Key: "b", Version: 4}, Row{Key: "a", Version: 5, Deleted: true})},
			want:    []string{"a"},
		},
		"changes of an earlier era": {
			updates: []Update{whole(1, 5, "a"), change(0, 9, Row{Key: "b", Version: 9})}, errs: map[int]error{1: ErrStale},
			want: []string{"a"},
		},
		"changes of a later era": {
			updates: []Update{whole(1, 5, "a"), change(2, 9, Row{Key: "b", Version: 9})}, errs: map[int]error{1: ErrGap},
			want: []string{"a"},
		},
		"older whole table": {
			updates: []Update{whole(0, 5, "a"), whole(0, 4, "b")}, errs: map[int]error{1: ErrStale}, want: []string{"a"},
		},
		"whole table of an earlier era": {
			updates: []Update{whole(1, 5, "a"), whole(0, 9, "b")}, errs: map[int]error{1: ErrStale}, want: []string{"a"},
		},
		"whole table of a later era": {
			updates: []Update{whole(0, 9, "a"), whole(1, 5, "b")}, want: []string{"b"}, restored: true,
		},
		"changes after a later version": {
			updates: []Update{whole(1, 5, "a"), {Position: Position{Era: 1, Version: 9}, After: 6, Rows: []Row{{Key: "b", Version: 9}}}},
			errs:    map[int]error{1: ErrGap}, want: []string{"a"},
		},
		"kept row": {
			updates: []Update{whole(0, 9, "a", "kept"), whole(1, 5, "b")}, want: []string{"b", "kept"}, restored: true,
		},
		"kept row, then deleted": {
			updates: []Update{whole(0, 9, "a", "kept"), whole(1, 5, "b"), change(1, 6, Row{Key: "kept", Version: 6, Deleted: true})},
			want:    []string{"b"},
		},
		"kept row, then read again": {
			updates: []Update{whole(0, 9, "a", "kept"), whole(1, 5, "b"), whole(1, 6, "c")}, want: []string{"c", "kept"},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			table := Table{Keep: func(known, _ Row, found bool) bool { return known.Key == "kept" && !found }}
			var effect Effect
			for i, u := range tc.updates {
				var err error
				effect, err = table.Apply(u)
				if !errors.Is(err, tc.errs[i]) {
					t.Fatalf("update %d: error = %v, want %v", i, err, tc.errs[i])
				}
			}
			all, _ := table.Since(Position{}, false)
			if got := keysOf(all.Rows); !slices.Equal(got, tc.want) || effect.Restored != tc.restored {
				t.Errorf("keys = %v, restored %t; want %v, %t", got, effect.Restored, tc.want, tc.restored)
			}
		})
	}
}

func TestSince(t *testing.T) {
	var table Table
	apply := func(u Update) {
		t.Helper()
		if _, err := table.Apply(u); err != nil {
			t.Fatal(err)
		}
	}
	apply(Update{Whole: true, Position: Position{Era: 1, Version: 5}, Rows: []Row{{Key: "a", Version: 2}}})
	apply(Update{Position: Position{Era: 1, Version: 8}, Rows: []Row{{Key: "b", Version: 6}, {Key: "b", Version: 7}, {Key: "a", Version: 8, Deleted: true}}})
	tests := map[string]struct {
		after  Position
		synced bool
		want   []string
		whole  bool
		known  bool
	}{
		"no copy":           {want: []string{"b"}, whole: true, known: true},
		"older era":         {after: Position{Era: 0, Version: 9}, synced: true, want: []string{"b"}, whole: true, known: true},
		"later era":         {after: Position{Era: 2, Version: 1}, synced: true},
		"before the log":    {after: Position{Era: 1, Version: 4}, synced: true, want: []string{"b"}, whole: true, known: true},
		"start of the log":  {after: Position{Era: 1, Version: 5}, synced: true, want: []string{"a", "b"}, known: true},
		"within the log":    {after: Position{Era: 1, Version: 7}, synced: true, want: []string{"a"}, known: true},
		"end of the log":    {after: Position{Era: 1, Version: 8}, synced: true, known: true},
		"ahead of the copy": {after: Position{Era: 1, Version: 9}, synced: true, known: true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			u, known := table.Since(tc.after, tc.synced)
			if got := keysOf(u.Rows); !slices.Equal(got, tc.want) || u.Whole != tc.whole || known != tc.known {
				t.Errorf("Since = %v, whole %t, known %t; want %v, %t, %t", got, u.Whole, known, tc.want, tc.whole, tc.known)
			}
		})
	}
}

// modelStore is a store whose answers arrive in any order.
type modelStore struct {
	era, version int64
	rows         map[string]Row
	log          []Row
	copies       []modelStore
}

// write changes a row.
func (s *modelStore) write(key string, deleted bool) {
	s.version++
	row := Row{Key: key, Version: s.version, Deleted: deleted, Value: fmt.Appendf(nil, "%d.%d", s.era, s.version)}
	if deleted {
		delete(s.rows, key)
	} else {
		s.rows[key] = row
	}
	s.log = append(s.log, row)
}

// copy takes a copy of the content.
func (s *modelStore) copy() {
	s.copies = append(s.copies, modelStore{version: s.version, rows: maps.Clone(s.rows), log: slices.Clone(s.log)})
}

// restore returns to the latest copy in a new era.
func (s *modelStore) restore() {
	if len(s.copies) == 0 {
		return
	}
	latest := s.copies[len(s.copies)-1]
	s.era++
	s.version, s.rows, s.log = latest.version, maps.Clone(latest.rows), slices.Clone(latest.log)
}

// whole returns all rows.
func (s *modelStore) whole() Update {
	u := Update{Whole: true, Position: Position{Era: s.era, Version: s.version}}
	for _, row := range s.rows {
		u.Rows = append(u.Rows, row)
	}
	return u
}

// changes returns the changes after a version; it reports false if the store has no such version.
func (s *modelStore) changes(after int64) (Update, bool) {
	if after > s.version {
		return Update{}, false
	}
	u := Update{Position: Position{Era: s.era, Version: s.version}, After: after}
	for _, row := range s.log {
		if row.Version > after {
			u.Rows = append(u.Rows, row)
		}
	}
	return u, true
}

// TestTableAgainstModel lets a table of an entry that reads from the store and one that reads through it take answers
// that were given at different times, in any order, while the store changes and comes back from copies. The position must
// never go back, and at the end both must hold what the store lists.
func TestTableAgainstModel(t *testing.T) {
	for seed := range uint64(20000) {
		random := rand.New(rand.NewPCG(seed, 1))
		store := &modelStore{rows: make(map[string]Row)}
		direct, relayed := &Table{}, &Table{}
		var inFlight []struct {
			table  *Table
			update Update
		}
		send := func(table *Table, update Update) {
			inFlight = append(inFlight, struct {
				table  *Table
				update Update
			}{table, update})
		}
		ask := func() {
			position, synced := direct.Position()
			update, found := store.changes(position.Version)
			if !synced || !found {
				update = store.whole()
			}
			send(direct, update)
		}
		relay := func() {
			position, synced := relayed.Position()
			if update, known := direct.Since(position, synced); known {
				send(relayed, update)
			}
		}
		deliver := func(i int) {
			answer := inFlight[i]
			inFlight = slices.Delete(inFlight, i, i+1)
			before, _ := answer.table.Position()
			_, err := answer.table.Apply(answer.update)
			if errors.Is(err, ErrGap) {
				answer.table.Invalidate()
			}
			after, _ := answer.table.Position()
			if after.Era < before.Era || after.Era == before.Era && after.Version < before.Version {
				t.Fatalf("seed %d: position went back from %v to %v", seed, before, after)
			}
		}
		for range 5 + random.IntN(30) {
			key := string(rune('a' + random.IntN(3)))
			switch random.IntN(9) {
			case 0, 1:
				store.write(key, false)
			case 2:
				store.write(key, true)
			case 3:
				store.copy()
			case 4:
				store.restore()
			case 5:
				ask()
			case 6:
				relay()
			default:
				if len(inFlight) > 0 {
					deliver(random.IntN(len(inFlight)))
				}
			}
		}
		for len(inFlight) > 0 {
			deliver(0)
		}
		// The first answer may show a new era, the second one then holds the whole table.
		for range 3 {
			ask()
			deliver(0)
		}
		for range 2 {
			relay()
			deliver(0)
		}
		want := store.whole()
		for name, table := range map[string]*Table{"direct": direct, "relayed": relayed} {
			got, _ := table.Since(Position{}, false)
			if got.Position != want.Position || !slices.Equal(valuesOf(got.Rows), valuesOf(want.Rows)) {
				t.Fatalf("seed %d: %s table = %v at %v, want %v at %v",
					seed, name, valuesOf(got.Rows), got.Position, valuesOf(want.Rows), want.Position)
			}
		}
	}
}

// valuesOf returns the values of rows in ascending order.
func valuesOf(rows []Row) []string {
	var values []string
	for _, row := range rows {
		values = append(values, string(row.Value))
	}
	slices.Sort(values)
	return values
}

// TestLogIsBounded checks that an entry that missed more changes than are kept gets the whole table.
func TestLogIsBounded(t *testing.T) {
	var table Table
	_, _ = table.Apply(Update{Whole: true, Position: Position{Version: 1}})
	for i := range int64(2 * maxLoggedChanges) {
		version := 2 + i
		_, err := table.Apply(Update{Position: Position{Version: version}, Rows: []Row{{Key: fmt.Sprint(i), Version: version}}, AnsweredAt: time.Duration(i)})
		if err != nil {
			t.Fatal(err)
		}
	}
	missedMany, _ := table.Since(Position{Version: 2}, true)
	missedFew, _ := table.Since(Position{Version: 2*maxLoggedChanges - 10}, true)
	if !missedMany.Whole || missedFew.Whole || len(missedFew.Rows) != 11 {
		t.Errorf("whole = %t after many changes; whole = %t with %d rows after few, want true; false with 11",
			missedMany.Whole, missedFew.Whole, len(missedFew.Rows))
	}
}
