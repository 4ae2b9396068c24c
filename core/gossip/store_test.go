package gossip

import (
	"math/rand/v2"
	"strconv"
	"testing"
)

func TestStoreKeepsTheHighestRevision(t *testing.T) {
	tests := map[string]struct {
		first, second uint64
		stored        bool
	}{
		"higher": {first: 1, second: 2, stored: true},
		"same":   {first: 2, second: 2},
		"lower":  {first: 2, second: 1},
		"zero":   {first: 2, second: 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var s Store
			s.Put(Item{Key: "k", Revision: tc.first})
			changed := s.Changed()
			if got := s.Put(Item{Key: "k", Revision: tc.second}); got != tc.stored {
				t.Errorf("Put = %t, want %t", got, tc.stored)
			}
			item, _ := s.Get("k")
			if want := max(tc.first, tc.second); item.Revision != want {
				t.Errorf("revision = %d, want %d", item.Revision, want)
			}
			select {
			case <-changed:
				if !tc.stored {
					t.Error("Changed was closed for an item that was not stored")
				}
			default:
				if tc.stored {
					t.Error("Changed was not closed for an item that was stored")
				}
			}
		})
	}
}

func TestDigestDependsOnItemsOnly(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	var a, b Store
	for i := range 200 {
		item := Item{Key: strconv.Itoa(r.IntN(40)), Revision: uint64(r.IntN(50) + 1), Payload: []byte{byte(i)}}
		a.Put(item)
	}
	for _, item := range a.List("") {
		b.Put(item)
	}
	if a.Digest() != b.Digest() {
		t.Error("equal stores have different digests")
	}
	if got := a.Difference(b.Digest()); got.Buckets != 0 {
		t.Errorf("difference of equal stores = %v, want none", got)
	}
	b.Put(Item{Key: "0", Revision: 1000})
	if got := a.Difference(b.Digest()); got.Buckets == 0 || len(got.Versions) == 0 {
		t.Errorf("difference of unequal stores = %v, want some", got)
	}
}
