package cmd

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/timeline"
	"wisteriadyke/io/operator"
)

// timelineFlags holds the flags of the timeline command.
type timelineFlags struct {
	entries  []string
	request  string
	endpoint string
	account  string
	output   output
}

// newTimelineCommand returns the command that prints the timeline of events over all entries.
func newTimelineCommand() *cobra.Command {
	var flags timelineFlags
	command := &cobra.Command{
		Use:   "timeline --entry ADDRESS...",
		Short: "Print the time line of events over all entries",
		Long: `Gathers the events of the given entries, orders them by their hybrid logical clocks and prints them.
An entry that does not answer is reported on the error output; the events of the others are still printed.
The environment variable ` + operatorKeyVariable + ` holds the operators' key.`,
		Example: "  wisteriadyke timeline --entry 127.0.0.1:8301,127.0.0.1:8302 --request 36ZP3UCO26O64B7D2ANU6KBQAL",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return runTimeline(c, flags)
		},
	}
	addEntriesFlag(command, &flags.entries)
	command.Flags().StringVar(&flags.request, "request", "", "print only the events of this `request`")
	command.Flags().StringVar(&flags.endpoint, "endpoint", "", "print only the events of this `endpoint`")
	command.Flags().StringVar(&flags.account, "account", "", "print only the events of this client `account`")
	addOutputFlag(command, &flags.output)
	return command
}

// runTimeline queries all entries and prints their events in the order of the hybrid logical clocks.
func runTimeline(c *cobra.Command, flags timelineFlags) error {
	clients, err := operatorClients(flags.entries)
	if err != nil {
		return err
	}
	filter := timeline.Filter{
		Request:  fleet.RequestID(flags.request),
		Endpoint: fleet.EndpointID(flags.endpoint),
		Account:  fleet.AccountID(flags.account),
	}
	events, failures := queryAll(clients, func(client *operator.Client) ([]timeline.Event, error) {
		return client.Timeline(c.Context(), filter)
	})
	if err := printEvents(c.OutOrStdout(), flags.output, timeline.Merge(events...)); err != nil {
		return err
	}
	return joinFailures(failures)
}

// queryAll queries all entries concurrently; the answer and the error of an entry have the index of its client.
func queryAll[T any](clients []*operator.Client, query func(*operator.Client) (T, error)) ([]T, []error) {
	answers := make([]T, len(clients))
	failures := make([]error, len(clients))
	var group errgroup.Group
	for i, client := range clients {
		group.Go(func() error {
			answers[i], failures[i] = query(client)
			return nil
		})
	}
	_ = group.Wait()
	return answers, failures
}

// joinFailures returns one error that names all entries that did not answer, or nil.
func joinFailures(failures []error) error {
	var texts []string
	for _, err := range failures {
		if err != nil {
			texts = append(texts, err.Error())
		}
	}
	if len(texts) == 0 {
		return nil
	}
	return fmt.Errorf("%d of %d entries did not answer: %s", len(texts), len(failures), strings.Join(texts, "; "))
}

// printEvents prints events as a table or as JSON lines.
func printEvents(out io.Writer, form output, events []timeline.Event) error {
	if form == outputJSON {
		return printEventLines(out, events)
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "TIME\tENTRY\tEVENT\tENDPOINT\tDETAIL")
	for _, e := range events {
		at := e.Timestamp.Wall.UTC().Format("15:04:05.000000")
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\n", at, e.Entry, e.Kind, e.Endpoint, eventDetail(e))
	}
	return table.Flush()
}

// printEventLines prints events as JSON, one per line.
func printEventLines(out io.Writer, events []timeline.Event) error {
	for _, e := range events {
		line, err := operator.EncodeEvent(e)
		if err != nil {
			return err
		}
		if _, err := fmt.Fprintf(out, "%s\n", line); err != nil {
			return err
		}
	}
	return nil
}

// eventDetail returns the fields of an event that are set and have no column of their own, as name=value separated by
// spaces.
func eventDetail(e timeline.Event) string {
	var parts []string
	add := func(name, value string, set bool) {
		if set {
			parts = append(parts, name+"="+value)
		}
	}
	add("request", string(e.Request), e.Request != "")
	add("attempt", string(e.Attempt), e.Attempt != "")
	add("account", string(e.Account), e.Account != "")
	add("class", string(e.Class), e.Class != "")
	add("zone", string(e.Zone), e.Zone != "")
	add("peer", string(e.Peer), e.Peer != "")
	add("reason", fmt.Sprintf("%q", e.Reason), e.Reason != "")
	add("tokens", fmt.Sprint(e.Tokens), e.Tokens != 0)
	add("took", e.Duration.Round(time.Microsecond).String(), e.Duration != 0)
	add("retry_after", e.RetryAfter.String(), e.RetryAfter != 0)
	add("predicted", e.Predicted.String(), e.Predicted != 0)
	add("revision", fmt.Sprint(e.Revision), e.Revision != 0)
	return strings.Join(parts, " ")
}
