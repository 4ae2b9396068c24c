package ledger

import (
	"container/heap"
	"time"

	"wisteriadyke/core/fleet"
)

// releasedRetention is how long released keys and early progress reports are kept. Released keys show that an attempt
// in a listing requested before its release is not stray.
const releasedRetention = 10 * time.Second

// Ledger accounts for the memory of one endpoint. It is not safe for concurrent use.
type Ledger struct {
	// Settings configures leases and the reclaim of stray memory.
	Settings Settings
	// PrefillBound returns how long an adopted attempt with the given memory may be in prefill; until then its lease can
	// be extended before the first token of its answer. If it is nil, only tokens of the answer extend the lease.
	PrefillBound func(memory fleet.Tokens) time.Duration

	incarnation  fleet.Incarnation
	reservations map[Key]*Reservation
	expiries     expiryHeap
	strays       map[strayID]*Stray
	// released holds when recently released keys were released; releaseOrder lists the keys, the oldest release first.
	released     map[Key]time.Time
	releaseOrder []Key
	// earlyReports holds the progress reports of attempts that have no reservation and that no listing has shown yet.
	earlyReports map[Key]earlyReport
	total        Total
	strayMemory  fleet.Tokens
	// lastListingSize is the number of attempts and KV caches in the last listing that was not skipped.
	lastListingSize int
	// skippedListings counts the listings that failed or were skipped since the last one that was not.
	skippedListings int
	// successfulListings counts the successful listings since it was last reset.
	successfulListings    int
	reclaimSuspendedUntil time.Time
}

// New returns an empty ledger.
func New(settings Settings) *Ledger {
	return &Ledger{
		Settings:     settings,
		reservations: make(map[Key]*Reservation),
		strays:       make(map[strayID]*Stray),
		released:     make(map[Key]time.Time),
		earlyReports: make(map[Key]earlyReport),
	}
}

// Used returns the reserved, held and stray memory, in tokens.
func (l *Ledger) Used() fleet.Tokens {
	return l.total.Reserved + l.total.Held + l.strayMemory
}

// HeldAndStray returns the held and stray memory, in tokens; Total.Held excludes the stray memory.
func (l *Ledger) HeldAndStray() fleet.Tokens {
	return l.total.Held + l.strayMemory
}

// Attempts returns the number of attempts that the endpoint may be running, plus that of the stray KV caches.
func (l *Ledger) Attempts() int {
	return len(l.reservations) + len(l.strays)
}

// Total returns the totals over all reservations.
func (l *Ledger) Total() Total {
	return l.total
}

// HasAnswered reports whether the current incarnation of the endpoint has answered any attempt that is still active.
// Such an attempt shows that the endpoint has not restarted since, because a restart would have broken it.
func (l *Ledger) HasAnswered() bool {
	for _, r := range l.reservations {
		if !r.Held && r.Incarnation != 0 && r.Incarnation == l.incarnation {
			return true
		}
	}
	return false
}

// Unanswered returns the number of active attempts that were granted after the time since and have not been answered,
// and when the first of them was granted, or the zero time if there are none.
func (l *Ledger) Unanswered(since time.Time) (count int, oldest time.Time) {
	for _, r := range l.reservations {
		if r.Held || r.Incarnation != 0 || !r.GrantedAt.After(since) {
			continue
		}
		count++
		if oldest.IsZero() || r.GrantedAt.Before(oldest) {
			oldest = r.GrantedAt
		}
	}
	return count, oldest
}

// Get returns the reservation with the given key, or nil.
func (l *Ledger) Get(key Key) *Reservation {
	return l.reservations[key]
}

// Incarnation returns the latest known incarnation of the endpoint, or 0.
func (l *Ledger) Incarnation() fleet.Incarnation {
	return l.incarnation
}

// Grant adds a reservation, starts its lease and returns the stored reservation.
func (l *Ledger) Grant(now time.Time, r Reservation) *Reservation {
	row := &r
	row.GrantedAt = now
	row.ExpiresAt = now.Add(l.Settings.Lease)
	l.insert(row)
	return row
}

// insert adds an active or held reservation.
func (l *Ledger) insert(row *Reservation) {
	l.reservations[row.Key] = row
	l.total.add(row, 1)
	row.heapIndex = -1
	if !row.Held {
		heap.Push(&l.expiries, row)
	}
}

// Renew records progress and returns the reservation, or nil if there is none of that generation. Stray memory of the
// attempt becomes a reservation first. The lease is extended only by a new token or, unless the reservation is held,
// during a prefill within its time limit.
func (l *Ledger) Renew(now time.Time, p Progress) *Reservation {
	row := l.reservations[p.Key]
	if row == nil {
		row = l.adoptStray(now, p)
	}
	if row == nil {
		return nil
	}
	if p.Incarnation != 0 {
		row.Incarnation = p.Incarnation
	}
	advanced := p.Position > row.Position || p.Started && row.StartedAt.IsZero()
	row.Position = max(row.Position, p.Position)
	if p.Started && row.StartedAt.IsZero() {
		l.recordFirstToken(now, row)
	}
	prefilling := row.StartedAt.IsZero() && now.Before(row.ReadBy)
	if advanced || prefilling && !row.Held {
		l.renewLease(now, row)
	}
	return row
}

