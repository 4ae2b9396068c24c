package cost

import (
	"fmt"
	"testing"
	"time"

	"wisteriadyke/core/fleet"
)

// TestExpectedLength guards against answers that are taken for as long as their callers say or as the published mean.
func TestExpectedLength(t *testing.T) {
	const mean, limit = 700, 4000
	key := LengthKey{Route: "chat", Account: "a"}
	tests := map[string]struct {
		answers int
		// hint and length return those of the i-th answer.
		hint, length func(i int) fleet.Tokens
		account      fleet.AccountID
		age          time.Duration
		askedHint    fleet.Tokens
		want         fleet.Tokens
	}{
		"no answers, no hint":  {want: mean},
		"no answers":           {askedHint: 300, want: 300},
		"hint above the limit": {askedHint: 9000, want: limit},
		"too few answers": {
			answers: minAnswers - 1, account: "a", askedHint: 300, want: 300,
			hint: func(int) fleet.Tokens { return 300 }, length: func(int) fleet.Tokens { return 900 },
		},
		"hints half of the length": {
			answers: 40, account: "a", askedHint: 300, want: 600,
			hint:   func(i int) fleet.Tokens { return fleet.Tokens(100 + 50*(i%5)) },
			length: func(i int) fleet.Tokens { return fleet.Tokens(200 + 100*(i%5)) },
		},
		"useless hints": {
			answers: 40, account: "a", askedHint: 3000, want: 500,
			hint:   func(i int) fleet.Tokens { return fleet.Tokens(10 + 2990*(i%2)) },
			length: func(int) fleet.Tokens { return 500 },
		},
		"another account of the route": {
			answers: 40, account: "b", want: 500,
			hint: func(int) fleet.Tokens { return 0 }, length: func(int) fleet.Tokens { return 500 },
		},
		"old answers": {
			answers: 40, account: "a", age: 31 * time.Second, want: mean,
			hint: func(int) fleet.Tokens { return 0 }, length: func(int) fleet.Tokens { return 500 },
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var l Lengths
			now := time.Now()
			for i := range tc.answers {
				l.Record(LengthKey{Route: "chat", Account: tc.account}, tc.hint(i), tc.length(i), now)
			}
			got := l.Expected(key, tc.askedHint, mean, limit, now.Add(tc.age))
			if got < tc.want*99/100 || got > tc.want*101/100 {
				t.Errorf("expected length = %d, want %d", got, tc.want)
			}
		})
	}
}

// TestLengthsAreBounded guards against memory that grows with the number of accounts.
func TestLengthsAreBounded(t *testing.T) {
	var l Lengths
	now := time.Now()
	for i := range 1000 {
		now = now.Add(time.Millisecond)
		l.Record(LengthKey{Route: "chat", Account: fleet.AccountID(fmt.Sprint(i))}, 0, 100, now)
	}
	if len(l.keys) > maxLengthKeys {
		t.Errorf("%d keys are kept, want at most %d", len(l.keys), maxLengthKeys)
	}
	if got := l.Expected(LengthKey{Route: "chat", Account: "none"}, 0, 700, 0, now); got != 100 {
		t.Errorf("expected length = %d, want that of the route, 100", got)
	}
}
