package crowd

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os/exec"
	"strings"
	"testing"
	"time"
)

// The limits of the machine that runs an entry of package entry in these tests.
const (
	entryMemoryMiB = 256
	entryMemory    = entryMemoryMiB << 20
)

// entryDeployment is an entry with a platform, an engine and a plain service.
type entryDeployment struct {
	*process
	caller, peer, operator netip.AddrPort
}

// startEntry starts an entry with the given number of file descriptors and waits until it answers.
func startEntry(t *testing.T, maxFDs int) *entryDeployment {
	t.Helper()
	addresses := freeAddresses(t, 6)
	platform, ports := addresses[0], addresses[3:]
	start(t, nil, "standin", "platform", "--address", platform.String())
	start(t, nil, "standin", "engine", "--address", addresses[1].String(), "--id", "engine-1", "--pool", "reader", "--zone", "a",
		"--platform", platform.String(), "--memory", "4000000", "--prefill-pace", "20000000")
	start(t, nil, "standin", "service", "--address", addresses[2].String(), "--id", "service-1", "--pool", "returns",
		"--zone", "a", "--platform", platform.String())
	run := func(arguments ...string) {
		waitFor(t, strings.Join(arguments, " "), func() bool {
			return exec.CommandContext(t.Context(), binary, arguments...).Run() == nil
		})
	}
	run("standin", "register", "--platform", platform.String(), "--id", "entry-1", "--zone", "a", "--address", ports[1].String())
	run("publish", "--platform", platform.String(), "--yes", "../e2e/testdata/declarations")
	e := &entryDeployment{caller: ports[0], peer: ports[1], operator: ports[2]}
	e.process = startWithSettings(t, "entry", ports, map[string]any{
		"entry": "entry-1", "zone": "a", "caller_address": e.caller, "peer_address": e.peer, "operator_address": e.operator,
		"platform": platform, "peers": []netip.AddrPort{e.peer}, "memory_mib": entryMemoryMiB, "max_fds": maxFDs,
	})
	e.expectService("at the start")
	return e
}

// entryPost returns the head of a model request with one more header line.
func entryPost(line string) string {
	return head("POST /v1/requests", "Authorization: Bearer cierzo-key", "Content-Type: application/json", line)
}

// promptBody returns the body of a model request with a prompt of the given length in bytes.
func promptBody(bytes int) string {
	body, _ := json.Marshal(map[string]any{"class": "archive", "max_tokens": 2, "prompt": strings.Repeat("word ", bytes/5)})
	return string(body)
}

// expectService waits until an ordinary model request and a readiness check are answered.
func (e *entryDeployment) expectService(when string) {
	e.t.Helper()
	body := promptBody(20 << 10)
	waitFor(e.t, "an ordinary request is answered "+when, func() bool {
		ctx, cancel := context.WithTimeout(e.t.Context(), 10*time.Second)
		defer cancel()
		status, _ := exchange(ctx, e.caller, entryPost(fmt.Sprintf("Content-Length: %d", len(body)))+body)
		return status == http.StatusOK
	})
	waitFor(e.t, "a readiness check is answered "+when, func() bool {
		ctx, cancel := context.WithTimeout(e.t.Context(), 5*time.Second)
		defer cancel()
		status, _ := exchange(ctx, e.operator, head("GET /readyz", "Connection: close"))
		return status == http.StatusOK
	})
}

// TestCallersOfEntry lets crowds of clients send what takes memory to each port of an entry of package entry. Guards
// against a process that exceeds the memory or the file descriptors of its machine.
func TestCallersOfEntry(t *testing.T) {
	caller := func(e *entryDeployment) netip.AddrPort { return e.caller }
	peer := func(e *entryDeployment) netip.AddrPort { return e.peer }
	operator := func(e *entryDeployment) netip.AddrPort { return e.operator }
	inPrompt := func(line string) string { return entryPost(line) + `{"prompt": "` }
	inPromptChunk := func(line string) string { return entryPost(line) + "c\r\n{\"prompt\": \"\r\n" }
	whole := promptBody(2 << 20)
	tests := map[string]struct {
		port   func(*entryDeployment) netip.AddrPort
		send   sender
		maxFDs int
	}{
		"lengths":          {caller, withLength(inPrompt, 3<<20, 2<<20), machineFDs},
		"large_chunks":     {caller, inChunks(inPromptChunk, 32<<10, 2<<20), machineFDs},
		"small_chunks":     {caller, inChunks(inPromptChunk, 1, 100<<10), machineFDs},
		"too_long":         {caller, withLength(inPrompt, 8<<30, 10<<20), machineFDs},
		"whole_bodies":     {caller, text(entryPost(fmt.Sprintf("Content-Length: %d", len(whole))) + whole), machineFDs},
		"many_fields":      {caller, manyFields(15 << 10), machineFDs},
		"silent":           {caller, text(""), fewFDs},
		"peers_message":    {peer, text(unfinishedMessage(1 << 20)), fewFDs},
		"peers_silent":     {peer, text(""), fewFDs},
		"operators_head":   {operator, text("GET /metrics HTTP/1.1\r\nHost: x\r\nX-A: " + strings.Repeat("x", 500<<10)), fewFDs},
		"operators_silent": {operator, text(""), fewFDs},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			e := startEntry(t, test.maxFDs)
			endure(e.process, test.port(e), test.send, e.expectService)
			e.check(entryMemory, test.maxFDs)
		})
	}
}

// TestLargeRequestOfEntry sends one request with a prompt of a million tokens, the longest that a class allows.
func TestLargeRequestOfEntry(t *testing.T) {
	e := startEntry(t, machineFDs)
	body := promptBody(3_999_990)
	ctx, cancel := context.WithTimeout(t.Context(), 2*waitTimeout)
	defer cancel()
	status, answer := exchange(ctx, e.caller, entryPost(fmt.Sprintf("Content-Length: %d", len(body)))+body)
	if status != http.StatusOK {
		t.Errorf("status %d, want 200: %s", status, answer)
	}
}
