// Package settings reads the settings files of processes.
package settings

import (
	"net/netip"
	"time"

	"wisteriadyke/core/fleet"
	"wisteriadyke/io/jsonfile"
)

// Entry holds the settings of one entry.
type Entry struct {
	// Entry names the entry.
	Entry fleet.EntryID `json:"entry" check:"required,name"`
	// Zone is its availability zone.
	Zone fleet.Zone `json:"zone" check:"required,name"`
	// CallerAddress is where it serves callers.
	CallerAddress netip.AddrPort `json:"caller_address" check:"default=0.0.0.0:8100"`
	// PeerAddress is where it answers other entries.
	PeerAddress netip.AddrPort `json:"peer_address" check:"required"`
	// OperatorAddress is where it serves operators.
	OperatorAddress netip.AddrPort `json:"operator_address" check:"default=127.0.0.1:8300"`
	// Platform is where the platform's store and instance list answer.
	Platform netip.AddrPort `json:"platform" check:"required"`
	// Peers are addresses of other entries to join by.
	Peers []netip.AddrPort `json:"peers" check:"max=64"`
	// OperatorKeyDigest is the SHA-256 digest of the operators' key in hexadecimal; "" leaves operators' calls open.
	OperatorKeyDigest string `json:"operator_key_digest" check:"digest"`
	// BalancerDelay is how long the balancer takes to send no new requests to an entry that is not ready.
	BalancerDelay time.Duration `json:"balancer_delay" check:"default=2s,min=0s,max=5m"`
	// LogLevel is the least level of messages that are logged.
	LogLevel string `json:"log_level" check:"default=info,oneof=debug|info|warn|error"`
	// Profiling serves the runtime's profiles at the operator address.
	Profiling bool `json:"profiling" check:"default=false"`
}

// ReadEntry reads the settings file of an entry; the error is of type jsonfile.Faults.
func ReadEntry(path string) (Entry, error) {
	var entry Entry
	file := jsonfile.ReadFile(path, &entry)
	return entry, check(file, entry)
}

// Reference returns the fields of the settings file of an entry.
func Reference() []jsonfile.Field {
	return jsonfile.Reference(Entry{})
}

// check adds the faults of the settings as a whole to those of the file.
func check(file *jsonfile.File, entry Entry) error {
	addresses := []address{
		{"caller_address", entry.CallerAddress},
		{"peer_address", entry.PeerAddress},
		{"operator_address", entry.OperatorAddress},
	}
	for i, a := range addresses {
		checkPort(file, a)
		for _, earlier := range addresses[:i] {
			if a.at.IsValid() && a.at == earlier.at {
				file.Addf(a.field, "is %s, the same as %s", a.at, earlier.field)
			}
		}
	}
	checkPort(file, address{"platform", entry.Platform})
	if !entry.PeerAddress.IsValid() || !entry.PeerAddress.Addr().IsUnspecified() {
		return file.Faults().Err()
	}
	file.Addf("peer_address", "is %s; other entries need one that they can reach", entry.PeerAddress)
	return file.Faults().Err()
}

// address is a field with the address that it holds.
type address struct {
	field string
	at    netip.AddrPort
}

// checkPort adds a fault when a given address has no port.
func checkPort(file *jsonfile.File, a address) {
	if a.at.IsValid() && a.at.Port() == 0 {
		file.Addf(a.field, "is %s; want a port from 1 to 65535", a.at)
	}
}
