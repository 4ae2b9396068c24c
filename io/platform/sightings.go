package platform

import (
	"cmp"
	"maps"
	"slices"

	"wisteriadyke/core/fleet"
)

// confirmations is the number of successful polls in a row that must agree before an instance that is missing is
// forgotten, or one that was leaving counts as live again.
const confirmations = 3

// sightings smooths the instance list, whose answers lag and may come from copies of unlike age: bad news counts at
// once, good news and silence only after several polls in a row. Its zero value is ready to use.
type sightings struct {
	rows map[string]sighting
}

// sighting is what is known of one instance.
type sighting struct {
	instance Instance
	absent   int
	live     int
}

// observe takes the answer of one successful poll in and returns the instances that count, in the order of their names.
//
// An empty answer is taken for a fault of the list and changes nothing.
func (s *sightings) observe(list []Instance) []Instance {
	if len(list) == 0 {
		return s.list()
	}
	if s.rows == nil {
		s.rows = make(map[string]sighting)
	}
	seen := make(map[string]bool, len(list))
	for _, instance := range list {
		seen[instance.ID] = true
		old, known := s.rows[instance.ID]
		s.rows[instance.ID] = old.next(instance, known)
	}
	for id, row := range s.rows {
		if seen[id] {
			continue
		}
		row.absent++
		s.rows[id] = row
		if row.absent == confirmations {
			delete(s.rows, id)
		}
	}
	return s.list()
}

// next returns what is known after one more sighting.
func (s sighting) next(seen Instance, known bool) sighting {
	if !known || s.instance.State != fleet.StateLeaving || seen.State == fleet.StateLeaving {
		return sighting{instance: seen}
	}
	s.absent = 0
	s.live++
	if s.live >= confirmations {
		return sighting{instance: seen}
	}
	return s
}

// adopt replaces all that is known by what another entry has found.
func (s *sightings) adopt(list []Instance) {
	s.rows = make(map[string]sighting, len(list))
	for _, instance := range list {
		s.rows[instance.ID] = sighting{instance: instance}
	}
}

// list returns the known instances in the order of their names.
func (s *sightings) list() []Instance {
	list := make([]Instance, 0, len(s.rows))
	for row := range maps.Values(s.rows) {
		list = append(list, row.instance)
	}
	slices.SortFunc(list, func(a, b Instance) int { return cmp.Compare(a.ID, b.ID) })
	return list
}
