package cmd

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
)

// gatewaySettings returns complete settings of an entry with the given log level.
func gatewaySettings(level string) []byte {
	return []byte(`{"entry": "e", "zone": "a", "caller_address": "127.0.0.1:1", "ready_address": "127.0.0.1:2",
		"peer_address": "127.0.0.1:3", "metrics_address": "127.0.0.1:4", "store": "127.0.0.1:5", "log_level": "` + level + `"}`)
}

// TestSettingsChangeWithoutSignal replaces the settings file of a running entry, first with an invalid one. Without a
// signal, the entry has to log the failed reload and then apply the log level of the valid file.
func TestSettingsChangeWithoutSignal(t *testing.T) {
	level := zerolog.GlobalLevel()
	defer zerolog.SetGlobalLevel(level)
	path := filepath.Join(t.TempDir(), "gateway.hujson")
	write := func(content []byte, at time.Time) {
		t.Helper()
		if err := os.WriteFile(path, content, 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Chtimes(path, at, at); err != nil {
			t.Fatal(err)
		}
	}
	write(gatewaySettings("info"), time.Unix(1000, 0))
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		ctx, stop := context.WithCancel(t.Context())
		var group errgroup.Group
		waitForLog := func(want string) {
			t.Helper()
			time.Sleep(2 * settingsPeriod)
			synctest.Wait()
			if !strings.Contains(out.String(), want) {
				t.Errorf("log = %q, want %q", out.String(), want)
			}
			out.Reset()
		}
		group.Go(func() error {
			watchSettings(ctx, zerolog.New(&out), path, nil)
			return nil
		})
		time.Sleep(2 * settingsPeriod)
		synctest.Wait()
		if out.Len() > 0 {
			t.Errorf("log = %q, want none without a change", out.String())
		}
		write([]byte("{"), time.Unix(2000, 0))
		waitForLog("not reloaded")
		write(gatewaySettings("error"), time.Unix(3000, 0))
		time.Sleep(2 * settingsPeriod)
		synctest.Wait()
		if got := zerolog.GlobalLevel(); got != zerolog.ErrorLevel {
			t.Errorf("level = %v, want error", got)
		}
		stop()
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
	})
}
