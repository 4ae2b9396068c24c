package cmd

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"wisteriadyke/gateway"
	"wisteriadyke/io/settings"
)

// newGatewayCommand builds the command that runs one entry on the Cierzo platform.
func newGatewayCommand() *cobra.Command {
	var path string
	command := &cobra.Command{
		Use:   "gateway --settings FILE",
		Short: "Run one entry instance on the Cierzo platform",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			config, err := settings.ReadGateway(path)
			if err != nil {
				return err
			}
			level, err := zerolog.ParseLevel(config.LogLevel)
			if err != nil {
				return inputErrorf("log_level: %v", err)
			}
			ctx, stop := signal.NotifyContext(c.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			signal.Ignore(syscall.SIGHUP)
			process := &gateway.Process{Settings: config, Log: newLog(c.OutOrStdout()).Level(level)}
			return process.Run(ctx)
		},
	}
	command.Flags().StringVar(&path, "settings", "", "settings `file` in JSON with comments")
	_ = command.MarkFlagRequired("settings")
	return command
}
