package engine_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"wisteriadyke/core/fleet"
	"wisteriadyke/io/engine"
	standin "wisteriadyke/standin/engine"
)

// pipeListener is a net.Listener whose connections are pipes, so that it works in virtual time.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

// newPipeListener returns an open listener.
func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

// dial connects to the listener.
func (l *pipeListener) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	clientConn, serverConn := net.Pipe()
	select {
	case l.conns <- serverConn:
		return clientConn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept implements net.Listener.
func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *pipeListener) Addr() net.Addr {
	return net.TCPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:7101"))
}

// runWithEngine calls the function test in virtual time with a running engine and a client of that engine.
func runWithEngine(
	t *testing.T, settings standin.Settings, test func(t *testing.T, e *standin.Engine, client *engine.Client),
) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		listener := newPipeListener()
		e := &standin.Engine{Settings: settings, Listener: listener}
		ctx, cancel := context.WithCancel(context.Background())
		var group errgroup.Group
		group.Go(func() error { return e.Run(ctx) })
		transport := engine.NewTransport()
		transport.DialContext = listener.dial
		test(t, e, &engine.Client{
			Endpoint: "e1",
			Address:  netip.MustParseAddrPort("127.0.0.1:7101"),
			HTTP:     &http.Client{Transport: transport},
		})
		cancel()
		if err := group.Wait(); err != nil {
			t.Errorf("run: %v", err)
		}
		transport.CloseIdleConnections()
	})
}

// mustGenerate starts an attempt and fails the test if it is refused.
func mustGenerate(t *testing.T, client *engine.Client, request engine.Request) *engine.Stream {
	t.Helper()
	stream, err := client.Generate(t.Context(), request)
	if err != nil {
		t.Fatalf("generate %s: %v", request.AttemptID, err)
	}
	t.Cleanup(func() { _ = stream.Close() })
	return stream
}

// readAll returns the text of the answer and the error that ended it, which is io.EOF for a complete answer.
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

func TestWholeAnswer(t *testing.T) {
	runWithEngine(t, warmSettings(), func(t *testing.T, _ *standin.Engine, client *engine.Client) {
		prompt := newPrompt("returns of week 31", 5000)
		text, err := readAll(mustGenerate(t, client, engine.Request{AttemptID: "a", Prompt: prompt, MaxTokens: 50}))
		if !errors.Is(err, io.EOF) {
			t.Fatalf("stream ended with %v, want EOF", err)
		}
		if want := standin.ExpectedText(prompt, 50); text != want {
			t.Errorf("got text %q, want %q", text, want)
		}
	})
}

func TestCancelEndsTheStream(t *testing.T) {
	runWithEngine(t, warmSettings(), func(t *testing.T, e *standin.Engine, client *engine.Client) {
		stream := mustGenerate(t, client, engine.Request{AttemptID: "a/1", Prompt: "x", MaxTokens: 10_000})
		time.Sleep(time.Second)
		if err := client.Cancel(t.Context(), "a/1"); err != nil {
			t.Fatal(err)
		}
		text, err := readAll(stream)
		if engine.CodeOf(err) != engine.CodeCancelled || engine.CertainlyNotRun(err) {
			t.Errorf("stream ended with %v, want a cancellation", err)
		}
		if text == "" {
			t.Error("no token before the cancellation")
		}
		if running := e.Running(); running != 0 {
			t.Errorf("got %d attempts that hold memory, want 0", running)
		}
		if err := client.Cancel(t.Context(), "a/1"); err != nil {
			t.Errorf("second cancel: %v", err)
		}
	})
}

func TestDisconnectFreesMemory(t *testing.T) {
	runWithEngine(t, warmSettings(), func(t *testing.T, e *standin.Engine, client *engine.Client) {
		stream := mustGenerate(t, client, engine.Request{AttemptID: "a", Prompt: "x", MaxTokens: 10_000})
		if running := e.Running(); running != 1 {
			t.Fatalf("got %d running attempts, want 1", running)
		}
		if err := stream.Close(); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		if running := e.Running(); running != 0 {
			t.Errorf("got %d attempts that hold memory, want 0", running)
		}
	})
}

