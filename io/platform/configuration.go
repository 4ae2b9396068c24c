package platform

import (
	"bytes"
	"context"
	"encoding/json"

	"github.com/pkg/errors"

	"wisteriadyke/core/declare"
	"wisteriadyke/io/declaration"
)

var (
	// ConfigurationHead is the row that tells the revision in force and who made it.
	ConfigurationHead = RowKey{Table: "configuration", Key: "head"}
	// ConfigurationRow is the row that holds the configuration in force; it is written together with the head.
	ConfigurationRow = RowKey{Table: "configuration", Key: "current"}
)

// Published is the configuration as it is stored.
type Published struct {
	// Head tells the revision and who made it.
	Head Record
	// Configuration is the configuration in force, empty if nothing was ever published.
	Configuration declare.Configuration
	// Fault tells why the stored configuration can't be used, nil if it can; another one can take its place.
	Fault error

	stored []byte
}

// ReadConfiguration returns the stored configuration; the error is ErrUnavailable or tells why its head can't be read.
func (r *Reviser) ReadConfiguration(ctx context.Context) (Published, error) {
	rows, err := r.Tables.Read(ctx, []RowKey{ConfigurationHead, ConfigurationRow})
	if err != nil {
		return Published{}, err
	}
	head, err := newRecord(rows[0])
	if err != nil || head.Version == VersionAbsent {
		return Published{Head: head}, err
	}
	configuration, fault := declaration.Decode(rows[1].Value)
	return Published{Head: head, Configuration: configuration, Fault: fault, stored: rows[1].Value}, nil
}

// Same tells whether a configuration declares what is in force already.
func (p Published) Same(configuration declare.Configuration) bool {
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
func (r *Reviser) Publish(
	ctx context.Context, old Published, configuration declare.Configuration, change Change,
) (Change, error) {
	configuration.Revision = old.Head.Latest().Revision + 1
	stored, err := declaration.Encode(configuration)
	if err != nil {
		return change, errors.Wrapf(ErrRejected, "%v", err)
	}
	write := Write{Key: ConfigurationRow, Value: stored, IfVersion: VersionAny}
	return r.Revise(ctx, old.Head, change, json.RawMessage(`{}`), write)
}
