package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/pkg/errors"

	"wisteriadyke/io/jsonfile"
)

// repository is the path of the root of the repository.
const repository = "../.."

func TestExamplesAreValid(t *testing.T) {
	tests := map[string]int{"small": 3, "cierzo": 9, "kuiseb": 9}
	for name, want := range tests {
		t.Run(name, func(t *testing.T) {
			paths, err := filepath.Glob(filepath.Join(repository, "examples", name, "settings/*.hujson"))
			if err != nil {
				t.Fatal(err)
			}
			entries, err := ReadEntries(paths)
			if err != nil {
				t.Fatal(err)
			}
			zones := make(map[string]int)
			for _, entry := range entries {
				zones[string(entry.Zone)]++
			}
			if len(entries) != want || len(zones) != 3 {
				t.Errorf("got %d entries in %d zones, want %d in 3", len(entries), len(zones), want)
			}
		})
	}
}

// FuzzEntry checks that any file is either accepted with valid required fields or rejected with faults that name lines
// in it.
func FuzzEntry(f *testing.F) {
	paths, err := filepath.Glob(filepath.Join(repository, "examples/*/settings/*.hujson"))
	if err != nil || len(paths) == 0 {
		f.Fatalf("no example settings: %v", err)
	}
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var entry Entry
		file := jsonfile.Parse("f", data, &entry)
		err := checkEntry(file, entry)
		if err == nil {
			if !entry.PeerAddress.IsValid() || !entry.Platform.IsValid() || entry.Entry == "" || entry.Zone == "" {
				t.Errorf("accepted settings lack required fields: %+v", entry)
			}
			return
		}
		var faults jsonfile.Faults
		if !errors.As(err, &faults) || len(faults) == 0 {
			t.Fatalf("got error of type %T, want a non-empty jsonfile.Faults", err)
		}
		lines := 1 + strings.Count(string(data), "\n")
		for _, fault := range faults {
			if fault.File != "f" || fault.Line < 0 || fault.Line > lines || fault.Problem == "" {
				t.Errorf("got fault %+v for a file of %d lines", fault, lines)
			}
		}
	})
}
