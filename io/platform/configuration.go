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
	// ConfigurationHead is the row that tells the revision in force and who made it.
	ConfigurationHead = RowKey{Table: "configuration", Key: "head"}
	// ConfigurationRow is the row that holds the configuration in force; it is written together with the head.
	ConfigurationRow = RowKey{Table: "configuration", Key: "current"}
)

// StoredConfiguration is the configuration as it is stored.
type StoredConfiguration struct {
	// Head tells the revision and who made it.
	Head Record
	// Configuration is the configuration in force, empty if nothing was ever published.
	Configuration config.Configuration
	// DecodeErr tells why the stored configuration can't be used, nil if it can; another one can take its place.
	DecodeErr error

	stored []byte
}

// ReadConfiguration returns the stored configuration; the error is ErrUnavailable or tells why its head can't be read.
func (r *RecordUpdater) ReadConfiguration(ctx context.Context) (StoredConfiguration, error) {
	rows, err := r.Tables.Read(ctx, []RowKey{ConfigurationHead, ConfigurationRow})
	if err != nil {
		return StoredConfiguration{}, err
	}
	head, err := newRecord(rows[0])
	if err != nil || head.Version == VersionAbsent {
		return StoredConfiguration{Head: head}, err
	}
	configuration, fault := declaration.Decode(rows[1].Value)
	return StoredConfiguration{Head: head, Configuration: configuration, DecodeErr: fault, stored: rows[1].Value}, nil
}

// Matches tells whether a configuration declares what is in force already.
func (p StoredConfiguration) Matches(configuration config.Configuration) bool {
	configuration.Revision = p.Configuration.Revision
	stored, err := declaration.Encode(configuration)
	return err == nil && bytes.Equal(stored, compact(p.stored))
}

// compact returns a JSON text without white space.
func compact(text []byte) []byte {
	var b bytes.Buffer
	if err := json.Compact(&b, text); err != nil {
		return text
	}
	return b.Bytes()
}

// Publish puts a configuration in force in the place of the one that was read; its errors are those of Revise.
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
