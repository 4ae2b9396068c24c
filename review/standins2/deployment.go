package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"time"
)

// Figures of the site kuiseb-wisteria that the cases use.
const (
	// stableWindow is the bound stableWindowMs.
	stableWindow = 3 * time.Second
	// configTime is the bound configMs.
	configTime = 2 * time.Second
	// workerBack is how long a crashed worker is away.
	workerBack = 3 * time.Second
	// drainTime is the bound drainMs, and linger how long a worker that leaves goes on for after it.
	drainTime = 2 * time.Second
	linger    = 500 * time.Millisecond
	// rowExpiry is how long after a crash the row of a worker is removed: three intervals of beatMs.
	rowExpiry = 3 * 1200 * time.Millisecond
	// readyTimeout bounds the start of the entries.
	readyTimeout = 20 * time.Second
)

// Names in the desired state.
const (
	host          = "ficu95.example"
	apiKey        = "n2ctnfzs989anu6wsjnb"
	engines       = "huvo11a"
	services      = "xano55b"
	streamRoute   = "/lohu930/"
	unsafeRoute   = "/puxa403/"
	safeRoute     = "/cuti104/"
	streamTimeout = 10 * time.Second
	callTimeout   = time.Second
)

// zones holds the availability zones; each has one entry.
var zones = []string{"nam-central-a", "nam-central-b", "nam-central-c"}

// entry is one process of the project.
type entry struct {
	name    string
	front   string
	ready   string
	command *exec.Cmd
}

// workerProcess is one process of a worker. row is its row in the store; leaving reports whether it isn't started again.
type workerProcess struct {
	id      string
	command *exec.Cmd
	row     map[string]any
	leaving bool
}

// deployment is a small deployment: the store, three entries and some workers.
type deployment struct {
	root    string
	folder  string
	record  *record
	trouble bool
	store   *store
	address string
	entries []*entry

	mu      sync.Mutex
	stopped bool
	workers map[string]*workerProcess
	number  int
	events  []observedEvent
	// ended is closed when the case has ended.
	ended chan struct{}
	group sync.WaitGroup
}

// observedEvent is what a worker has written.
type observedEvent struct {
	workerEvent
	worker string
	at     time.Time
}

// newDeployment starts the store with a desired state. trouble is false if the case runs without its disruption.
func newDeployment(root string, record *record, trouble bool) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{
		root: root, folder: folder, record: record, trouble: trouble, store: newStore(), workers: make(map[string]*workerProcess),
		ended: make(chan struct{}),
	}
	if d.address, err = d.store.serve(); err != nil {
		return nil, err
	}
	record.add("case", "trouble: %t", trouble)
	return d, d.store.put("op", "config", desiredState(1))
}

// desiredState returns a version of the desired state: one route of each kind and, from version 2 on, the added route.
func desiredState(version int) map[string]any {
	route := func(name, prefix, kind, service string, timeout time.Duration, goalMs, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "prefix": prefix, "kind": kind, "timeoutMs": timeout.Milliseconds(), "goalMs": goalMs,
			"priority": 1, "service": service, "maxAttempts": attempts, "public": false, "sticky": false, "resumable": false,
		}
	}
	stream := route("r-stream", streamRoute, "stream", engines, streamTimeout, 300, 2)
	stream["sticky"], stream["resumable"], stream["gapGoalMs"] = true, true, 250
	routes := []any{
		stream,
		route("r-unsafe", unsafeRoute, "unsafe", services, callTimeout, 150, 1),
		route("r-safe", safeRoute, "safe", services, callTimeout, 150, 2),
	}
	if version > 1 {
		added := maps.Clone(stream)
		added["name"], added["prefix"] = "r-added", addedRoute
		routes = append(routes, added)
	}
	return map[string]any{
		"version": version,
		"routes":  routes,
		"services": []any{
			map[string]any{"name": engines, "healthPath": "/health", "maxConns": 234, "protocol": "h1", "tls": false,
				"coldS": 3.0, "coldPerS": 26.0, "engine": map[string]any{
					"slots": 16, "kvCapacity": 315000, "kvBytes": 163840, "linkMbps": 400000.0, "stride": 51,
					"models": []any{map[string]any{"name": "m"}}, "step_ms": 0.85, "per_seq_ms": 0.00425, "context_per_k": 0.00285,
					"read_per_s": 177000.0, "pairs_per_m": 0.184, "chunk": 2048, "report_lag_ms": 200.0,
					"usual": map[string]any{"prompt": 11104, "answer": 1622}, "hopMs": 0.05,
				}},
			map[string]any{"name": services, "healthPath": "/health", "maxConns": 51, "protocol": "h1", "tls": false,
				"coldS": 0.0, "coldPerS": 0.0},
		},
		"limits": map[string]any{
			"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
		},
		"tenants": []any{map[string]any{"name": "hule930", "apiKeys": []string{apiKey}, "priority": 1}},
	}
}

