// Package settings reads the settings files of entries.
package settings

import (
	"net/netip"
	"time"

	"wisteriadyke/core/fleet"
	"wisteriadyke/io/jsonfile"
)

// Entry contains the settings of one entry.
type Entry struct {
	// Entry is the ID of the entry.
	Entry fleet.EntryID `json:"entry" check:"required,name"`
	// Zone is the availability zone of the entry.
	Zone fleet.Zone `json:"zone" check:"required,name"`
	// CallerAddress is the listen address for callers.
	CallerAddress netip.AddrPort `json:"caller_address" check:"default=0.0.0.0:8100"`
	// PeerAddress is the listen address for other entries, which reach this entry under it.
	PeerAddress netip.AddrPort `json:"peer_address" check:"required"`
	// OperatorAddress is the listen address for operators.
	OperatorAddress netip.AddrPort `json:"operator_address" check:"default=127.0.0.1:8300"`
	// Platform is the address of the platform's table service and instance list.
	Platform netip.AddrPort `json:"platform" check:"required"`
	// Peers are the peer addresses of other entries, which this one contacts to join the membership.
	Peers []netip.AddrPort `json:"peers" check:"max=64"`
	// OperatorKeyDigest is the SHA-256 digest of the operators' key in hexadecimal; "" disables authentication.
	OperatorKeyDigest string `json:"operator_key_digest" check:"digest"`
	// BalancerDelay is the time until the balancer stops sending new requests to an entry that is not ready.
	BalancerDelay time.Duration `json:"balancer_delay" check:"default=2s,min=0s,max=5m"`
	// Memory is the memory of the process in MiB.
	Memory int `json:"memory_mib" check:"default=1024,min=128,max=1048576"`
	// MaxFDs is the maximum number of file descriptors of the process.
	MaxFDs int `json:"max_fds" check:"default=4096,min=256,max=1048576"`
	// LogLevel is the lowest level of messages to log.
	LogLevel string `json:"log_level" check:"default=info,oneof=debug|info|warn|error"`
	// Profiling enables the runtime's profiles at the operator address.
	Profiling bool `json:"profiling" check:"default=false"`
}

// ReadEntry reads and checks the settings file of an entry. The error is of type jsonfile.Faults and contains all
// faults.
func ReadEntry(path string) (Entry, error) {
	var entry Entry
	file := jsonfile.ReadFile(path, &entry)
	return entry, checkEntry(file, entry)
}

// EntryReference returns the fields of the settings file of an entry for the reference page.
func EntryReference() []jsonfile.Field {
	return jsonfile.Reference(Entry{})
}

// checkEntry returns the faults of the file, together with those that concern several fields or the use of an address:
// equal addresses, port 0, and a peer address that other entries cannot reach.
func checkEntry(file *jsonfile.File, entry Entry) error {
	addresses := []addressField{
		{"caller_address", entry.CallerAddress},
		{"peer_address", entry.PeerAddress},
		{"operator_address", entry.OperatorAddress},
	}
	for i, a := range addresses {
		checkPort(file, a)
		for _, earlier := range addresses[:i] {
			if a.value.IsValid() && a.value == earlier.value {
				file.Addf(a.name, "is %s, the same as %s", a.value, earlier.name)
			}
		}
	}
	checkPort(file, addressField{"platform", entry.Platform})
	if !entry.PeerAddress.IsValid() || !entry.PeerAddress.Addr().IsUnspecified() {
		return file.Faults().Err()
	}
	file.Addf("peer_address", "is %s; want an address that other entries can reach", entry.PeerAddress)
	return file.Faults().Err()
}

// addressField is the name and value of an address field.
type addressField struct {
	name  string
	value netip.AddrPort
}

// checkPort adds a fault if the address is set and has port 0.
func checkPort(file *jsonfile.File, a addressField) {
	if a.value.IsValid() && a.value.Port() == 0 {
		file.Addf(a.name, "is %s; want a port from 1 to 65535", a.value)
	}
}
