// Package claimtest holds the histories of at-most-once calls over the platform's tables, in a test
// program of their own.
package claimtest
