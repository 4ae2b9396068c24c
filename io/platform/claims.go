package platform

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"strings"
	"time"

	"github.com/pkg/errors"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/idempotency"
)

// claimTable is the name of the table that stores claims.
const claimTable = "claims"

// TableService is the part of Client that reads and writes table rows.
type TableService interface {
	// Transact applies all writes or none; see Client.Transact.
	Transact(ctx context.Context, token string, writes []Write) ([]int64, error)
	// Read returns the rows of keys; see Client.Read.
	Read(ctx context.Context, keys []RowKey) ([]Row, error)
	// Scan returns rows of a table in key order; see Client.Scan.
	Scan(ctx context.Context, table, prefix, after string, limit int) ([]Row, error)
}

// Claims stores the claims of at-most-once calls in the platform's table service.
type Claims struct {
	// Tables is the table service; *Client implements it.
	Tables TableService
}

// wireClaim is the JSON value of a row of claimTable.
type wireClaim struct {
	Account  fleet.AccountID   `json:"account"`
	Key      string            `json:"key"`
	Token    string            `json:"token"`
	State    idempotency.State `json:"state"`
	Digest   string            `json:"digest"`
	Deadline time.Time         `json:"deadline"`
	Answer   []byte            `json:"answer,omitempty"`
}

// Read implements idempotency.Store.
func (c *Claims) Read(ctx context.Context, keys []idempotency.Key) ([]idempotency.Row, error) {
	wire := make([]RowKey, len(keys))
	for i, k := range keys {
		wire[i] = claimRowKey(k)
	}
	rows, err := c.Tables.Read(ctx, wire)
	if err != nil {
		return nil, claimError(err)
	}
	claims := make([]idempotency.Row, len(rows))
	for i, r := range rows {
		if claims[i], err = decodeClaim(keys[i], r); err != nil {
			return nil, err
		}
	}
	return claims, nil
}

// Write implements idempotency.Store.
func (c *Claims) Write(ctx context.Context, writes []idempotency.Write) ([]int64, error) {
	wire := make([]Write, len(writes))
	for i, w := range writes {
		value, err := json.Marshal(newWireClaim(w.Record))
		if err != nil {
			return nil, errors.Wrapf(idempotency.ErrRejected, "encode the claim: %v", err)
		}
		wire[i] = Write{Key: claimRowKey(w.Record.Key), Value: value, IfVersion: w.IfVersion}
	}
	versions, err := c.Tables.Transact(ctx, rand.Text(), wire)
	return versions, claimError(err)
}

// Expired implements idempotency.Expirer. Row keys start with the time embedded in the idempotency key, so a scan
// returns the oldest claims first. Of the returned rows only the key and the version are set.
func (c *Claims) Expired(ctx context.Context, before time.Time, limit int) ([]idempotency.Row, error) {
	rows, err := c.Tables.Scan(ctx, claimTable, "", "", limit)
	if err != nil {
		return nil, claimError(err)
	}
	var expired []idempotency.Row
	for _, r := range rows {
		key, err := parseClaimKey(r.Key.Key)
		if err != nil {
			return nil, err
		}
		if !key.CreatedAt.Before(before) {
			break
		}
		expired = append(expired, idempotency.Row{Record: idempotency.Record{Key: key}, Version: r.Version})
	}
	return expired, nil
}

// Delete implements idempotency.Expirer.
func (c *Claims) Delete(ctx context.Context, rows []idempotency.Row) error {
	writes := make([]Write, len(rows))
	for i, r := range rows {
		writes[i] = Write{Key: claimRowKey(r.Record.Key), IfVersion: r.Version, Delete: true}
	}
	_, err := c.Tables.Transact(ctx, rand.Text(), writes)
	return claimError(err)
}

// claimRowKey returns the row key of a claim. Row keys sort by the time embedded in the idempotency key.
func claimRowKey(key idempotency.Key) RowKey {
	return RowKey{Table: claimTable, Key: key.Key + "/" + string(key.Account)}
}

// parseClaimKey parses the row key of a claim. The error is idempotency.ErrUnavailable.
func parseClaimKey(rowKey string) (idempotency.Key, error) {
	text, account, _ := strings.Cut(rowKey, "/")
	key, err := idempotency.ParseKey(fleet.AccountID(account), text)
	if err != nil {
		return idempotency.Key{}, errors.Wrapf(idempotency.ErrUnavailable, "row %q of the claims: %v", rowKey, err)
	}
	return key, nil
}

// newWireClaim converts a record to its JSON form.
func newWireClaim(record idempotency.Record) wireClaim {
	return wireClaim{
		Account:  record.Key.Account,
		Key:      record.Key.Key,
		Token:    record.Token,
		State:    record.State,
		Digest:   hex.EncodeToString(record.Digest[:]),
		Deadline: record.Deadline.UTC(),
		Answer:   record.Answer.Body,
	}
}

// decodeClaim decodes the row of the claim with the given key. The error is idempotency.ErrUnavailable.
func decodeClaim(key idempotency.Key, row Row) (idempotency.Row, error) {
	if row.Version == VersionAbsent {
		return idempotency.Row{Record: idempotency.Record{Key: key}, Version: idempotency.AbsentVersion}, nil
	}
	var wire wireClaim
	if err := json.Unmarshal(row.Value, &wire); err != nil {
		return idempotency.Row{}, errors.Wrapf(idempotency.ErrUnavailable, "decode the claim %s: %v", key.Key, err)
	}
	record := idempotency.Record{
		Key:      key,
		Token:    wire.Token,
		State:    wire.State,
		Deadline: wire.Deadline,
		Answer:   idempotency.Answer{Body: wire.Answer, Failed: wire.State == idempotency.StateFailed},
	}
	digest, err := hex.DecodeString(wire.Digest)
	if err != nil || len(digest) != len(record.Digest) {
		return idempotency.Row{}, errors.Wrapf(idempotency.ErrUnavailable, "decode the digest of the claim %s", key.Key)
	}
	copy(record.Digest[:], digest)
	return idempotency.Row{Record: record, Version: row.Version}, nil
}

// claimError converts an error of this package to the corresponding error of idempotency.Store.
func claimError(err error) error {
	var conflict *ConflictError
	var unavailable *UnavailableError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &conflict):
		return newClaimConflict(conflict)
	case errors.As(err, &unavailable) && unavailable.Throttled:
		return errors.Wrap(idempotency.ErrThrottled, err.Error())
	case errors.Is(err, ErrUnavailable):
		return errors.Wrap(idempotency.ErrUnavailable, err.Error())
	case errors.Is(err, ErrRejected), errors.Is(err, ErrNotFound):
		return errors.Wrap(idempotency.ErrRejected, err.Error())
	}
	return errors.Wrap(idempotency.ErrUnknownOutcome, err.Error())
}

// newClaimConflict returns an *idempotency.ConflictError with the claims that made a transaction fail. Row keys that
// cannot be parsed are left out.
func newClaimConflict(conflict *ConflictError) error {
	var keys []idempotency.Key
	for _, r := range conflict.Rows {
		if key, err := parseClaimKey(r.Key.Key); err == nil {
			keys = append(keys, key)
		}
	}
	return &idempotency.ConflictError{Keys: keys}
}
