package crowd

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"wisteriadyke/standin/cierzo"
)

const (
	// machineMemory is the memory of the smallest machine of a deployment, in MB and in MiB.
	machineMemory, machineMemoryMiB = 184 * 1000 * 1000, 184 * 1000 * 1000 >> 20
	// machineFDs is the number of file descriptors of that machine, and fewFDs one with which a crowd uses them up.
	machineFDs, fewFDs = 4100, 512
	// gatewayKey is the API key of ordinary callers.
	gatewayKey = "key-of-acme"
)

// gatewayDeployment is an entry for Cierzo's platform with a store and an endpoint.
type gatewayDeployment struct {
	*process
	caller, ready, peer, metrics netip.AddrPort
}

// startGateway starts an entry with the given settings and waits until it answers.
func startGateway(t *testing.T, further map[string]any) *gatewayDeployment {
	t.Helper()
	store := &cierzo.Store{}
	store.Start()
	t.Cleanup(store.Close)
	cierzo.Configuration(store, 1, map[string][]string{"acme": {gatewayKey}}, cierzo.Routes()...)
	for service, events := range map[string]int{"services": 0, "engines": 1} {
		endpoint := &cierzo.Endpoint{ID: "i-" + service, Service: service, Zone: "a", Slots: 4, Events: events}
		endpoint.Start()
		t.Cleanup(endpoint.Close)
		endpoint.Register(store, "ready")
	}
	ports := freeAddresses(t, 4)
	settings := map[string]any{
		"entry": "entry-1", "zone": "a", "caller_address": ports[0], "ready_address": ports[1], "peer_address": ports[2],
		"metrics_address": ports[3], "store": store.Address(), "memory_mib": machineMemoryMiB, "max_fds": machineFDs,
	}
	for name, value := range further {
		settings[name] = value
	}
	g := &gatewayDeployment{
		process: startWithSettings(t, "gateway", ports, settings), caller: ports[0], ready: ports[1], peer: ports[2], metrics: ports[3],
	}
	g.expectService("at the start")
	return g
}

// post returns the head of a request to a path with one more header line.
func post(path, key string) func(line string) string {
	return func(line string) string {
		return head("POST "+path, "X-Attempt-Id: a", "X-Deadline-Ms: 5000", "X-Credential: "+key, line)
	}
}

// expectService waits until an ordinary request, a probe and a request for metrics are answered.
func (g *gatewayDeployment) expectService(when string) {
	g.t.Helper()
	const promptBytes = 20 << 10
	ordinary := post("/r/x", gatewayKey)(fmt.Sprintf("Content-Length: %d", promptBytes)) + strings.Repeat("x", promptBytes)
	requests := map[string]struct {
		address netip.AddrPort
		request string
	}{
		"an ordinary request":   {g.caller, ordinary},
		"a readiness probe":     {g.ready, head("GET /wisteriadyke/ready", "Connection: close")},
		"a request for metrics": {g.metrics, head("GET /metrics", "Connection: close")},
	}
	for name, r := range requests {
		waitFor(g.t, name+" is answered "+when, func() bool {
			ctx, cancel := context.WithTimeout(g.t.Context(), 5*time.Second)
			defer cancel()
			status, _ := exchange(ctx, r.address, r.request)
			return status == http.StatusOK
		})
	}
}

// TestCallers lets crowds of callers send what takes memory. Guards against a process that is ended since it exceeds the
// memory of its machine.
func TestCallers(t *testing.T) {
	known, unknown := post("/s/x", gatewayKey), post("/s/x", "unknown")
	tests := map[string]sender{
		"lengths":           withLength(known, 932<<10, 900<<10),
		"whole_bodies":      withLength(known, 1000<<10, 1000<<10),
		"large_chunks":      inChunks(known, 32<<10, 900<<10),
		"small_chunks":      inChunks(known, 1, 100<<10),
		"short_bodies":      inChunks(known, 1<<10, 60<<10),
		"too_long":          withLength(known, 8<<30, 2<<20),
		"too_long_chunks":   inChunks(known, 32<<10, 2<<20),
		"refused":           withLength(unknown, 1000<<10, 900<<10),
		"long_field":        text(head("GET /r/x", "X-A: "+strings.Repeat("x", 30<<10))[:30<<10]),
		"many_fields":       manyFields(30 << 10),
		"fields_and_bodies": withLength(func(line string) string { return known(line + strings.Repeat("\r\na:b", 3000)) }, 932<<10, 100<<10),
		"garbage":           text(strings.Repeat("\x16\x03\x01garbage", 10_000)),
	}
	contracts := map[string][]string{"plain": {}, "pressure": {"pressure"}}
	for name, send := range tests {
		for contract, list := range contracts {
			t.Run(name+"/"+contract, func(t *testing.T) {
				g := startGateway(t, map[string]any{"contracts": list})
				endure(g.process, g.caller, send, g.expectService)
				g.check(machineMemory, machineFDs)
			})
		}
	}
}

