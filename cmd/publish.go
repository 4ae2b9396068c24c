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

// publishResult is the JSON output of the publish command.
type publishResult struct {
	Outcome  string `json:"outcome"`
	Revision uint64 `json:"revision"`
	Accounts int    `json:"accounts"`
	Classes  int    `json:"classes"`
	// AppliedOn is the number of live entries that apply the revision, or 0 without --wait or if the wait failed.
	AppliedOn int `json:"in_force_on,omitempty"`
}

// The outcomes of a change.
const (
	// outcomeAccepted means that the store confirmed a new revision.
	outcomeAccepted = "accepted"
	// outcomeUnchanged means that the current revision has the same content already.
	outcomeUnchanged = "unchanged"
)

// newPublishCommand returns the command that publishes declarations as the current configuration.
func newPublishCommand() *cobra.Command {
	var flags publishFlags
	command := &cobra.Command{
		Use:   "publish --platform ADDRESS DIR|FILE...",
		Short: "Publish operators' declarations as the current configuration",
		Long: "Publish reads declaration files, checks them as a whole and makes them the current configuration, replacing\n" +
			"all earlier declarations. \"accepted: revision N\" is printed only after the platform has confirmed the write.\n" +
			"Nothing is changed if anything is wrong or another operator's change came first.\n\n" +
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
	flags.addChangeFlags(command, "removes accounts or classes")
	set := command.Flags()
	set.Int64Var(&flags.expect, "expect", -1, "publish only if this `revision` is current, -1 for any")
	set.BoolVar(&flags.wait, "wait", false, "return only when every live entry applies the revision; needs --entries")
	set.StringSliceVar(&flags.entries, "entries", nil, "operator `addresses` of all entries, separated by commas")
	return command
}

// run publishes the declarations in the files and directories in args and prints the result. With --wait, it also waits
// until the live entries apply the revision; if that fails, the exit code is ExitFailure, although the revision was
// accepted.
func (f *publishFlags) run(ctx context.Context, w io.Writer, args []string) error {
	entries, err := f.parseEntries()
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
		return f.waitAndPrintJSON(ctx, w, entries, result)
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

// waitAndPrintJSON prints the result. With --wait, it first waits until the live entries apply the revision, and prints
// the result even if the wait fails.
func (f *publishFlags) waitAndPrintJSON(
	ctx context.Context, w io.Writer, entries []netip.AddrPort, result publishResult,
) error {
	var waitErr error
	if f.wait {
		result.AppliedOn, waitErr = waitForRevision(ctx, entries, result.Revision)
	}
	if err := printJSON(w, result); err != nil {
		return err
	}
	return waitErr
}

// parseEntries returns the addresses of --entries, which --wait requires.
func (f *publishFlags) parseEntries() ([]netip.AddrPort, error) {
	if f.wait && len(f.entries) == 0 {
		return nil, inputErrorf("--wait needs --entries, the operator addresses of all entries")
	}
	var entries []netip.AddrPort
	for _, text := range f.entries {
		entry, err := netip.ParseAddrPort(strings.TrimSpace(text))
		if err != nil {
			return nil, inputErrorf("--entries: %q is not an address with a port", text)
		}
		entries = append(entries, entry)
	}
	return entries, nil
}

// publish writes a configuration, unless it equals the current one, and returns once the store has confirmed the write.
func (f *publishFlags) publish(
	ctx context.Context, configuration config.Configuration, from []string,
) (publishResult, error) {
	result := publishResult{
		Outcome:  outcomeAccepted,
		Accounts: len(configuration.Accounts),
		Classes:  len(configuration.Classes),
	}
	updater := &platform.RecordUpdater{Tables: f.client()}
	published, err := updater.ReadConfiguration(ctx)
	if err != nil {
		return result, errors.Wrap(err, "read the current configuration")
	}
	if err := f.checkExpected(published); err != nil {
		return result, err
	}
	if published.Matches(configuration) {
		result.Outcome = outcomeUnchanged
		result.Revision = published.Configuration.Revision
		return result, nil
	}
	if err := f.checkConfirmed(published, configuration); err != nil {
		return result, err
	}
	change, err := updater.Publish(ctx, published, configuration, f.newChange(from...))
	result.Revision = change.Revision
	return result, errors.Wrap(err, "publish")
}

// checkExpected returns an error with exit code ExitConflict if the current revision is not the one given by --expect.
func (f *publishFlags) checkExpected(published platform.StoredConfiguration) error {
	latest := published.Head.Latest()
	if f.expect < 0 || uint64(f.expect) == latest.Revision {
		return nil
	}
	if latest.Revision == 0 {
		return &exitError{code: ExitConflict, err: errors.Errorf("publish: expected revision %d, but none is published", f.expect)}
	}
	return errors.Wrap(&platform.ConcurrentChangeError{Key: published.Head.Key, Other: latest}, "publish")
}

// checkConfirmed returns an error if the change needs to be confirmed by --yes: it removes accounts or classes, or it
// replaces a configuration that can't be decoded.
func (f *publishFlags) checkConfirmed(old platform.StoredConfiguration, configuration config.Configuration) error {
	if f.yes {
		return nil
	}
	if old.DecodeErr != nil {
		return inputErrorf("publish: the stored revision %d can't be read (%v); confirm its replacement with --yes",
			old.Head.Latest().Revision, old.DecodeErr)
	}
	removed := append(removedNames("account", old.Configuration.Accounts, configuration.Accounts),
		removedNames("class", old.Configuration.Classes, configuration.Classes)...)
	if len(removed) == 0 {
		return nil
	}
	return inputErrorf("publish: this removes %s; nothing was changed; confirm with --yes", strings.Join(removed, ", "))
}

// removedNames returns the kind and the name of each key of the map old that is missing in the map current, sorted.
func removedNames[K ~string, V any](kind string, old, current map[K]V) []string {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(old)) {
		if _, found := current[name]; !found {
			names = append(names, fmt.Sprintf("%s %q", kind, name))
		}
	}
	return names
}
