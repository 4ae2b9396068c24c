package cmd

import (
	"context"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"wisteriadyke/core/blackboard"
	"wisteriadyke/core/dispatch"
	"wisteriadyke/core/placement"
	"wisteriadyke/core/scheduler"
	"wisteriadyke/io/caller"
	"wisteriadyke/io/engine"
	"wisteriadyke/io/jsonhttp"
	"wisteriadyke/io/peer"
	"wisteriadyke/io/platform"
	"wisteriadyke/io/service"
	"wisteriadyke/io/settings"
)

// newEntryCommand builds the command that runs one entry.
func newEntryCommand() *cobra.Command {
	var path string
	command := &cobra.Command{
		Use:   "entry --settings FILE",
		Short: "Run one entry instance",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			config, err := settings.ReadEntry(path)
			if err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(c.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			return runEntry(ctx, config, zerolog.New(c.ErrOrStderr()).With().Timestamp().Logger())
		},
	}
	command.Flags().StringVar(&path, "settings", "", "settings `file` in JSON with comments")
	_ = command.MarkFlagRequired("settings")
	return command
}

// runEntry runs the controllers of one entry until ctx ends.
func runEntry(ctx context.Context, config settings.Entry, log zerolog.Logger) error {
	board := &blackboard.Board{}
	pool := &scheduler.Pool{Entry: config.Entry}
	owners := &peer.Owners{Board: board, Entry: config.Entry, Local: pool, Client: peer.NewClient()}
	poller := &platform.Poller{
		Client: &platform.Client{Addresses: []netip.AddrPort{config.Platform}, HTTP: jsonhttp.NewPooled()},
		Board:  board,
		Log:    log,
	}
	callers := &caller.Server{
		Address: config.CallerAddress,
		Entry:   config.Entry,
		Board:   board,
		Generator: &dispatch.Dispatcher{
			Board:     board,
			Entry:     config.Entry,
			Zone:      config.Zone,
			Owners:    owners,
			Engines:   &engine.Engines{HTTP: &http.Client{Transport: engine.NewTransport()}},
			Placement: placement.LeastLoaded{},
		},
		Caller: &dispatch.ServiceDispatcher{
			Board: board,
			Zone:  config.Zone,
			Services: &service.Services{
				Once:       &service.Client{HTTP: jsonhttp.NewFresh()},
				Repeatable: &service.Client{HTTP: jsonhttp.NewPooled()},
			},
			Placement: placement.LeastLoaded{},
		},
	}
	peers := &peer.Server{Address: config.PeerAddress, Owner: pool}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return poller.Run(ctx) })
	group.Go(func() error { return peers.Run(ctx) })
	group.Go(func() error { return callers.Run(ctx) })
	log.Info().Str("entry", string(config.Entry)).Msg("entry: serving")
	return group.Wait()
}
