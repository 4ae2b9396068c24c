// Package jsonfile reads JSON files with comments and reports all faults of a file at once.
//
// Struct fields define their rules in a tag named check, whose parts are separated by commas: required, default=VALUE,
// min=VALUE, max=VALUE, oneof=A|B, name (lower-case letters, digits and . _ -) and digest (SHA-256 in hexadecimal).
// Bounds of arrays count elements, bounds of durations are durations.
package jsonfile

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"reflect"
	"sort"
	"strings"

	"github.com/tailscale/hujson"
)

const (
	// maxFileBytes bounds the size of a file.
	maxFileBytes = 16 << 20
	// maxDepth bounds the nesting depth of arrays and objects.
	maxDepth = 100
)

// File is a decoded file with the line of each field and its faults.
type File struct {
	// Name is the path of the file.
	Name string

	newlines []int
	lines    map[string]int
	faults   Faults
	// foreign reports whether another system owns the format; unknown then holds the fields that the struct lacks.
	foreign bool
	unknown []string
}

// Read decodes the file at path into the struct that into points to. The error is of type Faults. Unlike ReadFile, it
// returns no File, so the caller can't add faults of its own.
func Read(path string, into any) error {
	return ReadFile(path, into).Faults().Err()
}

// Decode decodes data, the content of the file called name, into the struct that into points to. The error is of type
// Faults. Unlike Parse, it returns no File, so the caller can't add faults of its own.
func Decode(name string, data []byte, into any) error {
	return Parse(name, data, into).Faults().Err()
}

// ReadFile decodes the file at path into the struct that into points to, and returns the file with its faults, to which
// the caller can add more. A file that can't be read is a fault as well.
func ReadFile(path string, into any) *File {
	data, problem := readLimited(path)
	if problem != "" {
		return newFailedFile(path, problem)
	}
	return Parse(path, data, into)
}

// readLimited returns the content of the file at path, or why it can't be read.
func readLimited(path string) (data []byte, problem string) {
	info, err := os.Stat(path)
	if err == nil && info.Size() > maxFileBytes {
		return nil, fmt.Sprintf("has %d bytes; want at most %d", info.Size(), maxFileBytes)
	}
	data, err = os.ReadFile(path)
	if err != nil {
		return nil, "cannot be read: " + errorCause(err)
	}
	return data, ""
}

// Parse decodes data, the content of the file called name, into the struct that into points to, and returns the file
// with its faults, to which the caller can add more. It reads no file.
func Parse(name string, data []byte, into any) *File {
	return parse(&File{Name: name}, data, into)
}

// ReadForeign is like ReadFile for a file whose format another system owns: it must be plain JSON without comments,
// fields that the struct lacks are no faults, but returned by Unknown, and null counts as absent.
func ReadForeign(path string, into any) *File {
	data, problem := readLimited(path)
	if problem != "" {
		return newFailedFile(path, problem)
	}
	f := parse(&File{Name: path, foreign: true}, data, into)
	var syntax *json.SyntaxError
	if err := json.Unmarshal(data, new(any)); errors.As(err, &syntax) && len(f.faults) == 0 {
		line := 1 + sort.SearchInts(f.newlines, int(syntax.Offset)-1)
		f.faults = append(f.faults, Fault{File: path, Line: line, Problem: "is not plain JSON: " + syntax.Error()})
	}
	return f
}

// parse decodes data into the struct that into points to, and returns the file f, which has a name only.
func parse(f *File, data []byte, into any) *File {
	f.lines, f.newlines = make(map[string]int), newlines(data)
	if nestingDepth(data) > maxDepth {
		f.Addf("", "arrays and objects are nested more than %d levels deep", maxDepth)
		return f
	}
	value, err := hujson.Parse(data)
	if err != nil {
		f.addSyntaxFault(err)
		return f
	}
	d := decoder{file: f, fields: make(map[reflect.Type]map[string]structField)}
	d.decode("", value, reflect.ValueOf(into).Elem(), rules{})
	return f
}

// Faults returns all faults so far, ordered by line.
func (f *File) Faults() Faults {
	sort.SliceStable(f.faults, func(i, j int) bool { return f.faults[i].Line < f.faults[j].Line })
	return f.faults
}

// Addf adds a fault of a field, at the line that Line returns.
func (f *File) Addf(field, format string, args ...any) {
	f.faults = append(f.faults, Fault{
		File:    f.Name,
		Line:    f.Line(field),
		Field:   field,
		Problem: fmt.Sprintf(format, args...),
	})
}

// Line returns the line of a field. For a field that is absent in the file, it returns the line of the innermost
// enclosing one.
func (f *File) Line(field string) int {
	for {
		if line, found := f.lines[field]; found || field == "" {
			return line
		}
		field = field[:max(strings.LastIndexAny(field, ".["), 0)]
	}
}

// Has reports whether the file contains a field.
func (f *File) Has(field string) bool {
	_, found := f.lines[field]
	return found
}

// Unknown returns the paths of the fields that the struct lacks, in the order of the file, if the file was read by
// ReadForeign.
func (f *File) Unknown() []string {
	return f.unknown
}

// newFailedFile returns a file that cannot be read, with the reason as its only fault.
func newFailedFile(name, problem string) *File {
	return &File{Name: name, faults: Faults{{File: name, Problem: problem}}}
}

// errorCause returns the text of a file error without the operation and the path.
func errorCause(err error) string {
	if pathErr, ok := err.(*os.PathError); ok { //nolint:errorlint // os.ReadFile returns it unwrapped.
		return pathErr.Err.Error()
	}
	return err.Error()
}

// addSyntaxFault adds a fault from a parser error, whose text contains line and column.
func (f *File) addSyntaxFault(err error) {
	fault := Fault{File: f.Name, Problem: err.Error()}
	var line, column int
	if n, _ := fmt.Sscanf(err.Error(), "hujson: line %d, column %d:", &line, &column); n == 2 {
		_, problem, _ := strings.Cut(err.Error(), ": line")
		_, problem, _ = strings.Cut(problem, ": ")
		fault.Line = line
		fault.Problem = fmt.Sprintf("column %d: %s", column, problem)
	}
	f.faults = append(f.faults, fault)
}

// recordLine records the line of a field from its byte offset.
func (f *File) recordLine(field string, offset int) {
	f.lines[field] = 1 + sort.SearchInts(f.newlines, offset)
}

// newlines returns the offsets of all line feeds.
func newlines(data []byte) []int {
	var offsets []int
	for i, b := range data {
		if b == '\n' {
			offsets = append(offsets, i)
		}
	}
	return offsets
}

// nestingDepth returns the greatest number of brackets that are open at once. It only approximates the nesting depth,
// since brackets in strings and comments are counted, too.
func nestingDepth(data []byte) int {
	var current, deepest int
	for _, b := range data {
		switch b {
		case '[', '{':
			current++
			deepest = max(deepest, current)
		case ']', '}':
			current--
		}
	}
	return deepest
}
