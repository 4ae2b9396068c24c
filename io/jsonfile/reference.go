package jsonfile

import (
	"encoding"
	"reflect"
	"slices"
	"strings"
)

// Field describes one field of a file for its reference page.
type Field struct {
	// Path is the path of the field. The name of an array is followed by "[]" in the paths of its elements.
	Path string
	// Type describes the type of the value, with its unit.
	Type string
	// Default is the value of an absent field as text, "required" if the field must be present, or "" for the zero value.
	Default string
	// Bounds describes the allowed values; "" if there is no restriction.
	Bounds string
}

// Reference returns the fields of the struct type of v, including those of nested objects, in the order of their
// declaration.
func Reference(v any) []Field {
	return reference("", reflect.TypeOf(v))
}

// reference returns the fields of a struct type under a path prefix.
func reference(path string, t reflect.Type) []Field {
	var fields []Field
	for i := range t.NumField() {
		name := jsonName(t.Field(i))
		r := newRules(t.Field(i).Tag.Get("check"))
		at := join(path, name)
		kind := t.Field(i).Type
		fields = append(fields, Field{Path: at, Type: typeName(kind), Default: r.describeDefault(), Bounds: r.describeBounds()})
		if kind.Kind() == reflect.Slice && isObject(kind.Elem()) {
			fields = append(fields, reference(at+"[]", kind.Elem())...)
		}
		if isObject(kind) {
			fields = append(fields, reference(at, kind)...)
		}
	}
	return fields
}

// describeDefault returns the text for Field.Default.
func (r rules) describeDefault() string {
	if r.required {
		return "required"
	}
	return r.defaultValue
}

// describeBounds returns the text for Field.Bounds.
func (r rules) describeBounds() string {
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
	if r.lower != "" || r.upper != "" {
		parts = append(parts, strings.TrimSpace(r.lower+" to "+r.upper))
	}
	return strings.Join(parts, "; ")
}

// structField is the index and the rules of a struct field.
type structField struct {
	index int
	rules rules
}

// fieldsOf returns the fields of a struct type by their JSON names.
func fieldsOf(t reflect.Type) map[string]structField {
	fields := make(map[string]structField, t.NumField())
	for i := range t.NumField() {
		fields[jsonName(t.Field(i))] = structField{index: i, rules: newRules(t.Field(i).Tag.Get("check"))}
	}
	return fields
}

// jsonName returns the JSON name of a field.
func jsonName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	return name
}

// isObject reports whether values of a type are written as JSON objects.
func isObject(t reflect.Type) bool {
	return t.Kind() == reflect.Struct && !reflect.PointerTo(t).Implements(reflect.TypeFor[encoding.TextUnmarshaler]())
}

// typeName returns a description of the JSON value for a type.
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
