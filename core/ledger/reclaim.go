package ledger

import (
	"time"

	"wisteriadyke/core/fleet"
)

// strayID names memory that no reservation explains.
type strayID struct {
	attempt fleet.AttemptID
	handle  string
}

// Reclaim names what is to be ended at the endpoint.
type Reclaim struct {
	// Attempts are to be cancelled; each is confirmed with Confirm.
	Attempts []fleet.AttemptID
	// Handles are KV caches to be dropped.
	Handles []string
}

// Reconcile takes a listing that was asked for at begun, and returns what is to be reclaimed.
func (l *Ledger) Reconcile(now, begun time.Time, listing Listing) Reclaim {
	if listing.Incarnation < l.incarnation {
		l.RecordListingFailure()
		return Reclaim{}
	}
	l.SetIncarnation(now, listing.Incarnation)
	size := len(listing.Attempts) + len(listing.HeldKV)
	if size == 0 && l.listed > 0 && l.skipped < l.Settings.MaxSkippedListings {
		l.skipped++
		return Reclaim{}
	}
	l.listed = size
	l.skipped = 0
	l.good++
	return l.compare(now, begun, listing)
}

// RecordListingFailure tells that a listing failed; too many in a row break the count of consecutive listings.
func (l *Ledger) RecordListingFailure() {
	l.skipped++
	if l.skipped <= l.Settings.MaxSkippedListings {
		return
	}
	l.good = 0
	for _, stray := range l.strays {
		stray.Listings = 0
	}
	for _, row := range l.rows {
		row.confirmed = 0
	}
}

// SuspendReclaim forgets the count of good listings, since another owner may have granted meanwhile. Nothing is reclaimed
// until the other owner's grants have lapsed at until, so that their entries can show progress.
func (l *Ledger) SuspendReclaim(until time.Time) {
	l.good = 0
	l.doubtUntil = until
}

// ConsecutiveListings counts the consecutive good listings since the ledger began or listings failed too often.
func (l *Ledger) ConsecutiveListings() int {
	return l.good
}

// compare matches a listing with the reservations and returns what is to be reclaimed.
func (l *Ledger) compare(now, begun time.Time, listing Listing) Reclaim {
	var reclaim Reclaim
	seen := make(map[Key]bool, len(listing.Attempts))
	known := make(map[fleet.AttemptID]bool, len(listing.Attempts))
	strays := make(map[strayID]bool)
	for _, attempt := range listing.Attempts {
		if row := l.explain(now, attempt); row != nil {
			seen[row.Key] = true
			known[attempt.ID] = true
			l.confirmHeld(row, &reclaim)
			continue
		}
		if l.releasedSince(attempt.Key, begun) {
			continue
		}
		id := strayID{attempt: attempt.ID}
		strays[id] = true
		if l.see(now, id, attempt.Key, attempt.Memory) {
			reclaim.Attempts = append(reclaim.Attempts, attempt.ID)
		}
	}
	for _, kv := range listing.HeldKV {
		if known[kv.Attempt] || l.runs(kv.Attempt) {
			continue
		}
		id := strayID{handle: kv.Handle}
		strays[id] = true
		if l.see(now, id, Key{}, kv.Memory) {
			reclaim.Handles = append(reclaim.Handles, kv.Handle)
		}
	}
	l.forget(now, begun, seen, strays)
	return reclaim
}

// explain returns the reservation of a listed attempt, or nil.
func (l *Ledger) explain(now time.Time, attempt Attempt) *Reservation {
	if row := l.rows[attempt.Key]; row != nil {
		return row
	}
	claim, claimed := l.claims[attempt.Key]
	if !claimed {
		return nil
	}
	delete(l.claims, attempt.Key)
	return l.admit(now, attempt.ID, attempt.Memory, claim.progress)
}

// runs tells whether an attempt has a reservation.
func (l *Ledger) runs(attempt fleet.AttemptID) bool {
	for _, row := range l.rows {
		if row.Attempt == attempt {
			return attempt != ""
		}
	}
	return false
}

// confirmHeld asks to cancel a held attempt that enough listings have shown.
func (l *Ledger) confirmHeld(row *Reservation, reclaim *Reclaim) {
	if !row.Held {
		return
	}
	row.confirmed++
	if row.confirmed >= l.Settings.Confirmations {
		reclaim.Attempts = append(reclaim.Attempts, row.Attempt)
	}
}

