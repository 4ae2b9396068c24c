// Package configcheck checks an operators' configuration of routes before it is put in force, and lists how it differs
// from another one.
package configcheck

import (
	"time"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/routing"
)

// Configuration is a configuration as its file declares it, in the order of the file.
type Configuration struct {
	// Version is the version of the configuration.
	Version int64
	// Routes holds all routes.
	Routes []Route
	// Pools holds all pools.
	Pools []routing.Pool
	// Accounts holds all client accounts.
	Accounts []Account
	// Limits limits what callers may send.
	Limits routing.Limits
}

// Route is a declared route.
type Route struct {
	routing.Route
	// Resumable reports whether the route is declared as resumable, which has an effect on streams only.
	Resumable bool
	// UnknownKind is the declared kind of requests if it is none of the known ones.
	UnknownKind string
	// IgnoredPool is the pool that is declared beside a split, which replaces it.
	IgnoredPool fleet.PoolName
}

// Account is a declared client account.
type Account struct {
	// Name is the name of the account.
	Name fleet.AccountID
	// Keys holds its API keys.
	Keys []string
	// Rank orders the accounts by importance.
	Rank int
}

// Severity is the severity of a finding.
type Severity int

// The severities.
const (
	// SeverityError means that requests are not served as the configuration declares, or that it can't come in force.
	SeverityError Severity = iota
	// SeverityWarning means that a declaration has no effect or most likely not the intended one.
	SeverityWarning
)

// String returns the name of the severity.
func (s Severity) String() string {
	if s == SeverityWarning {
		return "warning"
	}
	return "error"
}

// Subject is the kind of object that a finding or a change is about.
type Subject int

// The subjects.
const (
	SubjectConfiguration Subject = iota
	SubjectRoute
	SubjectPool
	SubjectAccount
	SubjectLimits
)

// String returns the name of the subject.
func (s Subject) String() string {
	return [...]string{"configuration", "route", "service", "account", "limits"}[s]
}

// Field is a field of a subject. Its value names it in changes; the format of the file may use another name.
type Field string

// The fields.
const (
	FieldNone           Field = ""
	FieldVersion        Field = "version"
	FieldName           Field = "name"
	FieldHost           Field = "host"
	FieldPrefix         Field = "prefix"
	FieldKind           Field = "kind"
	FieldTimeout        Field = "timeout"
	FieldObjective      Field = "objective"
	FieldPauseObjective Field = "pause objective"
	FieldRank           Field = "rank"
	FieldPool           Field = "service"
	FieldSplit          Field = "split"
	FieldSplitPool      Field = "service of the split"
	FieldSplitWeight    Field = "weight of the split"
	FieldMaxAttempts    Field = "attempts"
	FieldPublic         Field = "public"
	FieldResumable      Field = "resumable"
	FieldMaxConnections Field = "connections"
	FieldColdRate       Field = "cold rate"
	FieldColdTime       Field = "cold time"
	FieldEngine         Field = "engine"
	FieldKeys           Field = "keys"
	FieldHeaderBytes    Field = "header bytes"
	FieldBodyBytes      Field = "body bytes"
	FieldHeaderTimeout  Field = "header timeout"
	FieldIdleTimeout    Field = "idle timeout"
)

// Place is where a finding is in the configuration.
type Place struct {
	// Subject is the kind of object, and Index its index among those of its kind.
	Subject Subject
	Index   int
	// Field is the field, and Element the number of the element if it is a list, from 1; 0 stands for the whole list.
	Field   Field
	Element int
}

// Finding is something that an operator should change or know.
type Finding struct {
	// Severity tells errors from warnings.
	Severity Severity
	// Place is where it is.
	Place Place
	// Problem describes it, and Advice says what to do.
	Problem, Advice string
}

// Options holds what the configuration doesn't state.
type Options struct {
	// DefaultTimeout bounds the requests of a route without a timeout.
	DefaultTimeout time.Duration
	// MaxRetries is the number of retries that the budget of one entry can hold.
	MaxRetries int
}

// Check returns the findings about a configuration, those of one subject together.
func Check(c Configuration, o Options) []Finding {
	var k checker
	if c.Version < 1 {
		k.errorf(Place{Field: FieldVersion}, "write a positive version, higher than the one in force", "is %d", c.Version)
	}
	k.checkRoutes(c, o)
	k.checkPools(c)
	k.checkAccounts(c)
	return k.findings
}

// CheckVersion returns the finding about the version of a configuration that is to replace another one.
func CheckVersion(c, inForce Configuration) []Finding {
	var k checker
	if c.Version <= inForce.Version {
		k.errorf(Place{Field: FieldVersion}, "entries ignore a version that is not higher: write a higher one",
			"is %d, and %d is in force", c.Version, inForce.Version)
	}
	return k.findings
}
