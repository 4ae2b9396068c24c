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

// Special values of Write.IfVersion.
const (
	// VersionAbsent requires that the row does not exist.
	VersionAbsent int64 = 0
	// VersionAny allows any version and an absent row.
	VersionAny int64 = -1
)

// RowKey identifies one row.
type RowKey struct {
	// Table is the name of the table.
	Table string
	// Key is the key of the row in the table.
	Key string
}

// Row is one row as read from a table.
type Row struct {
	// Key identifies the row.
	Key RowKey
	// Value is a JSON text, empty if the row is absent.
	Value json.RawMessage
	// Version is the version of the row, VersionAbsent if the row is absent.
	Version int64
}

// Write is a conditional change of one row.
type Write struct {
	// Key identifies the row.
	Key RowKey
	// Value is the JSON text to write; it is not used if Delete is set.
	Value json.RawMessage
	// IfVersion is the version that the row must have; VersionAbsent and VersionAny are special values.
	IfVersion int64
	// Delete removes the row.
	Delete bool
}

// wireTransaction is the body of a transaction request.
type wireTransaction struct {
	Token  string      `json:"token"`
	Writes []wireWrite `json:"writes"`
}

// wireWrite is the JSON form of a Write.
type wireWrite struct {
	Table     string          `json:"table"`
	Key       string          `json:"key"`
	Value     json.RawMessage `json:"value,omitempty"`
	IfVersion int64           `json:"if_version"`
	Delete    bool            `json:"delete,omitempty"`
}

// wireVersions is the body of the response to an applied transaction.
type wireVersions struct {
	Versions []int64 `json:"versions"`
}

// wireRowKeys is the body of a batch read request.
type wireRowKeys struct {
	Rows []wireRowKey `json:"rows"`
}

// wireRowKey is the JSON form of a RowKey.
type wireRowKey struct {
	Table string `json:"table"`
	Key   string `json:"key"`
}

// wireRows is the body of the response to a read or scan.
type wireRows struct {
	Rows []wireRow `json:"rows"`
}

// wireRow is the JSON form of a Row.
type wireRow struct {
	Table   string          `json:"table"`
	Key     string          `json:"key"`
	Value   json.RawMessage `json:"value"`
	Version int64           `json:"version"`
}

// newRows converts rows from their JSON form.
func newRows(wire []wireRow) []Row {
	rows := make([]Row, len(wire))
	for i, r := range wire {
		rows[i] = Row{Key: RowKey{Table: r.Table, Key: r.Key}, Value: r.Value, Version: r.Version}
	}
	return rows
}

// Transact applies all writes or none and returns the new versions of the rows in the order of the writes. The token
// identifies the transaction.
//
// The error is ErrConflict, ErrUnavailable or ErrRejected if nothing was applied, and ErrUnknownOutcome if the writes
// may have been applied or may still be applied later.
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
		return nil, errors.Wrap(ErrUnknownOutcome, "response of the transaction cannot be decoded")
	}
	return answer.Versions, nil
}

// Read returns one row for each key, in the order of keys; the version of an absent row is VersionAbsent. The error is
// ErrUnavailable while the platform is unavailable, and another error of this package for an unexpected status.
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

// Scan returns up to limit rows of a table in key order whose keys have the prefix and are greater than the argument
// after. Its errors are those of Read.
func (c *Client) Scan(ctx context.Context, table, prefix, after string, limit int) ([]Row, error) {
	query := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	var answer wireRows
	if err := c.read(ctx, http.MethodGet, "/v1/tables/"+table, query, nil, &answer); err != nil {
		return nil, err
	}
	return newRows(answer.Rows), nil
}

// retryAfter returns the value of the Retry-After header, 0 if it is absent or not a number of seconds.
func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}
