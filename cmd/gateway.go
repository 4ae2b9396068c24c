package cmd

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"wisteriadyke/gateway"
	"wisteriadyke/io/boundedlog"
	"wisteriadyke/io/settings"
)

// logTimeFormat is the form of times in log lines, in which lines of several entries can be put in order.
const logTimeFormat = "2006-01-02T15:04:05.000Z07:00"

// settingsPeriod is the time between two looks at the settings file, which may also change without a signal.
const settingsPeriod = 2 * time.Second

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
			setLogLevel(config)
			zerolog.TimeFieldFormat = logTimeFormat
			out := boundedlog.New(c.OutOrStdout())
			process := &gateway.Process{Settings: config, Log: newLog(out), DroppedLogLines: out.Dropped}
			err = runGateway(c.Context(), process, path)
			if closeErr := out.Close(); err == nil {
				err = closeErr
			}
			return err
		},
	}
	command.Flags().StringVar(&path, "settings", "", "settings `file` in JSON with comments")
	_ = command.MarkFlagRequired("settings")
	return command
}

// runGateway runs an entry until it is told to stop, and reads its settings again at each SIGHUP and when they change.
func runGateway(ctx context.Context, process *gateway.Process, path string) error {
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	var group errgroup.Group
	group.Go(func() error {
		watchSettings(ctx, process.Log, path, hangups)
		return nil
	})
	group.Go(func() error {
		defer stop()
		return process.Run(ctx)
	})
	return group.Wait()
}

// watchSettings reads the settings again at each signal and when the file has changed, until ctx ends.
func watchSettings(ctx context.Context, log zerolog.Logger, path string, hangups <-chan os.Signal) {
	ticker := time.NewTicker(settingsPeriod)
	defer ticker.Stop()
	known := stateOf(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			known = stateOf(path)
			reload(log, path)
		case <-ticker.C:
			if now := stateOf(path); now != known && now != (fileState{}) {
				known = now
				reload(log, path)
			}
		}
	}
}

// fileState tells apart two contents of a file.
type fileState struct {
	size    int64
	changed time.Time
}

// stateOf returns the state of a file, or none if it can't be read at the moment, as while it is replaced.
func stateOf(path string) fileState {
	info, err := os.Stat(path)
	if err != nil {
		return fileState{}
	}
	return fileState{size: info.Size(), changed: info.ModTime()}
}

// reload puts the settings in force that may change while an entry runs: the level of messages.
func reload(log zerolog.Logger, path string) {
	config, err := settings.ReadGateway(path)
	if err != nil {
		log.Error().Err(err).Msg("settings: not reloaded; the old ones stay in force")
		return
	}
	setLogLevel(config)
	log.Info().Str("log_level", config.LogLevel).Msg("settings: reloaded; all but the log level needs a restart")
}

// setLogLevel puts the level of messages in force; reading the settings has checked it.
func setLogLevel(config settings.Gateway) {
	if level, err := zerolog.ParseLevel(config.LogLevel); err == nil {
		zerolog.SetGlobalLevel(level)
	}
}
