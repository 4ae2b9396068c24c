package cmd

import (
	"fmt"
	"runtime/debug"

	"github.com/spf13/cobra"
)

// newVersionCommand returns the command that prints the version of this program.
func newVersionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version of this program",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			_, err := fmt.Fprintf(c.OutOrStdout(), "wisteriadyke %s\n", buildVersion())
			return err
		},
	}
}

// buildVersion returns the module version recorded in the binary by the Go tool, or "devel".
func buildVersion() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" || info.Main.Version == "(devel)" {
		return "devel"
	}
	return info.Main.Version
}
