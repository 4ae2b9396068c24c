// Package lifecycle runs the components of a process and stops them in order.
package lifecycle

import (
	"context"

	"golang.org/x/sync/errgroup"
)

// Component runs until its context ends and returns its first error.
type Component = func(ctx context.Context) error

// Run runs serve and the components concurrently, and returns the first error once all have returned. When ctx ends,
// serve may still finish requests in flight: support, the context of the components, is also passed to serve and does
// not end with ctx. It ends once serve returns or any of the functions fails.
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
