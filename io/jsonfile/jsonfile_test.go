package jsonfile_test

import (
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"wisteriadyke/io/jsonfile"
)

// sample has one field of each kind.
type sample struct {
	Name    string         `json:"name" check:"required,name"`
	Wait    time.Duration  `json:"wait" check:"default=5s,min=1s,max=1m"`
	Count   int64          `json:"count" check:"min=1,max=9,default=3"`
	Share   float64        `json:"share" check:"default=1,min=0.5"`
	On      bool           `json:"on"`
	Kind    string         `json:"kind" check:"oneof=a|b,default=a"`
	Address netip.AddrPort `json:"address"`
	Parts   []part         `json:"parts" check:"max=2"`
}

// part is an element of an array.
type part struct {
	Name string `json:"name" check:"required,name"`
}

func TestDecodeFillsDefaults(t *testing.T) {
	var got sample
	data := "// A comment.\n{\"name\": \"x\", \"on\": false, \"address\": \"127.0.0.1:80\", \"parts\": [{\"name\": \"p\"},],}"
	if err := jsonfile.Decode("f", []byte(data), &got); err != nil {
		t.Fatal(err)
	}
	want := sample{
		Name:    "x",
		Wait:    5 * time.Second,
		Count:   3,
		Share:   1,
		Kind:    "a",
		Address: netip.MustParseAddrPort("127.0.0.1:80"),
		Parts:   []part{{Name: "p"}},
	}
	if diff := cmp.Diff(want, got, cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b })); diff != "" {
		t.Errorf("decoded value differs (-want +got):\n%s", diff)
	}
}

func TestDecodeTellsAllFaults(t *testing.T) {
	tests := map[string]struct {
		data string
		want string
	}{
		"several at once": {
			data: "{\n\"name\": \"X\",\n\"wait\": \"5\",\n\"count\": 1.5,\n\"bad\": 1,\n\"parts\": [\n{},\n{\"name\": 3}]}",
			want: "f:2: name: \"X\" is not a name; want 1 to 63 lower-case letters, digits, '.', '_' or '-'\n" +
				"f:3: wait: \"5\" is not a duration; want a number with a unit, such as \"5s\"\n" +
				"f:4: count: is 1.5; want a whole number\n" +
				"f:5: bad: unknown field\n" +
				"f:7: parts[0].name: missing\n" +
				"f:8: parts[1].name: is 3; want a string",
		},
		"out of bounds": {
			data: `{"name": "x", "wait": "2m", "count": 0, "share": 0.1, "kind": "c", "parts": [{"name":"a"},{"name":"b"},{"name":"c"}]}`,
			want: "f:1: wait: is 2m0s; want at most 1m\n" +
				"f:1: count: is 0; want at least 1\n" +
				"f:1: share: is 0.1; want at least 0.5\n" +
				"f:1: kind: is \"c\"; want one of a, b\n" +
				"f:1: parts: has 3 elements; want at most 2",
		},
		"wrong kinds": {
			data: `{"name": null, "on": "true", "address": "here", "parts": {}}`,
			want: "f:1: name: is null; want a string\n" +
				"f:1: on: is \"true\"; want true or false\n" +
				"f:1: address: \"here\" is not valid; want an IP address with a port\n" +
				"f:1: parts: is an object; want an array",
		},
		"empty address": {data: `{"name": "x", "address": ""}`, want: "f:1: address: \"\" is not valid; want an IP address with a port"},
		"twice":         {data: `{"name": "x", "name": "y"}`, want: "f:1: name: duplicate field"},
		"no object":     {data: `[]`, want: "f:1: is an array; want an object"},
		"syntax":        {data: "{\n\"name\" 1}", want: "f:2: column 8: invalid character '1' after object name"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var got sample
			err := jsonfile.Decode("f", []byte(tc.data), &got)
			if err == nil {
				t.Fatal("got no error, want faults")
			}
			if diff := cmp.Diff(tc.want, err.Error()); diff != "" {
				t.Errorf("faults differ (-want +got):\n%s", diff)
			}
		})
	}
}

// TestReadForeign guards against files of another system that are rejected for what that system permits, or accepted
// with what it rejects.
func TestReadForeign(t *testing.T) {
	type foreign struct {
		Name  string `json:"name"`
		Inner *part  `json:"inner"`
		Other *part  `json:"other"`
	}
	tests := map[string]struct {
		data, faults string
		unknown      []string
	}{
		"null, object and unknown fields": {
			data:    `{"name": null, "inner": {"name": "p", "more": [1]}, "other": null, "color": {"x": 1}}`,
			unknown: []string{"inner.more", "color"},
		},
		"wrong type":     {data: "{\n\"inner\": 3}", faults: "f:2: inner: is 3; want an object"},
		"comment":        {data: "{\n// Why.\n}", faults: "f:2: is not plain JSON: invalid character '/' looking for beginning of object key string"},
		"trailing comma": {data: "{\"name\": \"x\",\n\n}", faults: "f:3: is not plain JSON: invalid character '}' looking for beginning of object key string"},
		"cut":            {data: "{\n", faults: "f:2: column 1: parsing value: unexpected EOF"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			t.Chdir(t.TempDir())
			if err := os.WriteFile("f", []byte(tc.data), 0o600); err != nil {
				t.Fatal(err)
			}
			file := jsonfile.ReadForeign("f", &foreign{})
			if got := file.Faults().Error(); got != tc.faults {
				t.Errorf("got faults %q, want %q", got, tc.faults)
			}
			if diff := cmp.Diff(tc.unknown, file.Unknown()); diff != "" {
				t.Errorf("unknown fields differ (-want +got):\n%s", diff)
			}
		})
	}
}
