package cmd

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/netip"
	"slices"
	"strings"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"wisteriadyke/core/config"
	"wisteriadyke/io/declaration"
	"wisteriadyke/io/platform"
)

// publishFlags holds the flags of the publish command.
type publishFlags struct {
	operatorFlags
	expect  int64
	wait    bool
	entries []string
}

// publishResult is the result of publish in JSON.
type publishResult struct {
	Outcome  string `json:"outcome"`
	Revision uint64 `json:"revision"`
	Accounts int    `json:"accounts"`
	Classes  int    `json:"classes"`
	// InForceOn counts the live entries that have the revision in force, if that was waited for.
	InForceOn int `json:"in_force_on,omitempty"`
}

// The outcomes of publish.
const (
	// outcomeAccepted means that a new revision is confirmed.
	outcomeAccepted = "accepted"
	// outcomeUnchanged means that the same was in force already.
	outcomeUnchanged = "unchanged"
)

// newPublishCommand builds the command that puts declarations in force.
func newPublishCommand() *cobra.Command {
	var flags publishFlags
	command := &cobra.Command{
		Use:   "publish --platform ADDRESS DIR|FILE...",
		Short: "Put operators' declarations in force",
		Long: "Publish collects declaration files, checks them as a whole and puts them in force in the place of all that was\n" +
			"declared before. \"accepted: revision N\" is printed only after the platform has confirmed the write. Nothing is\n" +
			"changed if anything is wrong or another operator's change came first.\n\n" +
			"Exit codes: 1 failed and nothing changed, 2 bad input, 3 another change came first, 4 outcome not known.",
		Example: "  wisteriadyke publish --platform 127.0.0.1:7000 examples/cierzo/declarations\n" +
			"  wisteriadyke publish --platform 127.0.0.1:7000 --wait --entries 127.0.0.1:8301,127.0.0.1:8302 declarations",
		Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			ctx, cancel := context.WithTimeout(c.Context(), flags.timeout)
			defer cancel()
			return flags.run(ctx, c.OutOrStdout(), args)
		},
	}
	flags.addChange(command, "removes accounts or classes")
	set := command.Flags()
	set.Int64Var(&flags.expect, "expect", -1, "publish only if this `revision` is in force, -1 for any")
	set.BoolVar(&flags.wait, "wait", false, "return only when every live entry has the revision in force; needs --entries")
	set.StringSliceVar(&flags.entries, "entries", nil, "operator `addresses` of all entries, divided by commas")
	return command
}

// run publishes what the arguments stand for.
func (f *publishFlags) run(ctx context.Context, w io.Writer, args []string) error {
	entries, err := f.waitFor()
	if err != nil {
		return err
	}
	paths, err := declaration.FindFiles(args)
	if err != nil {
		return err
	}
	configuration, err := declaration.Merge(paths)
	if err != nil {
		return err
	}
	result, err := f.publish(ctx, configuration, args)
	if err != nil {
		return err
	}
	if f.output == outputJSON {
		return f.finishJSON(ctx, w, entries, result)
	}
	if _, err := fmt.Fprintf(w, "%s: revision %d\n", result.Outcome, result.Revision); err != nil || !f.wait {
		return errors.Wrap(err, "print")
	}
	live, err := waitForRevision(ctx, entries, result.Revision)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "in force: revision %d on %d live entries\n", result.Revision, live)
	return errors.Wrap(err, "print")
}

// finishJSON waits if that is asked for and prints the result, also when it is not in force in time.
func (f *publishFlags) finishJSON(ctx context.Context, w io.Writer, entries []netip.AddrPort, result publishResult) error {
	var waitErr error
	if f.wait {
		result.InForceOn, waitErr = waitForRevision(ctx, entries, result.Revision)
	}
	if err := printJSON(w, result); err != nil {
		return err
	}
	return waitErr
}

// waitFor returns the entries to wait for.
func (f *publishFlags) waitFor() ([]netip.AddrPort, error) {
	if f.wait && len(f.entries) == 0 {
		return nil, inputErrorf("--wait needs --entries, the operator addresses of all entries")
	}
	var entries []netip.AddrPort
	for _, text := range f.entries {
		entry, err := netip.ParseAddrPort(strings.TrimSpace(text))
		if err != nil {
			return nil, inputErrorf("--entries: %q is no address with a port", text)
		}
		entries = append(entries, entry)
	}
	return entries, nil
}

// publish writes a configuration and returns once the write is confirmed.
func (f *publishFlags) publish(
	ctx context.Context, configuration config.Configuration, from []string,
) (publishResult, error) {
	result := publishResult{
		Outcome:  outcomeAccepted,
		Accounts: len(configuration.Accounts),
		Classes:  len(configuration.Classes),
	}
	reviser := &platform.RecordUpdater{Tables: f.client()}
	published, err := reviser.ReadConfiguration(ctx)
	if err != nil {
		return result, errors.Wrap(err, "read the configuration in force")
	}
	if err := f.checkExpected(published); err != nil {
		return result, err
	}
	if published.Matches(configuration) {
		result.Outcome = outcomeUnchanged
		result.Revision = published.Configuration.Revision
		return result, nil
	}
	if err := f.confirm(published, configuration); err != nil {
		return result, err
	}
	change, err := reviser.Publish(ctx, published, configuration, f.change(from...))
	result.Revision = change.Revision
	return result, errors.Wrap(err, "publish")
}

// checkExpected refuses to go on when another revision than the expected one is in force.
func (f *publishFlags) checkExpected(published platform.StoredConfiguration) error {
	latest := published.Head.Latest()
	if f.expect < 0 || uint64(f.expect) == latest.Revision {
		return nil
	}
	if latest.Revision == 0 {
		return &exitError{code: ExitConflict, err: errors.Errorf("publish: no revision is in force, not %d", f.expect)}
	}
	return errors.Wrap(&platform.ConcurrentChangeError{Key: published.Head.Key, Other: latest}, "publish")
}

// confirm refuses to remove accounts or classes, or what can't be read, without a confirmation.
func (f *publishFlags) confirm(old platform.StoredConfiguration, configuration config.Configuration) error {
	if f.yes {
		return nil
	}
	if old.DecodeErr != nil {
		return inputErrorf("publish: the stored revision %d can't be read (%v); to replace it confirm by --yes",
			old.Head.Latest().Revision, old.DecodeErr)
	}
	removed := append(missing("account", old.Configuration.Accounts, configuration.Accounts),
		missing("class", old.Configuration.Classes, configuration.Classes)...)
	if len(removed) == 0 {
		return nil
	}
	return inputErrorf("publish: this removes %s; nothing was changed; confirm by --yes", strings.Join(removed, ", "))
}

// missing names what is in old and not in present, in order.
func missing[K ~string, V any](kind string, old, present map[K]V) []string {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(old)) {
		if _, found := present[name]; !found {
			names = append(names, fmt.Sprintf("%s %q", kind, name))
		}
	}
	return names
}
