// Command standins holds the stand-ins of the review: the platform's store, workers and clients, and the scripted cases
// that run the project's gateways between them. It uses the standard library only.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases holds the scripted cases by name.
var cases = map[string]func(*run) error{}

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: standins worker FLAGS | case NAME FOLDER")
		os.Exit(exitNotRun)
	}
	switch os.Args[1] {
	case "worker":
		os.Exit(workerMain(os.Args[2:]))
	case "case":
		os.Exit(caseMain(os.Args[2:]))
	}
	fmt.Fprintln(os.Stderr, "unknown command")
	os.Exit(exitNotRun)
}
