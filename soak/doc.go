// Package soak runs entries as separate processes under random faults and checks the guarantees of the product against
// what callers and endpoints observe. All code is in test files:
//
//	go test ./soak                                                                     the short run of CI
//	SOAK_FIRST_SEED=$RANDOM SOAK_SEEDS=50 go test ./soak -run TestSoak -timeout 60m    fifty new seeds
//	SOAK_FIRST_SEED=7 go test ./soak -run TestSoak -v                                  a single seed
//
// SOAK_ENTRIES sets the number of entries, SOAK_SECONDS the time during which faults are started, and SOAK_LOGS a
// folder for the logs of failed runs. Seeds that have ever failed are listed with their cause in testdata/seeds.txt and
// are part of the short run.
package soak
