package cmd

import (
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"wisteriadyke/standin/platform"
)

// newStandinPlatformCommand returns the command that runs the platform stand-in.
func newStandinPlatformCommand() *cobra.Command {
	server := &platform.Server{
		Store:     &platform.Store{},
		Instances: &platform.Instances{},
		Weights:   &platform.Weights{},
	}
	var faults platform.FaultSettings
	var lag time.Duration
	command := &cobra.Command{
		Use:   "platform",
		Short: "Run a stand-in for the platform's store and instance list",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(c.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			server.Log = zerolog.New(c.ErrOrStderr()).With().Timestamp().Logger()
			server.Store.Faults.Set(faults)
			server.Instances.SetLag(lag)
			return server.Run(ctx)
		},
	}
	flags := command.Flags()
	flags.TextVar(&server.Address, "address", netip.MustParseAddrPort("127.0.0.1:7000"), "where to listen")
	flags.Float64Var(&faults.WriteLimit, "write-limit", 0, "transactions a second, 0 for no bound")
	flags.Float64Var(&faults.ReadLimit, "read-limit", 0, "reads a second, 0 for no bound")
	flags.DurationVar(&faults.Delay, "delay", 0, "delay before and after the effect of a call")
	flags.DurationVar(&lag, "lag", 0, "age of the instance list")
	flags.Int64Var(&server.Weights.Size, "weight-bytes", 64<<20, "size of a weight file in bytes")
	flags.Int64Var(&server.Weights.Rate, "weight-rate", 0, "bytes a second over all readers of weights, 0 for no bound")
	return command
}
