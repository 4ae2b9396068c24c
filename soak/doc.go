// Package soak runs entries as separate processes under random faults and checks the promises of the product by what
// callers and endpoints see. All of it is in test files:
//
//	go test ./soak                                                              the short run of CI
//	SOAK_FIRST_SEED=$RANDOM SOAK_SEEDS=50 go test ./soak -run TestSoak -timeout 60m    fifty fresh seeds
//	SOAK_FIRST_SEED=7 go test ./soak -run TestSoak -v                            one seed again
//
// SOAK_ENTRIES and SOAK_SECONDS change the size of a run, SOAK_LOGS names a folder for the logs of failed ones. Seeds that
// have ever failed stand in testdata/seeds.txt, each with a line on the cause, and are part of the short run.
package soak
