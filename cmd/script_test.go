package cmd

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"sync/atomic"
	"testing"

	"github.com/pkg/errors"
	"github.com/rogpeppe/go-internal/testscript"
	"golang.org/x/sync/errgroup"

	"wisteriadyke/core/fleet"
	"wisteriadyke/standin/platform"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"wisteriadyke": func() { os.Exit(Main(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   "testdata/script",
		Setup: setUpScript,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"code":     checkExitCode,
			"platform": setFaults,
			"entry":    setRevision,
		},
	})
}

// scriptState holds the platform stand-in of one script and the revision that its operator server reports.
type scriptState struct {
	platform *platform.Server
	// revision is the configuration revision that the operator server reports.
	revision atomic.Uint64
}

// scriptStateKey is the key of the scriptState in the values of a script environment.
type scriptStateKey struct{}

// setUpScript starts the platform stand-in and an entry's operator server, which only reports a revision, for one
// script.
func setUpScript(env *testscript.Env) error {
	state := &scriptState{platform: &platform.Server{
		Store:     &platform.Store{},
		Instances: &platform.Instances{},
		Weights:   &platform.Weights{},
	}}
	for _, zone := range []fleet.Zone{"a", "b"} {
		state.platform.Instances.Put(platform.Instance{ID: "engine-" + string(zone), Kind: fleet.KindEngine, Zone: zone, State: fleet.StateLive})
	}
	handler, err := state.platform.Handler()
	if err != nil {
		return err
	}
	env.Values[scriptStateKey{}] = state
	if err := serveUntilScriptEnds(env, "PLATFORM", handler); err != nil {
		return err
	}
	return serveUntilScriptEnds(env, "ENTRY", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"configuration_revision":` + strconv.FormatUint(state.revision.Load(), 10) + `}`))
	}))
}

// serveUntilScriptEnds serves a handler until the script ends and sets an environment variable to its address.
func serveUntilScriptEnds(env *testscript.Env, variable string, handler http.Handler) error {
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	env.Setenv(variable, netip.MustParseAddrPort(listener.Addr().String()).String())
	server := &http.Server{Handler: handler} //nolint:gosec // It serves this test only.
	var group errgroup.Group
	group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	env.Defer(func() {
		_ = server.Close()
		_ = group.Wait()
	})
	return nil
}

// checkExitCode implements the script command "code CODE COMMAND...", which runs a command and checks its exit code.
func checkExitCode(ts *testscript.TestScript, negated bool, args []string) {
	if negated || len(args) < 2 {
		ts.Fatalf("usage: code CODE COMMAND...")
	}
	err := ts.Exec(args[1], args[2:]...)
	got := 0
	var exit interface{ ExitCode() int }
	if errors.As(err, &exit) {
		got = exit.ExitCode()
	}
	if strconv.Itoa(got) != args[0] {
		ts.Fatalf("exit code %d (%v), want %s", got, err, args[0])
	}
}

// setFaults implements the script command "platform up|down|lossy", which sets the faults of the platform stand-in.
func setFaults(ts *testscript.TestScript, _ bool, args []string) {
	state, _ := ts.Value(scriptStateKey{}).(*scriptState)
	faults := map[string]platform.FaultSettings{"up": {}, "down": {Outage: true}, "lossy": {LoseAnswers: 1}}
	settings, found := faults[args[0]]
	if !found {
		ts.Fatalf("usage: platform up|down|lossy")
	}
	state.platform.Store.Faults.Set(settings)
}

// setRevision implements the script command "entry REVISION", which sets the revision that the operator server reports.
func setRevision(ts *testscript.TestScript, _ bool, args []string) {
	state, _ := ts.Value(scriptStateKey{}).(*scriptState)
	revision, err := strconv.ParseUint(args[0], 10, 64)
	ts.Check(err)
	state.revision.Store(revision)
}
