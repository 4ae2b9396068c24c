package cmd

import (
	"fmt"
	"io"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"wisteriadyke/io/declaration"
	"wisteriadyke/io/jsonfile"
	"wisteriadyke/io/settings"
)

// checkFlags holds the flags of the check command.
type checkFlags struct {
	settings bool
	platform platformCheckFlags
	output   output
}

// checkResult is the JSON output of the check command.
type checkResult struct {
	Valid    bool         `json:"valid"`
	Files    int          `json:"files"`
	Accounts int          `json:"accounts"`
	Classes  int          `json:"classes"`
	Faults   []checkFault `json:"faults"`
}

// checkFault is one fault of a file in the JSON output.
type checkFault struct {
	File    string `json:"file"`
	Line    int    `json:"line,omitempty"`
	Field   string `json:"field,omitempty"`
	Problem string `json:"problem"`
}

// newCheckCommand returns the command that validates files offline: declarations as publish does, with --settings the
// settings files of the entry command, or with --platform the configuration of the Cierzo platform.
func newCheckCommand() *cobra.Command {
	var flags checkFlags
	command := &cobra.Command{
		Use:   "check DIR|FILE...",
		Short: "Check declarations, settings or the platform's configuration offline",
		Long: "Check reads all files as publish would and lists everything that is wrong with them, one fault a line as\n" +
			"\"file:line: field: what is wrong\". A directory stands for every *.hujson file in it and below.\n" +
			"It reaches no other process and changes nothing. The exit code is 2 if there is any fault.\n\n" +
			"With --platform, the file is the operators' configuration of the Cierzo platform, in JSON. Check lists errors,\n" +
			"warnings and, with --in-force, how the file differs from the configuration in force.",
		Example: "  wisteriadyke check examples/cierzo/declarations\n" +
			"  wisteriadyke check --settings examples/cierzo/settings\n" +
			"  wisteriadyke check --platform new.json --in-force current.json",
		Args: flags.checkArguments,
		RunE: func(c *cobra.Command, args []string) error {
			if flags.platform.path != "" {
				return flags.platform.run(c.OutOrStdout(), c.ErrOrStderr(), flags.output)
			}
			return flags.run(c.OutOrStdout(), args)
		},
	}
	command.Flags().BoolVar(&flags.settings, "settings", false, "the files are settings of entries, not declarations")
	flags.platform.add(command)
	addOutputFlag(command, &flags.output)
	return command
}

// checkArguments checks that the files and flags on the command line go together.
func (f *checkFlags) checkArguments(c *cobra.Command, args []string) error {
	if f.platform.path == "" {
		for _, name := range platformCheckOptions {
			if c.Flags().Changed(name) {
				return inputErrorf("--%s needs --platform", name)
			}
		}
		return cobra.MinimumNArgs(1)(c, args)
	}
	if f.settings || len(args) > 0 {
		return inputErrorf("--platform names the only file; it goes with neither --settings nor further files")
	}
	return nil
}

// run checks the files and directories in args and prints the result. It returns the faults as its error; the JSON
// output contains them as well.
func (f *checkFlags) run(w io.Writer, args []string) error {
	result, err := f.checkFiles(args)
	var faults jsonfile.Faults
	if f.output == outputJSON {
		result.Valid = err == nil
		result.Faults = []checkFault{}
		if errors.As(err, &faults) {
			for _, fault := range faults {
				result.Faults = append(result.Faults, checkFault(fault))
			}
		}
		if printErr := printJSON(w, result); printErr != nil {
			return printErr
		}
		return err
	}
	if err != nil {
		return err
	}
	if f.settings {
		_, err = fmt.Fprintf(w, "valid: %d settings files\n", result.Files)
		return err
	}
	_, err = fmt.Fprintf(w, "valid: %d accounts and %d classes in %d files\n", result.Accounts, result.Classes, result.Files)
	return err
}

// checkFiles validates the files and directories in args as settings or declarations.
func (f *checkFlags) checkFiles(args []string) (checkResult, error) {
	paths, err := declaration.FindFiles(args)
	if err != nil {
		return checkResult{}, err
	}
	if f.settings {
		_, err := settings.ReadEntries(paths)
		return checkResult{Files: len(paths)}, err
	}
	configuration, err := declaration.Merge(paths)
	return checkResult{
		Files:    len(paths),
		Accounts: len(configuration.Accounts),
		Classes:  len(configuration.Classes),
	}, err
}
