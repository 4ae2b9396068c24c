package peer

import (
	"time"

	"wisteriadyke/core/cost"
	"wisteriadyke/core/fleet"
)

// toEndpointPaces converts the paces that an entry has measured to messages, with their ages at now.
func toEndpointPaces(samples []cost.PaceSample, now time.Time) []*EndpointPace {
	var messages []*EndpointPace
	for _, s := range samples {
		messages = append(messages, &EndpointPace{
			Endpoint:    string(s.Endpoint),
			Incarnation: uint64(s.Incarnation),
			Pace:        s.Pace,
			Samples:     int64(s.Samples),
			AgeUs:       now.Sub(s.At).Microseconds(),
		})
	}
	return messages
}

// fromEndpointPaces converts messages received at now to samples, at most cost.MaxReported.
func fromEndpointPaces(messages []*EndpointPace, now time.Time) []cost.PaceSample {
	var samples []cost.PaceSample
	for _, m := range messages[:min(len(messages), cost.MaxReported)] {
		samples = append(samples, cost.PaceSample{
			Endpoint:    fleet.EndpointID(m.Endpoint),
			Incarnation: fleet.Incarnation(m.Incarnation),
			Pace:        m.Pace,
			Samples:     int(m.Samples),
			At:          now.Add(-microseconds(m.AgeUs)),
		})
	}
	return samples
}
