// Package settings reads the settings files of processes.
package settings

import (
	"net/netip"

	"wisteriadyke/core/fleet"
	"wisteriadyke/io/jsonfile"
)

// Entry holds the settings of one entry.
type Entry struct {
	// Entry names the entry.
	Entry fleet.EntryID `json:"entry"`
	// Zone is its availability zone.
	Zone fleet.Zone `json:"zone"`
	// CallerAddress is where it serves callers.
	CallerAddress netip.AddrPort `json:"caller_address"`
	// PeerAddress is where it answers other entries.
	PeerAddress netip.AddrPort `json:"peer_address"`
	// OperatorAddress is where it serves operators.
	OperatorAddress netip.AddrPort `json:"operator_address"`
	// Platform is where the platform's store and instance list answer.
	Platform netip.AddrPort `json:"platform"`
	// Peers are addresses of other entries to join by.
	Peers []netip.AddrPort `json:"peers"`
}

// ReadEntry reads the settings file of an entry.
func ReadEntry(path string) (Entry, error) {
	var entry Entry
	err := jsonfile.Read(path, &entry)
	return entry, err
}
