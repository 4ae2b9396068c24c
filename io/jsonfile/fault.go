package jsonfile

import (
	"fmt"
	"strings"
)

// Fault is one thing that is wrong in a file.
type Fault struct {
	// File is the path of the file.
	File string
	// Line is the line in the file, from 1; 0 means the file as a whole.
	Line int
	// Field is the path of the field, as in "accounts[2].weight"; "" means the whole file.
	Field string
	// Problem tells what is wrong.
	Problem string
}

// Error returns the fault in one line.
func (f Fault) Error() string {
	var b strings.Builder
	b.WriteString(f.File)
	if f.Line > 0 {
		fmt.Fprintf(&b, ":%d", f.Line)
	}
	if f.Field != "" {
		b.WriteString(": " + f.Field)
	}
	b.WriteString(": " + f.Problem)
	return b.String()
}

// Faults is everything that is wrong in one or several files.
type Faults []Fault

// Error returns one line for each fault.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.Error()
	}
	return strings.Join(lines, "\n")
}

// Err returns the faults as an error, nil when there are none.
func (f Faults) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}
