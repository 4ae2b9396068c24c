package platform

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// maxChanges is the number of changes that a record retains, so that the outcome of a write whose response was lost can
// be looked up.
const maxChanges = 32

// Change describes one revision of a record and its author.
type Change struct {
	// Revision is the revision that the change created, counted from 1.
	Revision uint64
	// Token is a random identifier of the change.
	Token string
	// By is the name of the operator.
	By string
	// At is the time of the write according to the clock of the machine that ran the operator's command.
	At time.Time
	// From lists the sources of the change, such as declaration files.
	From []string
}

// Record is a row that operators change, one revision at a time, by compare-and-set.
type Record struct {
	// Key identifies the row in the platform's table.
	Key RowKey
	// Version is the version of the row in the platform's table.
	Version int64
	// Changes contains the last changes, newest first; it is empty if the row is absent.
	Changes []Change
	// Body is the content of the record, a JSON text.
	Body json.RawMessage
}

// Latest returns the most recent change, or the zero Change if the row is absent.
func (r Record) Latest() Change {
	if len(r.Changes) == 0 {
		return Change{}
	}
	return r.Changes[0]
}

// wireRecord is the JSON value of a row that contains a record.
type wireRecord struct {
	Changes []wireChange    `json:"changes"`
	Body    json.RawMessage `json:"body"`
}

// wireChange is the JSON form of a Change.
type wireChange struct {
	Revision uint64    `json:"revision"`
	Token    string    `json:"token"`
	By       string    `json:"by"`
	At       time.Time `json:"at"`
	From     []string  `json:"from,omitempty"`
}

// newRecord decodes a record from its row. An absent row results in a record without changes.
func newRecord(row Row) (Record, error) {
	record := Record{Key: row.Key, Version: row.Version}
	if row.Version == VersionAbsent {
		return record, nil
	}
	err := record.decode(row.Value)
	return record, err
}

// decode sets Changes and Body from the value of a row. It returns an error if the value is not valid JSON or contains
// no revision.
func (r *Record) decode(value []byte) error {
	var wire wireRecord
	if err := json.Unmarshal(value, &wire); err != nil {
		return errors.Wrapf(err, "row %s/%s", r.Key.Table, r.Key.Key)
	}
	if len(wire.Changes) == 0 || wire.Changes[0].Revision == 0 {
		return errors.Errorf("row %s/%s: no revision", r.Key.Table, r.Key.Key)
	}
	r.Changes = make([]Change, len(wire.Changes))
	for i, c := range wire.Changes {
		r.Changes[i] = Change(c)
	}
	r.Body = wire.Body
	return nil
}

// encode returns the value of the row after a change: the new body, and the changes with the new one first, of which
// only the newest maxChanges are kept.
func (r Record) encode(change Change, body json.RawMessage) (json.RawMessage, error) {
	wire := wireRecord{Changes: []wireChange{wireChange(change)}, Body: body}
	for i, c := range r.Changes {
		if i+1 == maxChanges {
			break
		}
		wire.Changes = append(wire.Changes, wireChange(c))
	}
	value, err := json.Marshal(wire)
	return value, errors.Wrapf(err, "encode row %s/%s", r.Key.Table, r.Key.Key)
}
