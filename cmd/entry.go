package cmd

import (
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"wisteriadyke/entry"
	"wisteriadyke/io/settings"
)

// newEntryCommand returns the command that runs one entry.
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
			level, err := zerolog.ParseLevel(config.LogLevel)
			if err != nil {
				return inputErrorf("log_level: %v", err)
			}
			process := &entry.Process{
				Settings: config,
				Log:      newLog(c.ErrOrStderr()).Level(level),
			}
			return process.Run(ctx)
		},
	}
	command.Flags().StringVar(&path, "settings", "", "settings `file` in JSON with comments")
	_ = command.MarkFlagRequired("settings")
	return command
}

// newLog returns a logger that writes human-readable lines if out is a terminal, otherwise JSON lines.
func newLog(out io.Writer) zerolog.Logger {
	if file, ok := out.(*os.File); ok && isTerminal(file) {
		out = zerolog.ConsoleWriter{Out: file, TimeFormat: time.TimeOnly}
	}
	return zerolog.New(out).With().Timestamp().Logger()
}

// isTerminal reports whether a file is a character device, as a terminal is.
func isTerminal(file *os.File) bool {
	info, err := file.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}
