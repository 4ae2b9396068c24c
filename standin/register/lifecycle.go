package register

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"wisteriadyke/core/fleet"
)

// Times of a graceful shutdown.
const (
	// noticeTime is how long a leaving endpoint still takes calls, so that others learn of it.
	noticeTime = 3 * time.Second
	// finishTime bounds how long a leaving endpoint finishes what it runs.
	finishTime = 30 * time.Second
	// finishPoll is the time between two looks at what still runs.
	finishPoll = 100 * time.Millisecond
)

// errStopped ends the group of a server that was stopped in good order.
var errStopped = errors.New("stopped")

// Serve runs serve until ctx ends, and keeps the endpoint in the instance list meanwhile.
//
// When ctx ends the endpoint is marked as leaving, finishes what it runs and is removed
// from the list; then the context of serve ends. With a nil registration serve stops at once.
func (r *Registration) Serve(ctx context.Context, serve func(context.Context) error, running func() int) error {
	if r == nil {
		return serve(ctx)
	}
	group, inner := errgroup.WithContext(context.WithoutCancel(ctx))
	group.Go(func() error { return serve(inner) })
	group.Go(func() error {
		announcing, cancel := context.WithCancel(ctx)
		defer cancel()
		defer context.AfterFunc(inner, cancel)()
		_ = r.Announce(announcing, fleet.StateLive)
		return nil
	})
	group.Go(func() error {
		select {
		case <-ctx.Done():
		case <-inner.Done():
			return nil
		}
		r.leave(inner, running)
		return errStopped
	})
	err := group.Wait()
	if errors.Is(err, errStopped) {
		return nil
	}
	return err
}

// leave marks the endpoint as leaving, waits for what it runs and removes it from the list.
func (r *Registration) leave(ctx context.Context, running func() int) {
	ctx, cancel := context.WithTimeout(ctx, finishTime)
	defer cancel()
	left := time.Now()
	telling, stop := context.WithTimeout(ctx, noticeTime)
	defer stop()
	_ = r.Announce(telling, fleet.StateLeaving)
	for ctx.Err() == nil && (running() > 0 || time.Since(left) < noticeTime) {
		select {
		case <-ctx.Done():
		case <-time.After(finishPoll):
		}
	}
	_ = r.Remove(context.WithoutCancel(ctx))
}
