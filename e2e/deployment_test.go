package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"wisteriadyke/standin/loopback"
	"wisteriadyke/standin/program"
)

const (
	// waitTimeout is the longest wait for a process, a command or a condition.
	waitTimeout = 60 * time.Second
	// pollInterval is the time between two polls of a condition.
	pollInterval = 50 * time.Millisecond
	// accountKey is the key of the account that all tests but those of the gateway use.
	accountKey = "cierzo-key"
)

// binary is the path of the program under test, which is built once.
var binary string

func TestMain(m *testing.M) {
	code, err := program.RunWithBinary(func(path string) int {
		binary = path
		return m.Run()
	})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(code)
}

// process is one running process of the program.
type process struct {
	name    string
	command *exec.Cmd
	// log is the path of the log file.
	log string
}

// signal sends a signal to the process.
func (p *process) signal(t *testing.T, signal syscall.Signal) {
	t.Helper()
	if err := p.command.Process.Signal(signal); err != nil {
		t.Fatalf("signal %s: %v", p.name, err)
	}
}

// entry is one entry of a deployment with the addresses on which it serves callers, peers and operators.
type entry struct {
	*process
	id       string
	zone     string
	caller   netip.AddrPort
	peer     netip.AddrPort
	operator netip.AddrPort
}

// deployment is a platform, engines, one plain service and entries as separate processes.
type deployment struct {
	t        *testing.T
	folder   string
	platform netip.AddrPort
	service  netip.AddrPort
	engines  []netip.AddrPort
	entries  []*entry
	// processes holds the last started process of each name.
	processes map[string]*process
}

// zones are the availability zones of a deployment.
var zones = []string{"a", "b", "c"}

// deploy starts a deployment with one entry and the given number of engines per zone, publishes the declarations and
// waits until all entries are ready. The engines are started with engineFlags.
func deploy(t *testing.T, enginesPerZone int, engineFlags ...string) *deployment {
	t.Helper()
	d := &deployment{t: t, folder: t.TempDir(), platform: freeAddress(t), service: freeAddress(t), processes: make(map[string]*process)}
	d.start("platform", "standin", "platform", "--address", d.platform.String())
	d.start("service", "standin", "service", "--address", d.service.String(), "--id", "service-1", "--pool", "returns",
		"--zone", "a", "--platform", d.platform.String())
	for _, zone := range zones {
		for range enginesPerZone {
			d.startEngine(zone, engineFlags...)
		}
	}
	for _, zone := range zones {
		d.entries = append(d.entries, &entry{id: "entry-" + zone, zone: zone, caller: freeAddress(t), peer: freeAddress(t), operator: freeAddress(t)})
	}
	for _, e := range d.entries {
		d.startEntry(e)
	}
	d.runCommand("publish", "--platform", d.platform.String(), "--yes", "testdata/declarations")
	for _, e := range d.entries {
		d.waitReady(e)
	}
	return d
}

// startEngine starts one engine in a zone.
func (d *deployment) startEngine(zone string, flags ...string) {
	d.t.Helper()
	address := freeAddress(d.t)
	d.engines = append(d.engines, address)
	id := fmt.Sprintf("engine-%d", len(d.engines))
	arguments := []string{"standin", "engine", "--address", address.String(), "--id", id, "--pool", "reader", "--zone", zone, "--platform", d.platform.String()}
	d.start(id, append(arguments, flags...)...)
}

// startEntry writes the settings of an entry, registers it and starts its process. It may be called again after the
// process has ended, to restart the entry.
func (d *deployment) startEntry(e *entry) {
	d.t.Helper()
	var peers []string
	for _, other := range d.entries {
		peers = append(peers, other.peer.String())
	}
	settings, err := json.Marshal(map[string]any{
		"entry": e.id, "zone": e.zone, "caller_address": e.caller, "peer_address": e.peer,
		"operator_address": e.operator, "platform": d.platform, "peers": peers,
	})
	if err != nil {
		d.t.Fatal(err)
	}
	path := filepath.Join(d.folder, e.id+".hujson")
	if err := os.WriteFile(path, settings, 0o600); err != nil {
		d.t.Fatal(err)
	}
	d.runCommand("standin", "register", "--platform", d.platform.String(), "--id", e.id,
		"--zone", e.zone, "--address", e.peer.String())
	e.process = d.start(e.id, "entry", "--settings", path)
}

