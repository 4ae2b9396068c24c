// Package e2e tests the system as separate processes on the loopback interface under kills, pauses, outages and
// shutdown.
package e2e
