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

// The patterns of names and digests.
var (
	namePattern   = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)
	digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// rules are what a field must keep to.
type rules struct {
	required bool
	name     bool
	digest   bool
	fallback string
	least    string
	most     string
	oneOf    []string
}

// newRules reads the check tag of a field.
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
			r.fallback = value
		case "min":
			r.least = value
		case "max":
			r.most = value
		case "oneof":
			r.oneOf = strings.Split(value, "|")
		}
	}
	return r
}

// element returns the rules of the elements of an array.
func (r rules) element() rules {
	return rules{name: r.name, digest: r.digest, oneOf: r.oneOf}
}

// checkCount returns what is wrong with the number of elements of an array, or "".
func (r rules) checkCount(count int) string {
	return r.checkBounds(reflect.ValueOf(count), fmt.Sprintf("has %d elements", count))
}

// check returns what is wrong with a value, or "".
func (r rules) check(value reflect.Value) string {
	if value.Kind() == reflect.String {
		return r.checkString(value.String())
	}
	return r.checkBounds(value, fmt.Sprintf("is %v", value.Interface()))
}

// checkString returns what is wrong with a string, or "".
func (r rules) checkString(s string) string {
	switch {
	case r.name && !namePattern.MatchString(s):
		return fmt.Sprintf("%q is no name; want 1 to 63 lower-case letters, digits, '.', '_' or '-'", s)
	case r.digest && !digestPattern.MatchString(s):
		return fmt.Sprintf("%q is no digest; want SHA-256 as 64 lower-case hexadecimal digits", s)
	case r.oneOf != nil && !slices.Contains(r.oneOf, s):
		return fmt.Sprintf("is %q; want one of %s", s, strings.Join(r.oneOf, ", "))
	case r.required && s == "":
		return "is empty"
	}
	return ""
}

// checkBounds returns how a number or duration leaves its bounds, or "".
func (r rules) checkBounds(value reflect.Value, what string) string {
	switch {
	case r.least != "" && amount(value) < amountOf(value.Type(), r.least):
		return fmt.Sprintf("%s; want at least %s", what, r.least)
	case r.most != "" && amount(value) > amountOf(value.Type(), r.most):
		return fmt.Sprintf("%s; want at most %s", what, r.most)
	}
	return ""
}

// amount returns a number or duration as a float.
func amount(value reflect.Value) float64 {
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

// amountOf returns a bound of a tag as a float.
func amountOf(t reflect.Type, text string) float64 {
	bound := reflect.New(t).Elem()
	setText(bound, text)
	return amount(bound)
}

// setText fills a value from the text of a tag, which is the program's own and valid.
func setText(into reflect.Value, text string) {
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
