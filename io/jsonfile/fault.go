package jsonfile

import (
	"fmt"
	"strings"
)

// Fault is one error in a file.
type Fault struct {
	// File is the path of the file.
	File string
	// Line is the line in the file, from 1; 0 stands for the whole file.
	Line int
	// Field is the path of the field, as in "accounts[2].weight"; "" stands for the whole file.
	Field string
	// Problem describes the error.
	Problem string
}

// Error returns the fault on one line.
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

// Faults contains all errors of one or more files.
type Faults []Fault

// Error returns one line for each fault.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.Error()
	}
	return strings.Join(lines, "\n")
}

// Err returns the faults as an error, nil if there are none.
func (f Faults) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}
