package configcheck

import (
	"fmt"
	"slices"
	"strings"

	"wisteriadyke/core/enginemodel"
	"wisteriadyke/core/fleet"
	"wisteriadyke/core/routing"
)

// ChangeKind is what changes.
type ChangeKind string

// The kinds of changes.
const (
	ChangeAdded   ChangeKind = "added"
	ChangeRemoved ChangeKind = "removed"
	// ChangeMoved means that other services serve a route.
	ChangeMoved ChangeKind = "moved"
	// ChangeValue means that a field has another value.
	ChangeValue ChangeKind = "changed"
)

// Change is one difference between two configurations.
type Change struct {
	// Kind is what changes.
	Kind ChangeKind
	// Subject is the kind of object, and Name its name, "" for the limits.
	Subject Subject
	Name    string
	// Field is the changed field, FieldKeys for an added or removed key, or FieldNone if the whole object is added or
	// removed.
	Field Field
	// From and To are the values before and after; API keys are masked.
	From, To string
}

// String returns the change on one line.
func (c Change) String() string {
	object := c.Subject.String()
	if c.Name != "" {
		object += fmt.Sprintf(" %q", c.Name)
	}
	switch {
	case c.Field == FieldNone && c.Kind == ChangeAdded:
		return fmt.Sprintf("%s added: %s", object, c.To)
	case c.Field == FieldNone:
		return fmt.Sprintf("%s removed: %s", object, c.From)
	case c.Field == FieldKeys && c.Kind == ChangeAdded:
		return fmt.Sprintf("%s: key %s added", object, c.To)
	case c.Field == FieldKeys:
		return fmt.Sprintf("%s: key %s removed", object, c.From)
	case c.Kind == ChangeMoved:
		return fmt.Sprintf("%s: moved to another service, from %s to %s", object, c.From, c.To)
	default:
		return fmt.Sprintf("%s: %s from %s to %s", object, c.Field, c.From, c.To)
	}
}

// value is a field with its value.
type value struct {
	field Field
	text  string
}

// object is a named object with a summary and the values that are compared.
type object struct {
	name, summary string
	values        []value
	// pools holds the names of the services of a route, and keys the API keys of an account.
	pools, keys []string
}

// Diff returns how a configuration differs from the one that it is to replace: routes, services, accounts, limits, each
// in the order of the files. Objects are the same if they have the same name.
func Diff(from, to Configuration) []Change {
	return slices.Concat(
		diffObjects(SubjectRoute, routeObjects(from), routeObjects(to)),
		diffObjects(SubjectPool, poolObjects(from), poolObjects(to)),
		diffObjects(SubjectAccount, accountObjects(from), accountObjects(to)),
		diffObjects(SubjectLimits, limitObjects(from), limitObjects(to)),
	)
}

// diffObjects returns the changes between two lists of objects.
func diffObjects(subject Subject, from, to []object) []Change {
	var changes []Change
	before := byName(from)
	for _, o := range to {
		old, found := before[o.name]
		if !found {
			changes = append(changes, Change{Kind: ChangeAdded, Subject: subject, Name: o.name, To: o.summary})
			continue
		}
		changes = append(changes, diffObject(subject, old, o)...)
	}
	after := byName(to)
	for _, o := range from {
		if _, found := after[o.name]; !found {
			changes = append(changes, Change{Kind: ChangeRemoved, Subject: subject, Name: o.name, From: o.summary})
		}
	}
	return changes
}

// byName returns the objects by name, the last one of each name, which is in force.
func byName(objects []object) map[string]object {
	named := make(map[string]object, len(objects))
	for _, o := range objects {
		named[o.name] = o
	}
	return named
}

// diffObject returns the changes between two versions of one object.
func diffObject(subject Subject, from, to object) []Change {
	var changes []Change
	for i, v := range to.values {
		old := from.values[i]
		if v.text == old.text {
			continue
		}
		change := Change{Kind: ChangeValue, Subject: subject, Name: to.name, Field: v.field, From: old.text, To: v.text}
		if v.field == FieldPool && !slices.Equal(from.pools, to.pools) {
			change.Kind = ChangeMoved
		}
		changes = append(changes, change)
	}
	for _, key := range to.keys {
		if !slices.Contains(from.keys, key) {
			changes = append(changes, Change{Kind: ChangeAdded, Subject: subject, Name: to.name, Field: FieldKeys, To: MaskKey(key)})
		}
	}
	for _, key := range from.keys {
		if !slices.Contains(to.keys, key) {
			changes = append(changes, Change{Kind: ChangeRemoved, Subject: subject, Name: to.name, Field: FieldKeys, From: MaskKey(key)})
		}
	}
	return changes
}

