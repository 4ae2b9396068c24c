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

// Environment variables that make the test program run as an entry process: the addresses of the store and the service.
const (
	storeVariable   = "IDEMPOTENCY_STORE"
	serviceVariable = "IDEMPOTENCY_SERVICE"
)

// Parameters of TestAtMostOnceWithProcesses: number of keys, of sequential submissions per key, of keys submitted at a
// time and of failures; the deadline of a call at an entry process, and how long a process is frozen.
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

// resultBody is the body of the response of an entry process.
type resultBody struct {
	State          idempotency.State `json:"state"`
	EarlierUnknown bool              `json:"earlier_unknown"`
	Repeated       bool              `json:"repeated"`
	Answer         string            `json:"answer"`
}

// TestEntryProcess is not a test, but the main function of the entry processes of TestAtMostOnceWithProcesses. It
// prints the address that it listens on.
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
	service := netip.MustParseAddrPort(os.Getenv(serviceVariable))
	var group errgroup.Group
	group.Go(func() error { return c.Run(t.Context()) })
	_, _ = fmt.Println(listener.Addr())
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var body submitBody
		_ = json.NewDecoder(r.Body).Decode(&body)
		key, _ := idempotency.ParseKey("acme", body.Key)
		ctx, cancel := context.WithTimeout(r.Context(), processDeadline)
		defer cancel()
		result, _ := c.Do(ctx, key, idempotency.Digest{}, sender(service, key, strconv.Itoa(body.Submission)))
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
func startProcess(store, service netip.AddrPort) (*entryProcess, error) {
	command := exec.CommandContext(context.Background(), os.Args[0], "-test.run=^TestEntryProcess$")
	command.Env = append(os.Environ(), storeVariable+"="+store.String(), serviceVariable+"="+service.String())
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

// kill ends the process by SIGKILL.
func (p *entryProcess) kill() {
	_ = p.command.Process.Kill()
	_ = p.command.Wait()
}

// freeze stops the process for longer than the deadline of its calls.
func (p *entryProcess) freeze() {
	_ = p.command.Process.Signal(syscall.SIGSTOP)
	time.Sleep(processFreeze)
	_ = p.command.Process.Signal(syscall.SIGCONT)
}

// processSet is a set of entry processes with one store and one service.
type processSet struct {
	random         *random
	history        history
	store          *standin.Server
	storeAddress   netip.AddrPort
	serviceAddress netip.AddrPort

	mu        sync.Mutex
	processes []*entryProcess
}

// handle implements the service: it records each call that it receives, and aborts some connections after that.
func (s *processSet) handle(w http.ResponseWriter, r *http.Request) {
	var call struct {
		CallID    string          `json:"call_id"`
		AttemptID fleet.AttemptID `json:"attempt_id"`
	}
	_ = json.NewDecoder(r.Body).Decode(&call)
	submission, _ := strconv.Atoi(string(call.AttemptID))
	in := callInput{key: call.CallID, submission: submission, service: true}
	s.history.end(s.history.begin(), in, callOutput{state: idempotency.StateDone})
	time.Sleep(s.random.duration(100 * time.Millisecond))
	if s.random.chance(0.1) {
		panic(http.ErrAbortHandler)
	}
	_ = json.NewEncoder(w).Encode(map[string]any{
		"call_id": call.CallID, "attempt_id": call.AttemptID, "result": answerOf(submission),
	})
}

// submit sends a request to a random entry process and records the result that the caller receives.
func (s *processSet) submit(key idempotency.Key, submission int) {
	i := s.random.intN(entries)
	s.mu.Lock()
	address := s.processes[i].address
	s.mu.Unlock()
	call := s.history.begin()
	out := callOutput{lost: true}
	body := submitBody{Key: key.Key, Submission: submission}
	response, err := jsonhttp.Post(context.Background(), jsonhttp.NewUnpooled(), jsonhttp.URL(address, "/", nil), body)
	var result resultBody
	if err == nil && json.Unmarshal(response.Body, &result) == nil {
		out = callOutput{
			state: result.State, earlierUnknown: result.EarlierUnknown, repeated: result.Repeated, answer: result.Answer,
		}
	}
	s.history.end(call, callInput{key: key.Key, submission: submission}, out)
}

// injectFailure freezes a random entry process, or kills and replaces it.
func (s *processSet) injectFailure() error {
	i := s.random.intN(entries)
	s.mu.Lock()
	p := s.processes[i]
	s.mu.Unlock()
	if s.random.chance(0.5) {
		p.freeze()
		return nil
	}
	next, err := startProcess(s.storeAddress, s.serviceAddress)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.processes[i] = next
	s.mu.Unlock()
	p.kill()
	return nil
}

// run submits all keys while processes fail. Each key has one submission concurrent with a sequence of others.
func (s *processSet) run(t *testing.T) {
	var callers, failures errgroup.Group
	callers.SetLimit(processCalls)
	failures.Go(func() error {
		for range processFailures {
			if err := s.injectFailure(); err != nil {
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
				s.submit(key, processSubmissions)
				return nil
			})
			for i := range processSubmissions {
				s.submit(key, i)
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

// TestAtMostOnceWithProcesses guards against a second run of a call, or a wrong result, when entry processes are killed
// (SIGKILL) or stopped (SIGSTOP) for longer than the deadline of their calls, while callers repeat calls through all of
// them and the store loses responses. It checks the history against the specification.
func TestAtMostOnceWithProcesses(t *testing.T) {
	s := &processSet{random: newRandom(1)}
	s.store = &standin.Server{Store: &standin.Store{}, Instances: &standin.Instances{}, Weights: &standin.Weights{}}
	s.store.Store.Faults.Set(standin.FaultSettings{LoseAnswers: 0.1})
	s.storeAddress = serveOn(t, s.store.Serve)
	s.serviceAddress = serveOn(t, func(ctx context.Context, listener net.Listener) error {
		server := &http.Server{Handler: http.HandlerFunc(s.handle), ReadHeaderTimeout: time.Minute}
		defer context.AfterFunc(ctx, func() { _ = server.Close() })()
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	for range entries {
		p, err := startProcess(s.storeAddress, s.serviceAddress)
		if err != nil {
			t.Fatal(err)
		}
		s.processes = append(s.processes, p)
	}
	defer func() {
		for _, p := range s.processes {
			p.kill()
		}
	}()
	s.run(t)
	operations := s.history.operations()
	var outcomes outcomeTally
	outcomes.add(operations)
	t.Logf("outcomes %v", outcomes.counts)
	if result := porcupine.CheckOperationsTimeout(atMostOnce, operations, checkTimeout); result != porcupine.Ok {
		t.Errorf("history is %s, want Ok", result)
	}
	if outcomes.counts["lost"] == 0 || outcomes.counts["done"] == 0 {
		t.Error("got no lost caller or no completed call, want both")
	}
}
