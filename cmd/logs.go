package cmd

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
)

// maxLogLine bounds the length of a line of a log file in bytes; a longer line is an error.
const maxLogLine = 1 << 20

// newLogsCommand returns the command that finds the lines about a request, attempt or endpoint in saved logs.
func newLogsCommand() *cobra.Command {
	var subject string
	command := &cobra.Command{
		Use:   "logs --subject ID FILE...",
		Short: "Print the log lines about one request, attempt or endpoint from saved logs, in order of time",
		Long: `Reads saved log lines of any number of entries and prints those that name the subject, in order of time, each
prefixed by the name of its file. Text before a line's JSON value is printed as well; lines without one are skipped.`,
		Example: "  wisteriadyke logs --subject a30787df08666154 entry-*.log",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, files []string) error {
			return runLogs(c.OutOrStdout(), subject, files)
		},
	}
	command.Flags().StringVar(&subject, "subject", "", "print the lines that name this request, attempt or `endpoint`")
	_ = command.MarkFlagRequired("subject")
	return command
}

// logLine is a log line that contains the ID given by --subject, which is that of a request, attempt or endpoint.
type logLine struct {
	file string
	text string
	at   time.Time
}

// runLogs prints the lines of all files that name the subject, in order of time.
func runLogs(out io.Writer, subject string, files []string) error {
	var found []logLine
	for _, file := range files {
		lines, err := readLog(file, subject)
		if err != nil {
			return err
		}
		found = append(found, lines...)
	}
	slices.SortStableFunc(found, func(a, b logLine) int { return a.at.Compare(b.at) })
	for _, line := range found {
		if _, err := fmt.Fprintf(out, "%s: %s\n", line.file, line.text); err != nil {
			return errors.Wrap(err, "logs")
		}
	}
	return nil
}

// readLog returns the lines of a file that name the subject.
func readLog(file, subject string) ([]logLine, error) {
	input, err := os.Open(file)
	if err != nil {
		return nil, inputErrorf("logs: %v", err)
	}
	defer func() { _ = input.Close() }()
	var found []logLine
	scanner := bufio.NewScanner(input)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		text := scanner.Text()
		if at, ok := matchLine(text, subject); ok {
			found = append(found, logLine{file: file, text: strings.TrimSpace(text), at: at})
		}
	}
	return found, errors.Wrapf(scanner.Err(), "logs: %s", file)
}

// matchLine reports whether a line names the subject in one of its JSON fields, and returns the time of the line. A
// line without a JSON value or without a valid time doesn't match.
func matchLine(text, subject string) (time.Time, bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 || !strings.Contains(text, subject) {
		return time.Time{}, false
	}
	var fields map[string]any
	if json.Unmarshal([]byte(text[start:]), &fields) != nil {
		return time.Time{}, false
	}
	timestamp, _ := fields["time"].(string)
	at, err := time.Parse(time.RFC3339, timestamp)
	if err != nil {
		return time.Time{}, false
	}
	for _, value := range fields {
		if mentions(value, subject) {
			return at, true
		}
	}
	return time.Time{}, false
}

// mentions reports whether the value of a field is the subject, one of its attempts, or a list that contains either.
// The ID of an attempt begins with that of its request and a dot.
func mentions(value any, subject string) bool {
	switch v := value.(type) {
	case string:
		return v == subject || strings.HasPrefix(v, subject+".")
	case []any:
		return slices.ContainsFunc(v, func(element any) bool { return mentions(element, subject) })
	default:
		return false
	}
}
