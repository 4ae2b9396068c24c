package claimtest

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/idempotency"
	"wisteriadyke/io/jsonhttp"
	"wisteriadyke/io/platform"
	standin "wisteriadyke/standin/platform"
)

// Environment variables that turn the test program into an entry.
const (
	storeVariable = "IDEMPOTENCY_STORE"
	deskVariable  = "IDEMPOTENCY_SERVICE"
)

// Sizes of the test with processes.
const (
	processKeys        = 60
	processSubmissions = 5
	processCalls       = 12
	processFailures    = 12
	processDeadline    = time.Second
	processFreeze      = 1500 * time.Millisecond
)

// submitBody is the body of a request to an entry process.
type submitBody struct {
	Key        string `json:"key"`
	Submission int    `json:"submission"`
}

// resultBody is the answer of an entry process.
type resultBody struct {
	State          idempotency.State `json:"state"`
	EarlierUnknown bool              `json:"earlier_unknown"`
	Repeated       bool              `json:"repeated"`
	Answer         string            `json:"answer"`
}

// TestEntryProcess is no test but the entry process of TestAtMostOnceWithProcesses.
func TestEntryProcess(t *testing.T) {
	if os.Getenv(storeVariable) == "" {
		t.Skip("not started as an entry process")
	}
	client := &platform.Client{
		Addresses: []netip.AddrPort{netip.MustParseAddrPort(os.Getenv(storeVariable))},
		HTTP:      jsonhttp.NewPooled(),
	}
	c := &idempotency.Executor{
		Store:         &platform.Claims{Tables: client},
		ClaimTimeout:  processDeadline / 2,
		RecordTimeout: processDeadline / 10,
		Skew:          processDeadline / 10,
	}
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	desk := netip.MustParseAddrPort(os.Getenv(deskVariable))
	var group errgroup.Group
	group.Go(func() error { return c.Run(t.Context()) })
	_, _ = fmt.Println(listener.Addr())
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var body submitBody
		_ = json.NewDecoder(r.Body).Decode(&body)
		key, _ := idempotency.ParseKey("acme", body.Key)
		ctx, cancel := context.WithTimeout(r.Context(), processDeadline)
		defer cancel()
		result, _ := c.Do(ctx, key, idempotency.Digest{}, sender(desk, key, strconv.Itoa(body.Submission)))
		answer := resultBody{State: result.State, EarlierUnknown: result.EarlierUnknown, Repeated: result.Repeated}
		_ = json.Unmarshal(result.Answer.Body, &answer.Answer)
		_ = json.NewEncoder(w).Encode(answer)
	})}
	t.Fatal(server.Serve(listener))
}

// entryProcess is a running entry process.
type entryProcess struct {
	command *exec.Cmd
	address netip.AddrPort
}

// startProcess starts an entry process and waits until it listens.
func startProcess(store, desk netip.AddrPort) (*entryProcess, error) {
	command := exec.CommandContext(context.Background(), os.Args[0], "-test.run=^TestEntryProcess$")
	command.Env = append(os.Environ(), storeVariable+"="+store.String(), deskVariable+"="+desk.String())
	out, err := command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := command.Start(); err != nil {
		return nil, err
	}
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		return nil, err
	}
	address, err := netip.ParseAddrPort(line[:len(line)-1])
	return &entryProcess{command: command, address: address}, err
}

// kill ends the process at once.
func (p *entryProcess) kill() {
	_ = p.command.Process.Kill()
	_ = p.command.Wait()
}

// freeze stops the process for longer than its calls may last.
func (p *entryProcess) freeze() {
	_ = p.command.Process.Signal(syscall.SIGSTOP)
	time.Sleep(processFreeze)
	_ = p.command.Process.Signal(syscall.SIGCONT)
}

// processSet is a set of entry processes before one store and one service.
type processSet struct {
	dice    *dice
	history history
	store   *standin.Server
	storeAt netip.AddrPort
	deskAt  netip.AddrPort

	mu        sync.Mutex
	processes []*entryProcess
}

