// Package e2e tests the system as separate processes on the loopback interface: kills, pauses, outages and shutdown.
package e2e
