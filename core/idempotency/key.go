// Package idempotency runs calls at most once, by a claim in a transactional table before each call.
//
// A claim is a row that is inserted only if it is absent. Only the holder of a claim sends the
// call, nobody takes a claim over, and the outcome is written into the same row, from which repeats
// of the call are answered.
package idempotency

import (
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"wisteriadyke/core/fleet"
)

// keyVersion is the version of UUIDs that begin with their time (RFC 9562, section 5.7).
const keyVersion = 7

// ErrMalformedKey means that an idempotency key is not a UUID of version 7.
var ErrMalformedKey = errors.New("idempotency key is not a UUID of version 7")

// Key is an idempotency key of a client account.
type Key struct {
	// Account is the client account.
	Account fleet.AccountID
	// Key is the key's text in canonical form.
	Key string
	// CreatedAt is the time that the key carries; it follows from Key.
	CreatedAt time.Time
}

// keyID is the part of a key that identifies it.
type keyID struct {
	account fleet.AccountID
	key     string
}

// id returns what identifies the key.
func (k Key) id() keyID {
	return keyID{account: k.Account, key: k.Key}
}

// ParseKey reads a caller's idempotency key, a UUID of version 7; it returns ErrMalformedKey.
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
