package peer

import (
	"time"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/retry"
)

// clearanceTTL is how long entries tell each other that a request was answered; reports follow each other within half a
// second.
const clearanceTTL = 5 * time.Second

const (
	// recordTTL is how long entries tell each other of a death. An entry that starts later learns of it with the next one.
	recordTTL = 30 * time.Second
	// settledTTL is the same for deaths with a settled answer, of which one crash causes many.
	settledTTL = 5 * time.Second
)

// toRecordMessages converts the suspect records of recordTTL to messages, one for each death in a record, with times relative to
// now. Those with a settled answer are apart, and only of settledTTL.
func toRecordMessages(records SuspectRecords, now time.Time) (deaths, settled []*RequestDeath) {
	for _, record := range records.Records() {
		if now.Sub(record.ChangedAt) > recordTTL {
			continue
		}
		for i, m := range toRequestDeaths(record, now) {
			span := record.Spans[record.Deaths[i]]
			switch {
			case !span.Settled:
				deaths = append(deaths, m)
			case now.Sub(span.BrokeAt) <= settledTTL:
				settled = append(settled, m)
			}
		}
	}
	return deaths, settled
}

// mergeRecords merges the deaths received from an entry, each as a suspect record with this one death. The argument settled
// reports whether the answers had settled. The argument from becomes the TrialEntry of each record; it is "" for the records
// in a reply.
func mergeRecords(records SuspectRecords, messages []*RequestDeath, settled bool, from fleet.EntryID, now time.Time) {
	for _, m := range messages {
		record := fromRequestDeath(from, m, now)
		for death, span := range record.Spans {
			span.Settled = settled
			record.Spans[death] = span
		}
		records.Merge(record)
	}
}

// toRequestDeaths converts a record to one message per death, in their order, each with the age of the record at now. It
// returns none for a cleared record.
func toRequestDeaths(record retry.SuspectRecord, now time.Time) []*RequestDeath {
	if record.Cleared {
		return nil
	}
	deaths := make([]*RequestDeath, 0, len(record.Deaths))
	for _, d := range record.Deaths {
		m := &RequestDeath{
			Fingerprint: string(record.Fingerprint),
			Endpoint:    string(d.Endpoint),
			Incarnation: uint64(d.Incarnation),
			AgeUs:       now.Sub(record.ChangedAt).Microseconds(),
		}
		if span, found := record.Spans[d]; found {
			m.SentAgeUs, m.BrokeAgeUs = now.Sub(span.SentAt).Microseconds(), now.Sub(span.BrokeAt).Microseconds()
		}
		deaths = append(deaths, m)
	}
	return deaths
}

// fromRequestDeath converts a message received at now to a record with one death. Its DeathLimit is that of entries
// without trials; the argument from becomes its TrialEntry.
func fromRequestDeath(from fleet.EntryID, m *RequestDeath, now time.Time) retry.SuspectRecord {
	death := retry.Death{Endpoint: fleet.EndpointID(m.Endpoint), Incarnation: fleet.Incarnation(m.Incarnation)}
	record := retry.SuspectRecord{
		Fingerprint: retry.Fingerprint(m.Fingerprint),
		Deaths:      []retry.Death{death},
		TrialEntry:  from,
		ChangedAt:   now.Add(-microseconds(m.AgeUs)),
		DeathLimit:  retry.NoTrialDeathLimit,
	}
	if m.SentAgeUs != 0 || m.BrokeAgeUs != 0 {
		span := retry.Span{SentAt: now.Add(-microseconds(m.SentAgeUs)), BrokeAt: now.Add(-microseconds(m.BrokeAgeUs))}
		record.Spans = map[retry.Death]retry.Span{death: span}
		record.ChangedAt = span.BrokeAt
	}
	return record
}

// toClearedMessages returns the requests that were cleared within clearanceTTL, with times relative to now.
func toClearedMessages(records SuspectRecords, now time.Time) []*ClearedRequest {
	var messages []*ClearedRequest
	for _, record := range records.Records() {
		if age := now.Sub(record.ClearedAt); age < clearanceTTL {
			messages = append(messages, &ClearedRequest{Fingerprint: string(record.Fingerprint), AgeUs: age.Microseconds()})
		}
	}
	return messages
}

// mergeCleared clears the requests that another entry reports as answered, as far as they are suspected.
func mergeCleared(records SuspectRecords, messages []*ClearedRequest, now time.Time) {
	for _, m := range messages {
		clearedAt := now.Add(-microseconds(m.AgeUs))
		records.Merge(retry.SuspectRecord{
			Fingerprint: retry.Fingerprint(m.Fingerprint),
			Cleared:     true,
			ClearedAt:   clearedAt,
			ChangedAt:   clearedAt,
			DeathLimit:  retry.NoTrialDeathLimit,
		})
	}
}
