package e2e

import (
	"archive/zip"
	"bufio"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"wisteriadyke/standin/cierzo"
)

const (
	// earlierCommit is the last commit before entries that can ask for a place in a queue.
	earlierCommit = "7dc2bf5"
	// calmTime is how long callers send requests to each mix of versions after a replacement.
	calmTime = 700 * time.Millisecond
	// exitTimeout is the default grace time of an entry and a margin.
	exitTimeout = 10 * time.Second
	// burstSize is more than the engines of the test admit at once: five engines with 12 slots, each of which gets at most
	// 1.5 attempts per slot.
	burstSize = 120
)

// buildEarlier builds the program from earlierCommit of the repository's own history, offline, and returns its path.
func buildEarlier(t *testing.T) string {
	t.Helper()
	folder := t.TempDir()
	archive, source, path := filepath.Join(folder, "source.zip"), filepath.Join(folder, "source"), filepath.Join(folder, "earlier")
	run := func(dir string, arguments ...string) error {
		command := exec.CommandContext(t.Context(), arguments[0], arguments[1:]...)
		command.Dir = dir
		command.Env = append(os.Environ(), "GOPROXY=off", "GOFLAGS=-mod=readonly", "GOWORK=off")
		out, err := command.CombinedOutput()
		if err != nil {
			t.Logf("%s: %v\n%s", strings.Join(arguments, " "), err, out)
		}
		return err
	}
	if err := run("..", "git", "cat-file", "-e", earlierCommit+"^{commit}"); err != nil {
		shallow, shallowErr := exec.CommandContext(t.Context(), "git", "rev-parse", "--is-shallow-repository").Output()
		if shallowErr == nil && strings.TrimSpace(string(shallow)) == "true" {
			t.Skipf("a shallow clone does not hold commit %s, from which this test builds the earlier version", earlierCommit)
		}
		t.Fatalf("the history of this repository does not hold commit %s, from which this test builds the earlier version; "+
			"fetch the whole history", earlierCommit)
	}
	if err := run("..", "git", "archive", "--format=zip", "-o", archive, earlierCommit, ":/", ":(top,exclude)journal"); err != nil {
		t.Fatal(err)
	}
	files, err := zip.OpenReader(archive)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = files.Close() }()
	if err := os.CopyFS(source, files); err != nil {
		t.Fatal(err)
	}
	// Like the program under test, so that the build cache serves the packages that both have in common, and later runs.
	if err := run(source, "go", "build", "-trimpath", "-o", path, "wisteriadyke"); err != nil {
		t.Fatal("the earlier version cannot be built offline")
	}
	return path
}

// mixedEntry is one entry of a deployment whose entries are replaced by those of another version.
type mixedEntry struct {
	name     string
	settings map[string]any
	process  *gatewayProcess
}

// mixedDeployment is a deployment whose entries run different versions of the program.
type mixedDeployment struct {
	t       *testing.T
	store   *cierzo.Store
	entries []*mixedEntry
	load    *mixedLoad
	// logs holds the log files of all entries that were started.
	logs []string
}

// start starts an entry with the program at a path and passes it requests once it is ready.
func (d *mixedDeployment) start(e *mixedEntry, program string) {
	d.t.Helper()
	e.process = startGatewayOf(d.t, program, d.store, e.name, e.settings)
	d.logs = append(d.logs, e.process.log)
	d.load.add(e.process)
}

// replace stops an entry as an operator does and starts it again with the program at a path. The balancer stops passing
// it requests a while after it is no longer ready.
func (d *mixedDeployment) replace(e *mixedEntry, program string) {
	d.t.Helper()
	if err := e.process.command.Process.Signal(syscall.SIGTERM); err != nil {
		d.t.Fatal(err)
	}
	time.Sleep(100 * time.Millisecond)
	d.load.remove(e.process)
	kill := time.AfterFunc(exitTimeout, func() { _ = e.process.command.Process.Kill() })
	if err := e.process.command.Wait(); err != nil {
		d.t.Errorf("%s ended with %v", e.name, err)
	}
	kill.Stop()
	d.start(e, program)
}

