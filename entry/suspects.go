package entry

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/gossip"
	"wisteriadyke/core/retry"
)

// suspectPrefix is the prefix of the gossip keys of suspect records.
const suspectPrefix = "suspect/"

// suspectReplicator replicates the records of requests that may crash endpoints between the entries, as items of the
// gossip store. Each entry writes items of its own, so that two entries that record a death at the same time do not
// overwrite each other's record.
type suspectReplicator struct {
	// Entry is the ID of this entry.
	Entry fleet.EntryID
	// Store replicates items to the other entries.
	Store *gossip.Store
	// Suspects holds the records of this entry; records of other entries are merged into it.
	Suspects *retry.Suspects
	// Log receives messages about records that cannot be encoded or decoded.
	Log zerolog.Logger

	// seenRevisions holds the revision, by key, of the items that Run has processed.
	seenRevisions map[string]uint64
}

// recordJSON is the JSON form of a suspect record.
type recordJSON struct {
	Fingerprint retry.Fingerprint `json:"fingerprint"`
	Deaths      []deathJSON       `json:"deaths"`
	TrialEntry  fleet.EntryID     `json:"holder"`
	Cleared     bool              `json:"cleared,omitempty"`
	ChangedAt   time.Time         `json:"changed_at"`
}

// deathJSON is the JSON form of one endpoint death.
type deathJSON struct {
	Endpoint    fleet.EndpointID  `json:"endpoint"`
	Incarnation fleet.Incarnation `json:"incarnation"`
}

// Broadcast puts a record into the store as an urgent item, which is offered to other entries at once. It doesn't wait
// for them to receive it.
func (s *suspectReplicator) Broadcast(_ context.Context, record retry.SuspectRecord) {
	payload, err := json.Marshal(toRecordJSON(record))
	if err != nil {
		s.Log.Error().Err(err).Msg("suspects: cannot encode a suspect record")
		return
	}
	key := suspectPrefix + string(record.Fingerprint) + "/" + string(s.Entry)
	s.Store.Put(gossip.Item{
		Key:      key,
		Revision: s.Store.NextRevision(key, time.Now()),
		Urgent:   true,
		Payload:  payload,
	})
}

// Run merges new and changed records in the store into Suspects until ctx ends; it returns no error.
func (s *suspectReplicator) Run(ctx context.Context) error {
	s.seenRevisions = make(map[string]uint64)
	for {
		changed := s.Store.Changed()
		for _, item := range s.Store.List(suspectPrefix) {
			if s.seenRevisions[item.Key] < item.Revision {
				s.seenRevisions[item.Key] = item.Revision
				s.mergeItem(item)
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

// mergeItem merges the record of one item into Suspects. An item that cannot be decoded is logged and skipped.
func (s *suspectReplicator) mergeItem(item gossip.Item) {
	record, err := decodeRecord(item.Payload)
	if err != nil {
		s.Log.Warn().Err(err).
			Str("key", strings.TrimPrefix(item.Key, suspectPrefix)).
			Msg("suspects: dropped an invalid suspect record")
		return
	}
	s.Suspects.Merge(record)
}

// toRecordJSON converts a record to its JSON form.
func toRecordJSON(record retry.SuspectRecord) recordJSON {
	encoded := recordJSON{
		Fingerprint: record.Fingerprint,
		TrialEntry:  record.TrialEntry,
		Cleared:     record.Cleared,
		ChangedAt:   record.ChangedAt.UTC(),
	}
	for _, d := range record.Deaths {
		encoded.Deaths = append(encoded.Deaths, deathJSON(d))
	}
	return encoded
}

// decodeRecord decodes the JSON form of a record.
func decodeRecord(payload []byte) (retry.SuspectRecord, error) {
	var encoded recordJSON
	if err := json.Unmarshal(payload, &encoded); err != nil {
		return retry.SuspectRecord{}, errors.Wrap(err, "decode suspect record")
	}
	record := retry.SuspectRecord{
		Fingerprint: encoded.Fingerprint,
		TrialEntry:  encoded.TrialEntry,
		Cleared:     encoded.Cleared,
		ChangedAt:   encoded.ChangedAt,
	}
	for _, d := range encoded.Deaths {
		record.Deaths = append(record.Deaths, retry.Death(d))
	}
	return record, nil
}
