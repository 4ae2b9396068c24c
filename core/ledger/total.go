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
	// ReadingLong counts the long prompts that are being read.
	ReadingLong int
	// UnreadQuick is the prompt tokens that quick requests still have to read at most.
	UnreadQuick fleet.Tokens
	// UnreadShort is the prompt tokens that quick and medium requests still have to read at most.
	UnreadShort fleet.Tokens
	// UnreadLong is the prompt tokens that long requests still have to read at most.
	UnreadLong fleet.Tokens
	// ReadingLongWeight is the sum of the weights of the accounts whose long prompts are being read.
	ReadingLongWeight float64
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
	if !r.Reading() {
		return
	}
	unread := r.Uncached * fleet.Tokens(sign)
	if r.Long {
		t.ReadingLong += sign
		t.ReadingLongWeight += r.Weight * float64(sign)
		t.UnreadLong += unread
		return
	}
	t.UnreadShort += unread
	if r.Quick {
		t.UnreadQuick += unread
	}
}
