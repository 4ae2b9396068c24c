package config

import (
	"fmt"

	"wisteriadyke/core/fleet"
)

// Source is what one file declares.
type Source struct {
	// Name is the path of the file.
	Name string
	// Accounts holds its client accounts in their order.
	Accounts []Account
	// Classes holds its request classes in their order.
	Classes []Class
}

// Problem is something wrong with one field of one source.
type Problem struct {
	// Source is the index of the source, or -1 for the whole.
	Source int
	// Field is the path of the field in the source, as in "classes[2].wait"; "" for the whole.
	Field string
	// Text tells what is wrong.
	Text string
}

// Merge puts what all sources declare together and returns it with everything that is wrong in the whole.
func Merge(sources []Source) (Configuration, []Problem) {
	m := merger{
		configuration: Configuration{
			Accounts: make(map[fleet.AccountID]Account),
			Classes:  make(map[fleet.ClassName]Class),
		},
		sources:  sources,
		accounts: make(map[fleet.AccountID]place),
		classes:  make(map[fleet.ClassName]place),
		digests:  make(map[string]place),
		pools:    make(map[fleet.PoolName]poolUse),
	}
	for i, source := range sources {
		for n, account := range source.Accounts {
			m.addAccount(place{source: i, path: fmt.Sprintf("accounts[%d]", n)}, account)
		}
		for n, class := range source.Classes {
			m.addClass(place{source: i, path: fmt.Sprintf("classes[%d]", n)}, class)
		}
	}
	m.checkWhole()
	return m.configuration, m.problems
}

// place is where something is declared.
type place struct {
	source int
	path   string
}

// poolUse is the first use of a pool.
type poolUse struct {
	place
	kind fleet.Kind
}

// merger collects what the sources declare.
type merger struct {
	configuration Configuration
	sources       []Source
	accounts      map[fleet.AccountID]place
	classes       map[fleet.ClassName]place
	digests       map[string]place
	pools         map[fleet.PoolName]poolUse
	problems      []Problem
}

// addf notes a problem with a field of something declared at p.
func (m *merger) addf(p place, field, format string, args ...any) {
	m.problems = append(m.problems, Problem{
		Source: p.source,
		Field:  p.path + "." + field,
		Text:   fmt.Sprintf(format, args...),
	})
}

// show names a place for a problem.
func (m *merger) show(p place) string {
	return p.path + " of " + m.sources[p.source].Name
}

// addAccount takes a client account in.
func (m *merger) addAccount(p place, account Account) {
	for _, text := range account.problems() {
		m.addf(p, text.Field, "%s", text.Text)
	}
	if first, found := m.accounts[account.Name]; found && account.Name != "" {
		m.addf(p, "name", "account %q is declared already at %s", account.Name, m.show(first))
		return
	}
	if first, found := m.digests[account.KeyDigest]; found && account.KeyDigest != "" {
		m.addf(p, "key_digest", "the key belongs already to the account at %s", m.show(first))
	}
	m.accounts[account.Name] = p
	m.digests[account.KeyDigest] = p
	m.configuration.Accounts[account.Name] = account
}

// addClass takes a request class in.
func (m *merger) addClass(p place, class Class) {
	for _, problem := range class.problems() {
		m.addf(p, problem.Field, "%s", problem.Text)
	}
	if first, found := m.classes[class.Name]; found && class.Name != "" {
		m.addf(p, "name", "class %q is declared already at %s", class.Name, m.show(first))
		return
	}
	use, found := m.pools[class.Pool]
	if found && class.Kind != "" && use.kind != class.Kind {
		m.addf(p, "kind", "pool %q has the kind %q at %s", class.Pool, use.kind, m.show(use.place))
	}
	if !found && class.Pool != "" && class.Kind != "" {
		m.pools[class.Pool] = poolUse{place: p, kind: class.Kind}
	}
	m.classes[class.Name] = p
	m.configuration.Classes[class.Name] = class
}

// checkWhole refuses a configuration by which nothing could be served.
func (m *merger) checkWhole() {
	if len(m.configuration.Accounts) == 0 {
		m.problems = append(m.problems, Problem{Source: -1, Text: "no client account is declared"})
	}
	if len(m.configuration.Classes) == 0 {
		m.problems = append(m.problems, Problem{Source: -1, Text: "no request class is declared"})
	}
}
