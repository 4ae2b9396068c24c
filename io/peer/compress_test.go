package peer

import (
	"bytes"
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"

	"wisteriadyke/core/gossip"
)

func TestItemsSurviveCompression(t *testing.T) {
	random := make([]byte, 4*minCompressBytes)
	source := rand.NewChaCha8([32]byte{1})
	_, _ = source.Read(random)
	tests := map[string]struct {
		payload    []byte
		compressed bool
	}{
		"empty":      {},
		"short":      {payload: []byte("short")},
		"repetitive": {payload: bytes.Repeat([]byte("account "), minCompressBytes), compressed: true},
		"random":     {payload: random},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			items := []gossip.Item{{Key: "k", Revision: 3, Urgent: true, Payload: tc.payload}}
			wire := toItems(items)
			if wire[0].Compressed != tc.compressed {
				t.Errorf("got compressed %t, want %t", wire[0].Compressed, tc.compressed)
			}
			if diff := cmp.Diff(items, fromItems(wire)); diff != "" {
				t.Errorf("items differ after a round trip (-want +got):\n%s", diff)
			}
		})
	}
}

func TestBrokenItemsAreLeftOut(t *testing.T) {
	wire := []*SpreadItem{{Key: "k", Revision: 1, Payload: []byte("no deflate"), Compressed: true}}
	if items := fromItems(wire); len(items) != 0 {
		t.Errorf("got items %v from invalid data, want none", items)
	}
}
