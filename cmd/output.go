package cmd

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
)

// output is the format in which a command prints its result.
type output string

// The output formats.
const (
	// outputTable is readable by people.
	outputTable output = "table"
	// outputJSON is readable by programs.
	outputJSON output = "json"
)

// UnmarshalText parses the value of a flag. It returns an error for an unknown format.
func (o *output) UnmarshalText(text []byte) error {
	switch output(text) {
	case outputTable, outputJSON:
		*o = output(text)
		return nil
	}
	return errors.Errorf("want %s or %s", outputTable, outputJSON)
}

// MarshalText returns the value of a flag.
func (o output) MarshalText() ([]byte, error) {
	return []byte(o), nil
}

// addOutputFlag adds the flag that selects the output format.
func addOutputFlag(c *cobra.Command, o *output) {
	c.Flags().TextVar(o, "output", outputTable, "form of the result, `table` or json")
	_ = c.RegisterFlagCompletionFunc("output", cobra.FixedCompletions(
		[]string{string(outputTable), string(outputJSON)}, cobra.ShellCompDirectiveNoFileComp))
}

// printJSON prints a value as indented JSON.
func printJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(value), "print")
}

// printTable prints a header and rows of cells in aligned columns.
func printTable(w io.Writer, header []string, rows [][]string) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range append([][]string{header}, rows...) {
		_, _ = fmt.Fprintln(table, strings.Join(row, "\t"))
	}
	return errors.Wrap(table.Flush(), "print")
}
