package ledger

import (
	"time"

	"wisteriadyke/core/fleet"
)

// strayID identifies stray memory by its attempt or, for a KV cache held outside attempts, by its handle.
type strayID struct {
	attempt fleet.AttemptID
	handle  string
}

// Reclaim lists the attempts to cancel and the KV caches to drop at an endpoint.
type Reclaim struct {
	// Attempts lists the attempts to cancel; ConfirmFreed records each confirmed cancellation.
	Attempts []fleet.AttemptID
	// Handles identifies the KV caches to drop.
	Handles []string
}

// Reconcile compares a listing that was requested at requestedAt with the reservations, and returns what is to be
// reclaimed. A listing of an earlier incarnation counts as failed. An empty listing after a non-empty one is
// suspicious: it is skipped, unless Settings.MaxSkippedListings failed or skipped ones came right before it.
func (l *Ledger) Reconcile(now, requestedAt time.Time, listing Listing) Reclaim {
	if listing.Incarnation < l.incarnation {
		l.RecordListingFailure()
		return Reclaim{}
	}
	l.SetIncarnation(now, listing.Incarnation)
	size := len(listing.Attempts) + len(listing.HeldKV)
	if size == 0 && l.lastListingSize > 0 && l.skippedListings < l.Settings.MaxSkippedListings {
		l.skippedListings++
		return Reclaim{}
	}
	l.lastListingSize = size
	l.skippedListings = 0
	l.successfulListings++
	return l.matchListing(now, requestedAt, listing)
}

// RecordListingFailure records a failed listing. After more than Settings.MaxSkippedListings failed or skipped listings
// in a row, it resets the count of successful listings and the counts of consecutive listings kept for each stray and
// each reservation.
func (l *Ledger) RecordListingFailure() {
	l.skippedListings++
	if l.skippedListings <= l.Settings.MaxSkippedListings {
		return
	}
	l.successfulListings = 0
	for _, stray := range l.strays {
		stray.Listings = 0
	}
	for _, row := range l.reservations {
		row.heldListings = 0
	}
}

// SuspendReclaim resets the count of successful listings, because another owner may have granted reservations since the
// last listing. It also prevents the reclaim of stray memory before until, the time at which the leases of that owner
// have lapsed, so that entries can first report the progress of the attempts that use the memory.
func (l *Ledger) SuspendReclaim(until time.Time) {
	l.successfulListings = 0
	l.reclaimSuspendedUntil = until
}

// SuccessfulListings returns the number of successful listings since the count was last reset. Up to
// Settings.MaxSkippedListings failed or skipped listings in a row between them do not reset it.
func (l *Ledger) SuccessfulListings() int {
	return l.successfulListings
}

// matchListing matches a listing with the reservations, frees what it no longer shows and returns what is to be
// reclaimed.
func (l *Ledger) matchListing(now, requestedAt time.Time, listing Listing) Reclaim {
	var reclaim Reclaim
	seen := make(map[Key]bool, len(listing.Attempts))
	known := make(map[fleet.AttemptID]bool, len(listing.Attempts))
	strays := make(map[strayID]bool)
	for _, attempt := range listing.Attempts {
		if row := l.matchAttempt(now, attempt); row != nil {
			seen[row.Key] = true
			known[attempt.ID] = true
			l.reclaimHeld(row, &reclaim)
			continue
		}
		if l.releasedSince(attempt.Key, requestedAt) {
			continue
		}
		id := strayID{attempt: attempt.ID}
		strays[id] = true
		if l.countStray(now, id, attempt.Key, attempt.Memory) {
			reclaim.Attempts = append(reclaim.Attempts, attempt.ID)
		}
	}
	for _, kv := range listing.HeldKV {
		if known[kv.Attempt] || l.hasReservation(kv.Attempt) {
			continue
		}
		id := strayID{handle: kv.Handle}
		strays[id] = true
		if l.countStray(now, id, Key{}, kv.Memory) {
			reclaim.Handles = append(reclaim.Handles, kv.Handle)
		}
	}
	l.freeMissing(now, requestedAt, seen, strays)
	return reclaim
}

// matchAttempt returns the reservation of a listed attempt, or nil. An attempt without one is adopted if it has
// reported progress.
func (l *Ledger) matchAttempt(now time.Time, attempt Attempt) *Reservation {
	if row := l.reservations[attempt.Key]; row != nil {
		return row
	}
	early, found := l.earlyReports[attempt.Key]
	if !found {
		return nil
	}
	delete(l.earlyReports, attempt.Key)
	return l.addAdopted(now, attempt.ID, attempt.Memory, early.progress)
}

// hasReservation reports whether an attempt has a reservation; the attempt "" has none.
func (l *Ledger) hasReservation(attempt fleet.AttemptID) bool {
	for _, row := range l.reservations {
		if row.Attempt == attempt {
			return attempt != ""
		}
	}
	return false
}

