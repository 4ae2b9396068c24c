package cmd

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"wisteriadyke/io/operator"
)

// newStatusCommand returns the command that prints the status of entries. The cold-start limit of an endpoint is in the
// JSON output only; the table contains its warmth.
func newStatusCommand() *cobra.Command {
	var entries []string
	var form output
	command := &cobra.Command{
		Use:   "status --entry ADDRESS...",
		Short: "Print availability zones, entries, endpoints, owners and limits",
		Long: `Prints the state of the given entries: whether each accepts new requests, its configuration revision, the
availability zones that operators have changed, and each endpoint with its owner. Memory, queue and cold-start limit
of an endpoint are known only to its owner, so list all entries to see all of them.
The environment variable ` + operatorKeyVariable + ` holds the operators' key.`,
		Example: "  wisteriadyke status --entry 127.0.0.1:8301,127.0.0.1:8302,127.0.0.1:8303",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			clients, err := operatorClients(entries)
			if err != nil {
				return err
			}
			answers, failures := queryAll(clients, func(client *operator.Client) (operator.Status, error) {
				return client.Status(c.Context())
			})
			if err := printStatus(c.OutOrStdout(), form, successful(answers, failures)); err != nil {
				return err
			}
			return joinFailures(failures)
		},
	}
	addEntriesFlag(command, &entries)
	addOutputFlag(command, &form)
	return command
}

// successful returns the answers whose error is nil.
func successful[T any](answers []T, failures []error) []T {
	var found []T
	for i, err := range failures {
		if err == nil {
			found = append(found, answers[i])
		}
	}
	return found
}

// printStatus prints the statuses of entries as tables or as JSON.
func printStatus(out io.Writer, form output, statuses []operator.Status) error {
	if form == outputJSON {
		return printJSON(out, operator.StatusBodies(statuses))
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "ENTRY\tZONE\tREADY\tREVISION\tPEERS\tON TRIAL\tQUARANTINED")
	for _, s := range statuses {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%t\t%d\t%d\t%d\t%d\n",
			s.Entry, s.Zone, s.Ready, s.ConfigurationRevision, len(s.Entries), s.OnTrial, s.Quarantined)
	}
	printZones(table, statuses)
	printEndpoints(table, statuses)
	return table.Flush()
}

// printZones prints for each entry whether the availability zones that it knows are in service or drained.
func printZones(out io.Writer, statuses []operator.Status) {
	_, _ = fmt.Fprintln(out, "\nENTRY\tZONE\tSTATE\tREVISION")
	for _, s := range statuses {
		for _, z := range s.Zones {
			state := "in service"
			if z.Drained {
				state = "drained"
			}
			_, _ = fmt.Fprintf(out, "%s\t%s\t%s\t%d\n", s.Entry, z.Zone, state, z.Revision)
		}
	}
}

// printEndpoints prints each endpoint once, as reported by its owner or else by the first entry that lists it.
func printEndpoints(out io.Writer, statuses []operator.Status) {
	_, _ = fmt.Fprintln(out, "\nENDPOINT\tZONE\tPOOL\tSTATE\tOWNER\tMEMORY\tUSED\tRUNNING\tQUEUE\tWARMTH")
	for _, e := range mergeEndpoints(statuses) {
		_, _ = fmt.Fprintf(out, "%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%s\n",
			e.Endpoint, e.Zone, e.Pool, e.State, e.Owner, e.Memory, e.Used, e.Running, e.Queue, e.Warmth)
	}
}

// mergeEndpoints returns each endpoint once, in order of first occurrence; the report of its owner takes precedence.
func mergeEndpoints(statuses []operator.Status) []operator.EndpointStatus {
	var merged []operator.EndpointStatus
	index := make(map[string]int)
	for _, s := range statuses {
		for _, e := range s.Endpoints {
			i, found := index[string(e.Endpoint)]
			switch {
			case !found:
				index[string(e.Endpoint)] = len(merged)
				merged = append(merged, e)
			case e.Owned:
				merged[i] = e
			}
		}
	}
	return merged
}
