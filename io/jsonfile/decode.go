package jsonfile

import (
	"encoding"
	"encoding/json"
	"fmt"
	"reflect"
	"time"

	"github.com/tailscale/hujson"
)

// durationType is the type of durations, which are written as strings with a unit.
var durationType = reflect.TypeFor[time.Duration]()

// decoder sets the fields of structs from a parsed file. It caches the fields of struct types.
type decoder struct {
	file   *File
	fields map[reflect.Type]map[string]structField
}

// fieldsOf returns the fields of a struct type, from the cache if possible.
func (d *decoder) fieldsOf(t reflect.Type) map[string]structField {
	fields, found := d.fields[t]
	if !found {
		fields = fieldsOf(t)
		d.fields[t] = fields
	}
	return fields
}

// decode sets the parameter into, which is the field at path, from value, and adds a fault for each error. The rules r
// are checked for arrays and literals only.
func (d *decoder) decode(path string, value hujson.Value, into reflect.Value, r rules) {
	d.file.recordLine(path, value.StartOffset)
	if literal, ok := value.Value.(hujson.Literal); ok && d.file.foreign && literal.Kind() == 'n' {
		return
	}
	if into.Kind() == reflect.Pointer {
		into.Set(reflect.New(into.Type().Elem()))
		into = into.Elem()
	}
	if text, ok := into.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.decodeText(path, value, text)
		return
	}
	switch into.Kind() {
	case reflect.Struct:
		d.decodeObject(path, value, into)
	case reflect.Slice:
		d.decodeArray(path, value, into, r)
	default:
		d.decodeLiteral(path, value, into, r)
	}
}

// decodeText sets a value that implements encoding.TextUnmarshaler from a string.
func (d *decoder) decodeText(path string, value hujson.Value, into encoding.TextUnmarshaler) {
	literal, ok := value.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		d.file.Addf(path, "is %s; want %s", describe(value), typeName(reflect.TypeOf(into).Elem()))
		return
	}
	// netip.AddrPort accepts an empty text as the zero address, but an empty text in a file is a fault.
	if err := into.UnmarshalText([]byte(literal.String())); err != nil || literal.String() == "" {
		d.file.Addf(path, "%q is not valid; want %s", literal.String(), typeName(reflect.TypeOf(into).Elem()))
	}
}

// decodeObject sets the fields of a struct from an object, and calls fillAbsent for those that the object lacks. It
// adds a fault for each unknown or duplicate field.
func (d *decoder) decodeObject(path string, value hujson.Value, into reflect.Value) {
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		d.file.Addf(path, "is %s; want an object", describe(value))
		return
	}
	fields := d.fieldsOf(into.Type())
	seen := make(map[string]bool, len(object.Members))
	for _, member := range object.Members {
		name := memberName(member)
		at := join(path, name)
		field, known := fields[name]
		switch {
		case !known && d.file.foreign:
			d.file.recordLine(at, member.Name.StartOffset)
			d.file.unknown = append(d.file.unknown, at)
		case !known:
			d.file.recordLine(at, member.Name.StartOffset)
			d.file.Addf(at, "unknown field")
		case seen[name]:
			d.file.recordLine(at, member.Name.StartOffset)
			d.file.Addf(at, "duplicate field")
		default:
			d.decode(at, member.Value, into.Field(field.index), field.rules)
		}
		seen[name] = true
	}
	for name, field := range fields {
		if !seen[name] {
			d.fillAbsent(join(path, name), into.Field(field.index), field.rules)
		}
	}
}

// fillAbsent sets a field that is absent in the file to its default. It adds a fault if the field is required.
func (d *decoder) fillAbsent(path string, into reflect.Value, r rules) {
	if r.required {
		d.file.Addf(path, "missing")
		return
	}
	if r.defaultValue != "" {
		setFromText(into, r.defaultValue)
	}
}

// decodeArray sets a slice from an array.
func (d *decoder) decodeArray(path string, value hujson.Value, into reflect.Value, r rules) {
	array, ok := value.Value.(*hujson.Array)
	if !ok {
		d.file.Addf(path, "is %s; want an array", describe(value))
		return
	}
	into.Set(reflect.MakeSlice(into.Type(), len(array.Elements), len(array.Elements)))
	for i, element := range array.Elements {
		d.decode(fmt.Sprintf("%s[%d]", path, i), element, into.Index(i), r.element())
	}
	if problem := r.checkCount(len(array.Elements)); problem != "" {
		d.file.Addf(path, "%s", problem)
	}
}

// decodeLiteral sets a string, number, boolean or duration from a literal.
func (d *decoder) decodeLiteral(path string, value hujson.Value, into reflect.Value, r rules) {
	literal, ok := value.Value.(hujson.Literal)
	if !ok || !hasKind(literal, into) {
		d.file.Addf(path, "is %s; want %s", describe(value), typeName(into.Type()))
		return
	}
	if into.Type() == durationType {
		duration, err := time.ParseDuration(literal.String())
		if err != nil {
			d.file.Addf(path, "%q is not a duration; want a number with a unit, such as \"5s\"", literal.String())
			return
		}
		into.SetInt(int64(duration))
	} else if err := json.Unmarshal(literal, into.Addr().Interface()); err != nil {
		d.file.Addf(path, "is %s; want %s", literal, typeName(into.Type()))
		return
	}
	if problem := r.check(into); problem != "" {
		d.file.Addf(path, "%s", problem)
	}
}

// hasKind reports whether a literal has the JSON kind that the type of into requires.
func hasKind(literal hujson.Literal, into reflect.Value) bool {
	switch {
	case into.Type() == durationType, into.Kind() == reflect.String:
		return literal.Kind() == '"'
	case into.Kind() == reflect.Bool:
		return literal.Kind() == 't' || literal.Kind() == 'f'
	default:
		return literal.Kind() == '0'
	}
}

// describe returns a description of a value for a fault.
func describe(value hujson.Value) string {
	switch v := value.Value.(type) {
	case *hujson.Object:
		return "an object"
	case *hujson.Array:
		return "an array"
	case hujson.Literal:
		return string(v)
	default:
		return "nothing"
	}
}

// memberName returns the name of a member of an object.
func memberName(member hujson.ObjectMember) string {
	literal, _ := member.Name.Value.(hujson.Literal)
	return literal.String()
}

// join returns the path of a field of an object.
func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