// roll replaces the entries one after the other, the leader last, and sends a burst to the mix of both versions. The
// phases are named after the direction and the number of replaced entries.
func (d *mixedDeployment) roll(direction, program string) {
	d.t.Helper()
	for i := range d.entries {
		d.load.setPhase(fmt.Sprintf("%s-%d", direction, i+1))
		d.replace(d.entries[len(d.entries)-1-i], program)
		time.Sleep(calmTime)
		if i == 1 {
			d.load.burst(burstSize)
		}
	}
}

// countChoices returns for a phase how many attempts of other entries each entry chose endpoints for, by the logs.
func (d *mixedDeployment) countChoices(phase string) map[string]int {
	d.t.Helper()
	chosen := make(map[string]int)
	for _, path := range d.logs {
		self := strings.TrimSuffix(filepath.Base(path), ".log")
		file, err := os.Open(path)
		if err != nil {
			d.t.Fatal(err)
		}
		lines := bufio.NewScanner(file)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			var line struct {
				Message string `json:"message"`
				Request string `json:"request"`
				Chooser string `json:"chosen_by"`
			}
			// Lines that are no JSON are no attempts.
			_ = json.Unmarshal(lines.Bytes(), &line)
			if line.Message == "dispatch: attempt ended" && strings.HasPrefix(line.Request, phase+"/") && line.Chooser != self {
				chosen[line.Chooser]++
			}
		}
		if err := lines.Err(); err != nil {
			d.t.Fatal(err)
		}
		_ = file.Close()
	}
	return chosen
}

// TestMixedVersions guards against entries of two versions that break each other's requests during an upgrade or a
// downgrade: it replaces the entries of the earlier version one after the other by the current one, and back, while
// callers send requests of all kinds to a contended pool. Entries of both versions have to choose for those of the
// other one; no request may be refused or broken in calm moments, none of a burst may be broken, and no request may run
// that was refused, or twice if it may run only once.
func TestMixedVersions(t *testing.T) {
	earlier := buildEarlier(t)
	store := &cierzo.Store{}
	store.Start()
	defer store.Close()
	cierzo.ContendedConfiguration(store, 1, map[string][]string{"acme": {gatewayKey}, "small": {"key-of-small"}})
	var endpoints []*cierzo.Endpoint
	for i := range 8 {
		endpoint := &cierzo.Endpoint{
			ID: fmt.Sprintf("i-%d", i+1), Service: "engines", Zone: zones[i%2], Slots: 12, Events: mixedEvents,
			Pause: 50 * time.Millisecond, TokensPerMs: 177, Queue: true,
		}
		if i >= 5 {
			endpoint.Service, endpoint.Events, endpoint.TokensPerMs, endpoint.Work = "services", 0, 0, 60*time.Millisecond
		}
		endpoint.Start()
		defer endpoint.Close()
		endpoint.Register(store, "ready")
		endpoints = append(endpoints, endpoint)
	}
	d := &mixedDeployment{t: t, store: store, load: newMixedLoad(t.Context())}
	for i, processor := range []float64{0.8, 0.4, 0.4, 0.2} {
		d.entries = append(d.entries, &mixedEntry{
			name: fmt.Sprintf("entry-%d", i+1), settings: map[string]any{"zone": zones[i%2], "processor": processor},
		})
	}
	for _, e := range d.entries {
		d.start(e, earlier)
	}
	// Entries choose for others half a second after their start.
	time.Sleep(time.Second)
	d.load.start()
	d.load.setPhase("earlier")
	time.Sleep(calmTime)
	d.roll("upgrade", binary)
	d.roll("downgrade", earlier)
	d.load.end()
	// Log lines are written in the background.
	time.Sleep(200 * time.Millisecond)
	d.load.check(t, endpoints, d.logs)
	// In these phases, the leader has one version and one to three of the other entries have the other one.
	for _, direction := range []string{"upgrade", "downgrade"} {
		for replaced := 1; replaced <= 3; replaced++ {
			phase := fmt.Sprintf("%s-%d", direction, replaced)
			if chosen := d.countChoices(phase); chosen["entry-1"] == 0 {
				t.Errorf("phase %s: the leader chose for no other entry: %v", phase, chosen)
			}
		}
	}
}
