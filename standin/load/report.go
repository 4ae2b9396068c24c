package load

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

// callsRow is the name of the row of the at-most-once calls.
const callsRow = "calls"

// Report summarizes results by band.
type Report struct {
	rows []row
}

// row summarizes one band, or the at-most-once calls.
type row struct {
	name       string
	outcomes   map[Outcome]int
	reasons    map[string]int
	firstToken []time.Duration
}

// newReport returns a report of results.
func newReport(bands []Band, results []Result) Report {
	var report Report
	for _, b := range bands {
		report.rows = append(report.rows, newRow(b.Name, b.Name, results))
	}
	report.rows = append(report.rows, newRow(callsRow, "", results))
	return report
}

// newRow summarizes the results of one band; "" stands for the at-most-once calls.
func newRow(name, band string, results []Result) row {
	r := row{name: name, outcomes: make(map[Outcome]int), reasons: make(map[string]int)}
	for _, result := range results {
		if result.Band != band {
			continue
		}
		r.outcomes[result.Outcome]++
		if result.Reason != "" {
			r.reasons[result.Reason]++
		}
		if result.Outcome == OutcomeDone && band != "" {
			r.firstToken = append(r.firstToken, result.FirstToken)
		}
	}
	slices.Sort(r.firstToken)
	return r
}

// Broken returns the number of requests and calls with OutcomeBroken.
func (r Report) Broken() int {
	broken := 0
	for _, row := range r.rows {
		broken += row.outcomes[OutcomeBroken]
	}
	return broken
}

// Print writes a table of the outcomes and the time to first token by band.
func (r Report) Print(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "PROMPT\tDONE\tNOT RUN\tFAILED\tUNKNOWN\tBROKEN\tFIRST TOKEN P50\tP95\tP99\t  REASONS")
	for _, row := range r.rows {
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t  %s\n", row.name,
			row.outcomes[OutcomeDone], row.outcomes[OutcomeNotRun], row.outcomes[OutcomeFailed],
			row.outcomes[OutcomeUnknown], row.outcomes[OutcomeBroken],
			quantile(row.firstToken, 0.50), quantile(row.firstToken, 0.95), quantile(row.firstToken, 0.99),
			formatReasons(row.reasons))
	}
	return table.Flush()
}

// quantile returns the quantile q of sorted times, or "-" if there are none.
func quantile(sorted []time.Duration, q float64) string {
	if len(sorted) == 0 {
		return "-"
	}
	return sorted[int(q*float64(len(sorted)-1))].Round(time.Millisecond).String()
}

// formatReasons returns the failure reasons and their counts, sorted by name.
func formatReasons(counts map[string]int) string {
	var names []string
	for name, count := range counts {
		names = append(names, fmt.Sprintf("%s=%d", name, count))
	}
	slices.Sort(names)
	return fmt.Sprint(names)
}
