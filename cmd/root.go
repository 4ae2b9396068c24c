// Package cmd implements the command line, one file per command.
package cmd

import (
	"io"

	"github.com/spf13/cobra"
)

// Exit codes of every command.
const (
	// ExitOK means the command succeeded.
	ExitOK = 0
	// ExitFailure means the command line is valid but the command failed.
	ExitFailure = 1
	// ExitInput means the command line or a file is invalid; nothing was changed.
	ExitInput = 2
	// ExitConflict means another change came first; nothing was changed.
	ExitConflict = 3
	// ExitUnknown means the change may or may not have been made.
	ExitUnknown = 4
	// ExitWarnings means the files are valid, but there are warnings and the command was asked to fail for them.
	ExitWarnings = 5
)

// Main runs the command line in args and returns the exit code.
func Main(args []string, out, errOut io.Writer) int {
	root := newRootCommand()
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	started := markStart(root)
	err := root.Execute()
	if err == nil {
		return ExitOK
	}
	printError(errOut, err)
	if !*started {
		return ExitInput
	}
	return exitCode(err)
}

// newRootCommand returns the command tree.
func newRootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "wisteriadyke",
		Short:         "Serve model prompts of very different lengths from one fleet",
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	root.AddCommand(newVersionCommand(), newEntryCommand(), newGatewayCommand(), newPublishCommand())
	root.AddCommand(newCheckCommand(), newZoneCommand())
	root.AddCommand(newStatusCommand(), newTimelineCommand(), newLogsCommand(), newStandinCommand())
	return root
}