// reclaimHeld adds a held attempt to reclaim once Settings.Confirmations consecutive listings have shown it.
func (l *Ledger) reclaimHeld(row *Reservation, reclaim *Reclaim) {
	if !row.Held {
		return
	}
	row.heldListings++
	if row.heldListings >= l.Settings.Confirmations {
		reclaim.Attempts = append(reclaim.Attempts, row.Attempt)
	}
}

// releasedSince reports whether a reservation was released at or after requestedAt.
func (l *Ledger) releasedSince(key Key, requestedAt time.Time) bool {
	releasedAt, found := l.released[key]
	return found && !releasedAt.Before(requestedAt)
}

// countStray records that a listing shows stray memory and reports whether it is to be reclaimed. Memory known under
// another key is counted anew.
func (l *Ledger) countStray(now time.Time, id strayID, key Key, memory fleet.Tokens) bool {
	stray := l.strays[id]
	if stray == nil || stray.Key != key {
		l.dropStray(id)
		l.putStray(&Stray{Attempt: id.attempt, Handle: id.handle, Key: key, Memory: memory, SeenAt: now, Listings: 1})
		return false
	}
	l.strayMemory += memory - stray.Memory
	stray.Memory = memory
	stray.Listings++
	if now.Before(l.reclaimSuspendedUntil) || now.Sub(stray.SeenAt) < l.Settings.StrayGrace {
		return false
	}
	return stray.Listings >= l.Settings.Confirmations
}

// freeMissing frees stray memory that a listing doesn't show, and held memory that it doesn't show and that was marked
// as held before the listing was requested. It also drops early reports older than releasedRetention.
func (l *Ledger) freeMissing(now, requestedAt time.Time, seen map[Key]bool, strays map[strayID]bool) {
	for key, row := range l.reservations {
		if row.Held && !seen[key] && row.HeldAt.Before(requestedAt) {
			l.remove(now, row)
		}
	}
	for id := range l.strays {
		if !strays[id] {
			l.dropStray(id)
		}
	}
	for key, early := range l.earlyReports {
		if now.Sub(early.receivedAt) > releasedRetention {
			delete(l.earlyReports, key)
		}
	}
}

// ConfirmFreed records that the endpoint holds no more memory for an attempt, and frees its stray memory and its held
// reservation. An active reservation stays.
func (l *Ledger) ConfirmFreed(now time.Time, attempt fleet.AttemptID) {
	l.dropStray(strayID{attempt: attempt})
	for _, row := range l.reservations {
		if row.Attempt == attempt && row.Held {
			l.remove(now, row)
		}
	}
}

// SetIncarnation records the incarnation of the endpoint, unless the same or a later one is known. If it replaces an
// earlier one, all stray memory and all answered reservations are removed, because the endpoint has lost them.
// Unanswered reservations stay: their attempts may run in the new incarnation.
func (l *Ledger) SetIncarnation(now time.Time, incarnation fleet.Incarnation) {
	if incarnation <= l.incarnation {
		return
	}
	first := l.incarnation == 0
	l.incarnation = incarnation
	if first {
		return
	}
	l.lastListingSize = 0
	for id := range l.strays {
		l.dropStray(id)
	}
	for _, row := range l.reservations {
		if row.Incarnation != 0 {
			l.remove(now, row)
		}
	}
}

// adoptStray turns the stray memory of an attempt that has reported progress into a reservation. If no listing has
// shown the memory yet, the report is saved until one does. Reports for a recently released key are ignored.
func (l *Ledger) adoptStray(now time.Time, p Progress) *Reservation {
	if releasedAt, found := l.released[p.Key]; found && now.Sub(releasedAt) < releasedRetention {
		return nil
	}
	for id, stray := range l.strays {
		if stray.Key == p.Key && id.attempt != "" {
			l.dropStray(id)
			return l.addAdopted(now, id.attempt, stray.Memory, p)
		}
	}
	l.earlyReports[p.Key] = earlyReport{receivedAt: now, progress: p}
	return nil
}

// addAdopted adds a reservation granted by a former owner; its prompt may still be in prefill. All of its memory is
// recorded as Output.
func (l *Ledger) addAdopted(now time.Time, attempt fleet.AttemptID, memory fleet.Tokens, p Progress) *Reservation {
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

// earlyReport is a progress report of an attempt that no listing has shown yet.
type earlyReport struct {
	// receivedAt is when the report was received.
	receivedAt time.Time
	// progress is the reported progress.
	progress Progress
}

// putStray adds stray memory, replacing any known under the same id.
func (l *Ledger) putStray(stray *Stray) {
	id := strayID{attempt: stray.Attempt, handle: stray.Handle}
	l.dropStray(id)
	l.strays[id] = stray
	l.strayMemory += stray.Memory
}

// dropStray removes stray memory, if it is known.
func (l *Ledger) dropStray(id strayID) {
	stray := l.strays[id]
	if stray == nil {
		return
	}
	delete(l.strays, id)
	l.strayMemory -= stray.Memory
}
