package declaration

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"

	"wisteriadyke/io/jsonfile"
)

// FuzzDeclaration checks that any file is either rejected with faults that name it, or survives encoding and decoding
// of its stored form.
func FuzzDeclaration(f *testing.F) {
	paths, err := filepath.Glob("../../examples/*/declarations/*.hujson")
	if err != nil || len(paths) == 0 {
		f.Fatalf("no example declarations: %v", err)
	}
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var parsed file
		var m merger
		m.add(jsonfile.Parse("f", data, &parsed), parsed)
		want, err := m.merge()
		if err != nil {
			checkFaults(t, "f", data, err)
			return
		}
		want.Revision = 1
		stored, err := Encode(want)
		if err != nil {
			t.Fatal(err)
		}
		got, err := Decode(stored)
		if err != nil {
			t.Fatalf("decode the stored form of a valid file: %v", err)
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("stored form differs (-want +got):\n%s", diff)
		}
	})
}

// FuzzStored checks that any stored form is either rejected or survives decoding and encoding, and never causes a
// panic.
func FuzzStored(f *testing.F) {
	f.Add([]byte(`{"revision":1,"accounts":[{"name":"a","weight":1,"key_digest":"00"}],"classes":[]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		want, err := Decode(data)
		if err != nil {
			return
		}
		stored, err := Encode(want)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := Decode(stored); err != nil || !cmp.Equal(want, got) {
			t.Errorf("want %v, got %v (error %v)", want, got, err)
		}
	})
}

// checkFaults fails the test unless every fault names the file and a line in it.
func checkFaults(t *testing.T, path string, data []byte, err error) {
	t.Helper()
	var faults jsonfile.Faults
	if !errors.As(err, &faults) || len(faults) == 0 {
		t.Fatalf("got error of type %T, want a non-empty jsonfile.Faults", err)
	}
	lines := 1 + strings.Count(string(data), "\n")
	for _, fault := range faults {
		if fault.File != path || fault.Line < 0 || fault.Line > lines || fault.Problem == "" {
			t.Errorf("got fault %+v for a file of %d lines", fault, lines)
		}
	}
}
