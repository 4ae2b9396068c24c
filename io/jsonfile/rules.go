package jsonfile

import (
	"encoding"
	"fmt"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Patterns of names and digests.
var (
	namePattern   = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)
	digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// rules are the constraints and the default of a field.
type rules struct {
	required     bool
	name         bool
	digest       bool
	defaultValue string
	lower        string
	upper        string
	oneOf        []string
}

// newRules parses the check tag of a field.
func newRules(tag string) rules {
	var r rules
	for part := range strings.SplitSeq(tag, ",") {
		key, value, _ := strings.Cut(part, "=")
		switch key {
		case "required":
			r.required = true
		case "name":
			r.name = true
		case "digest":
			r.digest = true
		case "default":
			r.defaultValue = value
		case "min":
			r.lower = value
		case "max":
			r.upper = value
		case "oneof":
			r.oneOf = strings.Split(value, "|")
		}
	}
	return r
}

// element returns the rules for the elements of an array with the rules r. The bounds apply to the array itself.
func (r rules) element() rules {
	return rules{name: r.name, digest: r.digest, oneOf: r.oneOf}
}

// checkCount returns the problem with the number of elements of an array, or "".
func (r rules) checkCount(count int) string {
	return r.checkBounds(reflect.ValueOf(count), fmt.Sprintf("has %d elements", count))
}

// check returns the problem with a value, or "".
func (r rules) check(value reflect.Value) string {
	if value.Kind() == reflect.String {
		return r.checkString(value.String())
	}
	return r.checkBounds(value, fmt.Sprintf("is %v", value.Interface()))
}

// checkString returns the problem with a string, or "".
func (r rules) checkString(s string) string {
	switch {
	case r.name && !namePattern.MatchString(s):
		return fmt.Sprintf("%q is not a name; want 1 to 63 lower-case letters, digits, '.', '_' or '-'", s)
	case r.digest && !digestPattern.MatchString(s):
		return fmt.Sprintf("%q is not a digest; want SHA-256 as 64 lower-case hexadecimal digits", s)
	case r.oneOf != nil && !slices.Contains(r.oneOf, s):
		return fmt.Sprintf("is %q; want one of %s", s, strings.Join(r.oneOf, ", "))
	case r.required && s == "":
		return "is empty"
	}
	return ""
}

// checkBounds returns the problem with a number or duration that is out of bounds, or "". The text begins with the
// argument what.
func (r rules) checkBounds(value reflect.Value, what string) string {
	switch {
	case r.lower != "" && toFloat(value) < parseBound(value.Type(), r.lower):
		return fmt.Sprintf("%s; want at least %s", what, r.lower)
	case r.upper != "" && toFloat(value) > parseBound(value.Type(), r.upper):
		return fmt.Sprintf("%s; want at most %s", what, r.upper)
	}
	return ""
}

// toFloat returns a number or duration as a float, 0 for other kinds.
func toFloat(value reflect.Value) float64 {
	switch {
	case value.CanInt():
		return float64(value.Int())
	case value.CanUint():
		return float64(value.Uint())
	case value.CanFloat():
		return value.Float()
	default:
		return 0
	}
}

// parseBound parses a bound from a tag as a value of type t and returns it as a float.
func parseBound(t reflect.Type, text string) float64 {
	bound := reflect.New(t).Elem()
	setFromText(bound, text)
	return toFloat(bound)
}

// setFromText sets a value from a default or bound in a tag, which is assumed to be valid.
func setFromText(into reflect.Value, text string) {
	if unmarshaler, ok := into.Addr().Interface().(encoding.TextUnmarshaler); ok {
		_ = unmarshaler.UnmarshalText([]byte(text))
		return
	}
	switch {
	case into.Type() == durationType:
		duration, _ := time.ParseDuration(text)
		into.SetInt(int64(duration))
	case into.Kind() == reflect.String:
		into.SetString(text)
	case into.Kind() == reflect.Bool:
		into.SetBool(text == "true")
	case into.CanInt():
		n, _ := strconv.ParseInt(text, 10, 64)
		into.SetInt(n)
	case into.CanUint():
		n, _ := strconv.ParseUint(text, 10, 64)
		into.SetUint(n)
	case into.CanFloat():
		n, _ := strconv.ParseFloat(text, 64)
		into.SetFloat(n)
	}
}
