package ledger

import "wisteriadyke/core/fleet"

// Total holds the totals over the reservations of an endpoint.
type Total struct {
	// Reserved is the memory of the active reservations.
	Reserved fleet.Tokens
	// Held is the memory of the held reservations; Ledger.HeldAndStray also includes the stray memory.
	Held fleet.Tokens
	// LongMemory is the memory of the reservations in the long band, active or held.
	LongMemory fleet.Tokens
	// Running counts the active reservations.
	Running int
	// Exclusive counts the exclusive reservations, active or held.
	Exclusive int
	// PrefillingLong counts the long prompts in prefill.
	PrefillingLong int
	// PendingQuick is an upper bound of the prompt tokens of quick requests still to be prefilled.
	PendingQuick fleet.Tokens
	// PendingShort is an upper bound of the prompt tokens of quick and medium requests still to be prefilled.
	PendingShort fleet.Tokens
	// PendingLong is an upper bound of the prompt tokens of long requests still to be prefilled.
	PendingLong fleet.Tokens
	// PrefillingLongWeight is the sum of the account weights over the long prompts in prefill.
	PrefillingLongWeight float64
}

// add adds a reservation if sign is 1 and subtracts it if sign is -1.
func (t *Total) add(r *Reservation, sign int) {
	memory := r.Memory() * fleet.Tokens(sign)
	if r.Long {
		t.LongMemory += memory
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
	pending := r.Uncached * fleet.Tokens(sign)
	if r.Long {
		t.PrefillingLong += sign
		t.PrefillingLongWeight += r.Weight * float64(sign)
		t.PendingLong += pending
		return
	}
	t.PendingShort += pending
	if r.Quick {
		t.PendingQuick += pending
	}
}
