package declaration_test

import (
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"wisteriadyke/core/fleet"
	"wisteriadyke/io/declaration"
)

// repository is the path of the root of the repository.
const repository = "../.."

func TestExamplesAreValid(t *testing.T) {
	tests := map[string]struct {
		accounts, classes int
		atMostOnce        []string
	}{
		"small":  {accounts: 2, classes: 5, atMostOnce: []string{"credit_filing"}},
		"cierzo": {accounts: 10, classes: 5, atMostOnce: []string{"credit_filing"}},
		"kuiseb": {accounts: 10, classes: 6, atMostOnce: []string{"certificate_award", "stamp_issue"}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			paths, err := declaration.FindFiles([]string{filepath.Join(repository, "examples", name, "declarations")})
			if err != nil {
				t.Fatal(err)
			}
			got, err := declaration.Merge(paths)
			if err != nil {
				t.Fatal(err)
			}
			if len(got.Accounts) != tc.accounts || len(got.Classes) != tc.classes {
				t.Errorf("got %d accounts and %d classes, want %d and %d", len(got.Accounts), len(got.Classes), tc.accounts, tc.classes)
			}
			for _, class := range tc.atMostOnce {
				if !got.Classes[fleet.ClassName(class)].AtMostOnce {
					t.Errorf("class %s: got AtMostOnce false, want true", class)
				}
			}
		})
	}
}

func TestStoredFormKeepsEverything(t *testing.T) {
	paths, err := declaration.FindFiles([]string{filepath.Join(repository, "examples")})
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range paths {
		if !strings.Contains(path, "small/declarations") {
			continue
		}
		want, err := declaration.Merge([]string{path})
		if err != nil {
			t.Fatal(err)
		}
		want.Revision = 7
		stored, err := declaration.Encode(want)
		if err != nil {
			t.Fatal(err)
		}
		got, err := declaration.Decode(stored)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("%s differs (-want +got):\n%s", path, diff)
		}
	}
}
