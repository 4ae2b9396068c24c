package peer

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"

	"wisteriadyke/core/placement"
	"wisteriadyke/core/retry"
	"wisteriadyke/core/sharedload"
)

// holdingChoosers holds each choose call for a time, or until it is canceled, and counts the canceled ones.
type holdingChoosers struct {
	hold     time.Duration
	held     atomic.Int64
	canceled atomic.Int64
	need     atomic.Pointer[placement.Need]
}

func (h *holdingChoosers) HandleUsage(sharedload.UsageReport) sharedload.UsageReply {
	return sharedload.UsageReply{Chooses: true}
}

func (h *holdingChoosers) HandleChoose(ctx context.Context, request sharedload.ChooseRequest) (sharedload.Choice, error) {
	h.held.Add(1)
	h.need.Store(&request.Need)
	select {
	case <-ctx.Done():
		h.canceled.Add(1)
		return sharedload.Choice{}, ctx.Err()
	case <-time.After(h.hold):
	}
	return sharedload.Choice{Waiting: true, PredictedStart: 200 * time.Millisecond}, nil
}

// waitingNeed returns the need of a request that arrived 300 ms ago and may wait.
func waitingNeed() placement.Need {
	now := time.Now()
	return placement.Need{
		Pool: "p", MayWait: true, Account: "account", Weight: 2, Rank: 1, ArrivedAt: now.Add(-300 * time.Millisecond),
		LatestStart: now.Add(1700 * time.Millisecond),
	}
}

// TestHeldChoose guards against a wait that loses its age or its order on the way to the chooser, and against held
// calls that delay usage reports.
func TestHeldChoose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		choosers := &holdingChoosers{hold: 80 * time.Millisecond}
		serve(t, &Server{Choosers: choosers, SuspectRecords: &retry.Suspects{}}, func(ctx context.Context, client *Client) {
			transport := &UsageTransport{Client: client, SuspectRecords: &retry.Suspects{}}
			var group errgroup.Group
			for range 20 {
				group.Go(func() error {
					choice, err := transport.Choose(ctx, remoteAddress, sharedload.ChooseRequest{Need: waitingNeed()})
					if err == nil && (!choice.Waiting || choice.PredictedStart != 200*time.Millisecond) {
						t.Errorf("got %+v, want a request that waits for 200ms", choice)
					}
					return err
				})
			}
			synctest.Wait()
			startedAt := time.Now()
			if _, err := transport.ReportUsage(ctx, remoteAddress, sharedload.UsageReport{}); err != nil || time.Since(startedAt) > 0 {
				t.Errorf("usage report: %v after %v, want no delay by held calls", err, time.Since(startedAt))
			}
			want := waitingNeed()
			if err := group.Wait(); err != nil {
				t.Error(err)
			}
			got := choosers.need.Load()
			if got.Account != want.Account || got.Weight != want.Weight || got.Rank != want.Rank || !got.MayWait ||
				!got.ArrivedAt.Equal(want.ArrivedAt) || !got.LatestStart.Equal(want.LatestStart) {
				t.Errorf("got %+v, want %+v", got, want)
			}
		})
	})
}

// TestCanceledChoose guards against requests that stay in the queue of a chooser after their caller or their entry has
// gone.
func TestCanceledChoose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		choosers := &holdingChoosers{hold: time.Hour}
		serve(t, &Server{Choosers: choosers, SuspectRecords: &retry.Suspects{}}, func(ctx context.Context, client *Client) {
			transport := &UsageTransport{Client: client, SuspectRecords: &retry.Suspects{}}
			ctx, cancel := context.WithTimeout(ctx, 30*time.Millisecond)
			defer cancel()
			if _, err := transport.Choose(ctx, remoteAddress, sharedload.ChooseRequest{Need: waitingNeed()}); err == nil {
				t.Error("got a choice, want an error")
			}
			time.Sleep(100 * time.Millisecond)
			if held, canceled := choosers.held.Load(), choosers.canceled.Load(); held != 1 || canceled != 1 {
				t.Errorf("%d calls held and %d canceled within 100ms, want one each", held, canceled)
			}
		})
	})
}
