package cmd

import (
	"fmt"
	"net/netip"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"wisteriadyke/io/declaration"
	"wisteriadyke/io/jsonhttp"
	"wisteriadyke/io/platform"
)

// newPublishCommand builds the command that puts declarations in force.
func newPublishCommand() *cobra.Command {
	var address string
	command := &cobra.Command{
		Use:   "publish --platform ADDRESS FILE...",
		Short: "Put operators' declarations in force",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, paths []string) error {
			at, err := netip.ParseAddrPort(address)
			if err != nil {
				return errors.Wrap(err, "--platform")
			}
			configuration, err := declaration.Merge(paths)
			if err != nil {
				return err
			}
			value, err := declaration.Encode(configuration)
			if err != nil {
				return err
			}
			client := &platform.Client{Addresses: []netip.AddrPort{at}, HTTP: jsonhttp.NewPooled()}
			rows, err := client.Read(c.Context(), []platform.RowKey{platform.ConfigurationRow})
			if err != nil {
				return err
			}
			versions, err := client.Transact(c.Context(), "publish", []platform.Write{{
				Key:       platform.ConfigurationRow,
				Value:     value,
				IfVersion: rows[0].Version,
			}})
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(c.OutOrStdout(), "accepted: revision %d\n", versions[0])
			return err
		},
	}
	command.Flags().StringVar(&address, "platform", "", "`address` of the platform's store")
	_ = command.MarkFlagRequired("platform")
	return command
}