// routeObjects returns the routes of a configuration.
func routeObjects(c Configuration) []object {
	var objects []object
	for _, r := range c.Routes {
		o := object{name: r.Name, summary: fmt.Sprintf("%s%s to %s", r.Host, r.Prefix, poolText(r.Pools))}
		if r.Name == "" {
			o.name = r.Host + r.Prefix
		}
		for _, p := range r.Pools {
			o.pools = append(o.pools, string(p.Pool))
		}
		slices.Sort(o.pools)
		o.values = []value{
			{FieldHost, r.Host},
			{FieldPrefix, r.Prefix},
			{FieldKind, kindText(r)},
			{FieldTimeout, r.Timeout.String()},
			{FieldObjective, r.Objective.String()},
			{FieldPauseObjective, r.PauseObjective.String()},
			{FieldRank, fmt.Sprint(r.Rank)},
			{FieldPool, poolText(r.Pools)},
			{FieldMaxAttempts, fmt.Sprint(r.MaxAttempts)},
			{FieldPublic, fmt.Sprint(r.Public)},
			{FieldResumable, fmt.Sprint(r.Resumable)},
		}
		objects = append(objects, o)
	}
	return objects
}

// kindText returns the kind of a route's requests.
func kindText(r Route) string {
	switch {
	case r.UnknownKind != "":
		return r.UnknownKind
	case r.Stream:
		return "stream"
	case r.Repeatability == routing.Idempotent:
		return "idempotent call"
	default:
		return "at-most-once call"
	}
}

// poolText returns the pools of a route, with their weights if there are several.
func poolText(pools []routing.WeightedPool) string {
	if len(pools) == 0 {
		return "no service"
	}
	if len(pools) == 1 {
		return fmt.Sprintf("%q", pools[0].Pool)
	}
	var texts []string
	for _, p := range pools {
		texts = append(texts, fmt.Sprintf("%q (weight %v)", p.Pool, p.Weight))
	}
	return strings.Join(texts, ", ")
}

// poolObjects returns the pools of a configuration.
func poolObjects(c Configuration) []object {
	var objects []object
	for _, p := range c.Pools {
		objects = append(objects, object{name: string(p.Name), summary: engineText(p.Engine), values: []value{
			{FieldMaxConnections, fmt.Sprint(p.MaxConnections)},
			{FieldColdRate, fmt.Sprint(p.ColdRate)},
			{FieldColdTime, p.ColdTime.String()},
			{FieldEngine, engineText(p.Engine)},
		}})
	}
	return objects
}

// engineText returns all published figures of an engine.
func engineText(m *enginemodel.Model) string {
	if m == nil {
		return "plain service"
	}
	return fmt.Sprintf("engine with %d slots, memory %d, step %v + %v per request + %.4g ns per context token, stride %d, "+
		"prefill %.4g ns per token + %.4g ns per pair, chunk %d, mean prompt %d and answer %d", m.Slots, m.Memory, m.Step,
		m.StepPerDecode, m.StepPerContext, m.Stride, m.PrefillPerToken, m.PrefillPerPair, m.Chunk, m.MeanPrompt, m.MeanOutput)
}

// accountObjects returns the accounts of a configuration. Accounts of the same name count as one with the keys of all.
func accountObjects(c Configuration) []object {
	keys := make(map[fleet.AccountID][]string)
	for _, a := range c.Accounts {
		keys[a.Name] = append(keys[a.Name], a.Keys...)
	}
	var objects []object
	seen := make(map[fleet.AccountID]bool)
	for _, a := range c.Accounts {
		if seen[a.Name] {
			continue
		}
		seen[a.Name] = true
		objects = append(objects, object{
			name: string(a.Name), summary: fmt.Sprintf("%d keys", len(keys[a.Name])), keys: keys[a.Name],
			values: []value{{FieldRank, fmt.Sprint(a.Rank)}},
		})
	}
	return objects
}

// limitObjects returns the limits of a configuration as one object.
func limitObjects(c Configuration) []object {
	l := c.Limits
	return []object{{values: []value{
		{FieldHeaderBytes, fmt.Sprint(l.HeaderBytes)},
		{FieldBodyBytes, fmt.Sprint(l.BodyBytes)},
		{FieldHeaderTimeout, l.HeaderTimeout.String()},
		{FieldIdleTimeout, l.IdleTimeout.String()},
	}}}
}
