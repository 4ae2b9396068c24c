package cmd

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

var (
	// fieldPattern matches calls that add a field to a log line.
	fieldPattern = regexp.MustCompile(`\b(?:Str|Strs|Int|Int64|Uint64|Bool|Dur|Float64|AnErr|Time)\("([a-zA-Z_]+)",`)
	// rowPattern matches the table rows of the reference page that describe a field.
	rowPattern = regexp.MustCompile("(?m)^\\| `([a-z_]+)` \\|")
)

func TestLogFieldsAreDescribed(t *testing.T) {
	used := make(map[string]bool)
	for _, folder := range []string{"cmd", "core", "entry", "gateway", "io", "platform"} {
		for _, path := range sourceFiles(t, filepath.Join("..", folder)) {
			data, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			for _, match := range fieldPattern.FindAllSubmatch(data, -1) {
				used[string(match[1])] = true
			}
		}
	}
	page, err := os.ReadFile("../docs/reference/logs.md")
	if err != nil {
		t.Fatal(err)
	}
	described := make(map[string]bool)
	for _, match := range rowPattern.FindAllSubmatch(page, -1) {
		described[string(match[1])] = true
	}
	for field := range used {
		if !described[field] {
			t.Errorf("logs.md does not describe field %q", field)
		}
	}
	for field := range described {
		if !used[field] {
			t.Errorf("logs.md describes field %q, which no code writes", field)
		}
	}
}

// sourceFiles returns the Go files below a folder except tests, sorted.
func sourceFiles(t *testing.T, folder string) []string {
	t.Helper()
	var found []string
	err := filepath.WalkDir(folder, func(path string, _ fs.DirEntry, err error) error {
		if err == nil && strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go") {
			found = append(found, path)
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	slices.Sort(found)
	return found
}
