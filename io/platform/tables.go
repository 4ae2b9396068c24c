package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// Values of Write.IfVersion that name no version.
const (
	// VersionAbsent asks that the row is not there.
	VersionAbsent int64 = 0
	// VersionAny asks for nothing.
	VersionAny int64 = -1
)

// RowKey names one row.
type RowKey struct {
	// Table names the table.
	Table string
	// Key names the row in the table.
	Key string
}

// Row is one row as it was read.
type Row struct {
	// Key names the row.
	Key RowKey
	// Value is a JSON text, empty if the row is absent.
	Value json.RawMessage
	// Version is the row's version, VersionAbsent if the row is absent.
	Version int64
}

// Write changes one row.
type Write struct {
	// Key names the row.
	Key RowKey
	// Value is the JSON text to write.
	Value json.RawMessage
	// IfVersion is the version that the row must have, VersionAbsent or VersionAny.
	IfVersion int64
	// Delete removes the row.
	Delete bool
}

// wireTransaction is the body of a transaction.
type wireTransaction struct {
	Token  string      `json:"token"`
	Writes []wireWrite `json:"writes"`
}

// wireWrite is one write of a transaction.
type wireWrite struct {
	Table     string          `json:"table"`
	Key       string          `json:"key"`
	Value     json.RawMessage `json:"value,omitempty"`
	IfVersion int64           `json:"if_version"`
	Delete    bool            `json:"delete,omitempty"`
}

// wireVersions answers an applied transaction.
type wireVersions struct {
	Versions []int64 `json:"versions"`
}

// wireRowKeys is the body of a batch read.
type wireRowKeys struct {
	Rows []wireRowKey `json:"rows"`
}

// wireRowKey names one row.
type wireRowKey struct {
	Table string `json:"table"`
	Key   string `json:"key"`
}

// wireRows answers a read or a scan.
type wireRows struct {
	Rows []wireRow `json:"rows"`
}

// wireRow is one row.
type wireRow struct {
	Table   string          `json:"table"`
	Key     string          `json:"key"`
	Value   json.RawMessage `json:"value"`
	Version int64           `json:"version"`
}

// newRows turns wire rows into rows.
func newRows(wire []wireRow) []Row {
	rows := make([]Row, len(wire))
	for i, r := range wire {
		rows[i] = Row{Key: RowKey{Table: r.Table, Key: r.Key}, Value: r.Value, Version: r.Version}
	}
	return rows
}

// Transact applies all writes or none and returns the new versions in the order of the writes.
//
// It returns ErrConflict, ErrUnavailable or ErrRejected if nothing was applied and
// ErrUnknownOutcome if the writes may have been applied, or may be later.
func (c *Client) Transact(ctx context.Context, token string, writes []Write) ([]int64, error) {
	wire := wireTransaction{Token: token, Writes: make([]wireWrite, len(writes))}
	for i, w := range writes {
		wire.Writes[i] = wireWrite{
			Table:     w.Key.Table,
			Key:       w.Key.Key,
			Value:     w.Value,
			IfVersion: w.IfVersion,
			Delete:    w.Delete,
		}
	}
	body, err := json.Marshal(wire)
	if err != nil {
		return nil, errors.Wrapf(ErrRejected, "encode the transaction: %v", err)
	}
	response, err := c.write(ctx, http.MethodPost, "/v1/tables/transact", body)
	if err != nil {
		return nil, err
	}
	var answer wireVersions
	if err := json.Unmarshal(response.Body, &answer); err != nil || len(answer.Versions) != len(writes) {
		return nil, errors.Wrap(ErrUnknownOutcome, "answer of the transaction can't be read")
	}
	return answer.Versions, nil
}

// Read returns the rows of keys in their order, absent ones with VersionAbsent, or ErrUnavailable.
func (c *Client) Read(ctx context.Context, keys []RowKey) ([]Row, error) {
	wire := wireRowKeys{Rows: make([]wireRowKey, len(keys))}
	for i, k := range keys {
		wire.Rows[i] = wireRowKey(k)
	}
	body, err := json.Marshal(wire)
	if err != nil {
		return nil, errors.Wrapf(ErrRejected, "encode the read: %v", err)
	}
	var answer wireRows
	if err := c.read(ctx, http.MethodPost, "/v1/tables/read", nil, body, &answer); err != nil {
		return nil, err
	}
	if len(answer.Rows) != len(keys) {
		return nil, &UnavailableError{Cause: errors.Errorf("%d rows for %d keys", len(answer.Rows), len(keys))}
	}
	return newRows(answer.Rows), nil
}

// Scan returns up to limit rows of a table in key order whose keys have the prefix and follow
// after, or ErrUnavailable.
func (c *Client) Scan(ctx context.Context, table, prefix, after string, limit int) ([]Row, error) {
	query := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	var answer wireRows
	if err := c.read(ctx, http.MethodGet, "/v1/tables/"+table, query, nil, &answer); err != nil {
		return nil, err
	}
	return newRows(answer.Rows), nil
}

// retryAfter reads the header that tells when to try again.
func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
