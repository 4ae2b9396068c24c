// Package claimtest tests at-most-once calls with claims in the platform's tables: their histories under faults, their
// load on the store, and entry processes that are killed. It is a test program of its own.
package claimtest