func TestDeathCutsStreams(t *testing.T) {
	settings := warmSettings()
	settings.RestartTime = time.Second
	runWithEngine(t, settings, func(t *testing.T, e *standin.Engine, client *engine.Client) {
		stream := mustGenerate(t, client, engine.Request{AttemptID: "a", Prompt: "x", MaxTokens: 10_000})
		time.Sleep(time.Second)
		e.Apply(standin.Control{Die: true})
		if _, err := readAll(stream); engine.CodeOf(err) != engine.CodeConnectionLost || engine.CertainlyNotRun(err) {
			t.Errorf("stream ended with %v, want a cut connection", err)
		}
		_, err := client.Generate(t.Context(), engine.Request{AttemptID: "b", Prompt: "x"})
		if engine.CodeOf(err) != engine.CodeConnectionLost {
			t.Errorf("generate on a dead engine: got error %v, want a cut connection", err)
		}
		time.Sleep(time.Second)
		mustGenerate(t, client, engine.Request{AttemptID: "c", Prompt: "x"})
	})
}

func TestColdDeathIsUncertainToTheCaller(t *testing.T) {
	settings := standin.DefaultSettings()
	settings.ColdLimit = 1
	runWithEngine(t, settings, func(t *testing.T, e *standin.Engine, client *engine.Client) {
		mustGenerate(t, client, engine.Request{AttemptID: "a", Prompt: "x", MaxTokens: 100})
		_, err := client.Generate(t.Context(), engine.Request{AttemptID: "b", Prompt: "x"})
		if engine.CodeOf(err) != engine.CodeConnectionLost || engine.CertainlyNotRun(err) {
			t.Errorf("attempt above the cold limit: got error %v, want a cut connection", err)
		}
		if stats := e.Stats(); stats.OverloadDeaths != 1 {
			t.Errorf("unexpected stats %+v", stats)
		}
	})
}

func TestRefusalsAreCertain(t *testing.T) {
	settings := warmSettings()
	settings.CheckFence = true
	settings.Memory = 1000
	tests := map[string]struct {
		request engine.Request
		code    engine.Code
	}{
		"stale fence": {engine.Request{AttemptID: "b", Prompt: "x", Fence: 4}, engine.CodeStaleFence},
		"no memory":   {engine.Request{AttemptID: "b", Prompt: "x", MaxTokens: 1000, Fence: 5}, engine.CodeNoMemory},
		"duplicate":   {engine.Request{AttemptID: "a", Prompt: "x", Fence: 5}, engine.CodeDuplicateAttempt},
		"other model": {engine.Request{AttemptID: "b", Prompt: "x", Fence: 5, Model: "m"}, engine.CodeUnknownModel},
		"no id":       {engine.Request{Prompt: "x", Fence: 5}, engine.CodeInvalid},
		"no handle":   {engine.Request{AttemptID: "b", Prompt: "x", Fence: 5, ImportKV: []engine.KVHandle{"h"}}, engine.CodeUnknownKV},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			runWithEngine(t, settings, func(t *testing.T, _ *standin.Engine, client *engine.Client) {
				mustGenerate(t, client, engine.Request{AttemptID: "a", Prompt: "x", MaxTokens: 500, Fence: 5})
				_, err := client.Generate(t.Context(), test.request)
				if engine.CodeOf(err) != test.code || !engine.CertainlyNotRun(err) {
					t.Errorf("got error %v", err)
				}
			})
		})
	}
}

func TestPauseHoldsAnswers(t *testing.T) {
	runWithEngine(t, warmSettings(), func(t *testing.T, e *standin.Engine, client *engine.Client) {
		stream := mustGenerate(t, client, engine.Request{AttemptID: "a", Prompt: "x", MaxTokens: 60})
		start := time.Now()
		e.Apply(standin.Control{Pause: 10 * time.Second})
		if _, err := client.Attempts(t.Context()); err != nil {
			t.Fatal(err)
		}
		if waited := time.Since(start); waited != 10*time.Second {
			t.Errorf("listing took %v, want 10s", waited)
		}
		if _, err := readAll(stream); !errors.Is(err, io.EOF) {
			t.Errorf("stream ended with %v, want EOF", err)
		}
	})
}

