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
	// startTime bounds the time until all parts serve.
	startTime = 60 * time.Second
	// pollTime is the time between two looks.
	pollTime = 50 * time.Millisecond
	// accountKey is the key of the account that all tests use.
	accountKey = "cierzo-key"
)

// binary is the program under test, built once.
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

// process is one started process of the program.
type process struct {
	name    string
	command *exec.Cmd
	log     string
}

// signal sends a signal to the process.
func (p *process) signal(t *testing.T, signal syscall.Signal) {
	t.Helper()
	if err := p.command.Process.Signal(signal); err != nil {
		t.Fatalf("signal %s: %v", p.name, err)
	}
}

// entry is one started entry.
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
	t         *testing.T
	folder    string
	platform  netip.AddrPort
	service   netip.AddrPort
	engines   []netip.AddrPort
	entries   []*entry
	processes map[string]*process
}

// zones are the availability zones of a deployment.
var zones = []string{"a", "b", "c"}

// deploy starts a deployment with one entry a zone and the given number of engines in each zone.
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
	d.run("publish", "--platform", d.platform.String(), "--yes", "testdata/declarations")
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

// startEntry starts one entry, again if it has ended.
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
	d.run("standin", "register", "--platform", d.platform.String(), "--id", e.id, "--zone", e.zone, "--address", e.peer.String())
	e.process = d.start(e.id, "entry", "--settings", path)
}

// start starts one process, which is killed at the end of the test.
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

// run runs one command to its end, again until it succeeds.
func (d *deployment) run(arguments ...string) {
	d.t.Helper()
	var out []byte
	var err error
	for end := time.Now().Add(startTime); time.Now().Before(end); time.Sleep(pollTime) {
		if out, err = exec.CommandContext(d.t.Context(), binary, arguments...).CombinedOutput(); err == nil {
			return
		}
	}
	d.t.Fatalf("%s: %v\n%s", strings.Join(arguments, " "), err, out)
}

// waitReady waits until an entry takes requests and knows all engines and the configuration.
func (d *deployment) waitReady(e *entry) {
	d.t.Helper()
	d.eventually(e.id+" serves", func() bool {
		status, ok := statusOf(e)
		return ok && status.Ready && status.ConfigurationRevision > 0 && len(status.Endpoints) == len(d.engines)+1
	})
}

// eventually waits until a condition holds.
func (d *deployment) eventually(what string, condition func() bool) {
	d.t.Helper()
	for end := time.Now().Add(startTime); time.Now().Before(end); time.Sleep(pollTime) {
		if condition() {
			return
		}
	}
	d.t.Fatalf("never came true: %s", what)
}

// status is the part of an entry's state that the tests look at.
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

// statusOf asks an entry for its state.
func statusOf(e *entry) (status, bool) {
	var s status
	return s, getJSON(e.operator, "/v1/status", &s) == nil
}

// getJSON reads one JSON answer.
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

// control changes a stand-in at run time.
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
		d.t.Fatalf("control of %s answered %s", address, response.Status)
	}
}

// The ports of the tests lie below those that the system gives to connections, which could take one before the
// process that it was chosen for.
// freeAddress returns a loopback address whose port nothing listens at, another one at each call.
func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	address, err := loopback.FreeAddress(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// timeline returns what all entries recorded of an endpoint.
func (d *deployment) timeline(endpoint string) string {
	d.t.Helper()
	arguments := []string{"timeline", "--endpoint", endpoint}
	for _, e := range d.entries {
		arguments = append(arguments, "--entry", e.operator.String())
	}
	out, _ := exec.CommandContext(d.t.Context(), binary, arguments...).CombinedOutput()
	return string(out)
}

// tail returns the end of a log.
func tail(path string) string {
	const length = 4000
	data, _ := os.ReadFile(path)
	return string(data[max(0, len(data)-length):])
}