// recordFirstToken records the arrival of the first token, after which the prompt is no longer counted as pending.
func (l *Ledger) recordFirstToken(now time.Time, row *Reservation) {
	l.total.add(row, -1)
	row.StartedAt = now
	l.total.add(row, 1)
}

// renewLease extends the lease; a held reservation becomes active again.
func (l *Ledger) renewLease(now time.Time, row *Reservation) {
	row.ExpiresAt = now.Add(l.Settings.Lease)
	if !row.Held {
		heap.Fix(&l.expiries, row.heapIndex)
		return
	}
	l.total.add(row, -1)
	row.Held = false
	row.heldListings = 0
	l.total.add(row, 1)
	heap.Push(&l.expiries, row)
}

// Release ends a reservation and returns it, or nil if there is none of that generation. If ended is true, the endpoint
// holds no more memory for it, and its memory is freed. Otherwise the memory stays held until a listing or a
// cancellation confirms the end; it is freed at once if an earlier incarnation of the endpoint answered the attempt.
func (l *Ledger) Release(now time.Time, key Key, ended bool) *Reservation {
	row := l.reservations[key]
	if row == nil {
		delete(l.earlyReports, key)
		return nil
	}
	dead := row.Incarnation != 0 && row.Incarnation < l.incarnation
	if ended || dead {
		l.remove(now, row)
		return row
	}
	l.hold(now, row)
	return row
}

// hold marks a reservation as held without freeing its memory.
func (l *Ledger) hold(now time.Time, row *Reservation) {
	if row.Held {
		return
	}
	heap.Remove(&l.expiries, row.heapIndex)
	l.total.add(row, -1)
	row.Held = true
	row.HeldAt = now
	l.total.add(row, 1)
}

// remove removes a reservation and frees its memory.
func (l *Ledger) remove(now time.Time, row *Reservation) {
	delete(l.reservations, row.Key)
	l.recordRelease(now, row.Key)
	l.total.add(row, -1)
	if !row.Held {
		heap.Remove(&l.expiries, row.heapIndex)
	}
}

// recordRelease records when a key was released, and drops records older than releasedRetention.
func (l *Ledger) recordRelease(now time.Time, key Key) {
	for len(l.releaseOrder) > 0 && now.Sub(l.released[l.releaseOrder[0]]) > releasedRetention {
		delete(l.released, l.releaseOrder[0])
		l.releaseOrder = l.releaseOrder[1:]
	}
	if _, found := l.released[key]; !found {
		l.releaseOrder = append(l.releaseOrder, key)
	}
	l.released[key] = now
}

// Expire marks the reservations whose leases have lapsed as held and returns their number.
func (l *Ledger) Expire(now time.Time) int {
	count := 0
	for len(l.expiries) > 0 && !l.expiries[0].ExpiresAt.After(now) {
		l.hold(now, l.expiries[0])
		count++
	}
	return count
}

// NextExpiry returns when the next lease lapses, or the zero time if no reservation is active.
func (l *Ledger) NextExpiry() time.Time {
	if len(l.expiries) == 0 {
		return time.Time{}
	}
	return l.expiries[0].ExpiresAt
}

// Each calls visit for each reservation, in no particular order; visit must not change the reservation.
func (l *Ledger) Each(visit func(r *Reservation)) {
	for _, row := range l.reservations {
		visit(row)
	}
}

// Reservations returns copies of all reservations.
func (l *Ledger) Reservations() []Reservation {
	reservations := make([]Reservation, 0, len(l.reservations))
	for _, row := range l.reservations {
		reservations = append(reservations, *row)
	}
	return reservations
}

// Strays returns copies of all stray memory records.
func (l *Ledger) Strays() []Stray {
	strays := make([]Stray, 0, len(l.strays))
	for _, stray := range l.strays {
		strays = append(strays, *stray)
	}
	return strays
}

// Restore adds the reservations and the stray memory that the former owner knew, and records the given incarnation
// unless a later one is known. It keeps reservations that are already known and replaces stray memory known under the
// same id.
func (l *Ledger) Restore(incarnation fleet.Incarnation, reservations []Reservation, strays []Stray) {
	l.incarnation = max(l.incarnation, incarnation)
	for _, r := range reservations {
		row := r
		if l.reservations[row.Key] == nil {
			l.insert(&row)
		}
	}
	for _, s := range strays {
		stray := s
		l.putStray(&stray)
	}
}

// Progress is a progress report of a running attempt.
type Progress struct {
	// Key identifies the reservation.
	Key Key
	// Started reports whether the first token has been received.
	Started bool
	// Position is the number of tokens generated so far.
	Position fleet.Tokens
	// Incarnation is the incarnation of the endpoint that answers, or 0.
	Incarnation fleet.Incarnation
}
