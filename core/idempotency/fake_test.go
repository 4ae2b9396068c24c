package idempotency

import (
	"context"
	"encoding/binary"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"wisteriadyke/core/fleet"
)

// writeFault is a fault of one transaction.
type writeFault struct {
	// delay is the time until the transaction is applied.
	delay time.Duration
	// err is returned instead of the result.
	err error
	// dropped reports whether the transaction is not applied.
	dropped bool
}

// fakeStore is an in-memory table of claims.
type fakeStore struct {
	// faults returns the fault of the n-th transaction, counted from 0; nil means no faults.
	faults func(n int, writes []Write) writeFault
	// hideConflicts makes each ConflictError name no rows.
	hideConflicts bool

	mu      sync.Mutex
	version int64
	rows    map[keyID]Row
	// transactions holds the number of rows of each call of Write.
	transactions []int
	reads        int
}

// Write implements Store.
func (s *fakeStore) Write(_ context.Context, writes []Write) ([]int64, error) {
	s.mu.Lock()
	n := len(s.transactions)
	s.transactions = append(s.transactions, len(writes))
	s.mu.Unlock()
	var f writeFault
	if s.faults != nil {
		f = s.faults(n, writes)
	}
	time.Sleep(f.delay)
	if f.dropped {
		return nil, f.err
	}
	versions, err := s.apply(writes)
	if f.err != nil {
		return nil, f.err
	}
	return versions, err
}

// apply applies all writes or none and returns the new versions.
func (s *fakeStore) apply(writes []Write) ([]int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var conflict ConflictError
	for _, w := range writes {
		if s.rows[w.Record.Key.id()].Version != w.IfVersion {
			conflict.Keys = append(conflict.Keys, w.Record.Key)
		}
	}
	if len(conflict.Keys) > 0 && s.hideConflicts {
		return nil, &ConflictError{}
	}
	if len(conflict.Keys) > 0 {
		return nil, &conflict
	}
	var versions []int64
	for _, w := range writes {
		s.version++
		if s.rows == nil {
			s.rows = make(map[keyID]Row)
		}
		s.rows[w.Record.Key.id()] = Row{Record: w.Record, Version: s.version}
		versions = append(versions, s.version)
	}
	return versions, nil
}

// Read implements Store.
func (s *fakeStore) Read(_ context.Context, keys []Key) ([]Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	rows := make([]Row, len(keys))
	for i, k := range keys {
		rows[i] = s.rows[k.id()]
		rows[i].Record.Key = k
	}
	return rows, nil
}

// row returns the row of key, or a zero row if it is absent.
func (s *fakeStore) row(key Key) Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[key.id()]
}

// deleteRow deletes the row of key.
func (s *fakeStore) deleteRow(key Key) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.rows, key.id())
}

// newKey returns the n-th key with the current time.
func newKey(t *testing.T, n int) Key {
	t.Helper()
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:], uint64(time.Now().UnixMilli())<<16)
	binary.BigEndian.PutUint32(id[12:], uint32(n))
	id[6] = keyVersion << 4
	id[8] = 1 << 7
	key, err := ParseKey(fleet.AccountID("acme"), id.String())
	if err != nil {
		t.Fatal(err)
	}
	return key
}

// fakeService counts the calls that it runs.
type fakeService struct {
	mu      sync.Mutex
	runs    int
	pause   time.Duration
	answer  Answer
	outcome SendOutcome
}

// send runs a call; it sleeps for pause and returns answer and outcome.
func (s *fakeService) send(context.Context) (Answer, SendOutcome) {
	s.mu.Lock()
	s.runs++
	s.mu.Unlock()
	time.Sleep(s.pause)
	return s.answer, s.outcome
}

// answeringService returns a service that answers every call successfully.
func answeringService() *fakeService {
	return &fakeService{answer: Answer{Body: []byte("filed")}, outcome: SendAnswered}
}

// runInVirtualTime runs a test in a synctest bubble. Executors passed to run are started at once and stopped when the
// test returns.
func runInVirtualTime(t *testing.T, test func(t *testing.T, run func(e *Executor) *Executor)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var group errgroup.Group
		test(t, func(e *Executor) *Executor {
			group.Go(func() error { return e.Run(ctx) })
			return e
		})
		cancel()
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
	})
}

// execute calls Do with a deadline of 10 s and a digest that is the same in all tests.
func execute(t *testing.T, e *Executor, key Key, s *fakeService) Result {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	result, err := e.Do(ctx, key, Digest{1}, s.send)
	if err != nil {
		t.Errorf("Do: %v", err)
	}
	return result
}
