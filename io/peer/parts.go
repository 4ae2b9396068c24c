package peer

import (
	"time"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/quarantine"
	"wisteriadyke/core/retry"
)

// toPartChanges converts a message of the exchange, with times relative to now.
func toPartChanges(m quarantine.Message, now time.Time) *PartChanges {
	changes := &PartChanges{
		SentRun: m.Sent.Run, SentNumber: m.Sent.Number,
		ReceivedRun: m.Received.Run, ReceivedNumber: m.Received.Number,
	}
	for _, r := range m.Changes.Reports {
		changes.Crashes = append(changes.Crashes, &PartCrash{
			Attempt:     string(r.Attempt),
			Endpoint:    string(r.Death.Endpoint),
			Incarnation: uint64(r.Death.Incarnation),
			SentAgeUs:   now.Sub(r.SentAt).Microseconds(),
			DiedAgeUs:   now.Sub(r.DiedAt).Microseconds(),
			Parts:       quarantine.Names(r.Parts),
			Request:     string(r.Request),
		})
	}
	for _, s := range m.Changes.Survivals {
		changes.Survivals = append(changes.Survivals, &PartSurvival{Part: string(s.Part), AgeUs: now.Sub(s.At).Microseconds()})
	}
	return changes
}

// fromPartChanges converts a message received at now to one of the exchange.
func fromPartChanges(changes *PartChanges, now time.Time) quarantine.Message {
	m := quarantine.Message{
		Sent:     quarantine.Position{Run: changes.SentRun, Number: changes.SentNumber},
		Received: quarantine.Position{Run: changes.ReceivedRun, Number: changes.ReceivedNumber},
	}
	for _, c := range changes.Crashes {
		report := quarantine.Report{
			Attempt: fleet.AttemptID(c.Attempt),
			Request: retry.Fingerprint(c.Request),
			Death:   retry.Death{Endpoint: fleet.EndpointID(c.Endpoint), Incarnation: fleet.Incarnation(c.Incarnation)},
			SentAt:  now.Add(-microseconds(c.SentAgeUs)),
			DiedAt:  now.Add(-microseconds(c.DiedAgeUs)),
		}
		for _, part := range c.Parts {
			report.Parts = append(report.Parts, fleet.PromptPart(part))
		}
		m.Changes.Reports = append(m.Changes.Reports, report)
	}
	for _, s := range changes.Survivals {
		m.Changes.Survivals = append(m.Changes.Survivals, quarantine.Survival{
			Part: fleet.PromptPart(s.Part), At: now.Add(-microseconds(s.AgeUs)),
		})
	}
	return m
}
