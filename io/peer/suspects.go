package peer

import (
	"time"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/retry"
)

// clearanceTTL is how long entries tell each other that a request was answered; reports follow each other within half a
// second.
const clearanceTTL = 5 * time.Second

// recordTTL is how long entries tell each other of a death. An entry that starts later learns of it with the next one.
const recordTTL = 30 * time.Second

// toRecordMessages converts the suspect records of recordTTL to messages, one for each death in a record, with times relative to
// now.
func toRecordMessages(records SuspectRecords, now time.Time) []*RequestDeath {
	var messages []*RequestDeath
	for _, record := range records.Records() {
		if now.Sub(record.ChangedAt) <= recordTTL {
			messages = append(messages, toRequestDeaths(record, now)...)
		}
	}
	return messages
}

// mergeRecords merges the deaths received from an entry, each as a suspect record with this one death. The argument
// from becomes the TrialEntry of each record; it is "" for the records in a reply.
func mergeRecords(records SuspectRecords, messages []*RequestDeath, from fleet.EntryID, now time.Time) {
	for _, m := range messages {
		records.Merge(fromRequestDeath(from, m, now))
	}
}

// toRequestDeaths converts a record to one message per death, each with the age of the record at now. It returns none
// for a cleared record.
func toRequestDeaths(record retry.SuspectRecord, now time.Time) []*RequestDeath {
	if record.Cleared {
		return nil
	}
	var deaths []*RequestDeath
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
