package mirror

import (
	"context"
	"net/netip"
	"time"
)

const (
	// maxHold bounds how long a poll of another entry is held while nothing changes.
	maxHold = 2 * time.Second
	// defaultMaxAge is the MaxAge of a server for which none is set.
	defaultMaxAge = 1400 * time.Millisecond
	// switchShare is the part of MaxAge in which an entry that read through another one gets its first answer of the store,
	// once other entries read through it, and maxSwitchTime its upper bound.
	switchShare   = 0.2
	maxSwitchTime = 300 * time.Millisecond
)

// PollRequest asks another entry for what has changed in a table.
type PollRequest struct {
	// Table is the name of the table.
	Table string
	// After is the position of the asking entry's copy; if Synced is false, it has none and gets the whole table.
	After  Position
	Synced bool
	// Wait is how long the poll may be held while nothing changes.
	Wait time.Duration
}

// Relays reads tables through other entries. The times in the updates are on the clock of this entry.
type Relays interface {
	// Poll asks the entry at an address; the error is ErrStoreAway, ErrUnknownTable or that of the connection.
	Poll(ctx context.Context, to netip.AddrPort, request PollRequest) (Update, error)
}

// Server answers the polls of other entries from the tables of this one. The fields must be set before the first call.
//
// Load pattern: the entry through which a zone reads stops or loses the store. Sixty others ask the next one at the same
// moment, which then reads from the store for all of them.
type Server struct {
	// Tables holds the tables by name.
	Tables map[string]*Table
	// Heartbeat is the name of the table that is polled often enough to show whether this entry reaches the store.
	Heartbeat string
	// MaxAge is the age of the store's latest answer about the heartbeat table beyond which this entry counts as not reaching
	// the store; 0 means defaultMaxAge.
	MaxAge time.Duration
	// Sources records that other entries read through this one.
	Sources *Sources
	// StoreAway reports whether the latest call of the store failed.
	StoreAway func() bool
	// StoreSince returns since when the store has answered without an outage; it reports false if it has not answered yet.
	StoreSince func() (time.Duration, bool)
	// Clock returns the time on the clock of the tables.
	Clock func() time.Duration
}

// HandlePoll answers a poll of another entry. It holds the poll until the table changes, for at most the time that the
// request allows. The error is ErrStoreAway, ErrUnknownTable or that of ctx.
func (s *Server) HandlePoll(ctx context.Context, request PollRequest) (Update, error) {
	table, found := s.Tables[request.Table]
	if !found {
		return Update{}, ErrUnknownTable
	}
	defer s.Sources.BeginReading()()
	startedAt := time.Now()
	hold := time.NewTimer(min(max(request.Wait, 0), maxHold))
	defer hold.Stop()
	expired := false
	heartbeat := s.Tables[s.Heartbeat]
	for {
		changed, beat := table.Changed(), heartbeat.Changed()
		update, known := table.Since(request.After, request.Synced)
		freshFor := s.freshFor(heartbeat)
		usable := known && update.Direct && freshFor > 0
		if usable && (expired || len(update.Rows) > 0 || update.Whole || request.Wait <= 0) {
			update.StoreSince = s.storeSince()
			return update, nil
		}
		limit := freshFor
		if !usable {
			limit = s.switchTime() - time.Since(startedAt)
		}
		if limit <= 0 || s.StoreAway() {
			return Update{}, ErrStoreAway
		}
		limited := time.NewTimer(limit)
		select {
		case <-changed:
		case <-beat:
		case <-limited.C:
		case <-hold.C:
			expired = true
		case <-ctx.Done():
			limited.Stop()
			return Update{}, ctx.Err()
		}
		limited.Stop()
	}
}

// storeSince returns since when the store has answered without an outage, or the present time if that is not known.
func (s *Server) storeSince() time.Duration {
	if s.StoreSince != nil {
		if since, known := s.StoreSince(); known {
			return since
		}
	}
	return s.Clock()
}

// freshFor returns how long the store's latest answer about the heartbeat table shows that this entry reaches the store,
// or 0 if it doesn't.
func (s *Server) freshFor(heartbeat *Table) time.Duration {
	answeredAt, direct := heartbeat.Answered()
	if !direct {
		return 0
	}
	return max(0, s.maxAge()-(s.Clock()-answeredAt))
}

// maxAge returns MaxAge or its default.
func (s *Server) maxAge() time.Duration {
	if s.MaxAge > 0 {
		return s.MaxAge
	}
	return defaultMaxAge
}

// switchTime bounds the time until the first answer of the store to an entry that others begin to read through.
func (s *Server) switchTime() time.Duration {
	return min(time.Duration(switchShare*float64(s.maxAge())), maxSwitchTime)
}
