package platform

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"wisteriadyke/core/config"
	"wisteriadyke/core/fleet"
)

const (
	// zoneTable is the name of the table with a record for each zone that an operator has ever changed.
	zoneTable = "zones"
	// maxZones bounds the number of zones that are read.
	maxZones = 1000
)

// zoneChanges is the key of the record that every change of a zone by an operator updates in the same transaction, so
// that the changes of all zones are serialized.
var zoneChanges = RowKey{Table: "zone_order", Key: "last"}

// Zone is the record and the state of one availability zone.
type Zone struct {
	// Record is the stored record of the zone.
	Record Record
	// State is the zone's state, decoded from the record.
	State config.ZoneState
}

// wireZone is the JSON body of the record of a zone.
type wireZone struct {
	Drained bool `json:"drained"`
}

// ReadZone returns the record of one zone; a zone without a record is in service. The error is that of Client.Read or
// the reason why the record cannot be decoded.
func (r *RecordUpdater) ReadZone(ctx context.Context, zone fleet.Zone) (Zone, error) {
	records, err := r.Read(ctx, RowKey{Table: zoneTable, Key: string(zone)})
	if err != nil {
		return Zone{}, err
	}
	return newZone(records[0])
}

// ReadZones returns the records of all zones that an operator has ever changed, at most maxZones, in the order of their
// names. The error is that of Client.Scan or the reason why a record cannot be decoded.
func (r *RecordUpdater) ReadZones(ctx context.Context) ([]Zone, error) {
	rows, err := r.Tables.Scan(ctx, zoneTable, "", "", maxZones)
	if err != nil {
		return nil, err
	}
	zones := make([]Zone, len(rows))
	for i, row := range rows {
		record, err := newRecord(row)
		if err != nil {
			return nil, err
		}
		if zones[i], err = newZone(record); err != nil {
			return nil, err
		}
	}
	return zones, nil
}

// ReadZoneChanges returns the record that contains the last changes of all zones. Its errors are those of Read.
//
// If SetZone succeeds with this record, no zone has changed since it was read, so that two operators cannot drain the
// last two zones at the same time.
func (r *RecordUpdater) ReadZoneChanges(ctx context.Context) (Record, error) {
	records, err := r.Read(ctx, zoneChanges)
	if err != nil {
		return Record{}, err
	}
	return records[0], nil
}

// SetZone drains or restores the zone of the parameter old, unless any zone was changed after ReadZoneChanges returned
// the parameter changesRecord.
//
// It returns the change of the zone's own record. Its errors are those of Update, where a *ConcurrentChangeError
// contains the change of whichever zone was changed first.
func (r *RecordUpdater) SetZone(
	ctx context.Context, changesRecord Record, old Zone, drained bool, change Change,
) (Change, error) {
	body, err := json.Marshal(wireZone{Drained: drained})
	if err != nil {
		return change, errors.Wrapf(ErrRejected, "%v", err)
	}
	change.From = []string{ZoneSource(old.State.Zone)}
	own := change
	own.Revision = old.Record.Latest().Revision + 1
	value, err := old.Record.encode(own, body)
	if err != nil {
		return change, errors.Wrapf(ErrRejected, "%v", err)
	}
	write := Write{Key: old.Record.Key, Value: value, IfVersion: old.Record.Version}
	_, err = r.Update(ctx, changesRecord, change, json.RawMessage(`{}`), write)
	return own, err
}

// ZoneSource returns the text by which Change.From identifies a zone in the record that ReadZoneChanges returns.
func ZoneSource(zone fleet.Zone) string {
	return "zone " + string(zone)
}

// newZone decodes the state of a zone from its record. A zone without a record is in service.
func newZone(record Record) (Zone, error) {
	zone := Zone{Record: record, State: config.ZoneState{Zone: fleet.Zone(record.Key.Key)}}
	if record.Version == VersionAbsent && len(record.Changes) == 0 {
		return zone, nil
	}
	var wire wireZone
	if err := json.Unmarshal(record.Body, &wire); err != nil {
		return zone, errors.Wrapf(err, "zone %q", record.Key.Key)
	}
	zone.State.Drained = wire.Drained
	zone.State.Revision = record.Latest().Revision
	zone.State.ChangedAt = record.Latest().At
	return zone, nil
}

// wireZoneState is the JSON form in which entries gossip the state of a zone.
type wireZoneState struct {
	Zone      fleet.Zone `json:"zone"`
	Revision  uint64     `json:"revision"`
	Drained   bool       `json:"drained"`
	ChangedAt time.Time  `json:"changed_at"`
}
