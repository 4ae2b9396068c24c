// Package cmd holds the command line, one file per command.
package cmd

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"
)

// Exit codes of every command.
const (
	// ExitOK means the command did what was asked.
	ExitOK = 0
	// ExitFailure means the command was understood but could not be carried out.
	ExitFailure = 1
)

// Main runs the command line args and returns the exit code.
func Main(args []string, out, errOut io.Writer) int {
	root := newRootCommand()
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	if err := root.Execute(); err != nil {
		_, _ = fmt.Fprintf(errOut, "wisteriadyke: %v\n", err)
		return ExitFailure
	}
	return ExitOK
}

// newRootCommand builds the command tree.
func newRootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "wisteriadyke",
		Short:         "Serve model prompts of very different lengths from one fleet",
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	root.AddCommand(newVersionCommand(), newEntryCommand(), newPublishCommand())
	root.AddCommand(newStandinCommand())
	return root
}
