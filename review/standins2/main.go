// Command standins2 runs the cases 6 to 10 of the review: it starts entries and workers as separate processes on
// loopback addresses, plays the platform's store and the callers itself, and checks one rule.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"sort"
	"strings"
	"syscall"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases holds the cases by name.
var cases = map[string]func(*deployment) (broken bool, err error){
	"returning-crasher": runReturningCrasher,
	"blocked-route":     runBlockedRoute,
	"late-crasher":      runLateCrasher,
	"small-service":     runSmallService,
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "worker" {
		if err := runWorker(os.Args[2:]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(exitNotRun)
		}
		return
	}
	os.Exit(runCase(os.Args[1:]))
}

// runCase runs one case and returns its exit status.
func runCase(arguments []string) int {
	flags := flag.NewFlagSet("case", flag.ContinueOnError)
	root := flags.String("root", "", "root `folder` of the repository")
	recordPath := flags.String("record", "record.txt", "`file` to which the case writes what happened")
	if err := flags.Parse(arguments); err != nil {
		return exitNotRun
	}
	run, found := cases[flags.Arg(0)]
	if !found {
		var names []string
		for name := range cases {
			names = append(names, name)
		}
		sort.Strings(names)
		fmt.Fprintf(os.Stderr, "usage: standins2 --root FOLDER --record FILE CASE; cases: %s\n", strings.Join(names, ", "))
		return exitNotRun
	}
	record, err := newRecord(*recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.close()
	d, err := newDeployment(*root, record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer d.stop()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, os.Interrupt, syscall.SIGTERM)
	d.group.Go(func() {
		select {
		case received := <-stopped:
			record.add("result", "the case was ended by signal %v", received)
			d.stopProcesses()
			os.Exit(exitNotRun)
		case <-d.ended:
		}
	})
	broken, err := run(d)
	switch {
	case err != nil:
		record.add("result", "the case could not run: %v", err)
		return exitNotRun
	case broken:
		record.add("result", "the rule was broken")
		return exitBroken
	default:
		record.add("result", "the rule held")
		return exitHeld
	}
}
