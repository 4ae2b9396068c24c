package engine_test

import (
	"context"
	"io"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"wisteriadyke/io/engine"
	standin "wisteriadyke/standin/engine"
)

// start serves an engine until the test ends and returns it with a client.
func start(t *testing.T, settings standin.Settings) (*standin.Engine, *engine.Client) {
	t.Helper()
	e := &standin.Engine{Settings: settings}
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return e.Run(ctx) })
	server := httptest.NewServer(e)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
		cancel()
		if err := group.Wait(); err != nil {
			t.Errorf("run: %v", err)
		}
	})
	address := netip.MustParseAddrPort(server.Listener.Addr().String())
	return e, &engine.Client{Endpoint: "e1", Address: address, HTTP: engine.NewHTTPClient()}
}

// quick returns the settings of a warm engine that is fast.
func quick() standin.Settings {
	settings := standin.DefaultSettings()
	settings.ColdTime = 0
	settings.PrefillPace = 10_000_000
	settings.DecodePace = 10_000
	return settings
}

// readAll returns the text of the answer and the error that ended it, which is io.EOF for a whole one.
func readAll(stream *engine.Stream) (string, error) {
	var text strings.Builder
	for {
		event, err := stream.Next()
		if err != nil {
			return text.String(), err
		}
		text.WriteString(event.Text)
	}
}

func TestGenerate(t *testing.T) {
	_, client := start(t, quick())
	prompt := strings.Repeat("returns of week 31 ", 1000)
	stream, err := client.Generate(t.Context(), engine.Request{AttemptID: "a1", Prompt: prompt, MaxTokens: 50})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = stream.Close() }()
	text, err := readAll(stream)
	if !errors.Is(err, io.EOF) {
		t.Fatalf("stream ended with %v", err)
	}
	if want := standin.ExpectedText(prompt, 50); text != want {
		t.Errorf("text is %q, want %q", text, want)
	}
}
