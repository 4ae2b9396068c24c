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

// output is the form in which a command prints its result.
type output string

// The forms of results.
const (
	// outputTable is for people.
	outputTable output = "table"
	// outputJSON is for programs.
	outputJSON output = "json"
)

// UnmarshalText reads the value of a flag.
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

// addOutputFlag adds the flag that chooses the form of the result.
func addOutputFlag(c *cobra.Command, o *output) {
	c.Flags().TextVar(o, "output", outputTable, "form of the result, `table` or json")
	_ = c.RegisterFlagCompletionFunc("output", cobra.FixedCompletions(
		[]string{string(outputTable), string(outputJSON)}, cobra.ShellCompDirectiveNoFileComp))
}

// printJSON prints a value as one JSON text.
func printJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(value), "print")
}

// printTable prints rows of cells under a header.
func printTable(w io.Writer, header []string, rows [][]string) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range append([][]string{header}, rows...) {
		_, _ = fmt.Fprintln(table, strings.Join(row, "\t"))
	}
	return errors.Wrap(table.Flush(), "print")
}
