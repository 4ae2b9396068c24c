package placement_test

import (
	"testing"

	"wisteriadyke/core/fleet"
	"wisteriadyke/core/placement"
)

// TestPrefixes asserts how many prompt tokens an endpoint may have cached after a sequence of cache events.
func TestPrefixes(t *testing.T) {
	one := placement.Prefix{Digest: "one", Tokens: 1_024}
	two := placement.Prefix{Digest: "two", Tokens: 2_048}
	stored := func(sequence uint64, prefix placement.Prefix) placement.CacheEvent {
		return placement.CacheEvent{Sequence: sequence, Prefix: prefix}
	}
	tests := map[string]struct {
		observe func(p *placement.PrefixIndex)
		want    fleet.Tokens
	}{
		"nothing known": {observe: func(*placement.PrefixIndex) {}, want: 0},
		"longest stored": {observe: func(p *placement.PrefixIndex) {
			p.Observe("e", 1, []placement.CacheEvent{stored(1, one), stored(2, two)})
		}, want: 2_048},
		"gap in a chain": {observe: func(p *placement.PrefixIndex) {
			p.Observe("e", 1, []placement.CacheEvent{stored(2, two)})
		}, want: 0},
		"evicted": {observe: func(p *placement.PrefixIndex) {
			p.Observe("e", 1, []placement.CacheEvent{stored(1, one), stored(2, two)})
			p.Observe("e", 1, []placement.CacheEvent{{Sequence: 4, Evicted: true, Prefix: two}})
		}, want: 1_024},
		"event told twice": {observe: func(p *placement.PrefixIndex) {
			p.Observe("e", 1, []placement.CacheEvent{stored(1, one), {Sequence: 2, Evicted: true, Prefix: one}})
			p.Observe("e", 1, []placement.CacheEvent{stored(1, one)})
		}, want: 0},
		"earlier life": {observe: func(p *placement.PrefixIndex) {
			p.Observe("e", 2, nil)
			p.Observe("e", 1, []placement.CacheEvent{stored(1, one)})
		}, want: 0},
		"later life": {observe: func(p *placement.PrefixIndex) {
			p.Observe("e", 1, []placement.CacheEvent{stored(1, one)})
			p.Observe("e", 2, nil)
		}, want: 0},
		"forgotten": {observe: func(p *placement.PrefixIndex) {
			p.Observe("e", 1, []placement.CacheEvent{stored(1, one)})
			p.Forget("e")
		}, want: 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var p placement.PrefixIndex
			test.observe(&p)
			prefixes := []placement.Prefix{one, two}
			if got := p.Cached("e", prefixes); got != test.want {
				t.Errorf("cached %d tokens, want %d", got, test.want)
			}
			holders := p.Holders(nil, prefixes, 2)
			if test.want > 0 && len(holders) != 1 {
				t.Errorf("%d holders, want 1", len(holders))
			}
		})
	}
}
