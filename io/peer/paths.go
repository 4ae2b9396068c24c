package peer

import (
	"time"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/outlier"
)

// toLostPaths converts reports of paths to messages, with their times relative to now.
func toLostPaths(reports []outlier.PathReport, now time.Time) []*LostPath {
	var messages []*LostPath
	for _, r := range reports {
		messages = append(messages, &LostPath{
			Endpoint:     string(r.Endpoint),
			Incarnation:  uint64(r.Incarnation),
			Zone:         string(r.Zone),
			Witness:      string(r.Witness),
			AgeUs:        now.Sub(r.At).Microseconds(),
			Corroborated: r.Corroborated,
			Reached:      r.Reached,
		})
	}
	return messages
}

// fromLostPaths converts messages received at now. An age below zero counts as zero.
func fromLostPaths(messages []*LostPath, now time.Time) []outlier.PathReport {
	var reports []outlier.PathReport
	for _, m := range messages {
		reports = append(reports, outlier.PathReport{
			Endpoint:     fleet.EndpointID(m.Endpoint),
			Incarnation:  fleet.Incarnation(m.Incarnation),
			Zone:         fleet.Zone(m.Zone),
			Witness:      fleet.EntryID(m.Witness),
			At:           now.Add(-max(0, microseconds(m.AgeUs))),
			Corroborated: m.Corroborated,
			Reached:      m.Reached,
		})
	}
	return reports
}
