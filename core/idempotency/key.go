// Package idempotency runs calls at most once, by claiming a row of a transactional table before
// each call.
//
// To claim a key, a request inserts its row if the row is absent, or replaces a row in StateNotRun
// that has the same digest. Only the holder of a claim sends the call, and a claim is never taken
// over by another request. The outcome is written into the same row, from which repeated requests
// are answered.
package idempotency

import (
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"wisteriadyke/core/fleet"
)

// keyVersion is the version of UUIDs that begin with a timestamp (RFC 9562, section 5.7).
const keyVersion = 7

// ErrMalformedKey means that an idempotency key is not a UUID of version 7.
var ErrMalformedKey = errors.New("idempotency key is not a UUID of version 7")

// Key is an idempotency key of a client account.
type Key struct {
	// Account is the client account.
	Account fleet.AccountID
	// Key is the text of the key in canonical form.
	Key string
	// CreatedAt is the timestamp embedded in Key.
	CreatedAt time.Time
}

// keyID is the comparable identity of a key.
type keyID struct {
	account fleet.AccountID
	key     string
}

// id returns the identity of the key, without the timestamp, which Key.Key contains.
func (k Key) id() keyID {
	return keyID{account: k.Account, key: k.Key}
}

// ParseKey parses the idempotency key of a caller. It returns ErrMalformedKey unless text is a UUID
// of version 7.
func ParseKey(account fleet.AccountID, text string) (Key, error) {
	id, err := uuid.Parse(text)
	if err != nil {
		return Key{}, errors.Wrapf(ErrMalformedKey, "key %q: %v", text, err)
	}
	if id.Version() != keyVersion || id.Variant() != uuid.RFC4122 {
		return Key{}, errors.Wrapf(ErrMalformedKey, "key %q", text)
	}
	seconds, nanoseconds := id.Time().UnixTime()
	return Key{Account: account, Key: id.String(), CreatedAt: time.Unix(seconds, nanoseconds).UTC()}, nil
}
