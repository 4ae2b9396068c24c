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

// fate says what happens to a transaction.
type fate struct {
	// delay passes before the transaction takes effect.
	delay time.Duration
	// err is returned in place of the answer.
	err error
	// lost keeps the transaction from taking effect.
	lost bool
}

// fakeStore is a table of claims in memory.
type fakeStore struct {
	// fates decides about the n-th transaction, counted from 0.
	fates func(n int, writes []Write) fate
	// nameless hides which rows conflict.
	nameless bool

	mu           sync.Mutex
	version      int64
	rows         map[keyID]Row
	transactions []int
	reads        int
}

// Write implements Store.
func (s *fakeStore) Write(_ context.Context, writes []Write) ([]int64, error) {
	s.mu.Lock()
	n := len(s.transactions)
	s.transactions = append(s.transactions, len(writes))
	s.mu.Unlock()
	var f fate
	if s.fates != nil {
		f = s.fates(n, writes)
	}
	time.Sleep(f.delay)
	if f.lost {
		return nil, f.err
	}
	versions, err := s.apply(writes)
	if f.err != nil {
		return nil, f.err
	}
	return versions, err
}

// apply applies all writes or none.
func (s *fakeStore) apply(writes []Write) ([]int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var conflict ConflictError
	for _, w := range writes {
		if s.rows[w.Record.Key.id()].Version != w.IfVersion {
			conflict.Keys = append(conflict.Keys, w.Record.Key)
		}
	}
	if len(conflict.Keys) > 0 && s.nameless {
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

// row returns a key's row.
func (s *fakeStore) row(key Key) Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[key.id()]
}

// forget removes a key's row.
func (s *fakeStore) forget(key Key) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.rows, key.id())
}

// newKey returns the n-th key of the present time.
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

// service counts the calls that reach it.
type service struct {
	mu      sync.Mutex
	runs    int
	pause   time.Duration
	answer  Answer
	outcome SendOutcome
}

// send runs a call.
func (s *service) send(context.Context) (Answer, SendOutcome) {
	s.mu.Lock()
	s.runs++
	s.mu.Unlock()
	time.Sleep(s.pause)
	return s.answer, s.outcome
}

// answering returns a service that answers.
func answering() *service {
	return &service{answer: Answer{Body: []byte("filed")}, outcome: SendAnswered}
}

// inBubble runs a test in virtual time with callers that end with it.
func inBubble(t *testing.T, test func(t *testing.T, run func(c *Executor) *Executor)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var group errgroup.Group
		test(t, func(c *Executor) *Executor {
			group.Go(func() error { return c.Run(ctx) })
			return c
		})
		cancel()
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
	})
}

// do calls Do with a body that all tests share.
func do(t *testing.T, c *Executor, key Key, s *service) Result {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	result, err := c.Do(ctx, key, Digest{1}, s.send)
	if err != nil {
		t.Errorf("do: %v", err)
	}
	return result
}
