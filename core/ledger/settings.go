package ledger

import "time"

// Settings configures leases and the reclaim of stray memory.
type Settings struct {
	// Lease is how long a reservation stays active without progress.
	Lease time.Duration
	// StrayGrace is the minimum time between the first listing of stray memory and its reclaim.
	StrayGrace time.Duration
	// Confirmations is the number of consecutive listings that must show stray or held memory before it is reclaimed. Up
	// to MaxSkippedListings failed or skipped listings in a row between them are not counted.
	Confirmations int
	// MaxSkippedListings is the largest number of consecutive failed or suspicious listings that are skipped.
	MaxSkippedListings int
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		Lease:              8 * time.Second,
		StrayGrace:         2 * time.Second,
		Confirmations:      2,
		MaxSkippedListings: 2,
	}
}
