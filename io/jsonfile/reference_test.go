package jsonfile_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"wisteriadyke/io/declaration"
	"wisteriadyke/io/jsonfile"
	"wisteriadyke/io/settings"
)

// Columns of a table of fields, as indices into a row that is split at its bars.
const (
	columnField = iota + 1
	columnType
	columnDefault
	columnBounds
	columnMeaning
	columns
)

func TestReferencePages(t *testing.T) {
	tests := map[string][]jsonfile.Field{
		"settings.md":         settings.EntryReference(),
		"gateway-settings.md": settings.GatewayReference(),
		"declarations.md":     declaration.Reference(),
	}
	for name, want := range tests {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(want, pageFields(t, filepath.Join("../../docs/reference", name))); diff != "" {
				t.Errorf("fields differ (-code +page):\n%s", diff)
			}
		})
	}
}

// pageFields returns the fields that the tables of a page describe. The row of a field begins with its path in
// backquotes.
func pageFields(t *testing.T, path string) []jsonfile.Field {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var fields []jsonfile.Field
	for line := range strings.Lines(string(data)) {
		if !strings.HasPrefix(line, "| `") {
			continue
		}
		cells := strings.Split(line, "|")
		if len(cells) != columns+1 || cell(cells[columnMeaning]) == "" {
			t.Fatalf("row %q: want the columns field, type, default, bounds and meaning", line)
		}
		fields = append(fields, jsonfile.Field{
			Path:    cell(cells[columnField]),
			Type:    cell(cells[columnType]),
			Default: cell(cells[columnDefault]),
			Bounds:  cell(cells[columnBounds]),
		})
	}
	return fields
}

// cell returns the text of a cell without backquotes.
func cell(text string) string {
	return strings.Trim(strings.TrimSpace(text), "`")
}
