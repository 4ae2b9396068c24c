package cmd

import (
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"wisteriadyke/entry"
	"wisteriadyke/io/settings"
)

// balancerDelay is how long the balancer takes to send no new requests to an entry that is not ready.
const balancerDelay = 2 * time.Second

// newEntryCommand builds the command that runs one entry.
func newEntryCommand() *cobra.Command {
	var path string
	command := &cobra.Command{
		Use:   "entry --settings FILE",
		Short: "Run one entry instance",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			config, err := settings.ReadEntry(path)
			if err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(c.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			process := &entry.Process{
				Settings:      config,
				Log:           zerolog.New(c.ErrOrStderr()).With().Timestamp().Logger(),
				BalancerDelay: balancerDelay,
			}
			return process.Run(ctx)
		},
	}
	command.Flags().StringVar(&path, "settings", "", "settings `file` in JSON with comments")
	_ = command.MarkFlagRequired("settings")
	return command
}
