// Package waiting orders the requests that wait for an endpoint of one pool, predicts when they start and finds those
// that can't be served any more.
package waiting

import (
	"time"

	"wisteriadyke/core/admission"
	"wisteriadyke/core/fleet"
)

// outputWork is the work of an output token, in prompt tokens: a decode step occupies an engine about ten times as long
// as the prefill of one token.
const outputWork = 10

// The bands of one rank, each with its own order by account. They use the bands of admission.Queue, where Long counts
// as work ahead of Long items only.
const (
	// bandReturned holds requests that can meet their objective and whose caller was refused before.
	bandReturned = admission.Quick
	// bandNew holds other requests that can meet their objective.
	bandNew = admission.Medium
	// bandLate holds requests that can't meet their objective any more.
	bandLate = admission.Long
	// bandCount is the number of bands.
	bandCount = int(bandLate) + 1
)

// Request describes a request that waits.
type Request struct {
	// Account is the client account, and Weight its fair-share weight; a weight that is not positive counts as 1.
	Account fleet.AccountID
	Weight  float64
	// Rank is the rank of the route; rank 0 is the most urgent.
	Rank int
	// Prompt is the length of the prompt, and Output the expected length of the answer.
	Prompt, Output fleet.Tokens
	// PrefillTime is how long an idle engine prefills the prompt.
	PrefillTime time.Duration
	// ArrivedAt is when the request arrived at the entry that has its caller.
	ArrivedAt time.Time
	// Objective is the caller's target for the time to the first token, or 0.
	Objective time.Duration
	// LatestStart is when the first token is due at the latest.
	LatestStart time.Time
	// Returned reports whether the caller was refused before and has waited since.
	Returned bool
}

// work returns the work that the account is charged, in prompt tokens.
func (r *Request) work() float64 {
	return max(1, float64(r.Prompt)+outputWork*float64(r.Output))
}

// weight returns the weight of the account.
func (r *Request) weight() float64 {
	if r.Weight <= 0 {
		return 1
	}
	return r.Weight
}

// latestInTime returns the latest time at which the request can be placed and still meet its objective: overhead is the
// shortest time from the placement to the first token without the prefill. A request without an objective is never
// late.
func (r *Request) latestInTime(overhead time.Duration) time.Time {
	if r.Objective <= 0 {
		return r.LatestStart
	}
	return r.ArrivedAt.Add(r.Objective - r.PrefillTime - overhead)
}

// latestPlacement returns the latest time at which the request can be placed so that its first token is of use.
func (r *Request) latestPlacement(overhead time.Duration) time.Time {
	return r.LatestStart.Add(-r.PrefillTime - overhead)
}

// Item is a request in a Queue, with a value of the caller.
type Item[T any] struct {
	Request
	// Value is the value that was passed to Add.
	Value T

	queued *admission.Item
	rank   *rankQueue
	// lateSince is when the request was moved to the late ones while it waited, or zero.
	lateSince time.Time
	// out reports that the item is not in the queue of its rank: it was skipped in the current pass, or removed.
	out bool
}

// Late reports whether the request can't meet its objective any more, as of the latest Refresh.
func (i *Item[T]) Late() bool {
	return i.queued.Band == bandLate
}

// NeverInTime reports whether no endpoint could have met the objective, even if the request had been placed on arrival.
func (i *Item[T]) NeverInTime(overhead time.Duration) bool {
	return i.latestInTime(overhead).Before(i.ArrivedAt)
}

// rankQueue holds the items of one rank.
type rankQueue struct {
	rank  int
	queue *admission.Queue
	// lengths holds the number of items by band.
	lengths [bandCount]int
	// newPassedOver counts the placements of returned requests since the last one of a new request while one waited.
	newPassedOver int
}

// length returns the number of items.
func (r *rankQueue) length() int {
	return r.lengths[bandReturned] + r.lengths[bandNew] + r.lengths[bandLate]
}

// bands returns the bands in the order in which they are served.
func (r *rankQueue) bands() [bandCount]admission.Band {
	if r.newPassedOver >= maxPassedOver {
		return [bandCount]admission.Band{bandNew, bandReturned, bandLate}
	}
	return [bandCount]admission.Band{bandReturned, bandNew, bandLate}
}