// startEntries starts one entry in each zone and waits until all are ready.
func (d *deployment) startEntries() error {
	template, err := os.ReadFile(filepath.Join(d.root, "deploy", "gateway.hujson"))
	if err != nil {
		return err
	}
	for i, zone := range zones {
		e, err := d.startEntry(string(template), fmt.Sprintf("front-%s-%d", zone, 1), zone)
		if err != nil {
			return err
		}
		d.entries = append(d.entries, e)
		d.record.add("entry", "%d is %s, process %d", i, e.name, e.command.Process.Pid)
	}
	for deadline := time.Now().Add(readyTimeout); ; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, e := range d.entries {
			if response, err := http.Get("http://" + e.ready + "/wisteriadyke/ready"); err == nil { //nolint:noctx // A probe on loopback.
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(d.entries) {
			// The entries then know each other, and one of them chooses for all.
			time.Sleep(2 * time.Second)
			return nil
		}
		if time.Now().After(deadline) {
			return errors.New("the entries are not ready")
		}
	}
}

// startEntry starts one entry with the command and the settings template of the deploy file.
func (d *deployment) startEntry(template, name, zone string) (*entry, error) {
	addresses, err := freeAddresses(4)
	if err != nil {
		return nil, err
	}
	e := &entry{name: name, front: addresses[0], ready: addresses[1]}
	_, peerPort, _ := net.SplitHostPort(addresses[2])
	_, metricsPort, _ := net.SplitHostPort(addresses[3])
	settings := fillTemplate(template, map[string]string{
		"nodeName|json": quote(name), "zone|json": quote(zone), "region": "nam-central", "listen.front|json": quote(e.front),
		"listen.ready|json": quote(e.ready), "ip": "127.0.0.1", "portRange.0": peerPort, "portRange.1": metricsPort,
		"platform.address|json": quote(d.address), "firstStart|json": "true", "bounds.revokeMs": "5000", "bounds.graceS": "8",
		"bounds.budgetRatio": "0.2", "bounds.budgetExtra": "104", "bounds.coldFactor": "1.5", "limits.cpuShare": "0.4",
		"limits.memoryMb": "284",
		"contracts|json":  `["base","drain","config","cost","retry","recover","engine","stream","tenants","places","platform","spans"]`,
	})
	if strings.Contains(settings, "{{") {
		return nil, errors.New("the settings template has placeholders that this stand-in doesn't know")
	}
	path := filepath.Join(d.folder, name+".json")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(d.folder, name+".log"))
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }()
	e.command = exec.Command(filepath.Join(d.root, "target", "wisteriadyke"), "gateway", "--settings", path) //nolint:noctx // stop ends it.
	e.command.Dir, e.command.Stdout, e.command.Stderr = d.root, log, log
	return e, e.command.Start()
}

// placeholder matches a placeholder of a settings template.
var placeholder = regexp.MustCompile(`\{\{([^{}]+)\}\}`)

// fillTemplate replaces the placeholders of a settings template that have a value.
func fillTemplate(template string, values map[string]string) string {
	return placeholder.ReplaceAllStringFunc(template, func(text string) string {
		if value, found := values[strings.Trim(text, "{}")]; found {
			return value
		}
		return text
	})
}

// quote returns text as a JSON string.
func quote(text string) string {
	encoded, _ := json.Marshal(text)
	return string(encoded)
}

// The ports that freeAddresses tries lie below those that the kernel gives to outgoing connections, which could take one
// before its process listens.
const (
	firstPort = 12_000
	lastPort  = 32_000
)

// freeAddresses returns free loopback addresses.
func freeAddresses(count int) ([]string, error) {
	var addresses []string
	for tries := 0; len(addresses) < count; tries++ {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.N(lastPort-firstPort))
		listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
		switch {
		case err == nil:
			defer func() { _ = listener.Close() }()
			addresses = append(addresses, address)
		case tries > 1000:
			return nil, err
		}
	}
	return addresses, nil
}

