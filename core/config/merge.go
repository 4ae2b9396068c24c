package config

import (
	"fmt"

	"wisteriadyke/core/fleet"
)

// Source is the content of one declaration file.
type Source struct {
	// Name is the path of the file.
	Name string
	// Accounts holds the client accounts in the order of the file.
	Accounts []Account
	// Classes holds the request classes in the order of the file.
	Classes []Class
}

// Problem describes an error in one field of one source, or in the configuration as a whole.
type Problem struct {
	// Source is the index of the source, or -1 for the configuration as a whole.
	Source int
	// Field is the path of the field in the source, as in "classes[2].wait"; "" for the configuration as a whole.
	Field string
	// Text describes the error.
	Text string
}

// Merge combines all sources into one configuration and returns it with all problems found. The revision is not set.
func Merge(sources []Source) (Configuration, []Problem) {
	m := merger{
		configuration: Configuration{
			Accounts: make(map[fleet.AccountID]Account),
			Classes:  make(map[fleet.ClassName]Class),
		},
		sources:  sources,
		accounts: make(map[fleet.AccountID]location),
		classes:  make(map[fleet.ClassName]location),
		digests:  make(map[string]location),
		pools:    make(map[fleet.PoolName]poolUse),
	}
	for i, source := range sources {
		for n, account := range source.Accounts {
			m.addAccount(location{source: i, path: fmt.Sprintf("accounts[%d]", n)}, account)
		}
		for n, class := range source.Classes {
			m.addClass(location{source: i, path: fmt.Sprintf("classes[%d]", n)}, class)
		}
	}
	m.checkNotEmpty()
	return m.configuration, m.problems
}

// location is where an account or a class is declared: the index of its source and the path within the source.
type location struct {
	source int
	path   string
}

// poolUse is the location of the first class that uses a pool, and its kind, which all classes of the pool must have.
type poolUse struct {
	location
	kind fleet.Kind
}

// merger builds the configuration from the declarations of the sources and collects their problems.
type merger struct {
	configuration Configuration
	sources       []Source
	accounts      map[fleet.AccountID]location
	classes       map[fleet.ClassName]location
	digests       map[string]location
	pools         map[fleet.PoolName]poolUse
	problems      []Problem
}

// addProblemf adds a problem of a field of the account or class at p.
func (m *merger) addProblemf(p location, field, format string, args ...any) {
	m.problems = append(m.problems, Problem{
		Source: p.source,
		Field:  p.path + "." + field,
		Text:   fmt.Sprintf(format, args...),
	})
}

// describe returns the text that names a location in a problem.
func (m *merger) describe(p location) string {
	return p.path + " of " + m.sources[p.source].Name
}

// addAccount checks a client account and adds it to the configuration, even if it has problems, unless its name is
// declared already.
func (m *merger) addAccount(p location, account Account) {
	for _, problem := range account.problems() {
		m.addProblemf(p, problem.Field, "%s", problem.Text)
	}
	if first, found := m.accounts[account.Name]; found && account.Name != "" {
		m.addProblemf(p, "name", "account %q is declared already at %s", account.Name, m.describe(first))
		return
	}
	if first, found := m.digests[account.KeyDigest]; found && account.KeyDigest != "" {
		m.addProblemf(p, "key_digest", "the key already belongs to the account at %s", m.describe(first))
	}
	m.accounts[account.Name] = p
	m.digests[account.KeyDigest] = p
	m.configuration.Accounts[account.Name] = account
}

// addClass checks a request class and adds it to the configuration, even if it has problems, unless its name is
// declared already.
func (m *merger) addClass(p location, class Class) {
	for _, problem := range class.problems() {
		m.addProblemf(p, problem.Field, "%s", problem.Text)
	}
	if first, found := m.classes[class.Name]; found && class.Name != "" {
		m.addProblemf(p, "name", "class %q is declared already at %s", class.Name, m.describe(first))
		return
	}
	use, found := m.pools[class.Pool]
	if found && class.Kind != "" && use.kind != class.Kind {
		m.addProblemf(p, "kind", "pool %q has the kind %q at %s", class.Pool, use.kind, m.describe(use.location))
	}
	if !found && class.Pool != "" && class.Kind != "" {
		m.pools[class.Pool] = poolUse{location: p, kind: class.Kind}
	}
	m.classes[class.Name] = p
	m.configuration.Classes[class.Name] = class
}

// checkNotEmpty adds a problem if there is no account or no class, since nothing could be served then.
func (m *merger) checkNotEmpty() {
	if len(m.configuration.Accounts) == 0 {
		m.problems = append(m.problems, Problem{Source: -1, Text: "no client account is declared"})
	}
	if len(m.configuration.Classes) == 0 {
		m.problems = append(m.problems, Problem{Source: -1, Text: "no request class is declared"})
	}
}
