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

// logTimeFormat is RFC 3339 with milliseconds, so that log lines of several entries can be ordered by time.
const logTimeFormat = "2006-01-02T15:04:05.000Z07:00"

// settingsPeriod is the time between two checks whether the settings file has changed, so that a change needs no
// signal.
const settingsPeriod = 2 * time.Second

// newGatewayCommand returns the command that runs one entry on the Cierzo platform.
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

// runGateway runs an entry until ctx ends or the process receives SIGINT or SIGTERM. It reloads the settings on SIGHUP
// and when the file changes.
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

// watchSettings reloads the settings on each hangup signal and when the file has changed, until ctx ends.
func watchSettings(ctx context.Context, log zerolog.Logger, path string, hangups <-chan os.Signal) {
	ticker := time.NewTicker(settingsPeriod)
	defer ticker.Stop()
	known := statFile(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			known = statFile(path)
			reloadSettings(log, path)
		case <-ticker.C:
			if now := statFile(path); now != known && now != (fileState{}) {
				known = now
				reloadSettings(log, path)
			}
		}
	}
}

// fileState holds the size and modification time of a file. A change of either means that the file was written.
type fileState struct {
	size    int64
	changed time.Time
}

// statFile returns the size and modification time of a file, or the zero value if the file can't be found, for instance
// while it is being replaced.
func statFile(path string) fileState {
	info, err := os.Stat(path)
	if err != nil {
		return fileState{}
	}
	return fileState{size: info.Size(), changed: info.ModTime()}
}

// reloadSettings applies the only setting that may change while an entry runs, the log level.
func reloadSettings(log zerolog.Logger, path string) {
	config, err := settings.ReadGateway(path)
	if err != nil {
		log.Error().Err(err).Msg("settings: not reloaded; the previous ones still apply")
		return
	}
	setLogLevel(config)
	log.Info().Str("log_level", config.LogLevel).Msg("settings: reloaded; only the log level changes without a restart")
}

// setLogLevel applies the log level, which was validated when the settings were read.
func setLogLevel(config settings.Gateway) {
	if level, err := zerolog.ParseLevel(config.LogLevel); err == nil {
		zerolog.SetGlobalLevel(level)
	}
}
