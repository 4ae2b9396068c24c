package ledger

import "time"

// Settings bounds how long memory can stay reserved without use.
type Settings struct {
	// Lease is how long a reservation lasts without progress.
	Lease time.Duration
	// StrayGrace is how long unexplained memory is left alone after it was first seen.
	StrayGrace time.Duration
	// Confirmations is the number of consecutive listings that must show unexplained memory before it is reclaimed.
	Confirmations int
	// MaxSkippedListings bounds the consecutive rounds that a failed or suspicious listing skips.
	MaxSkippedListings int
}

// DefaultSettings returns the settings in use unless an owner has others.
func DefaultSettings() Settings {
	return Settings{
		Lease:              8 * time.Second,
		StrayGrace:         2 * time.Second,
		Confirmations:      2,
		MaxSkippedListings: 2,
	}
}
