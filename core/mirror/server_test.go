package mirror

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"
)

// relayTest is a server whose entry read its tables from the store a moment ago.
type relayTest struct {
	start  time.Time
	away   atomic.Bool
	server *Server
}

// newRelayTest returns a server with the tables "beat" and "table", the latter with one row at version 5.
func newRelayTest() *relayTest {
	r := &relayTest{start: time.Now()}
	r.server = &Server{
		Tables:    map[string]*Table{"beat": {}, "table": {}},
		Heartbeat: "beat",
		Sources:   newTestSources(1),
		StoreAway: r.away.Load,
		Clock:     r.now,
	}
	r.beat(true)
	r.apply(Update{Whole: true, Direct: true, Position: Position{Version: 5}, Rows: []Row{{Key: "a", Version: 5}}})
	return r
}

// now returns the time since the start of the test.
func (r *relayTest) now() time.Duration {
	return time.Since(r.start)
}

// beat records an answer of the store about the heartbeat table, which this entry got itself if direct is set.
func (r *relayTest) beat(direct bool) {
	_, _ = r.server.Tables["beat"].Apply(Update{Whole: true, Direct: direct, AnsweredAt: r.now()})
}

// apply applies an update of the table.
func (r *relayTest) apply(u Update) {
	_, _ = r.server.Tables["table"].Apply(u)
}

// TestPoll polls through an entry in virtual time.
func TestPoll(t *testing.T) {
	synced := PollRequest{Table: "table", After: Position{Version: 5}, Synced: true, Wait: 800 * time.Millisecond}
	tests := map[string]struct {
		request PollRequest
		// meanwhile runs while the poll is held.
		meanwhile func(r *relayTest)
		err       error
		rows      int
		// took is how long the poll is held.
		took time.Duration
	}{
		"whole table":   {request: PollRequest{Table: "table", Wait: time.Second}, rows: 1},
		"unknown table": {request: PollRequest{Table: "other"}, err: ErrUnknownTable},
		"no wait":       {request: PollRequest{Table: "table", After: Position{Version: 5}, Synced: true}},
		"nothing changes": {
			request: synced, took: synced.Wait,
		},
		"change": {
			request: synced, rows: 1, took: 100 * time.Millisecond,
			meanwhile: func(r *relayTest) {
				time.Sleep(100 * time.Millisecond)
				r.apply(Update{Direct: true, Position: Position{Version: 6}, Rows: []Row{{Key: "b", Version: 6}}})
			},
		},
		"store is lost": {
			request: synced, err: ErrStoreAway, took: 100 * time.Millisecond,
			meanwhile: func(r *relayTest) {
				time.Sleep(100 * time.Millisecond)
				r.away.Store(true)
				r.server.Tables["table"].Wake()
			},
		},
		"store falls silent": {
			request: PollRequest{Table: "table", After: Position{Version: 5}, Synced: true, Wait: maxHold},
			err:     ErrStoreAway, took: defaultMaxAge,
		},
		"reads through another entry": {
			request: synced, err: ErrStoreAway, took: defaultMaxAge / 5, meanwhile: func(r *relayTest) { r.beat(false) },
		},
		"begins to read from the store": {
			request: PollRequest{Table: "table", After: Position{Version: 5}, Synced: true},
			took:    50 * time.Millisecond,
			meanwhile: func(r *relayTest) {
				r.beat(false)
				time.Sleep(50 * time.Millisecond)
				r.beat(true)
			},
		},
		"later era than known": {
			request: PollRequest{Table: "table", After: Position{Era: 1}, Synced: true}, err: ErrStoreAway, took: defaultMaxAge / 5,
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRelayTest()
				if name == "reads through another entry" || name == "begins to read from the store" {
					r.beat(false)
				}
				var group errgroup.Group
				if tc.meanwhile != nil {
					group.Go(func() error { tc.meanwhile(r); return nil })
				}
				start := time.Now()
				update, err := r.server.HandlePoll(t.Context(), tc.request)
				took := time.Since(start)
				_ = group.Wait()
				if !errors.Is(err, tc.err) || len(update.Rows) != tc.rows || took != tc.took {
					t.Errorf("%d rows, error %v after %v; want %d, %v after %v", len(update.Rows), err, took, tc.rows, tc.err, tc.took)
				}
			})
		})
	}
}

// TestManyPollsAtOnce lets sixty entries poll through one that read through another entry until then. It must begin to
// read from the store once, and answer all of them.
func TestManyPollsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRelayTest()
		r.beat(false)
		ctx, stop := context.WithCancel(t.Context())
		demands := 0
		var group, pollGroup errgroup.Group
		group.Go(func() error {
			for {
				select {
				case <-ctx.Done():
					return nil
				case <-r.server.Sources.Demands():
					demands++
					if _, found := r.server.Sources.Choose(time.Now()); found {
						t.Error("the entry doesn't read from the store although others read through it")
					}
					time.Sleep(20 * time.Millisecond)
					r.beat(true)
				}
			}
		})
		for range 60 {
			pollGroup.Go(func() error {
				_, err := r.server.HandlePoll(ctx, PollRequest{Table: "table"})
				return err
			})
		}
		if err := pollGroup.Wait(); err != nil {
			t.Error(err)
		}
		stop()
		_ = group.Wait()
		if demands != 1 {
			t.Errorf("the entry began %d times to read from the store, want once", demands)
		}
	})
}
