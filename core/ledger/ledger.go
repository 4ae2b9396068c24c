package ledger

import (
	"container/heap"
	"time"

	"wisteriadyke/core/fleet"
)

// releasedMemory is how long a released key is remembered, so that a listing begun before the release is understood.
const releasedMemory = 10 * time.Second

// Ledger is the account of one endpoint's memory; it is for one goroutine at a time.
type Ledger struct {
	// Settings bounds how long memory can stay reserved without use.
	Settings Settings
	// PrefillBound returns how long the reading of a prompt that a former owner has granted may go on, by its memory.
	PrefillBound func(memory fleet.Tokens) time.Duration

	incarnation fleet.Incarnation
	rows        map[Key]*Reservation
	expiries    expiryHeap
	strays      map[strayID]*Stray
	released    map[Key]time.Time
	order       []Key
	claims      map[Key]claim
	total       Total
	strayed     fleet.Tokens
	listed      int
	skipped     int
	good        int
	doubtUntil  time.Time
}

// New returns an empty ledger.
func New(settings Settings) *Ledger {
	return &Ledger{
		Settings: settings,
		rows:     make(map[Key]*Reservation),
		strays:   make(map[strayID]*Stray),
		released: make(map[Key]time.Time),
		claims:   make(map[Key]claim),
	}
}

// Used returns the memory that is reserved, held or unexplained.
func (l *Ledger) Used() fleet.Tokens {
	return l.total.Reserved + l.total.Held + l.strayed
}

// Held returns the memory whose lease has lapsed or that no reservation explains.
func (l *Ledger) Held() fleet.Tokens {
	return l.total.Held + l.strayed
}

// Attempts counts the attempts that the endpoint may be running.
func (l *Ledger) Attempts() int {
	return len(l.rows) + len(l.strays)
}

// Total returns the sums over all reservations.
func (l *Ledger) Total() Total {
	return l.total
}

// HasAnswered tells whether any attempt in force was answered by the present life of the endpoint; a death would break it.
func (l *Ledger) HasAnswered() bool {
	for _, r := range l.rows {
		if !r.Held && r.Incarnation != 0 && r.Incarnation == l.incarnation {
			return true
		}
	}
	return false
}

// Unanswered returns how many attempts in force were granted after since and have not been answered, and when
// the first of them was granted.
func (l *Ledger) Unanswered(since time.Time) (count int, oldest time.Time) {
	for _, r := range l.rows {
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
	return l.rows[key]
}

// Incarnation returns the latest known life of the endpoint, or 0.
func (l *Ledger) Incarnation() fleet.Incarnation {
	return l.incarnation
}

// Grant adds a reservation and begins its lease.
func (l *Ledger) Grant(now time.Time, r Reservation) *Reservation {
	row := &r
	row.GrantedAt = now
	row.ExpiresAt = now.Add(l.Settings.Lease)
	l.insert(row)
	return row
}

// insert adds a reservation in force or held.
func (l *Ledger) insert(row *Reservation) {
	l.rows[row.Key] = row
	l.total.add(row, 1)
	row.index = -1
	if !row.Held {
		heap.Push(&l.expiries, row)
	}
}

// Renew records progress and returns the reservation, or nil if there is none of that generation. Only a token, or
// the reading of a prompt within its bound, extends the lease.
func (l *Ledger) Renew(now time.Time, p Progress) *Reservation {
	row := l.rows[p.Key]
	if row == nil {
		row = l.adopt(now, p)
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
		l.start(now, row)
	}
	reading := row.StartedAt.IsZero() && now.Before(row.ReadBy)
	if advanced || reading && !row.Held {
		l.extend(now, row)
	}
	return row
}

// start records the first token.
func (l *Ledger) start(now time.Time, row *Reservation) {
	l.total.add(row, -1)
	row.StartedAt = now
	l.total.add(row, 1)
}

// extend renews the lease, also of a held reservation that has shown to be alive.
func (l *Ledger) extend(now time.Time, row *Reservation) {
	row.ExpiresAt = now.Add(l.Settings.Lease)
	if !row.Held {
		heap.Fix(&l.expiries, row.index)
		return
	}
	l.total.add(row, -1)
	row.Held = false
	row.confirmed = 0
	l.total.add(row, 1)
	heap.Push(&l.expiries, row)
}

// Release ends a reservation and returns it, or nil if there is none of that generation. Unless ended tells that the
// endpoint surely holds nothing more for it, its memory stays held until a listing or a cancel confirms that.
func (l *Ledger) Release(now time.Time, key Key, ended bool) *Reservation {
	row := l.rows[key]
	if row == nil {
		delete(l.claims, key)
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

// hold takes a reservation out of force without freeing its memory.
func (l *Ledger) hold(now time.Time, row *Reservation) {
	if row.Held {
		return
	}
	heap.Remove(&l.expiries, row.index)
	l.total.add(row, -1)
	row.Held = true
	row.HeldAt = now
	l.total.add(row, 1)
}

// remove frees the memory of a reservation.
func (l *Ledger) remove(now time.Time, row *Reservation) {
	delete(l.rows, row.Key)
	l.remember(now, row.Key)
	l.total.add(row, -1)
	if !row.Held {
		heap.Remove(&l.expiries, row.index)
	}
}

// remember keeps a released key for a while.
func (l *Ledger) remember(now time.Time, key Key) {
	for len(l.order) > 0 && now.Sub(l.released[l.order[0]]) > releasedMemory {
		delete(l.released, l.order[0])
		l.order = l.order[1:]
	}
	if _, found := l.released[key]; !found {
		l.order = append(l.order, key)
	}
	l.released[key] = now
}

// Expire holds the reservations whose lease has lapsed and returns how many there were.
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

// Each calls visit for each reservation, in no order; visit must not change it.
func (l *Ledger) Each(visit func(r *Reservation)) {
	for _, row := range l.rows {
		visit(row)
	}
}

// Reservations returns copies of all reservations.
func (l *Ledger) Reservations() []Reservation {
	rows := make([]Reservation, 0, len(l.rows))
	for _, row := range l.rows {
		rows = append(rows, *row)
	}
	return rows
}

// Strays returns copies of the memory that no reservation explains.
func (l *Ledger) Strays() []Stray {
	strays := make([]Stray, 0, len(l.strays))
	for _, stray := range l.strays {
		strays = append(strays, *stray)
	}
	return strays
}

// Restore takes over what the former owner knew.
func (l *Ledger) Restore(incarnation fleet.Incarnation, rows []Reservation, strays []Stray) {
	l.incarnation = max(l.incarnation, incarnation)
	for _, r := range rows {
		row := r
		if l.rows[row.Key] == nil {
			l.insert(&row)
		}
	}
	for _, s := range strays {
		stray := s
		l.putStray(&stray)
	}
}

// Progress is what an entry tells of a running attempt.
type Progress struct {
	// Key names the reservation.
	Key Key
	// Started tells that the first token has come.
	Started bool
	// Position is the number of tokens generated so far.
	Position fleet.Tokens
	// Incarnation is the life of the endpoint that answers, or 0.
	Incarnation fleet.Incarnation
}
