package peer

import (
	"time"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/placement"
	"wisteriadyke/core/reservation"
	"wisteriadyke/core/sharedload"
)

// toChooseRequest converts a choose request to its message.
func toChooseRequest(q sharedload.ChooseRequest) *ChooseRequest {
	m := &ChooseRequest{
		Told:             toUsageSet(q.Report),
		Number:           q.Number,
		Role:             int64(q.Role),
		Request:          string(q.Need.Request),
		Pool:             string(q.Need.Pool),
		PromptTokens:     int64(q.Need.PromptTokens),
		OutputTokens:     int64(q.Need.MaxTokens),
		ObjectiveUs:      q.Need.Objective.Microseconds(),
		PauseObjectiveUs: q.Need.PauseObjective.Microseconds(),
		Returned:         q.Need.WaitedAfterRefusal,

		Account:              string(q.Need.Account),
		Weight:               q.Need.Weight,
		Rank:                 int64(q.Need.Rank),
		WaitedUs:             sinceUs(q.Need.ArrivedAt),
		StartWithinUs:        untilUs(q.Need.LatestStart),
		MayWait:              q.Need.MayWait,
		ExpectedOutputTokens: int64(q.Need.ExpectedOutput),
	}
	for id, excluded := range q.Need.Excluded {
		if excluded {
			m.Excluded = append(m.Excluded, string(id))
		}
	}
	return m
}

// fromChooseRequest converts a message to a choose request.
func fromChooseRequest(m *ChooseRequest) sharedload.ChooseRequest {
	now := time.Now()
	excluded := make(map[fleet.EndpointID]bool, len(m.Excluded))
	for _, id := range m.Excluded {
		excluded[fleet.EndpointID(id)] = true
	}
	return sharedload.ChooseRequest{
		Report: fromUsageSet(m.Told),
		Number: m.Number,
		Role:   sharedload.Role(m.Role),
		Need: placement.Need{
			Request:            fleet.RequestID(m.Request),
			Pool:               fleet.PoolName(m.Pool),
			PromptTokens:       fleet.Tokens(m.PromptTokens),
			MaxTokens:          fleet.Tokens(m.OutputTokens),
			Objective:          microseconds(m.ObjectiveUs),
			PauseObjective:     microseconds(m.PauseObjectiveUs),
			WaitedAfterRefusal: m.Returned,
			Account:            fleet.AccountID(m.Account),
			Weight:             m.Weight,
			Rank:               int(m.Rank),
			ArrivedAt:          now.Add(-microseconds(m.WaitedUs)),
			LatestStart:        latestStart(m.StartWithinUs, now),
			MayWait:            m.MayWait,
			ExpectedOutput:     fleet.Tokens(m.ExpectedOutputTokens),
			Excluded:           excluded,
		},
	}
}

// sinceUs returns the microseconds since a time, or 0 if the time is zero.
func sinceUs(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return time.Since(t).Microseconds()
}

// untilUs returns the microseconds until a time, at least 1, or 0 if the time is zero.
func untilUs(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return max(1, time.Until(t).Microseconds())
}

// latestStart returns the time after the given microseconds, or the zero time if they are 0.
func latestStart(us int64, now time.Time) time.Time {
	if us == 0 {
		return time.Time{}
	}
	return now.Add(microseconds(us))
}

// toChooseReply converts a choice to its message.
func toChooseReply(c sharedload.Choice) *ChooseReply {
	m := &ChooseReply{
		Endpoint:    string(c.Endpoint),
		PartUs:      c.PrefillTime.Microseconds(),
		PredictedUs: c.Predicted.Microseconds(),
		Work:        toUsages(c.Usages),

		Waiting:          c.Waiting,
		PredictedStartUs: c.PredictedStart.Microseconds(),
		LostPaths:        toLostPaths(c.LostPaths, time.Now()),
	}
	if c.Limit != nil {
		m.Limit = toEndpointLimit(c.Endpoint, *c.Limit, time.Now())
	}
	for i, h := range c.Helpers {
		helper := &ChosenHelper{Endpoint: string(h.Endpoint)}
		if c.HelperMemory != nil {
			helper.StoredTokens = int64(c.HelperMemory[i])
		}
		m.Helpers = append(m.Helpers, helper)
	}
	return m
}

// fromChooseReply converts a message to a choice. HelperMemory is nil if the memory of all helpers is 0.
func fromChooseReply(m *ChooseReply) sharedload.Choice {
	c := sharedload.Choice{
		Endpoint:    fleet.EndpointID(m.Endpoint),
		PrefillTime: microseconds(m.PartUs),
		Predicted:   microseconds(m.PredictedUs),
		Usages:      fromUsages(m.Work),

		Waiting:        m.Waiting,
		PredictedStart: microseconds(m.PredictedStartUs),
		LostPaths:      fromLostPaths(m.LostPaths, time.Now()),
	}
	if m.Limit != nil {
		limit := fromEndpointLimit(m.Limit, time.Now())
		c.Limit = &limit
	}
	memory := make([]fleet.Tokens, 0, len(m.Helpers))
	var totalMemory fleet.Tokens
	for _, h := range m.Helpers {
		c.Helpers = append(c.Helpers, reservation.Helper{Endpoint: fleet.EndpointID(h.Endpoint)})
		memory = append(memory, fleet.Tokens(h.StoredTokens))
		totalMemory += fleet.Tokens(h.StoredTokens)
	}
	if totalMemory > 0 {
		c.HelperMemory = memory
	}
	return c
}
