// Package lifecycle runs the components of a process and stops them in order.
package lifecycle

import (
	"context"

	"golang.org/x/sync/errgroup"
)

// Component runs until its context ends and returns its first error.
type Component = func(ctx context.Context) error

// Run runs the components next to serve, whose first context ends with ctx; serve may then finish requests in flight.
// The components' context, which is also serve's second one, ends once serve returns or with the first error, which Run
// returns.
func Run(ctx context.Context, components []Component, serve func(ctx, support context.Context) error) error {
	support, stopSupport := context.WithCancel(context.WithoutCancel(ctx))
	defer stopSupport()
	group, support := errgroup.WithContext(support)
	for _, component := range components {
		group.Go(func() error { return component(support) })
	}
	group.Go(func() error {
		defer stopSupport()
		return serve(ctx, support)
	})
	return group.Wait()
}
