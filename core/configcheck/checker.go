package configcheck

import (
	"fmt"
	"net/netip"
	"regexp"
	"strings"
	"time"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/routing"
)

// maxHostLength is the longest host name that DNS permits.
const maxHostLength = 253

// labelPattern matches a label of a host name by RFC 1123, in lower case.
var labelPattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// checker accumulates findings.
type checker struct {
	findings []Finding
}

// errorf adds an error.
func (k *checker) errorf(place Place, advice, format string, args ...any) {
	k.findings = append(k.findings, Finding{SeverityError, place, fmt.Sprintf(format, args...), advice})
}

// warnf adds a warning.
func (k *checker) warnf(place Place, advice, format string, args ...any) {
	k.findings = append(k.findings, Finding{SeverityWarning, place, fmt.Sprintf(format, args...), advice})
}

// checkRoutes checks the routes.
func (k *checker) checkRoutes(c Configuration, o Options) {
	pools := make(map[fleet.PoolName]bool)
	for _, p := range c.Pools {
		pools[p.Name] = true
	}
	names, targets := make(map[string]bool), make(map[[2]string]string)
	for i, r := range c.Routes {
		at := func(f Field) Place { return Place{Subject: SubjectRoute, Index: i, Field: f} }
		if names[r.Name] {
			k.warnf(at(FieldName), "give each route a name of its own, by which logs and metrics tell them apart",
				"%q is the name of another route, too", r.Name)
		}
		names[r.Name] = true
		target := [2]string{routing.NormalizeHost(r.Host), r.Prefix}
		if first, found := targets[target]; found {
			k.errorf(at(FieldPrefix), "remove one of the two routes, or change its host or prefix",
				"no request matches: route %q before it has the same host and prefix", first)
		} else {
			targets[target] = r.Name
		}
		k.checkTarget(r, at)
		k.checkRouteLimits(r, o, at)
		k.checkRoutePools(r, pools, at)
	}
}

// checkTarget checks the host, the prefix and the kind of a route.
func (k *checker) checkTarget(r Route, at func(Field) Place) {
	host := routing.NormalizeHost(r.Host)
	switch {
	case !isHost(host):
		k.errorf(at(FieldHost), "write the name that callers send in the Host header, such as app.example",
			"%q is not a host name, so that callers can't resolve it", r.Host)
	case host != strings.ToLower(strings.TrimSuffix(r.Host, ".")):
		k.warnf(at(FieldHost), "leave the port out: the route matches requests to every port", "%q names a port", r.Host)
	}
	switch {
	case !strings.HasPrefix(r.Prefix, "/"):
		k.errorf(at(FieldPrefix), "begin the prefix with a slash", "no request matches: %q does not begin with a slash", r.Prefix)
	case !strings.HasSuffix(r.Prefix, "/"):
		k.errorf(at(FieldPrefix), "end the prefix with a slash, or requests for longer names match as well",
			"%q does not end with a slash", r.Prefix)
	}
	if r.UnknownKind != "" {
		k.warnf(at(FieldKind), "write one of the known kinds; requests of any other kind run at most once",
			"%q is not a known kind", r.UnknownKind)
	}
}

// checkRouteLimits checks the limits of a route against each other.
func (k *checker) checkRouteLimits(r Route, o Options, at func(Field) Place) {
	for _, f := range []struct {
		field Field
		value time.Duration
	}{{FieldTimeout, r.Timeout}, {FieldObjective, r.Objective}, {FieldPauseObjective, r.PauseObjective}} {
		if f.value < 0 {
			k.errorf(at(f.field), "write a positive time, or leave the field out", "is negative (%v)", f.value)
		}
	}
	timeout := r.Timeout
	if timeout <= 0 {
		timeout = o.DefaultTimeout
	}
	if r.Objective > timeout {
		k.errorf(at(FieldTimeout), "raise the timeout or lower the objective",
			"requests end after %v, before their objective of %v", timeout, r.Objective)
	}
	if r.PauseObjective > 0 && !r.Stream {
		k.errorf(at(FieldPauseObjective), "remove it, or declare the route as a stream: it shortens the pauses that all streams "+
			"of the same service are planned with", "the route is not a stream, so that its answers have no pauses")
	}
	if r.Resumable && !r.Stream {
		k.warnf(at(FieldResumable), "remove it, or declare the route as a stream", "has no effect, since the route is not a stream")
	}
	switch {
	case r.MaxAttempts < 1:
		k.errorf(at(FieldMaxAttempts), "write 1 for no retry, or more", "is %d, which counts as 1", r.MaxAttempts)
	case r.MaxAttempts-1 > o.MaxRetries:
		k.errorf(at(FieldMaxAttempts), fmt.Sprintf("write at most %d, or raise the retry burst of the entries", o.MaxRetries+1),
			"is %d, but the budget of one entry holds at most %d retries", r.MaxAttempts, o.MaxRetries)
	case r.MaxAttempts > 1 && r.Repeatability == routing.Once:
		k.warnf(at(FieldMaxAttempts), "write 1, or declare the route as idempotent or as a resumable stream if its requests may run again",
			"is %d, but requests of this route run at most once", r.MaxAttempts)
	}
}

