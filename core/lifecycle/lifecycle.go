// Package lifecycle runs the parts of a process and ends them in order.
package lifecycle

import (
	"context"

	"golang.org/x/sync/errgroup"
)

// Component runs until its context ends and returns the first error.
type Component = func(ctx context.Context) error

// Run runs the parts beside serve, which is told of the end of ctx and may go on for a while to finish what has begun.
// The parts end after serve, or all with the first error, which Run returns.
func Run(ctx context.Context, parts []Component, serve func(ctx, support context.Context) error) error {
	support, stopSupport := context.WithCancel(context.WithoutCancel(ctx))
	defer stopSupport()
	group, support := errgroup.WithContext(support)
	for _, run := range parts {
		group.Go(func() error { return run(support) })
	}
	group.Go(func() error {
		defer stopSupport()
		return serve(ctx, support)
	})
	return group.Wait()
}