// releasedSince tells whether a reservation was released after a listing was asked for.
func (l *Ledger) releasedSince(key Key, begun time.Time) bool {
	at, found := l.released[key]
	return found && !at.Before(begun)
}

// see counts a listing that shows unexplained memory and tells whether it is to be reclaimed.
func (l *Ledger) see(now time.Time, id strayID, key Key, memory fleet.Tokens) bool {
	stray := l.strays[id]
	if stray == nil || stray.Key != key {
		l.dropStray(id)
		l.putStray(&Stray{Attempt: id.attempt, Handle: id.handle, Key: key, Memory: memory, SeenAt: now, Listings: 1})
		return false
	}
	l.strayed += memory - stray.Memory
	stray.Memory = memory
	stray.Listings++
	if now.Before(l.doubtUntil) || now.Sub(stray.SeenAt) < l.Settings.StrayGrace {
		return false
	}
	return stray.Listings >= l.Settings.Confirmations
}

// forget frees what a listing shows to be gone.
func (l *Ledger) forget(now, begun time.Time, seen map[Key]bool, strays map[strayID]bool) {
	for key, row := range l.rows {
		if row.Held && !seen[key] && row.HeldAt.Before(begun) {
			l.remove(now, row)
		}
	}
	for id := range l.strays {
		if !strays[id] {
			l.dropStray(id)
		}
	}
	for key, claim := range l.claims {
		if now.Sub(claim.at) > releasedMemory {
			delete(l.claims, key)
		}
	}
}

// ConfirmFreed tells that the endpoint holds nothing more for an attempt.
func (l *Ledger) ConfirmFreed(now time.Time, attempt fleet.AttemptID) {
	l.dropStray(strayID{attempt: attempt})
	for _, row := range l.rows {
		if row.Attempt == attempt && row.Held {
			l.remove(now, row)
		}
	}
}

// SetIncarnation tells the life of the endpoint; a later one has lost all that was seen to run in the former.
func (l *Ledger) SetIncarnation(now time.Time, incarnation fleet.Incarnation) {
	if incarnation <= l.incarnation {
		return
	}
	first := l.incarnation == 0
	l.incarnation = incarnation
	if first {
		return
	}
	l.listed = 0
	for id := range l.strays {
		l.dropStray(id)
	}
	for _, row := range l.rows {
		if row.Incarnation != 0 {
			l.remove(now, row)
		}
	}
}

// adopt turns unexplained memory into a reservation, since its entry has shown progress; until a listing shows the
// memory, the claim is kept.
func (l *Ledger) adopt(now time.Time, p Progress) *Reservation {
	if at, done := l.released[p.Key]; done && now.Sub(at) < releasedMemory {
		return nil
	}
	for id, stray := range l.strays {
		if stray.Key == p.Key && id.attempt != "" {
			l.dropStray(id)
			return l.admit(now, id.attempt, stray.Memory, p)
		}
	}
	l.claims[p.Key] = claim{at: now, progress: p}
	return nil
}

// admit adds a reservation that a former owner has granted; its prompt may still be read.
func (l *Ledger) admit(now time.Time, attempt fleet.AttemptID, memory fleet.Tokens, p Progress) *Reservation {
	row := &Reservation{Key: p.Key, Attempt: attempt, Output: memory, Position: p.Position, Incarnation: l.incarnation}
	row.GrantedAt = now
	row.ExpiresAt = now.Add(l.Settings.Lease)
	if p.Started {
		row.StartedAt = now
	} else if l.PrefillBound != nil {
		row.ReadBy = now.Add(l.PrefillBound(memory))
	}
	l.insert(row)
	return row
}

// claim is progress of an attempt that no listing has shown yet.
type claim struct {
	// at is when it came.
	at time.Time
	// progress is what was told.
	progress Progress
}

// putStray counts unexplained memory as used.
func (l *Ledger) putStray(stray *Stray) {
	id := strayID{attempt: stray.Attempt, handle: stray.Handle}
	l.dropStray(id)
	l.strays[id] = stray
	l.strayed += stray.Memory
}

// dropStray frees unexplained memory, if it is known.
func (l *Ledger) dropStray(id strayID) {
	stray := l.strays[id]
	if stray == nil {
		return
	}
	delete(l.strays, id)
	l.strayed -= stray.Memory
}
