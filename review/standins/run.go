package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// maxDuration bounds a case.
const maxDuration = 110 * time.Second

// run is one run of a case: its processes, its store and its record.
type run struct {
	// trouble reports whether the case makes its disruption.
	trouble bool
	folder  string
	temp    string
	store   *store
	// registry is the address at which workers register; storeAddress that of each reader of the store.
	registry string

	mu        sync.Mutex
	started   time.Time
	record    *os.File
	events    []event
	processes []*process
	broken    []string
}

// event is a line of the record.
type event map[string]any

func (e event) text(name string) string {
	s, _ := e[name].(string)
	return s
}

// process is a process that the run has started.
type process struct {
	name    string
	command *exec.Cmd
	done    chan struct{}
	address string
	// ready and peer are the addresses of a gateway.
	ready, peer string
	args        []string
}

func caseMain(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "unknown case")
		return exitNotRun
	}
	r := &run{trouble: os.Getenv("TROUBLE") != "0", folder: args[1], started: time.Now(), store: newStore()}
	code := r.play(cases[args[0]])
	fmt.Println(map[int]string{exitHeld: "held", exitBroken: "broken", exitNotRun: "could not run"}[code])
	return code
}

// play runs a case and returns the exit code.
func (r *run) play(body func(*run) error) int {
	var err error
	if r.record, err = os.Create(filepath.Join(r.folder, "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = r.record.Close() }()
	if r.temp, err = os.MkdirTemp("", "review"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = os.RemoveAll(r.temp) }()
	defer r.stopAll()
	done := make(chan error, 1)
	go func() {
		if err := r.serveRegistry(); err != nil {
			done <- err
			return
		}
		done <- body(r)
	}()
	select {
	case err = <-done:
	case <-time.After(maxDuration):
		err = fmt.Errorf("the case took longer than %v", maxDuration)
	}
	if err != nil {
		r.note(event{"event": "could not run", "error": err.Error()})
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	r.mu.Lock()
	broken := r.broken
	r.mu.Unlock()
	for _, line := range broken {
		r.note(event{"event": "broken", "what": line})
		fmt.Println(line)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	r.note(event{"event": "held"})
	return exitHeld
}

// note writes a line to the record.
func (r *run) note(e event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e["t"] = float64(time.Since(r.started).Milliseconds()) / 1000
	r.events = append(r.events, e)
	line, _ := json.Marshal(e)
	_, _ = r.record.Write(append(line, '\n'))
}

// fail records that the rule is broken.
func (r *run) fail(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, fmt.Sprintf(format, args...))
}

// now returns the time in the record, in seconds.
func (r *run) now() float64 {
	return float64(time.Since(r.started).Milliseconds()) / 1000
}

// find returns the events that meet a condition.
func (r *run) find(meets func(event) bool) []event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []event
	for _, e := range r.events {
		if meets(e) {
			found = append(found, e)
		}
	}
	return found
}

// serveRegistry serves the calls by which workers register, which are the workers' side of the store.
func (r *run) serveRegistry() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	r.registry = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("/beat/{id}", func(_ http.ResponseWriter, q *http.Request) {
		value, _ := io.ReadAll(q.Body)
		r.store.beat(q.PathValue("id"), value)
	})
	mux.HandleFunc("/leave/{id}", func(_ http.ResponseWriter, q *http.Request) { r.store.leave(q.PathValue("id")) })
	go func() { _ = http.Serve(listener, mux) }()
	go func() {
		for {
			time.Sleep(100 * time.Millisecond)
			r.store.expire()
		}
	}()
	return nil
}

// serveStore serves the store for one reader and returns its address.
func (r *run) serveStore(reader string) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(listener, r.store.handler(reader)) }()
	return listener.Addr().String(), nil
}

// freeAddress returns a loopback address with a port that is free now.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String(), nil
}

