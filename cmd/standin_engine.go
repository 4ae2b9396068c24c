package cmd

import "github.com/spf13/cobra"

// newStandinEngineCommand builds the command that runs one model engine stand-in.
func newStandinEngineCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "engine",
		Short: "Run a model engine stand-in",
		Args:  cobra.NoArgs,
	}
}
