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

// suspectPrefix stands before the keys of spread notes.
const suspectPrefix = "suspect/"

// suspects spreads the notes on requests that may crash endpoints. It reads and writes items of the spread store; each
// entry writes items of its own, so that two that note a death at the same moment don't overwrite each other.
type suspects struct {
	// Entry is this entry.
	Entry fleet.EntryID
	// Store carries the notes to the other entries.
	Store *gossip.Store
	// Suspects takes the notes of other entries.
	Suspects *retry.Suspects
	// Log takes the controller's messages.
	Log zerolog.Logger

	seen map[string]uint64
}

// noteBody is the JSON form of a note.
type noteBody struct {
	Fingerprint retry.Fingerprint `json:"fingerprint"`
	Deaths      []deathBody       `json:"deaths"`
	Holder      fleet.EntryID     `json:"holder"`
	Cleared     bool              `json:"cleared,omitempty"`
	ChangedAt   time.Time         `json:"changed_at"`
}

// deathBody is the JSON form of one death.
type deathBody struct {
	Endpoint    fleet.EndpointID  `json:"endpoint"`
	Incarnation fleet.Incarnation `json:"incarnation"`
}

// Broadcast passes a note on to the other entries at once.
func (s *suspects) Broadcast(_ context.Context, note retry.SuspectRecord) {
	payload, err := json.Marshal(toNoteBody(note))
	if err != nil {
		s.Log.Error().Err(err).Msg("suspects: cannot encode a note")
		return
	}
	key := suspectPrefix + string(note.Fingerprint) + "/" + string(s.Entry)
	s.Store.Put(gossip.Item{
		Key:      key,
		Revision: s.Store.NextRevision(key, time.Now()),
		Urgent:   true,
		Payload:  payload,
	})
}

// Run takes the notes of other entries until ctx ends.
func (s *suspects) Run(ctx context.Context) error {
	s.seen = make(map[string]uint64)
	for {
		changed := s.Store.Changed()
		for _, item := range s.Store.List(suspectPrefix) {
			if s.seen[item.Key] < item.Revision {
				s.seen[item.Key] = item.Revision
				s.take(item)
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

// take joins one note with what is known.
func (s *suspects) take(item gossip.Item) {
	note, err := decodeNote(item.Payload)
	if err != nil {
		s.Log.Warn().Err(err).Str("key", strings.TrimPrefix(item.Key, suspectPrefix)).Msg("suspects: dropped a bad note")
		return
	}
	s.Suspects.Merge(note)
}

// toNoteBody turns a note into its JSON form.
func toNoteBody(note retry.SuspectRecord) noteBody {
	body := noteBody{
		Fingerprint: note.Fingerprint,
		Holder:      note.TrialEntry,
		Cleared:     note.Cleared,
		ChangedAt:   note.ChangedAt.UTC(),
	}
	for _, d := range note.Deaths {
		body.Deaths = append(body.Deaths, deathBody(d))
	}
	return body
}

// decodeNote reads the JSON form of a note.
func decodeNote(payload []byte) (retry.SuspectRecord, error) {
	var body noteBody
	if err := json.Unmarshal(payload, &body); err != nil {
		return retry.SuspectRecord{}, errors.Wrap(err, "decode note")
	}
	note := retry.SuspectRecord{
		Fingerprint: body.Fingerprint,
		TrialEntry:  body.Holder,
		Cleared:     body.Cleared,
		ChangedAt:   body.ChangedAt,
	}
	for _, d := range body.Deaths {
		note.Deaths = append(note.Deaths, retry.Death(d))
	}
	return note, nil
}