// start starts a process whose output goes to a file, or line by line to lines.
func (r *run) start(p *process, lines func(string)) error {
	p.command = exec.Command(p.args[0], p.args[1:]...)
	p.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG")}
	log, err := os.OpenFile(filepath.Join(r.temp, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	p.command.Stderr = log
	var out io.ReadCloser
	if lines == nil {
		p.command.Stdout = log
	} else if out, err = p.command.StdoutPipe(); err != nil {
		return err
	}
	if err := p.command.Start(); err != nil {
		return err
	}
	r.note(event{"event": "started", "process": p.name})
	p.done = make(chan struct{})
	done, command := p.done, p.command
	go func() {
		if out != nil {
			for scanner := bufio.NewScanner(out); scanner.Scan(); {
				lines(scanner.Text())
			}
		}
		_ = command.Wait()
		_ = log.Close()
		r.note(event{"event": "ended", "process": p.name, "how": command.ProcessState.String()})
		close(done)
	}()
	r.mu.Lock()
	r.processes = append(r.processes, p)
	r.mu.Unlock()
	return nil
}

// signal sends a signal to a process.
func (r *run) signal(p *process, s syscall.Signal) {
	r.note(event{"event": "signal", "process": p.name, "signal": s.String()})
	_ = p.command.Process.Signal(s)
}

// stopAll ends all processes.
func (r *run) stopAll() {
	r.mu.Lock()
	processes := append([]*process{}, r.processes...)
	r.mu.Unlock()
	for _, p := range processes {
		select {
		case <-p.done:
			continue
		default:
		}
		_ = p.command.Process.Signal(syscall.SIGCONT)
		_ = p.command.Process.Kill()
	}
	for _, p := range processes {
		<-p.done
	}
	if os.Getenv("KEEP_LOGS") != "" {
		_ = exec.Command("cp", "-r", r.temp, os.Getenv("KEEP_LOGS")).Run()
	}
}

// startWorker starts a worker; its events go to the record.
func (r *run) startWorker(id, service, zone string, flags ...string) (*process, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	p := &process{name: id, address: address}
	p.args = append([]string{
		self, "worker", "--id", id, "--service", service, "--zone", zone, "--address", address, "--registry", r.registry,
	}, flags...)
	return p, r.start(p, r.noteLine)
}

// restartWorker starts a worker again that has ended.
func (r *run) restartWorker(p *process) error {
	<-p.done
	return r.start(p, r.noteLine)
}

// noteLine writes a line that a worker printed to the record.
func (r *run) noteLine(line string) {
	var e event
	if json.Unmarshal([]byte(line), &e) == nil {
		r.note(e)
	}
}

// gatewayOptions are the settings of a gateway that cases vary.
type gatewayOptions struct {
	name, zone string
	// store is the address of the store for this gateway.
	store string
	// peer is the gateway's listen address for other gateways; publicPeer is the address under which they reach it, if it
	// differs.
	peer, publicPeer string
}

// startGateway starts a gateway with the command and the settings template of the deploy file.
func (r *run) startGateway(o gatewayOptions) (*process, error) {
	p := &process{name: o.name}
	var err error
	var metrics string
	for _, address := range []*string{&p.address, &p.ready, &metrics} {
		if *address, err = freeAddress(); err != nil {
			return nil, err
		}
	}
	if p.peer = o.peer; p.peer == "" {
		if p.peer, err = freeAddress(); err != nil {
			return nil, err
		}
	}
	settings := filepath.Join(r.temp, o.name+".json")
	if err := r.writeSettings(settings, o, p, metrics); err != nil {
		return nil, err
	}
	command, err := deployCommand()
	if err != nil {
		return nil, err
	}
	for _, word := range command {
		if word == "/etc/wisteriadyke/boot.json" {
			word = settings
		}
		p.args = append(p.args, word)
	}
	return p, r.start(p, nil)
}

// deployCommand returns the words of run in the deploy file.
func deployCommand() ([]string, error) {
	data, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	match := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(data)
	if match == nil {
		return nil, fmt.Errorf("deploy/system.toml has no run line")
	}
	return strings.Fields(string(match[1])), nil
}

// writeSettings fills in the settings template of the deploy file with the values of a small site.
func (r *run) writeSettings(path string, o gatewayOptions, p *process, metrics string) error {
	data, err := os.ReadFile("deploy/gateway.hujson")
	if err != nil {
		return err
	}
	values := map[string]any{
		"nodeName": o.name, "zone": o.zone, "region": "region", "listen.front": p.address, "listen.ready": p.ready,
		"platform.address": o.store, "firstStart": true, "bounds.revokeMs": 5000, "bounds.graceS": 8,
		"bounds.budgetRatio": 0.2, "bounds.budgetExtra": 104, "bounds.coldFactor": 1.5, "limits.cpuShare": 0.4,
		"limits.memoryMb": 284,
		"contracts": []string{
			"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "places", "platform", "spans",
		},
	}
	text := string(data)
	// The template joins the machine's address and two ports; here both are whole addresses.
	text = strings.ReplaceAll(text, "{{ip}}:{{portRange.0}}", p.peer)
	text = strings.ReplaceAll(text, "{{ip}}:{{portRange.1}}", metrics)
	var missing error
	text = regexp.MustCompile(`\{\{([A-Za-z.]+)(\|json)?\}\}`).ReplaceAllStringFunc(text, func(placeholder string) string {
		name, isJSON := strings.CutSuffix(strings.Trim(placeholder, "{}"), "|json")
		value, found := values[name]
		if !found {
			missing = fmt.Errorf("settings template has an unknown placeholder %s", placeholder)
			return ""
		}
		if isJSON {
			encoded, _ := json.Marshal(value)
			return string(encoded)
		}
		return fmt.Sprint(value)
	})
	if missing != nil {
		return missing
	}
	if o.publicPeer != "" {
		text = strings.Replace(text, `"metrics_address"`, `"public_peer_address": "`+o.publicPeer+"\",\n  \"metrics_address\"", 1)
	}
	return os.WriteFile(path, []byte(text), 0o600)
}

// awaitReady waits until all gateways say that they are ready.
func (r *run) awaitReady(gateways ...*process) error {
	client := &http.Client{Timeout: time.Second}
	for _, g := range gateways {
		for deadline := time.Now().Add(15 * time.Second); ; {
			response, err := client.Get("http://" + g.ready + "/wisteriadyke/ready")
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("gateway %s does not get ready", g.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// configure writes a desired state and notes its confirmation.
func (r *run) configure(state map[string]any) {
	value, _ := json.Marshal(state)
	version := r.store.put("op", "config", value)
	r.note(event{"event": "desired state confirmed", "version": state["version"], "ver": version})
}
