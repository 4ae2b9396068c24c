package register

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"wisteriadyke/core/fleet"
)

// Durations of a graceful shutdown.
const (
	// leaveNotice is the minimum time for which a leaving endpoint still accepts requests, so that all entries learn that
	// it is leaving.
	leaveNotice = 3 * time.Second
	// finishTimeout bounds how long a leaving endpoint waits for its running requests.
	finishTimeout = 30 * time.Second
	// finishPollInterval is the interval at which a leaving endpoint checks for running requests.
	finishPollInterval = 100 * time.Millisecond
)

// errStopped ends the error group after a graceful shutdown.
var errStopped = errors.New("stopped")

// Serve runs serve until ctx ends, and registers the endpoint in the instance list meanwhile.
//
// When ctx ends, the endpoint is announced as leaving, waits until running returns 0, for at least leaveNotice and at
// most finishTimeout, and is removed from the list. Then the context of serve ends, and Serve returns nil. It returns
// the error of serve if serve fails before that. A nil registration only runs serve with ctx.
func (r *Registration) Serve(ctx context.Context, serve func(context.Context) error, running func() int) error {
	if r == nil {
		return serve(ctx)
	}
	group, serveCtx := errgroup.WithContext(context.WithoutCancel(ctx))
	group.Go(func() error { return serve(serveCtx) })
	group.Go(func() error {
		announceCtx, cancel := context.WithCancel(ctx)
		defer cancel()
		defer context.AfterFunc(serveCtx, cancel)()
		_ = r.Announce(announceCtx, fleet.StateLive)
		return nil
	})
	group.Go(func() error {
		select {
		case <-ctx.Done():
		case <-serveCtx.Done():
			return nil
		}
		r.leave(serveCtx, running)
		return errStopped
	})
	err := group.Wait()
	if errors.Is(err, errStopped) {
		return nil
	}
	return err
}

// leave announces the endpoint as leaving, waits for at least leaveNotice and for its running requests, but for at most
// finishTimeout, and removes it from the list.
func (r *Registration) leave(ctx context.Context, running func() int) {
	ctx, cancel := context.WithTimeout(ctx, finishTimeout)
	defer cancel()
	start := time.Now()
	announceCtx, stop := context.WithTimeout(ctx, leaveNotice)
	defer stop()
	_ = r.Announce(announceCtx, fleet.StateLeaving)
	for ctx.Err() == nil && (running() > 0 || time.Since(start) < leaveNotice) {
		select {
		case <-ctx.Done():
		case <-time.After(finishPollInterval):
		}
	}
	_ = r.Remove(context.WithoutCancel(ctx))
}
