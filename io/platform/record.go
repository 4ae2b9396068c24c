package platform

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// keptChanges is the number of changes that a record remembers, so that a lost answer can be read back.
const keptChanges = 32

// Change tells who made one revision of a record.
type Change struct {
	// Revision is the revision that the change made, from 1.
	Revision uint64
	// Token is random and names the change.
	Token string
	// By names the operator.
	By string
	// At is when the operator's command wrote it.
	At time.Time
	// From names what it was made from.
	From []string
}

// Record is a row that operators change, one revision at a time.
type Record struct {
	// Key names the row.
	Key RowKey
	// Version is the row's version in the platform's table.
	Version int64
	// Changes holds the last changes, the newest first; it is empty if the row is absent.
	Changes []Change
	// Body is a JSON text.
	Body json.RawMessage
}

// Latest returns the change in force, its zero value if the row is absent.
func (r Record) Latest() Change {
	if len(r.Changes) == 0 {
		return Change{}
	}
	return r.Changes[0]
}

// wireRecord is the value of a row that holds a record.
type wireRecord struct {
	Changes []wireChange    `json:"changes"`
	Body    json.RawMessage `json:"body"`
}

// wireChange is one change of a record.
type wireChange struct {
	Revision uint64    `json:"revision"`
	Token    string    `json:"token"`
	By       string    `json:"by"`
	At       time.Time `json:"at"`
	From     []string  `json:"from,omitempty"`
}

// newRecord reads a record from its row.
func newRecord(row Row) (Record, error) {
	record := Record{Key: row.Key, Version: row.Version}
	if row.Version == VersionAbsent {
		return record, nil
	}
	err := record.decode(row.Value)
	return record, err
}

// decode fills changes and body from the value of a row.
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

// encode returns the value of the row after a change.
func (r Record) encode(change Change, body json.RawMessage) (json.RawMessage, error) {
	wire := wireRecord{Changes: []wireChange{wireChange(change)}, Body: body}
	for i, c := range r.Changes {
		if i+1 == keptChanges {
			break
		}
		wire.Changes = append(wire.Changes, wireChange(c))
	}
	value, err := json.Marshal(wire)
	return value, errors.Wrapf(err, "encode row %s/%s", r.Key.Table, r.Key.Key)
}
