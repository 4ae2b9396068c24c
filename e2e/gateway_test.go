package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"wisteriadyke/standin/cierzo"
)

// gatewayKey is the key of the account that the gateway tests use.
const gatewayKey = "key-of-acme"

// gatewayProcess is a running "wisteriadyke gateway", an entry for Cierzo's platform.
type gatewayProcess struct {
	command *exec.Cmd
	// caller and ready are the addresses for callers and for the readiness check.
	caller netip.AddrPort
	ready  netip.AddrPort
	// log is the path of the log file.
	log string
}

// startGateway starts an entry in zone "a" that uses the given store and waits until its readiness check succeeds.
func startGateway(t *testing.T, store *cierzo.Store, name string) *gatewayProcess {
	t.Helper()
	return startGatewayOf(t, binary, store, name, nil)
}

// startGatewayOf is like startGateway with the program at a path and with further settings, which replace the others.
func startGatewayOf(t *testing.T, program string, store *cierzo.Store, name string, further map[string]any) *gatewayProcess {
	t.Helper()
	folder := t.TempDir()
	g := &gatewayProcess{
		caller: freeAddress(t),
		ready:  freeAddress(t),
		log:    filepath.Join(folder, name+".log"),
	}
	fields := map[string]any{
		"entry": name, "zone": "a", "caller_address": g.caller, "ready_address": g.ready, "peer_address": freeAddress(t),
		"metrics_address": freeAddress(t), "store": store.Address(), "balancer_delay": "300ms",
	}
	maps.Copy(fields, further)
	settings, err := json.Marshal(fields)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(folder, name+".hujson")
	if err := os.WriteFile(path, settings, 0o600); err != nil {
		t.Fatal(err)
	}
	out, err := os.Create(g.log)
	if err != nil {
		t.Fatal(err)
	}
	g.command = exec.CommandContext(context.Background(), program, "gateway", "--settings", path)
	g.command.Stdout = out
	if err := g.command.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = g.command.Process.Kill()
		_, _ = g.command.Process.Wait()
		_ = out.Close()
	})
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if status, _ := g.get(t, g.ready, "/wisteriadyke/ready", ""); status == http.StatusOK {
			return g
		}
	}
	t.Fatalf("%s is not ready: %s", name, tail(g.log))
	return nil
}

// get sends a GET request with an attempt id and returns the status and the body, or status 0 if there is no answer.
func (g *gatewayProcess) get(t *testing.T, address netip.AddrPort, path, attempt string) (int, string) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, fmt.Sprintf("http://%s%s", address, path), nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Host = "app.example"
	request.Close = true
	request.Header.Set("X-Attempt-Id", attempt)
	request.Header.Set("X-Credential", gatewayKey)
	request.Header.Set("X-Token-Counts", "1000,100")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	body, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(body)
}

// logLines returns the output of "wisteriadyke logs" for a subject.
func logLines(t *testing.T, subject string, files ...string) string {
	t.Helper()
	arguments := append([]string{"logs", "--subject", subject}, files...)
	out, err := exec.CommandContext(t.Context(), binary, arguments...).Output()
	if err != nil {
		t.Fatal(err)
	}
	return string(out)
}

// TestGatewayExplainsFailures checks that the log lines with a request's attempt id show why it was slow or failed. It
// sends a slow request, one whose endpoint breaks the connection and one without an available endpoint, through two
// entries.
func TestGatewayExplainsFailures(t *testing.T) {
	const events = 5
	store := &cierzo.Store{}
	store.Start()
	defer store.Close()
	cierzo.Configuration(store, 1, map[string][]string{"acme": {gatewayKey}}, cierzo.Routes()...)
	slowEngine := &cierzo.Endpoint{ID: "i-slow", Service: "engines", Zone: "a", Slots: 4, Events: events,
		Pause: 400 * time.Millisecond}
	brokenService := &cierzo.Endpoint{ID: "i-breaks", Service: "services", Zone: "a", Slots: 4,
		Intercept: func(http.ResponseWriter, *http.Request, cierzo.ReceivedRequest) bool { panic(http.ErrAbortHandler) }}
	for _, endpoint := range []*cierzo.Endpoint{slowEngine, brokenService} {
		endpoint.Start()
		defer endpoint.Close()
		endpoint.Register(store, "ready")
	}
	first := startGateway(t, store, "entry-1")
	second := startGateway(t, store, "entry-2")
	time.Sleep(time.Second)

	if status, body := first.get(t, first.caller, "/s/x", "late-1"); status != http.StatusOK || body != cierzo.Stream(1, events) {
		t.Errorf("slow stream: got status %d, body %q", status, body)
	}
	if status, _ := second.get(t, second.caller, "/u/x", "broken-1"); status != http.StatusBadGateway {
		t.Errorf("broken call: got status %d, want %d", status, http.StatusBadGateway)
	}
	slowEngine.Register(store, "draining")
	time.Sleep(time.Second)
	if status, _ := first.get(t, first.caller, "/s/x", "refused-1"); status != http.StatusServiceUnavailable {
		t.Errorf("stream without an engine: got status %d, want %d", status, http.StatusServiceUnavailable)
	}
	tests := map[string][]string{
		"late-1":    {`"endpoint":"i-slow"`, `"longest_pause_ms":4`, `"outcome":"done"`},
		"broken-1":  {`"endpoint":"i-breaks"`, `"outcome":"broken"`, `EOF`, `no_answer`},
		"refused-1": {`"attempts":0`, `not_run: no_endpoint`},
		"i-slow":    {`"state":"leaving"`, `"state":"live"`},
	}
	// Log lines are written in the background.
	time.Sleep(200 * time.Millisecond)
	for subject, wants := range tests {
		got := logLines(t, subject, first.log, second.log)
		for _, want := range wants {
			if !strings.Contains(got, want) {
				t.Errorf("the log lines about %s don't contain %s:\n%s", subject, want, got)
			}
		}
	}
}

// TestGatewaySurvivesItsNeighbour kills one of two entries and stops the other gracefully during a stream. The stream
// has to end completely, the stopped entry to exit without an error, and the killed entry to serve after a restart.
func TestGatewaySurvivesItsNeighbour(t *testing.T) {
	const events = 8
	store := &cierzo.Store{}
	store.Start()
	defer store.Close()
	cierzo.Configuration(store, 1, map[string][]string{"acme": {gatewayKey}}, cierzo.Routes()...)
	engine := &cierzo.Endpoint{ID: "i-1", Service: "engines", Zone: "a", Slots: 4, Events: events, Pause: 100 * time.Millisecond}
	engine.Start()
	defer engine.Close()
	engine.Register(store, "ready")
	killed := startGateway(t, store, "entry-1")
	stopped := startGateway(t, store, "entry-2")
	time.Sleep(time.Second)
	if err := killed.command.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	timer := time.AfterFunc(200*time.Millisecond, func() { _ = stopped.command.Process.Signal(syscall.SIGTERM) })
	defer timer.Stop()
	status, body := stopped.get(t, stopped.caller, "/s/x", "stream-1")
	if status != http.StatusOK || body != cierzo.Stream(1, events) {
		t.Errorf("stream during the shutdown: got status %d, body %q", status, body)
	}
	if err := stopped.command.Wait(); err != nil {
		t.Errorf("the stopped entry ended with %v", err)
	}
	again := startGateway(t, store, "entry-1")
	if status, body := again.get(t, again.caller, "/s/x", "stream-2"); status != http.StatusOK || body != cierzo.Stream(1, events) {
		t.Errorf("stream after the restart: got status %d, body %q", status, body)
	}
}
