package jsonfile

import (
	"encoding"
	"reflect"
	"slices"
	"strings"
)

// Field describes one field of a file for its reference page.
type Field struct {
	// Path names the field; elements of arrays have "[]" behind the name of the array.
	Path string
	// Type names what is written there, with its unit.
	Type string
	// Default is the value of an absent field, "required" or "".
	Default string
	// Bounds tells which values are allowed, or "".
	Bounds string
}

// Reference returns the fields of the struct type of v in their order.
func Reference(v any) []Field {
	return reference("", reflect.TypeOf(v))
}

// reference returns the fields of a struct under a path.
func reference(path string, t reflect.Type) []Field {
	var fields []Field
	for i := range t.NumField() {
		name := jsonName(t.Field(i))
		r := newRules(t.Field(i).Tag.Get("check"))
		at := join(path, name)
		kind := t.Field(i).Type
		fields = append(fields, Field{Path: at, Type: typeName(kind), Default: r.shownDefault(), Bounds: r.shownBounds()})
		if kind.Kind() == reflect.Slice && isObject(kind.Elem()) {
			fields = append(fields, reference(at+"[]", kind.Elem())...)
		}
		if isObject(kind) {
			fields = append(fields, reference(at, kind)...)
		}
	}
	return fields
}

// shownDefault returns what a page tells of an absent field.
func (r rules) shownDefault() string {
	if r.required {
		return "required"
	}
	return r.fallback
}

// shownBounds returns what a page tells of the allowed values.
func (r rules) shownBounds() string {
	var parts []string
	if r.name {
		parts = append(parts, "name")
	}
	if r.digest {
		parts = append(parts, "digest")
	}
	if r.oneOf != nil {
		parts = append(parts, strings.Join(r.oneOf, ", "))
	}
	if r.least != "" || r.most != "" {
		parts = append(parts, strings.TrimSpace(r.least+" to "+r.most))
	}
	return strings.Join(parts, "; ")
}

// structField is one field of a struct that is filled.
type structField struct {
	index int
	rules rules
}

// fieldsOf returns the fields of a struct type by their names in the file.
func fieldsOf(t reflect.Type) map[string]structField {
	fields := make(map[string]structField, t.NumField())
	for i := range t.NumField() {
		fields[jsonName(t.Field(i))] = structField{index: i, rules: newRules(t.Field(i).Tag.Get("check"))}
	}
	return fields
}

// jsonName returns the name of a field in the file.
func jsonName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	return name
}

// isObject tells whether a type is written as an object.
func isObject(t reflect.Type) bool {
	return t.Kind() == reflect.Struct && !reflect.PointerTo(t).Implements(reflect.TypeFor[encoding.TextUnmarshaler]())
}

// typeName names what is written for a type.
func typeName(t reflect.Type) string {
	names := map[string]string{"AddrPort": "an IP address with a port", "Tokens": "a whole number of tokens"}
	kinds := []reflect.Kind{reflect.Int, reflect.Int64, reflect.Uint64, reflect.Uint}
	switch {
	case names[t.Name()] != "":
		return names[t.Name()]
	case t == durationType:
		return "a duration"
	case t.Kind() == reflect.Slice:
		return "an array"
	case isObject(t):
		return "an object"
	case t.Kind() == reflect.String || t.Kind() == reflect.Struct:
		return "a string"
	case t.Kind() == reflect.Bool:
		return "true or false"
	case slices.Contains(kinds, t.Kind()):
		return "a whole number"
	default:
		return "a number"
	}
}
