package cmd

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/spf13/cobra"

	"wisteriadyke/core/fleet"
	"wisteriadyke/standin/load"
)

// loadFlags holds the flags of the standin load command.
type loadFlags struct {
	callers   []string
	keys      []string
	callClass string
	rate      float64
	duration  time.Duration
	seed      uint64
}

// newStandinLoadCommand returns the command that sends requests as callers do.
func newStandinLoadCommand() *cobra.Command {
	var flags loadFlags
	command := &cobra.Command{
		Use:   "load",
		Short: "Send a mixed load through entries and print the time to first token by length",
		Long: `Sends prompts of a thousand to a million tokens and at-most-once calls to the given entries in turn, waits for
every answer, and prints the time to first token by prompt length with all outcomes. It fails if an answer was missing,
incomplete or malformed.`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			return runLoad(c, flags)
		},
	}
	command.Flags().StringSliceVar(&flags.callers, "caller", nil, "caller `address` of an entry; may be repeated")
	command.Flags().StringSliceVar(&flags.keys, "key", nil, "`key` of a client account; may be repeated")
	command.Flags().StringVar(&flags.callClass, "call-class", "", "at-most-once `class` to call with every tenth request")
	command.Flags().Float64Var(&flags.rate, "rate", 10, "requests per second")
	command.Flags().DurationVar(&flags.duration, "duration", 10*time.Second, "how long requests are sent")
	command.Flags().Uint64Var(&flags.seed, "seed", 1, "`number` that makes the mix repeatable")
	_ = command.MarkFlagRequired("caller")
	_ = command.MarkFlagRequired("key")
	return command
}

// runLoad sends the load and prints its report; it returns an error if any answer was missing, incomplete or
// malformed.
func runLoad(c *cobra.Command, flags loadFlags) error {
	generator := &load.Generator{
		Keys:      flags.keys,
		Bands:     load.Bands,
		Rate:      flags.rate,
		Duration:  flags.duration,
		CallClass: fleet.ClassName(flags.callClass),
		Seed:      flags.seed,
	}
	for _, text := range flags.callers {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			return inputErrorf("--caller: %v", err)
		}
		generator.Callers = append(generator.Callers, address)
	}
	report, err := generator.Run(c.Context())
	if err != nil {
		return err
	}
	if err := report.Print(c.OutOrStdout()); err != nil {
		return err
	}
	if broken := report.Broken(); broken > 0 {
		return fmt.Errorf("%d answers were missing, incomplete or malformed", broken)
	}
	return nil
}
