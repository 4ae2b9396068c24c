package sharedload

import "wisteriadyke/core/fleet"

// usageSum is a sum of usages by endpoint. Its values are integers, so that it is exact after any number of changes.
type usageSum map[fleet.EndpointID]Usage

// add adds usages to the sum.
func (s *usageSum) add(usages map[fleet.EndpointID]Usage) {
	if *s == nil {
		*s = make(usageSum)
	}
	for id, u := range usages {
		s.set(id, (*s)[id].add(u))
	}
}

// subtract subtracts usages that were added before.
func (s *usageSum) subtract(usages map[fleet.EndpointID]Usage) {
	for id, u := range usages {
		s.set(id, (*s)[id].sub(u))
	}
}

// set sets the usage of an endpoint; an endpoint without any takes no memory.
func (s *usageSum) set(id fleet.EndpointID, u Usage) {
	if u == (Usage{}) {
		delete(*s, id)
		return
	}
	(*s)[id] = u
}
