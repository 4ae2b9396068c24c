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
		t.Error("an old snapshot contains a new row")
	}
	if got, _ := table.Get("a"); got != 1 {
		t.Errorf("Get(a) = %d, want 1", got)
	}
}

func TestTableUpdate(t *testing.T) {
	tests := map[string]struct {
		accepted bool
		want     int
	}{
		"accepted": {accepted: true, want: 2},
		"refused":  {accepted: false, want: 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var table Table[string, int]
			table.Set("a", 1)
			version := table.Snapshot().Version
			ok := table.Update("a", func(row int, _ bool) (int, bool) { return row + 1, tc.accepted })
			if ok != tc.accepted {
				t.Errorf("Update(a) = %t, want %t", ok, tc.accepted)
			}
			if got, _ := table.Get("a"); got != tc.want {
				t.Errorf("row = %d, want %d", got, tc.want)
			}
			if changed := table.Snapshot().Version != version; changed != tc.accepted {
				t.Errorf("version changed = %t, want %t", changed, tc.accepted)
			}
		})
	}
}