// start starts one process, which is killed at the end of the test; its log is printed if the test fails.
func (d *deployment) start(name string, arguments ...string) *process {
	d.t.Helper()
	p := &process{name: name, command: exec.CommandContext(context.WithoutCancel(d.t.Context()), binary, arguments...), log: filepath.Join(d.folder, name+".log")}
	log, err := os.OpenFile(p.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		d.t.Fatal(err)
	}
	p.command.Stdout, p.command.Stderr = log, log
	if err := p.command.Start(); err != nil {
		d.t.Fatal(err)
	}
	d.processes[name] = p
	d.t.Cleanup(func() {
		_ = p.command.Process.Signal(syscall.SIGCONT)
		_ = p.command.Process.Kill()
		_ = p.command.Wait()
		_ = log.Close()
		if d.t.Failed() {
			d.t.Logf("log of %s:\n%s", name, tail(p.log))
		}
	})
	return p
}

// runCommand runs a command repeatedly until it succeeds, for up to waitTimeout.
func (d *deployment) runCommand(arguments ...string) {
	d.t.Helper()
	var out []byte
	var err error
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		if out, err = exec.CommandContext(d.t.Context(), binary, arguments...).CombinedOutput(); err == nil {
			return
		}
	}
	d.t.Fatalf("%s: %v\n%s", strings.Join(arguments, " "), err, out)
}

// waitReady waits until an entry is ready and lists a configuration, all engines and the service in its status.
func (d *deployment) waitReady(e *entry) {
	d.t.Helper()
	d.waitUntil(e.id+" serves", func() bool {
		status, ok := fetchStatus(e)
		return ok && status.Ready && status.ConfigurationRevision > 0 && len(status.Endpoints) == len(d.engines)+1
	})
}

// waitUntil waits until a condition holds, for up to waitTimeout.
func (d *deployment) waitUntil(description string, condition func() bool) {
	d.t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		if condition() {
			return
		}
	}
	d.t.Fatalf("timed out waiting until %s", description)
}

// status is the part of an entry's status that the tests read.
type status struct {
	Ready                 bool   `json:"ready"`
	ConfigurationRevision uint64 `json:"configuration_revision"`
	Endpoints             []struct {
		Endpoint string `json:"endpoint"`
		Owner    string `json:"owner"`
		Owned    bool   `json:"owned"`
		Used     int64  `json:"used"`
		Running  int    `json:"running"`
		Warmth   string `json:"warmth"`
	} `json:"endpoints"`
}

// fetchStatus returns the status of an entry and reports whether it answered.
func fetchStatus(e *entry) (status, bool) {
	var s status
	return s, getJSON(e.operator, "/v1/status", &s) == nil
}

// getJSON sends a GET request and decodes the JSON answer. It does not check the HTTP status.
func getJSON(address netip.AddrPort, path string, into any) error {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+path, http.NoBody)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	return json.Unmarshal(data, into)
}

// control sends a control request to a running stand-in and fails the test if the stand-in does not accept it.
func (d *deployment) control(address netip.AddrPort, body string) {
	d.t.Helper()
	request, err := http.NewRequestWithContext(d.t.Context(), http.MethodPost, "http://"+address.String()+"/control", bytes.NewBufferString(body))
	if err != nil {
		d.t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		d.t.Fatal(err)
	}
	_ = response.Body.Close()
	if response.StatusCode/100 != 2 {
		d.t.Fatalf("control of %s: got status %s", address, response.Status)
	}
}

// freeAddress returns a loopback address with an unused port, a different one at each call. The port is below the
// system's ephemeral range, where an outgoing connection could occupy it before the process that is to listen on it.
func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	address, err := loopback.FreeAddress(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// timeline returns the output of the command "timeline" for an endpoint: the events that all entries recorded about it.
func (d *deployment) timeline(endpoint string) string {
	d.t.Helper()
	arguments := []string{"timeline", "--endpoint", endpoint}
	for _, e := range d.entries {
		arguments = append(arguments, "--entry", e.operator.String())
	}
	out, _ := exec.CommandContext(d.t.Context(), binary, arguments...).CombinedOutput()
	return string(out)
}

// tail returns the last 4000 bytes of a log.
func tail(path string) string {
	const length = 4000
	data, _ := os.ReadFile(path)
	return string(data[max(0, len(data)-length):])
}
