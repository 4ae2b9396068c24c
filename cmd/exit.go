package cmd

import (
	"fmt"
	"io"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"wisteriadyke/io/jsonfile"
	"wisteriadyke/io/platform"
)

// exitError is an error with an explicit exit code.
type exitError struct {
	code int
	err  error
}

// Error returns the text of the wrapped error.
func (e *exitError) Error() string {
	return e.err.Error()
}

// Unwrap returns the wrapped error.
func (e *exitError) Unwrap() error {
	return e.err
}

// inputErrorf returns a formatted error with exit code ExitInput.
func inputErrorf(format string, args ...any) error {
	return &exitError{code: ExitInput, err: errors.Errorf(format, args...)}
}

// exitCode returns the exit code for an error.
func exitCode(err error) int {
	var exit *exitError
	var faults jsonfile.Faults
	switch {
	case errors.As(err, &exit):
		return exit.code
	case errors.As(err, &faults):
		return ExitInput
	case errors.Is(err, platform.ErrConflict):
		return ExitConflict
	case errors.Is(err, platform.ErrUnknownOutcome):
		return ExitUnknown
	default:
		return ExitFailure
	}
}

// printError prints an error. Faults in files are printed one to a line, each beginning with the file name; any other
// error is printed after "wisteriadyke: ".
func printError(w io.Writer, err error) {
	var faults jsonfile.Faults
	if errors.As(err, &faults) {
		_, _ = fmt.Fprintln(w, faults)
		return
	}
	_, _ = fmt.Fprintf(w, "wisteriadyke: %v\n", err)
}

// markStart returns a flag that is set once the command line has been validated and the command starts.
func markStart(root *cobra.Command) *bool {
	started := new(bool)
	root.PersistentPreRunE = func(c *cobra.Command, _ []string) error {
		if err := c.ValidateRequiredFlags(); err != nil {
			return err
		}
		*started = true
		return nil
	}
	return started
}
