// Package claimtest tests at-most-once calls with claims in the platform's tables: their histories under faults, their
// load on the store, and entry processes that are killed. All code is in test files, which form a test program of their
// own. The test binary also runs as the entry processes; see TestEntryProcess.
package claimtest