// startWorker starts a worker of a service in a zone under a new id and registers it. When its process ends by itself,
// its row is removed after rowExpiry, and another one is started after workerBack.
func (d *deployment) startWorker(service, zone string, arguments ...string) error {
	addresses, err := freeAddresses(1)
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stopped {
		return nil
	}
	d.number++
	k := &workerProcess{id: fmt.Sprintf("i-%s-%d", service, d.number)}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	k.command = exec.Command(self, append([]string{"worker", "--id", k.id, "--address", addresses[0]}, arguments...)...) //nolint:noctx // stop ends it.
	out, err := k.command.StdoutPipe()
	if err != nil {
		return err
	}
	if err := k.command.Start(); err != nil {
		return err
	}
	d.workers[k.id] = k
	born := time.Now().UnixMilli()
	d.record.add("worker", "%s starts, process %d", k.id, k.command.Process.Pid)
	d.group.Go(func() {
		d.observe(k, bufio.NewScanner(out))
		_ = k.command.Wait()
		d.mu.Lock()
		delete(d.workers, k.id)
		over := d.stopped || k.leaving
		d.mu.Unlock()
		d.record.add("worker", "%s has ended", k.id)
		if over {
			return
		}
		time.AfterFunc(rowExpiry, func() { d.store.remove("servers", k.id) })
		time.AfterFunc(workerBack, func() {
			if err := d.startWorker(service, zone, arguments...); err != nil {
				d.record.add("error", "worker not started: %v", err)
			}
		})
	})
	for range 100 {
		if conn, err := net.DialTimeout("tcp", addresses[0], time.Second); err == nil { //nolint:noctx // A probe on loopback.
			_ = conn.Close()
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	slots := 6
	if service == engines {
		slots = 16
	}
	k.row = map[string]any{
		"service": service, "address": addresses[0], "zone": zone, "version": "v1", "slots": slots, "state": "ready",
		"coldLeftMs": 0, "sequence": 1, "born": born,
	}
	return d.store.put("servers", k.id, k.row)
}

// retireWorker lets the first worker of a service drain and leave for good.
func (d *deployment) retireWorker(service string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, k := range d.workers {
		if k.row["service"] != service || k.leaving {
			continue
		}
		k.leaving = true
		k.row["state"] = "draining"
		d.record.add("worker", "%s drains", k.id)
		time.AfterFunc(drainTime+linger, func() {
			d.store.remove("servers", k.id)
			_ = k.command.Process.Kill()
		})
		return d.store.put("servers", k.id, k.row)
	}
	return fmt.Errorf("no worker of %s", service)
}

// observe records what a worker writes.
func (d *deployment) observe(k *workerProcess, lines *bufio.Scanner) {
	for lines.Scan() {
		o := observedEvent{worker: k.id}
		if json.Unmarshal(lines.Bytes(), &o.workerEvent) != nil {
			continue
		}
		o.at = time.UnixMicro(o.At)
		d.mu.Lock()
		d.events = append(d.events, o)
		d.mu.Unlock()
		if o.Crasher || o.Event == eventRuns {
			d.record.addAt(o.at, "worker", "%s: %s %s", k.id, o.Attempt, o.Event)
		}
	}
}

// crasherEvents returns what all workers have written about the request that crashes them, of one kind of event.
func (d *deployment) crasherEvents(event string) []observedEvent {
	d.mu.Lock()
	defer d.mu.Unlock()
	var found []observedEvent
	for _, o := range d.events {
		if o.Crasher && o.Event == event {
			found = append(found, o)
		}
	}
	return found
}

// stop ends all processes that the deployment started and removes its files.
func (d *deployment) stop() {
	d.stopProcesses()
	close(d.ended)
	d.group.Wait()
	if os.Getenv("KEEP") != "" {
		fmt.Println(d.folder)
		return
	}
	_ = os.RemoveAll(d.folder)
}

// stopProcesses ends all processes that the deployment started.
func (d *deployment) stopProcesses() {
	d.mu.Lock()
	d.stopped = true
	for _, k := range d.workers {
		_ = k.command.Process.Kill()
	}
	d.mu.Unlock()
	for _, e := range d.entries {
		_ = e.command.Process.Kill()
		_ = e.command.Wait()
	}
}
