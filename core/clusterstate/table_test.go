package clusterstate

import "testing"

func TestTableTellsReadersOfChanges(t *testing.T) {
	var table Table[string, int]
	changed := table.Changed()
	before := table.Snapshot()
	table.Set("a", 1)
	select {
	case <-changed:
	default:
		t.Fatal("Set did not wake the reader")
	}
	if _, found := before.Rows["a"]; found {
		t.Error("an old view shows a new row")
	}
	if got, _ := table.Get("a"); got != 1 {
		t.Errorf("Get(a) = %d, want 1", got)
	}
}

func TestTableUpdate(t *testing.T) {
	tests := map[string]struct {
		accept bool
		want   int
	}{
		"accepted": {accept: true, want: 2},
		"refused":  {accept: false, want: 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var table Table[string, int]
			table.Set("a", 1)
			version := table.Snapshot().Version
			ok := table.Update("a", func(row int, _ bool) (int, bool) { return row + 1, tc.accept })
			if ok != tc.accept {
				t.Errorf("Update reported %t, want %t", ok, tc.accept)
			}
			if got, _ := table.Get("a"); got != tc.want {
				t.Errorf("row = %d, want %d", got, tc.want)
			}
			if moved := table.Snapshot().Version != version; moved != tc.accept {
				t.Errorf("version moved: %t, want %t", moved, tc.accept)
			}
		})
	}
}