// TestPorts lets crowds of clients open connections to each port, which stay silent, send a part of a head, or send
// garbage. Guards against a process that runs out of file descriptors or memory by a port that is not for callers.
func TestPorts(t *testing.T) {
	ports := map[string]func(*gatewayDeployment) netip.AddrPort{
		"callers":   func(g *gatewayDeployment) netip.AddrPort { return g.caller },
		"readiness": func(g *gatewayDeployment) netip.AddrPort { return g.ready },
		"peers":     func(g *gatewayDeployment) netip.AddrPort { return g.peer },
		"metrics":   func(g *gatewayDeployment) netip.AddrPort { return g.metrics },
	}
	senders := map[string]sender{
		"silent":  text(""),
		"head":    text("GET /wisteriadyke/ready HTTP/1.1\r\nHost: x\r\nX-A: " + strings.Repeat("x", 500<<10)),
		"body":    withLength(func(line string) string { return head("POST /metrics", line) }, 8<<30, 500<<10),
		"message": text(unfinishedMessage(1 << 20)),
	}
	for port, address := range ports {
		for name, send := range senders {
			t.Run(port+"/"+name, func(t *testing.T) {
				g := startGateway(t, map[string]any{"max_fds": fewFDs})
				endure(g.process, address(g), send, g.expectService)
				g.check(machineMemory, fewFDs)
			})
		}
	}
}

// TestPeerMemory lets a crowd send unfinished messages to the port for other entries, with as many connections as the
// machine has descriptors for.
func TestPeerMemory(t *testing.T) {
	g := startGateway(t, nil)
	endure(g.process, g.peer, text(unfinishedMessage(1<<20)), g.expectService)
	g.check(machineMemory, machineFDs)
}

// TestLargeBodyAlone sends one body of the longest length that the configuration allows.
func TestLargeBodyAlone(t *testing.T) {
	g := startGateway(t, nil)
	const length = 1 << 20
	for name, request := range map[string]string{
		"length": post("/u/x", gatewayKey)(fmt.Sprintf("Content-Length: %d", length)) + strings.Repeat("x", length),
		"chunks": post("/u/x", gatewayKey)("Transfer-Encoding: chunked") +
			strings.Repeat("8000\r\n"+strings.Repeat("x", 32<<10)+"\r\n", length>>15) + "0\r\n\r\n",
	} {
		ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
		defer cancel()
		if status, _ := exchange(ctx, g.caller, request); status != http.StatusOK {
			t.Errorf("%s: status %d, want 200", name, status)
		}
	}
}

// TestSlowSender lets a caller send a body slowly and steadily while a crowd of callers sends large ones. It must not be
// refused since others are many.
func TestSlowSender(t *testing.T) {
	const pieces, pieceBytes, pause = 20, 10 << 10, 150 * time.Millisecond
	g := startGateway(t, nil)
	request := post("/s/x", gatewayKey)(fmt.Sprintf("Content-Length: %d", pieces*pieceBytes))
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", g.caller.String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	var group errgroup.Group
	group.Go(func() error {
		_, err := io.WriteString(conn, request)
		for i := 0; i < pieces && err == nil; i++ {
			_, err = io.CopyN(conn, endless{}, pieceBytes)
			time.Sleep(pause)
		}
		return err
	})
	defer gather(t, g.caller, withLength(post("/s/x", gatewayKey), 932<<10, 900<<10))()
	if err := group.Wait(); err != nil {
		t.Errorf("the slow caller was cut off: %v", err)
	}
	if status := readStatus(conn); status != http.StatusOK {
		t.Errorf("the slow caller got status %d, want 200", status)
	}
}

// TestRefusalReachesSender refuses requests whose callers send all before they read. Each must get its status.
func TestRefusalReachesSender(t *testing.T) {
	known, unknown := post("/s/x", gatewayKey), post("/s/x", "unknown")
	tests := map[string]struct {
		send   sender
		status int
	}{
		"unknown_key":        {withLength(unknown, 1000<<10, 1000<<10), http.StatusUnauthorized},
		"unknown_key_chunks": {inChunks(unknown, 32<<10, 1000<<10), http.StatusUnauthorized},
		"too_long":           {withLength(known, 3<<20, 3<<20), http.StatusRequestEntityTooLarge},
		"too_long_chunks":    {inChunks(known, 32<<10, 3<<20), http.StatusRequestEntityTooLarge},
		"long_head":          {text(known("X-A: " + strings.Repeat("x", 100<<10))), http.StatusRequestHeaderFieldsTooLarge},
	}
	g := startGateway(t, nil)
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", g.caller.String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			if err := test.send(conn); err != nil {
				t.Log(err)
			}
			if status := readStatus(conn); status != test.status {
				t.Errorf("status %d, want %d", status, test.status)
			}
		})
	}
}
