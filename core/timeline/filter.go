package timeline

import (
	"slices"
	"strings"

	"wisteriadyke/core/fleet"
)

// Filter selects events; zero fields match all events.
type Filter struct {
	// Request selects the events of a request and of its parts, whose IDs consist of the request ID, a slash and a
	// suffix.
	Request fleet.RequestID
	// Endpoint selects the events of one endpoint.
	Endpoint fleet.EndpointID
	// Account selects the events of one client account.
	Account fleet.AccountID
}

// Matches reports whether the filter selects an event.
func (f Filter) Matches(event Event) bool {
	if f.Request != "" && event.Request != f.Request && !strings.HasPrefix(string(event.Request), string(f.Request)+"/") {
		return false
	}
	if f.Endpoint != "" && event.Endpoint != f.Endpoint {
		return false
	}
	return f.Account == "" || event.Account == f.Account
}

// Merge returns the events of several processes, sorted by timestamp.
func Merge(processes ...[]Event) []Event {
	merged := slices.Concat(processes...)
	slices.SortStableFunc(merged, func(a, b Event) int {
		return a.Timestamp.Compare(b.Timestamp)
	})
	return merged
}
