package platform

import (
	"bytes"
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"wisteriadyke/core/config"
	"wisteriadyke/io/declaration"
)

var (
	// ConfigurationHead is the row with the revision of the current configuration and the last changes.
	ConfigurationHead = RowKey{Table: "configuration", Key: "head"}
	// ConfigurationRow is the row with the current configuration. It is written in one transaction with
	// ConfigurationHead.
	ConfigurationRow = RowKey{Table: "configuration", Key: "current"}
)

// StoredConfiguration is the configuration as stored, with its head record.
type StoredConfiguration struct {
	// Head contains the revision and the last changes.
	Head Record
	// Configuration is the current configuration, empty if none was ever published or it cannot be decoded.
	Configuration config.Configuration
	// DecodeErr is the reason why the stored configuration cannot be decoded, or nil. The stored configuration can be
	// replaced nevertheless.
	DecodeErr error

	// stored is the JSON text of the row, from which Configuration is decoded.
	stored []byte
}

// ReadConfiguration returns the stored configuration and its head record. The error is that of Client.Read or the
// reason why the head cannot be decoded.
func (r *RecordUpdater) ReadConfiguration(ctx context.Context) (StoredConfiguration, error) {
	rows, err := r.Tables.Read(ctx, []RowKey{ConfigurationHead, ConfigurationRow})
	if err != nil {
		return StoredConfiguration{}, err
	}
	head, err := newRecord(rows[0])
	if err != nil || head.Version == VersionAbsent {
		return StoredConfiguration{Head: head}, err
	}
	configuration, decodeErr := declaration.Decode(rows[1].Value)
	return StoredConfiguration{Head: head, Configuration: configuration, DecodeErr: decodeErr, stored: rows[1].Value}, nil
}

// Matches reports whether the encoded form of a configuration equals the text that is stored, apart from the revision
// and white space between JSON tokens.
func (p StoredConfiguration) Matches(configuration config.Configuration) bool {
	configuration.Revision = p.Configuration.Revision
	stored, err := declaration.Encode(configuration)
	return err == nil && bytes.Equal(stored, compact(p.stored))
}

// compact returns a JSON text without white space between its tokens, and a text that is not valid JSON unchanged.
func compact(text []byte) []byte {
	var b bytes.Buffer
	if err := json.Compact(&b, text); err != nil {
		return text
	}
	return b.Bytes()
}

// Publish replaces the stored configuration old by a new one with the next revision, and returns the change with that
// revision. Its errors are those of Update.
func (r *RecordUpdater) Publish(
	ctx context.Context, old StoredConfiguration, configuration config.Configuration, change Change,
) (Change, error) {
	configuration.Revision = old.Head.Latest().Revision + 1
	stored, err := declaration.Encode(configuration)
	if err != nil {
		return change, errors.Wrapf(ErrRejected, "%v", err)
	}
	write := Write{Key: ConfigurationRow, Value: stored, IfVersion: VersionAny}
	return r.Update(ctx, old.Head, change, json.RawMessage(`{}`), write)
}
