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
			"code":     checkCode,
			"platform": setFaults,
			"entry":    setRevision,
		},
	})
}

// scriptWorld is what the commands of one script reach.
type scriptWorld struct {
	platform *platform.Server
	revision atomic.Uint64
}

// worldKey is the key of the scriptWorld in the values of a script.
type worldKey struct{}

// setUpScript starts the platform stand-in and an operator port for one script.
func setUpScript(env *testscript.Env) error {
	world := &scriptWorld{platform: &platform.Server{
		Store:     &platform.Store{},
		Instances: &platform.Instances{},
		Weights:   &platform.Weights{},
	}}
	for _, zone := range []fleet.Zone{"a", "b"} {
		world.platform.Instances.Put(platform.Instance{ID: "engine-" + string(zone), Kind: fleet.KindEngine, Zone: zone, State: fleet.StateLive})
	}
	handler, err := world.platform.Handler()
	if err != nil {
		return err
	}
	env.Values[worldKey{}] = world
	if err := serveScript(env, "PLATFORM", handler); err != nil {
		return err
	}
	return serveScript(env, "ENTRY", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"configuration_revision":` + strconv.FormatUint(world.revision.Load(), 10) + `}`))
	}))
}

// serveScript serves a handler until the script ends and tells its address in a variable.
func serveScript(env *testscript.Env, variable string, handler http.Handler) error {
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

// checkCode runs a command and checks its exit code: code 2 wisteriadyke check x.
func checkCode(ts *testscript.TestScript, negated bool, args []string) {
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

// setFaults switches the platform stand-in: platform up, platform down or platform lossy.
func setFaults(ts *testscript.TestScript, _ bool, args []string) {
	world, _ := ts.Value(worldKey{}).(*scriptWorld)
	faults := map[string]platform.FaultSettings{"up": {}, "down": {Outage: true}, "lossy": {LoseAnswers: 1}}
	settings, found := faults[args[0]]
	if !found {
		ts.Fatalf("usage: platform up|down|lossy")
	}
	world.platform.Store.Faults.Set(settings)
}

// setRevision sets the revision that the entry tells: entry 3.
func setRevision(ts *testscript.TestScript, _ bool, args []string) {
	world, _ := ts.Value(worldKey{}).(*scriptWorld)
	revision, err := strconv.ParseUint(args[0], 10, 64)
	ts.Check(err)
	world.revision.Store(revision)
}
