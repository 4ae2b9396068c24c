package peer

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"wisteriadyke/core/mirror"
)

// minCachedBytes is the size of the smallest row whose compressed form is kept for the next poll.
const minCachedBytes = 4 << 10

// RowsReceiver answers polls of tables; *mirror.Server implements it.
type RowsReceiver interface {
	// HandlePoll answers a poll; the error is mirror.ErrStoreAway, mirror.ErrUnknownTable or that of ctx.
	HandlePoll(ctx context.Context, request mirror.PollRequest) (mirror.Update, error)
}

// RowsTransport polls tables through other entries. It implements mirror.Relays.
type RowsTransport struct {
	// Client calls the other entries.
	Client *Client
	// Clock returns the time on the clock of this entry's tables.
	Clock func() time.Duration
}

// Poll asks the entry at an address for what has changed in a table. The times in the update are never later than they
// were, so that it doesn't look newer than it is. The error is mirror.ErrStoreAway, mirror.ErrUnknownTable or that of
// the connection.
func (t *RowsTransport) Poll(ctx context.Context, to netip.AddrPort, request mirror.PollRequest) (mirror.Update, error) {
	calledAt := t.Clock()
	reply, err := NewDRPCRowsClient(t.Client.blockingCallConn(ctx, to)).Poll(ctx, &RowsRequest{
		Table:   request.Table,
		Era:     request.After.Era,
		Version: request.After.Version,
		Synced:  request.Synced,
		WaitUs:  request.Wait.Microseconds(),
	})
	if err != nil {
		return mirror.Update{}, errors.Wrapf(err, "poll %s at %s", request.Table, to)
	}
	switch reply.Refusal {
	case RowsRefusal_ROWS_REFUSAL_NONE:
	case RowsRefusal_ROWS_REFUSAL_UNKNOWN_TABLE:
		return mirror.Update{}, mirror.ErrUnknownTable
	default:
		return mirror.Update{}, mirror.ErrStoreAway
	}
	// The reply was sent when the poll had been held, or later.
	update, err := fromRowsReply(reply, calledAt+microseconds(reply.HeldUs))
	update.After = request.After.Version
	return update, err
}

// rowsHandler implements the Rows service.
type rowsHandler struct {
	receiver RowsReceiver
	clock    func() time.Duration

	mu sync.Mutex
	// encoded holds the compressed forms of the large rows that were passed on last, by key.
	encoded map[string]encodedRow
}

// encodedRow is the compressed form of a value.
type encodedRow struct {
	value      []byte
	encoded    []byte
	compressed bool
}

// Poll answers a poll of another entry.
func (h *rowsHandler) Poll(ctx context.Context, m *RowsRequest) (*RowsReply, error) {
	receivedAt := h.clock()
	update, err := h.receiver.HandlePoll(ctx, mirror.PollRequest{
		Table:  m.Table,
		After:  mirror.Position{Era: m.Era, Version: m.Version},
		Synced: m.Synced,
		Wait:   microseconds(m.WaitUs),
	})
	switch {
	case errors.Is(err, mirror.ErrStoreAway):
		return &RowsReply{Refusal: RowsRefusal_ROWS_REFUSAL_STORE_AWAY}, nil
	case errors.Is(err, mirror.ErrUnknownTable):
		return &RowsReply{Refusal: RowsRefusal_ROWS_REFUSAL_UNKNOWN_TABLE}, nil
	case err != nil:
		return nil, err
	}
	reply := &RowsReply{Era: update.Position.Era, Version: update.Position.Version, Whole: update.Whole}
	for _, row := range update.Rows {
		encoded, compressed := h.encode(m.Table, row)
		reply.Rows = append(reply.Rows, &RelayedRow{
			Key:        row.Key,
			Value:      encoded,
			Version:    row.Version,
			Deleted:    row.Deleted,
			AgeUs:      (h.clock() - row.ReadAt).Microseconds(),
			Compressed: compressed,

			StoreTimeUs: row.StoreTime.Microseconds(),
		})
	}
	now := h.clock()
	reply.HeldUs = (now - receivedAt).Microseconds()
	reply.AnswerAgeUs = (now - update.AnsweredAt).Microseconds()
	sinceAge := (now - update.StoreSince).Microseconds()
	reply.StoreSinceAgeUs = &sinceAge
	if update.Confirmed {
		age := (now - update.ConfirmedAt).Microseconds()
		reply.ConfirmedAgeUs = &age
	}
	return reply, nil
}

// encode returns the value of a row compressed. It compresses the value of a large row once for all entries that get it.
func (h *rowsHandler) encode(table string, row mirror.Row) (encoded []byte, compressed bool) {
	if len(row.Value) < minCachedBytes {
		return compress(row.Value)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	key := table + "/" + row.Key
	if known, found := h.encoded[key]; found && &known.value[0] == &row.Value[0] {
		return known.encoded, known.compressed
	}
	encoded, compressed = compress(row.Value)
	if h.encoded == nil {
		h.encoded = make(map[string]encodedRow)
	}
	h.encoded[key] = encodedRow{value: row.Value, encoded: encoded, compressed: compressed}
	return encoded, compressed
}

// fromRowsReply converts a message to an update; its ages count back from sentAt. The error is that of a value that
// can't be decompressed.
func fromRowsReply(m *RowsReply, sentAt time.Duration) (mirror.Update, error) {
	update := mirror.Update{
		Position:   mirror.Position{Era: m.Era, Version: m.Version},
		Whole:      m.Whole,
		AnsweredAt: sentAt - microseconds(m.AnswerAgeUs),
		StoreSince: sentAt - microseconds(m.GetStoreSinceAgeUs()),
	}
	if m.ConfirmedAgeUs != nil {
		update.Confirmed, update.ConfirmedAt = true, sentAt-microseconds(*m.ConfirmedAgeUs)
	}
	for _, r := range m.Rows {
		value, err := decompress(r.Value, r.Compressed)
		if err != nil {
			return mirror.Update{}, errors.Wrapf(err, "row %s", r.Key)
		}
		update.Rows = append(update.Rows, mirror.Row{
			Key: r.Key, Value: value, Version: r.Version, Deleted: r.Deleted,
			Origin: mirror.Origin{ReadAt: sentAt - microseconds(r.AgeUs), StoreTime: microseconds(r.StoreTimeUs)},
		})
	}
	return update, nil
}
