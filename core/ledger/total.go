package ledger

import "wisteriadyke/core/fleet"

// Total is the sums over the reservations of an endpoint.
type Total struct {
	// Reserved is the memory of the reservations in force.
	Reserved fleet.Tokens
	// Held is the memory of those whose lease has lapsed or whose stream broke.
	Held fleet.Tokens
	// Long is the memory of the long band, in force or held.
	Long fleet.Tokens
	// Running counts the reservations in force.
	Running int
	// Exclusive counts the reservations that allow nothing beside them, in force or held.
	Exclusive int
	// PrefillingLong counts the long prompts that are being read.
	PrefillingLong int
	// PendingQuick is the prompt tokens that quick requests still have to read at most.
	PendingQuick fleet.Tokens
	// PendingShort is the prompt tokens that quick and medium requests still have to read at most.
	PendingShort fleet.Tokens
	// PendingLong is the prompt tokens that long requests still have to read at most.
	PendingLong fleet.Tokens
	// PrefillingLongWeight is the sum of the weights of the accounts whose long prompts are being read.
	PrefillingLongWeight float64
}

// add counts a reservation in with sign 1 and out with sign -1.
func (t *Total) add(r *Reservation, sign int) {
	memory := r.Memory() * fleet.Tokens(sign)
	if r.Long {
		t.Long += memory
	}
	if r.Exclusive {
		t.Exclusive += sign
	}
	if r.Held {
		t.Held += memory
		return
	}
	t.Reserved += memory
	t.Running += sign
	if !r.Prefilling() {
		return
	}
	unread := r.Uncached * fleet.Tokens(sign)
	if r.Long {
		t.PrefillingLong += sign
		t.PrefillingLongWeight += r.Weight * float64(sign)
		t.PendingLong += unread
		return
	}
	t.PendingShort += unread
	if r.Quick {
		t.PendingQuick += unread
	}
}
