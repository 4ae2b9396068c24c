package crowd

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"wisteriadyke/standin/loopback"
	"wisteriadyke/standin/program"
)

const (
	// waitTimeout bounds the wait for a condition.
	waitTimeout = 30 * time.Second
	// samplePeriod is the time between two measurements of a process.
	samplePeriod = 10 * time.Millisecond
	// pollPeriod is the time between two checks of a condition.
	pollPeriod = 50 * time.Millisecond
	// fileDescriptors is the part of a machine's file descriptors that is reserved for files.
	fileDescriptors = 200
	// tcpListening is the state of a listening socket in /proc/net/tcp.
	tcpListening = "0A"
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

// usage is what a process uses of its machine.
type usage struct {
	// resident and unread are bytes of memory: the peak of the process, and what its sockets have received and the process
	// has not read.
	resident, unread int64
	// descriptors is the number of open file descriptors.
	descriptors int
}

// process is a running process of the program under test.
type process struct {
	t       *testing.T
	command *exec.Cmd
	// log is the path of the log file.
	log string
	// ports are the ports on which the process listens.
	ports []netip.AddrPort

	mu   sync.Mutex
	most usage
}

// start runs the program with arguments until the test ends.
func start(t *testing.T, ports []netip.AddrPort, arguments ...string) *process {
	t.Helper()
	p := &process{t: t, log: filepath.Join(t.TempDir(), arguments[0]+".log"), ports: ports}
	out, err := os.Create(p.log)
	if err != nil {
		t.Fatal(err)
	}
	p.command = exec.CommandContext(context.WithoutCancel(t.Context()), binary, arguments...)
	p.command.Stdout, p.command.Stderr = out, out
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = p.command.Process.Kill()
		_ = p.command.Wait()
		_ = out.Close()
		if t.Failed() {
			data, _ := os.ReadFile(p.log)
			t.Logf("end of the log:\n%s", data[max(0, len(data)-2000):])
		}
	})
	return p
}

// startWithSettings runs a command that reads a settings file.
func startWithSettings(t *testing.T, command string, ports []netip.AddrPort, settings map[string]any) *process {
	t.Helper()
	data, err := json.Marshal(settings)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "settings.hujson")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
	return start(t, ports, command, "--settings", path)
}

// alive reports whether the process runs.
func (p *process) alive() bool {
	var status syscall.WaitStatus
	ended, err := syscall.Wait4(p.command.Process.Pid, &status, syscall.WNOHANG, nil)
	return err == nil && ended == 0
}

// measure updates what the process has used at most until ctx ends.
func (p *process) measure(ctx context.Context) {
	ticker := time.NewTicker(samplePeriod)
	defer ticker.Stop()
	for {
		now := p.usage()
		p.mu.Lock()
		p.most = usage{
			resident: max(p.most.resident, now.resident), unread: max(p.most.unread, now.unread),
			descriptors: max(p.most.descriptors, now.descriptors),
		}
		p.mu.Unlock()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// usage returns what the process uses now; resident is its peak.
func (p *process) usage() usage {
	folder := fmt.Sprintf("/proc/%d", p.command.Process.Pid)
	var now usage
	status, _ := os.ReadFile(folder + "/status")
	if _, rest, found := bytes.Cut(status, []byte("VmHWM:")); found {
		kilobytes, _ := strconv.ParseInt(string(bytes.Fields(rest)[0]), 10, 64)
		now.resident = kilobytes << 10
	}
	files, _ := os.ReadDir(folder + "/fd")
	now.descriptors = len(files)
	now.unread = p.unread()
	return now
}

// unread returns the bytes in the receive queues of the connections to the ports of the process.
func (p *process) unread() int64 {
	table, _ := os.ReadFile("/proc/net/tcp")
	var sum int64
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line)
		if len(fields) < 5 || fields[3] == tcpListening {
			continue
		}
		for _, port := range p.ports {
			if !strings.HasSuffix(fields[1], fmt.Sprintf(":%04X", port.Port())) {
				continue
			}
			_, queue, _ := strings.Cut(fields[4], ":")
			bytes, _ := strconv.ParseInt(queue, 16, 64)
			sum += bytes
		}
	}
	return sum
}

// check fails the test if the process has ended or has used more than a machine with the given memory in bytes and
// number of file descriptors has.
func (p *process) check(memory int64, maxFDs int) {
	p.t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.t.Logf("at most %d MiB resident, %d MiB unread, %d descriptors", p.most.resident>>20, p.most.unread>>20, p.most.descriptors)
	if !p.alive() {
		p.t.Error("the process has ended")
	}
	if got := p.most.resident + p.most.unread; got > memory {
		p.t.Errorf("memory of %d bytes used, the machine has %d", got, memory)
	}
	if p.most.descriptors > maxFDs-fileDescriptors {
		p.t.Errorf("%d file descriptors open, want %d at most", p.most.descriptors, maxFDs-fileDescriptors)
	}
}

// waitFor polls until a condition holds, for up to waitTimeout.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(pollPeriod) {
		if condition() {
			return
		}
	}
	t.Fatalf("not within %v: %s", waitTimeout, what)
}

// freeAddresses returns loopback addresses with free ports.
func freeAddresses(t *testing.T, count int) []netip.AddrPort {
	t.Helper()
	var addresses []netip.AddrPort
	for range count {
		address, err := loopback.FreeAddress(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		addresses = append(addresses, address)
	}
	return addresses
}
