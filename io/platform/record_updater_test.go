package platform_test

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"

	"wisteriadyke/io/platform"
)

// scriptedTables is a table service whose first transactions have the scripted results; all others are passed to link.
type scriptedTables struct {
	*link
	steps []scriptedStep
	// calls is the number of transactions so far.
	calls int
}

// scriptedStep is the error that one transaction returns, and whether its writes are applied.
type scriptedStep struct {
	applied bool
	err     error
}

// Transact implements platform.TableService.
func (s *scriptedTables) Transact(ctx context.Context, token string, writes []platform.Write) ([]int64, error) {
	s.calls++
	if s.calls > len(s.steps) {
		return s.link.Transact(ctx, token, writes)
	}
	step := s.steps[s.calls-1]
	if step.applied {
		if _, err := s.link.Transact(ctx, token, writes); err != nil {
			return nil, err
		}
	}
	return nil, step.err
}

func TestRevise(t *testing.T) {
	down := &platform.UnavailableError{Cause: errors.New("down")}
	tests := map[string]struct {
		steps []scriptedStep
		races bool
		want  error
		calls int
	}{
		"confirmed":                       {calls: 1},
		"unavailable":                     {steps: []scriptedStep{{err: down}}, want: platform.ErrUnavailable, calls: 1},
		"answer lost after the effect":    {steps: []scriptedStep{{applied: true, err: platform.ErrUnknownOutcome}}, calls: 1},
		"answer lost before the effect":   {steps: []scriptedStep{{err: platform.ErrUnknownOutcome}}, calls: 2},
		"lost, then down, then it works":  {steps: []scriptedStep{{err: platform.ErrUnknownOutcome}, {err: down}}, calls: 3},
		"another came first":              {races: true, want: platform.ErrConflict, calls: 1},
		"answer lost, another came first": {races: true, steps: []scriptedStep{{err: platform.ErrUnknownOutcome}}, want: platform.ErrConflict, calls: 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			inDeployment(t, func(t *testing.T, d *deployment, other platform.RecordUpdater) {
				tables := &scriptedTables{link: &link{deployment: d}, steps: tc.steps}
				updater := platform.RecordUpdater{Tables: tables}
				old, err := updater.ReadConfiguration(d.ctx)
				if err != nil {
					t.Fatal(err)
				}
				if tc.races {
					d.publish(other, 9)
				}
				change := platform.Change{Token: "own", By: "me", At: time.Now()}
				_, err = updater.Publish(d.ctx, old, marked(2), change)
				if !errors.Is(err, tc.want) {
					t.Errorf("got error %v, want %v", err, tc.want)
				}
				var conflict *platform.ConcurrentChangeError
				if tc.races && (!errors.As(err, &conflict) || conflict.Other.By != "o" || conflict.Other.Revision != 2) {
					t.Errorf("got error %v, want a conflict with the other change", err)
				}
				if tables.calls != tc.calls {
					t.Errorf("got %d transactions, want %d", tables.calls, tc.calls)
				}
			})
		})
	}
}

func TestReviseGivesUpTruthfully(t *testing.T) {
	inDeployment(t, func(t *testing.T, d *deployment, updater platform.RecordUpdater) {
		old, err := updater.ReadConfiguration(d.ctx)
		if err != nil {
			t.Fatal(err)
		}
		lost := scriptedStep{applied: true, err: platform.ErrUnknownOutcome}
		tables := &scriptedTables{link: &link{deployment: d, zone: "a"}, steps: []scriptedStep{lost}}
		ctx, cancel := context.WithTimeout(d.ctx, 10*time.Second)
		defer cancel()
		_, err = (&platform.RecordUpdater{Tables: &unreadableTables{scriptedTables: tables}}).Publish(ctx, old, marked(2), platform.Change{Token: "own"})
		if !errors.Is(err, platform.ErrUnknownOutcome) {
			t.Errorf("got error %v, want %v", err, platform.ErrUnknownOutcome)
		}
	})
}

// unreadableTables fails every read.
type unreadableTables struct {
	*scriptedTables
}

// Read implements platform.TableService.
func (*unreadableTables) Read(context.Context, []platform.RowKey) ([]platform.Row, error) {
	return nil, &platform.UnavailableError{Cause: errors.New("down")}
}
