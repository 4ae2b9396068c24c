package platform

import (
	"cmp"
	"maps"
	"slices"

	"wisteriadyke/core/fleet"
)

// confirmationPolls is the number of consecutive successful polls without an instance after which it is removed, and
// the number of polls that list a leaving instance as live after which it counts as live again.
const confirmationPolls = 3

// instanceFilter smooths the polled instance lists, which lag behind and may come from replicas of different age: a new
// instance and a leaving one take effect at once; an absence and a return to live only after confirmationPolls polls.
// The zero value is ready to use.
type instanceFilter struct {
	rows map[string]instanceRecord
}

// instanceRecord is the filtered state of one instance.
type instanceRecord struct {
	instance Instance
	// absentPolls is the number of consecutive polls, up to the latest one, that did not list the instance.
	absentPolls int
	// livePolls is the number of polls that listed the instance as live since it was last listed as leaving.
	livePolls int
}

// observe applies the list of one successful poll and returns the filtered instances in the order of their IDs.
//
// An empty list is assumed to be a fault of the platform and changes nothing.
func (s *instanceFilter) observe(list []Instance) []Instance {
	if len(list) == 0 {
		return s.list()
	}
	if s.rows == nil {
		s.rows = make(map[string]instanceRecord)
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
		row.absentPolls++
		s.rows[id] = row
		if row.absentPolls == confirmationPolls {
			delete(s.rows, id)
		}
	}
	return s.list()
}

// next returns the record after a poll, of which the parameter seen is the row of the instance; known reports whether
// there was a record before.
func (s instanceRecord) next(seen Instance, known bool) instanceRecord {
	if !known || s.instance.State != fleet.StateLeaving || seen.State == fleet.StateLeaving {
		return instanceRecord{instance: seen}
	}
	s.absentPolls = 0
	s.livePolls++
	if s.livePolls >= confirmationPolls {
		return instanceRecord{instance: seen}
	}
	return s
}

// adopt replaces all records by the filtered list of another entry and restarts the counts.
func (s *instanceFilter) adopt(list []Instance) {
	s.rows = make(map[string]instanceRecord, len(list))
	for _, instance := range list {
		s.rows[instance.ID] = instanceRecord{instance: instance}
	}
}

// list returns the filtered instances in the order of their IDs.
func (s *instanceFilter) list() []Instance {
	list := make([]Instance, 0, len(s.rows))
	for row := range maps.Values(s.rows) {
		list = append(list, row.instance)
	}
	slices.SortFunc(list, func(a, b Instance) int { return cmp.Compare(a.ID, b.ID) })
	return list
}
