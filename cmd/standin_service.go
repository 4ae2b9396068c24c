package cmd

import (
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"wisteriadyke/core/fleet"
	"wisteriadyke/standin/register"
	"wisteriadyke/standin/service"
)

// serviceCapacity is the default number of concurrent calls that a service stand-in reports as its capacity.
const serviceCapacity = 16

// newStandinServiceCommand returns the command that runs a plain service stand-in.
func newStandinServiceCommand() *cobra.Command {
	server := &service.Server{Service: &service.Service{}}
	registration := &register.Registration{Endpoint: fleet.Endpoint{Kind: fleet.KindService}}
	var faults service.FaultSettings
	command := &cobra.Command{
		Use:   "service",
		Short: "Run a stand-in for a plain service",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(c.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			server.Log = zerolog.New(c.ErrOrStderr()).With().Timestamp().Logger()
			server.Service.Set(faults)
			registration.Endpoint.Address = server.Address
			if !registration.Platform.IsValid() {
				return server.Run(ctx)
			}
			return registration.Serve(ctx, server.Run, server.Service.Running)
		},
	}
	flags := command.Flags()
	flags.TextVar(&server.Address, "address", netip.MustParseAddrPort("127.0.0.1:7200"), "where to listen")
	flags.TextVar(&registration.Platform, "platform", netip.AddrPort{}, "where the platform stand-in listens, to register there")
	flags.StringVar((*string)(&registration.Endpoint.ID), "id", "service-1", "name of the instance")
	flags.StringVar((*string)(&registration.Endpoint.Pool), "pool", "service", "name of the plain service")
	flags.StringVar((*string)(&registration.Endpoint.Zone), "zone", "zone-a", "availability zone")
	flags.DurationVar(&faults.Delay, "delay", 0, "how long a call takes")
	flags.IntVar(&server.Service.Capacity, "capacity", serviceCapacity, "calls at once in the load report")
	flags.DurationVar(&server.Service.LoadLag, "load-lag", time.Second, "age of the load report")
	return command
}
