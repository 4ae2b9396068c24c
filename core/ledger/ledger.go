package ledger

import (
	"container/heap"
	"time"

	"wisteriadyke/core/fleet"
)

// releasedRetention is how long released keys are remembered, so that a listing requested before the release can be
// interpreted.
const releasedRetention = 10 * time.Second

// Ledger accounts for the memory of one endpoint. It is not safe for concurrent use.
type Ledger struct {
	// Settings configures leases and the reclaim of stray memory.
	Settings Settings
	// PrefillBound returns, for the memory of an adopted attempt, how long its prefill may take without a token; nil
	// means that its lease can't be extended without a token.
	PrefillBound func(memory fleet.Tokens) time.Duration

	incarnation           fleet.Incarnation
	reservations          map[Key]*Reservation
	expiries              expiryHeap
	strays                map[strayID]*Stray
	released              map[Key]time.Time
	releaseOrder          []Key
	earlyReports          map[Key]earlyReport
	total                 Total
	strayMemory           fleet.Tokens
	lastListingSize       int
	skippedListings       int
	goodListings          int
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

// Used returns the reserved, held and stray memory.
func (l *Ledger) Used() fleet.Tokens {
	return l.total.Reserved + l.total.Held + l.strayMemory
}

// Held returns the held and stray memory.
func (l *Ledger) Held() fleet.Tokens {
	return l.total.Held + l.strayMemory
}

// Attempts returns the number of attempts that the endpoint may be running.
func (l *Ledger) Attempts() int {
	return len(l.reservations) + len(l.strays)
}

// Total returns the totals over all reservations.
func (l *Ledger) Total() Total {
	return l.total
}

// HasAnswered reports whether any active attempt has been answered by the current incarnation of the endpoint. Had the
// endpoint died since, that attempt would have broken.
func (l *Ledger) HasAnswered() bool {
	for _, r := range l.reservations {
		if !r.Held && r.Incarnation != 0 && r.Incarnation == l.incarnation {
			return true
		}
	}
	return false
}

// Unanswered returns the number of active attempts that were granted after since and have not been answered, and when
// the first of them was granted.
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

// Get returns a reservation, or nil.
func (l *Ledger) Get(key Key) *Reservation {
	return l.reservations[key]
}

// Incarnation returns the latest known incarnation of the endpoint, or 0.
func (l *Ledger) Incarnation() fleet.Incarnation {
	return l.incarnation
}

// Grant adds a reservation and starts its lease.
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

// Renew records progress and returns the reservation, or nil if there is none of that generation. The lease is extended
// only by a new token, or during a prefill within its time limit.
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

// start records the first token.
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

// Release ends a reservation and returns it, or nil if there is none of that generation. Unless ended is true, which
// means that the endpoint holds no more memory for it, its memory stays held until a listing or a cancellation confirms
// that.
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
	l.rememberRelease(now, row.Key)
	l.total.add(row, -1)
	if !row.Held {
		heap.Remove(&l.expiries, row.heapIndex)
	}
}

// rememberRelease remembers a released key for releasedRetention.
func (l *Ledger) rememberRelease(now time.Time, key Key) {
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

// NextExpiry returns when the next lease lapses, or zero.
func (l *Ledger) NextExpiry() time.Time {
	if len(l.expiries) == 0 {
		return time.Time{}
	}
	return l.expiries[0].ExpiresAt
}

// Each calls visit for each reservation, in no particular order; visit must not change it.
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

// Restore adds the state of the former owner.
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