func TestCallsOverTheWire(t *testing.T) {
	settings := warmSettings()
	settings.LoadLag = 0
	settings.CacheLag = 0
	runWithEngine(t, settings, func(t *testing.T, _ *standin.Engine, client *engine.Client) {
		ctx := t.Context()
		prompt := newPrompt("wire", 3000)
		exporting := mustGenerate(t, client, engine.Request{
			AttemptID: "a", ReservationID: "r", Generation: 3, Fence: 5, Prompt: prompt, PromptTo: 2000, ExportKV: true,
		})
		listing, err := client.Attempts(ctx)
		if err != nil || len(listing.Attempts) != 1 {
			t.Fatalf("got listing %+v, error %v", listing, err)
		}
		attempt := listing.Attempts[0]
		if attempt.ReservationID != "r" || attempt.Generation != 3 || attempt.Fence != 5 || attempt.KVTokens != 2000 {
			t.Errorf("unexpected attempt %+v", attempt)
		}
		if _, err := readAll(exporting); !errors.Is(err, io.EOF) {
			t.Fatalf("stream ended with %v, want EOF", err)
		}
		if listing, err = client.Attempts(ctx); err != nil || len(listing.HeldKV) != 1 {
			t.Fatalf("got listing %+v, error %v", listing, err)
		}
		handle := listing.HeldKV[0].Handle
		kv, err := client.ExportKV(ctx, handle)
		if want := (engine.KV{Tokens: 2000, To: 2000, Digest: engine.DigestText(engine.Segment(prompt, 0, 2000))}); err != nil || kv != want {
			t.Errorf("got exported KV %+v, error %v, want %+v", kv, err, want)
		}
		for range 2 {
			if err := client.ImportKV(ctx, "copy", kv); err != nil {
				t.Errorf("import: %v", err)
			}
			if err := client.DropKV(ctx, handle); err != nil {
				t.Errorf("drop: %v", err)
			}
		}
		if load, err := client.Load(ctx); err != nil || load.KVUsed != 2000 || load.KVCapacity != settings.Memory {
			t.Errorf("got load %+v, error %v", load, err)
		}
		if err := client.Order(ctx, engine.Order{Kind: engine.OrderLoadVersion, Name: "2", Fence: 5}); err != nil {
			t.Errorf("order: %v", err)
		}
		if _, err := readAll(mustGenerate(t, client, engine.Request{AttemptID: "b", Prompt: prompt, Fence: 5})); !errors.Is(err, io.EOF) {
			t.Errorf("stream ended with %v, want EOF", err)
		}
		prefixes := engine.Prefixes(prompt)
		events, err := client.CacheEvents(ctx, 1)
		if err != nil || len(events.Events) != 1 || events.Events[0].Prefix != prefixes[1] || events.Incarnation != listing.Incarnation {
			t.Errorf("got events %+v, error %v, want only %+v", events, err, prefixes[1])
		}
	})
}

func TestControlOverTheWire(t *testing.T) {
	runWithEngine(t, warmSettings(), func(t *testing.T, e *standin.Engine, client *engine.Client) {
		tests := []struct {
			body   string
			status int
		}{
			{`{"die": true}`, http.StatusOK},
			{`{"check_fence": true, "lag": "100ms", "cache_gap": 3, "pace": 0.5, "cold": false}`, http.StatusOK},
			{`{"pause": "long"}`, http.StatusBadRequest},
		}
		for _, test := range tests {
			url := "http://" + client.Address.String() + "/control"
			request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, strings.NewReader(test.body))
			if err != nil {
				t.Fatal(err)
			}
			response, err := client.HTTP.Do(request)
			if err != nil {
				t.Fatal(err)
			}
			_ = response.Body.Close()
			if response.StatusCode != test.status {
				t.Errorf("control request %s: got status %s, want %d", test.body, response.Status, test.status)
			}
		}
		mustGenerate(t, client, engine.Request{AttemptID: "a", Prompt: "x", Fence: 2})
		_, err := client.Generate(t.Context(), engine.Request{AttemptID: "b", Prompt: "x", Fence: fleet.Fence(1)})
		if engine.CodeOf(err) != engine.CodeStaleFence {
			t.Errorf("stale fencing token after check_fence: got error %v", err)
		}
		if stats := e.Stats(); stats.Deaths != 1 {
			t.Errorf("unexpected stats %+v", stats)
		}
	})
}

func TestFrozenProcessDoesNotCatchUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &standin.Engine{Settings: warmSettings()}
		ctx, cancel := context.WithCancel(t.Context())
		body := strings.NewReader(`{"attempt_id": "a", "prompt": "x", "max_tokens": 60}`)
		request := httptest.NewRequestWithContext(ctx, http.MethodPost, "/v1/generate", body)
		var group errgroup.Group
		group.Go(func() error {
			e.ServeHTTP(httptest.NewRecorder(), request)
			return nil
		})
		time.Sleep(10 * time.Second)
		e.Apply(standin.Control{})
		if stats := e.Stats(); stats.Attempts != 1 || stats.Done != 0 {
			t.Errorf("unexpected stats %+v", stats)
		}
		cancel()
		if err := group.Wait(); err != nil {
			t.Error(err)
		}
	})
}
