package cmd

import (
	"cmp"
	"fmt"
	"io"
	"slices"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"wisteriadyke/core/configcheck"
	"wisteriadyke/core/retry"
	"wisteriadyke/gateway"
	"wisteriadyke/io/jsonfile"
	"wisteriadyke/platform/ingress"
	"wisteriadyke/platform/store"
)

// platformCheckFlags holds the flags of the check command for the configuration of the Cierzo platform.
type platformCheckFlags struct {
	path, inForce  string
	failOnWarnings bool
	retryBurst     float64
	entryCount     int
}

// platformCheckOptions holds the flags that have an effect with --platform only.
var platformCheckOptions = []string{"in-force", "fail-on-warnings", "retry-burst", "entry-count"}

// platformCheckResult is the JSON output of the check command for the configuration of the Cierzo platform.
type platformCheckResult struct {
	Valid    bool              `json:"valid"`
	Version  int64             `json:"version"`
	Errors   int               `json:"errors"`
	Warnings int               `json:"warnings"`
	Findings []platformFinding `json:"findings"`
	// Changes is absent if there is no configuration in force to compare with.
	Changes *[]platformChange `json:"changes,omitempty"`
}

// platformFinding is one finding in the JSON output.
type platformFinding struct {
	Severity string `json:"severity"`
	checkFault
	Advice string `json:"advice"`
}

// platformChange is one difference from the configuration in force in the JSON output.
type platformChange struct {
	Change  string `json:"change"`
	Subject string `json:"subject"`
	Name    string `json:"name,omitempty"`
	Field   string `json:"field,omitempty"`
	From    string `json:"from,omitempty"`
	To      string `json:"to,omitempty"`
	Text    string `json:"text"`
}

// add adds the flags to the check command.
func (f *platformCheckFlags) add(c *cobra.Command) {
	flags := c.Flags()
	flags.StringVar(&f.path, "platform", "", "`file` with the operators' configuration of the Cierzo platform")
	flags.StringVar(&f.inForce, "in-force", "", "`file` with the configuration in force, to list the differences")
	flags.BoolVar(&f.failOnWarnings, "fail-on-warnings", false, "return exit code 5 if there are warnings, but no errors")
	flags.Float64Var(&f.retryBurst, "retry-burst", 50, "retry_burst in the settings of the entries")
	flags.IntVar(&f.entryCount, "entry-count", 1, "number of entries, which share the retry burst")
}

// run checks the configuration and prints the result: in a table, the findings to errOut and the changes to out.
func (f *platformCheckFlags) run(out, errOut io.Writer, format output) error {
	result, err := f.check()
	if format == outputJSON {
		if printErr := printJSON(out, result); printErr != nil {
			return printErr
		}
		if err == nil {
			return f.outcome(result)
		}
	}
	if err != nil {
		return err
	}
	for _, finding := range result.Findings {
		fault := jsonfile.Fault(finding.checkFault)
		fault.Problem = fmt.Sprintf("%s: %s; %s", finding.Severity, fault.Problem, finding.Advice)
		if _, err := fmt.Fprintln(errOut, fault.Error()); err != nil {
			return errors.Wrap(err, "print")
		}
	}
	if err := f.printChanges(out, result); err != nil {
		return err
	}
	return f.outcome(result)
}

// check returns the result; the error is of type jsonfile.Faults if a file can't be read. The result then contains its
// faults as findings.
func (f *platformCheckFlags) check() (platformCheckResult, error) {
	result := platformCheckResult{Findings: []platformFinding{}}
	checked, err := store.ReadConfigurationFile(f.path)
	if err != nil {
		result.addFaults(err)
		return result, err
	}
	result.Version = checked.Configuration.Version
	findings := configcheck.Check(checked.Configuration, configcheck.Options{
		DefaultTimeout: ingress.DefaultTimeout,
		MaxRetries:     int(retry.Capacity(f.retryBurst*gateway.RetryBudgetShare, f.entryCount)),
	})
	if f.inForce != "" {
		inForce, err := store.ReadConfigurationFile(f.inForce)
		if err != nil {
			result.addFaults(err)
			return result, err
		}
		findings = append(findings, configcheck.CheckVersion(checked.Configuration, inForce.Configuration)...)
		changes := []platformChange{}
		for _, c := range configcheck.Diff(inForce.Configuration, checked.Configuration) {
			changes = append(changes, platformChange{
				Change: string(c.Kind), Subject: c.Subject.String(), Name: c.Name, Field: string(c.Field), From: c.From, To: c.To, Text: c.String(),
			})
		}
		result.Changes = &changes
	}
	for _, finding := range findings {
		path, line, field := checked.Locate(finding.Place)
		result.add(finding.Severity, checkFault{File: path, Line: line, Field: field, Problem: finding.Problem}, finding.Advice)
	}
	for _, fault := range checked.Unknown() {
		result.add(configcheck.SeverityWarning, checkFault(fault), "correct the name if it is a typing error")
	}
	slices.SortStableFunc(result.Findings, func(a, b platformFinding) int { return cmp.Compare(a.Line, b.Line) })
	result.Valid = result.Errors == 0
	return result, nil
}

// add adds a finding.
func (r *platformCheckResult) add(severity configcheck.Severity, fault checkFault, advice string) {
	if severity == configcheck.SeverityError {
		r.Errors++
	} else {
		r.Warnings++
	}
	r.Findings = append(r.Findings, platformFinding{Severity: severity.String(), checkFault: fault, Advice: advice})
}

// addFaults adds the faults of a file that can't be decoded as errors.
func (r *platformCheckResult) addFaults(err error) {
	var faults jsonfile.Faults
	if errors.As(err, &faults) {
		for _, fault := range faults {
			r.add(configcheck.SeverityError, checkFault(fault), "correct the file; entries reject it as a whole")
		}
	}
}

// printChanges prints the changes and, if there are no errors, that the configuration is valid.
func (f *platformCheckFlags) printChanges(w io.Writer, result platformCheckResult) error {
	if result.Changes != nil {
		for _, c := range *result.Changes {
			if _, err := fmt.Fprintln(w, c.Text); err != nil {
				return errors.Wrap(err, "print")
			}
		}
		if len(*result.Changes) == 0 {
			if _, err := fmt.Fprintln(w, "no differences from the configuration in force"); err != nil {
				return errors.Wrap(err, "print")
			}
		}
	}
	if !result.Valid {
		return nil
	}
	_, err := fmt.Fprintf(w, "valid: version %d, %d warnings\n", result.Version, result.Warnings)
	return errors.Wrap(err, "print")
}

// outcome returns an error if there are errors, or warnings for which the command was asked to fail.
func (f *platformCheckFlags) outcome(result platformCheckResult) error {
	switch {
	case !result.Valid:
		return inputErrorf("%s: %d errors, %d warnings", f.path, result.Errors, result.Warnings)
	case f.failOnWarnings && result.Warnings > 0:
		return &exitError{code: ExitWarnings, err: errors.Errorf("%s: %d warnings", f.path, result.Warnings)}
	default:
		return nil
	}
}
