package cmd

import "github.com/spf13/cobra"

// newStandinCommand returns the parent of the commands that run stand-ins for tests and local deployments.
func newStandinCommand() *cobra.Command {
	standin := &cobra.Command{
		Use:   "standin",
		Short: "Run a small stand-in for an engine, a service or the platform",
	}
	standin.AddCommand(newStandinEngineCommand())
	standin.AddCommand(newStandinPlatformCommand())
	standin.AddCommand(newStandinServiceCommand())
	standin.AddCommand(newStandinLoadCommand(), newStandinRegisterCommand())
	return standin
}