// checkRoutePools checks the pools of a route and their weights.
func (k *checker) checkRoutePools(r Route, pools map[fleet.PoolName]bool, at func(Field) Place) {
	if r.IgnoredPool != "" {
		k.warnf(at(FieldPool), "remove one of the two", "has no effect, since the route has a split")
	}
	if len(r.Pools) == 0 {
		k.errorf(at(FieldPool), "name the service that serves the route", "is missing: every request is refused")
		return
	}
	var total float64
	for j, p := range r.Pools {
		poolPlace, weightPlace := at(FieldSplitPool), at(FieldSplitWeight)
		poolPlace.Element, weightPlace.Element = j+1, j+1
		if !pools[p.Pool] {
			if len(r.Pools) == 1 {
				poolPlace = at(FieldPool)
			}
			k.errorf(poolPlace, "name a declared service, or declare this one", "service %q is not declared", p.Pool)
		}
		if p.Weight < 0 {
			k.errorf(weightPlace, "write a weight of at least 0", "is negative (%v)", p.Weight)
		}
		total += p.Weight
	}
	if total <= 0 {
		k.errorf(at(FieldSplit), "give at least one service a positive weight",
			"the weights are all zero or negative: every request is refused")
	}
}

// checkPools checks the pools.
func (k *checker) checkPools(c Configuration) {
	used, names := make(map[fleet.PoolName]bool), make(map[fleet.PoolName]bool)
	for _, r := range c.Routes {
		for _, p := range r.Pools {
			used[p.Pool] = true
		}
	}
	for i, p := range c.Pools {
		at := func(f Field) Place { return Place{Subject: SubjectPool, Index: i, Field: f} }
		switch {
		case p.Name == "":
			k.errorf(at(FieldName), "name the service", "is missing")
		case names[p.Name]:
			k.errorf(at(FieldName), "remove one of the two: the last one replaces the others", "service %q is declared already", p.Name)
		case !used[p.Name]:
			k.warnf(at(FieldName), "remove the service, or name it in a route", "no route uses service %q", p.Name)
		}
		names[p.Name] = true
		switch {
		case p.ColdRate < 0:
			k.errorf(at(FieldColdRate), "write a positive rate, or leave the field out", "is negative (%v)", p.ColdRate)
		case p.ColdRate > 0 && p.ColdTime <= 0:
			k.errorf(at(FieldColdRate), "add the duration of a cold start, or remove the rate",
				"is %v per second, but the service has no cold time", p.ColdRate)
		}
	}
}

// checkAccounts checks the accounts and their keys.
func (k *checker) checkAccounts(c Configuration) {
	if len(c.Accounts) == 0 {
		k.warnf(Place{Subject: SubjectAccount, Index: -1}, "declare accounts with keys, unless every caller may use all routes",
			"there is no account: requests need no key")
	}
	names, holders := make(map[fleet.AccountID]bool), make(map[string]fleet.AccountID)
	for i, a := range c.Accounts {
		at := func(f Field) Place { return Place{Subject: SubjectAccount, Index: i, Field: f} }
		if names[a.Name] {
			k.warnf(at(FieldName), "declare one account with the keys of both", "account %q is declared already", a.Name)
		}
		names[a.Name] = true
		if len(a.Keys) == 0 {
			k.warnf(at(FieldKeys), "add a key, or remove the account", "account %q has no key and can't be used", a.Name)
		}
		for j, key := range a.Keys {
			place := at(FieldKeys)
			place.Element = j + 1
			holder, held := holders[key]
			switch {
			case key == "":
				k.errorf(place, "remove it: requests without a key count as requests of this account", "the key is empty")
			case held && holder == a.Name:
				k.warnf(place, "remove one of the two", "key %s is listed already", MaskKey(key))
			case held:
				k.errorf(place, "give each account a key of its own; the last account gets the requests",
					"key %s belongs to account %q, too", MaskKey(key), holder)
			}
			holders[key] = a.Name
		}
	}
}

// isHost reports whether a normalized host is a host name or an IP address.
func isHost(host string) bool {
	if _, err := netip.ParseAddr(strings.Trim(host, "[]")); err == nil {
		return true
	}
	if len(host) > maxHostLength {
		return false
	}
	for label := range strings.SplitSeq(host, ".") {
		if !labelPattern.MatchString(label) {
			return false
		}
	}
	return true
}

// MaskKey returns a text by which an operator can recognize a key, but not use it: its first four characters if it has
// at least 16, else only its length.
func MaskKey(key string) string {
	const shown, minLength = 4, 16
	if len(key) < minLength {
		return fmt.Sprintf("(%d characters)", len(key))
	}
	return key[:shown] + "..."
}
