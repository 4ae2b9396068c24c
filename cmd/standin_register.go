package cmd

import (
	"context"
	"net/netip"
	"time"

	"github.com/spf13/cobra"

	"wisteriadyke/core/fleet"
	"wisteriadyke/io/platform"
	"wisteriadyke/standin/register"
)

// registerTimeout is how long to wait for the platform stand-in.
const registerTimeout = 20 * time.Second

// newStandinRegisterCommand returns the command that puts an entry into the instance list of the platform stand-in. The
// platform itself lists its instances automatically.
func newStandinRegisterCommand() *cobra.Command {
	var at, entryAt netip.AddrPort
	var id, zone, state string
	command := &cobra.Command{
		Use:   "register",
		Short: "Put an entry into the instance list of the platform stand-in",
		Long: `Puts an entry into the instance list of the platform stand-in, as the users' platform does automatically for
its instances, and waits until the platform stand-in has accepted it.`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			ctx, cancel := context.WithTimeout(c.Context(), registerTimeout)
			defer cancel()
			registration := &register.Registration{
				Platform: at,
				Endpoint: fleet.Endpoint{
					ID:      fleet.EndpointID(id),
					Kind:    platform.KindEntry,
					Zone:    fleet.Zone(zone),
					Address: entryAt,
				},
			}
			return registration.Announce(ctx, fleet.State(state))
		},
	}
	command.Flags().TextVar(&at, "platform", netip.MustParseAddrPort("127.0.0.1:7000"), "`address` of the platform stand-in")
	command.Flags().TextVar(&entryAt, "address", netip.AddrPort{}, "`address` at which the entry serves other entries")
	command.Flags().StringVar(&id, "id", "", "`name` of the entry")
	command.Flags().StringVar(&zone, "zone", "", "availability `zone` of the entry")
	command.Flags().StringVar(&state, "state", string(fleet.StateLive), "`state` of the entry: live or leaving")
	for _, name := range []string{"address", "id", "zone"} {
		_ = command.MarkFlagRequired(name)
	}
	return command
}