// handle is the service: it records each call that it gets, and cuts some connections after that.
func (d *processSet) handle(w http.ResponseWriter, r *http.Request) {
	var call struct {
		CallID    string          `json:"call_id"`
		AttemptID fleet.AttemptID `json:"attempt_id"`
	}
	_ = json.NewDecoder(r.Body).Decode(&call)
	submission, _ := strconv.Atoi(string(call.AttemptID))
	in := step{key: call.CallID, submission: submission, service: true}
	d.history.end(d.history.begin(), in, seen{state: idempotency.StateDone})
	time.Sleep(d.dice.upTo(100 * time.Millisecond))
	if d.dice.chance(0.1) {
		panic(http.ErrAbortHandler)
	}
	_ = json.NewEncoder(w).Encode(map[string]any{
		"call_id": call.CallID, "attempt_id": call.AttemptID, "result": answerOf(submission),
	})
}

// submit sends a request to a random entry process and records what its caller is told.
func (d *processSet) submit(key idempotency.Key, submission int) {
	i := d.dice.below(entries)
	d.mu.Lock()
	address := d.processes[i].address
	d.mu.Unlock()
	call := d.history.begin()
	out := seen{lost: true}
	body := submitBody{Key: key.Key, Submission: submission}
	response, err := jsonhttp.Post(context.Background(), jsonhttp.NewUnpooled(), jsonhttp.URL(address, "/", nil), body)
	var result resultBody
	if err == nil && json.Unmarshal(response.Body, &result) == nil {
		out = seen{
			state: result.State, earlierUnknown: result.EarlierUnknown, repeated: result.Repeated, answer: result.Answer,
		}
	}
	d.history.end(call, step{key: key.Key, submission: submission}, out)
}

// fail kills or freezes a random entry process.
func (d *processSet) fail() error {
	i := d.dice.below(entries)
	d.mu.Lock()
	p := d.processes[i]
	d.mu.Unlock()
	if d.dice.chance(0.5) {
		p.freeze()
		return nil
	}
	next, err := startProcess(d.storeAt, d.deskAt)
	if err != nil {
		return err
	}
	d.mu.Lock()
	d.processes[i] = next
	d.mu.Unlock()
	p.kill()
	return nil
}

// play sends all requests while processes fail.
func (d *processSet) play(t *testing.T) {
	var callers, failures errgroup.Group
	callers.SetLimit(processCalls)
	failures.Go(func() error {
		for range processFailures {
			if err := d.fail(); err != nil {
				return err
			}
		}
		return nil
	})
	for k := range processKeys {
		callers.Go(func() error {
			key := loadKey(k)
			var both errgroup.Group
			both.Go(func() error {
				d.submit(key, processSubmissions)
				return nil
			})
			for s := range processSubmissions {
				d.submit(key, s)
			}
			return both.Wait()
		})
	}
	if err := callers.Wait(); err != nil {
		t.Error(err)
	}
	if err := failures.Wait(); err != nil {
		t.Error(err)
	}
}

// TestAtMostOnceWithProcesses kills entry processes by SIGKILL and stops them by SIGSTOP for longer
// than their calls may last, while callers repeat calls through all of them and the store loses
// answers, and checks the history against the specification.
func TestAtMostOnceWithProcesses(t *testing.T) {
	d := &processSet{dice: newDice(1)}
	d.store = &standin.Server{Store: &standin.Store{}, Instances: &standin.Instances{}, Weights: &standin.Weights{}}
	d.store.Store.Faults.Set(standin.FaultSettings{LoseAnswers: 0.1})
	d.storeAt = serveOn(t, d.store.Serve)
	d.deskAt = serveOn(t, func(ctx context.Context, listener net.Listener) error {
		server := &http.Server{Handler: http.HandlerFunc(d.handle), ReadHeaderTimeout: time.Minute}
		defer context.AfterFunc(ctx, func() { _ = server.Close() })()
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	for range entries {
		p, err := startProcess(d.storeAt, d.deskAt)
		if err != nil {
			t.Fatal(err)
		}
		d.processes = append(d.processes, p)
	}
	defer func() {
		for _, p := range d.processes {
			p.kill()
		}
	}()
	d.play(t)
	operations := d.history.operations()
	var outcomes tally
	outcomes.add(operations)
	t.Logf("outcomes %v", outcomes.counts)
	if result := porcupine.CheckOperationsTimeout(atMostOnce, operations, checkTimeout); result != porcupine.Ok {
		t.Errorf("history is %s", result)
	}
	if outcomes.counts["lost"] == 0 || outcomes.counts["done"] == 0 {
		t.Error("no caller lost its entry, or no call was done")
	}
}
