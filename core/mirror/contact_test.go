package mirror

import (
	"testing"
	"time"
)

// TestContact guards against an outage that only one entry had, and against one of the store that an entry doesn't notice.
func TestContact(t *testing.T) {
	const s = time.Second
	tests := map[string]struct {
		steps     func(c *Contact)
		wantSince time.Duration
		outage    bool
	}{
		"first answer":    {steps: func(*Contact) {}, wantSince: s},
		"own loss, short": {steps: func(c *Contact) { c.RecordLoss(5 * s); c.RecordDirect(6 * s) }, wantSince: s},
		"own loss, long":  {steps: func(c *Contact) { c.RecordLoss(5 * s); c.RecordDirect(8 * s) }, wantSince: 8 * s, outage: true},
		"longest loss":    {steps: func(c *Contact) { c.RecordLoss(5 * s); c.RecordLoss(7 * s); c.RecordDirect(8 * s) }, wantSince: 8 * s, outage: true},
		"neighbor in touch": {
			steps: func(c *Contact) { c.RecordLoss(5 * s); c.RecordRelayed(2 * s); c.RecordDirect(20 * s) }, wantSince: s,
		},
		"neighbor that lost the store too": {
			steps: func(c *Contact) { c.RecordLoss(5 * s); c.RecordRelayed(7 * s) }, wantSince: 7 * s, outage: true,
		},
		"neighbor with an earlier outage, no loss": {steps: func(c *Contact) { c.RecordRelayed(7 * s) }, wantSince: s},
		"restored": {steps: func(c *Contact) { c.RecordRestored(1, 9*s) }, wantSince: 9 * s, outage: true},
		"restored, read once more": {
			steps: func(c *Contact) { c.RecordRestored(1, 9*s); c.RecordRestored(1, 12*s) }, wantSince: 9 * s, outage: true,
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := &Contact{MinOutage: 1200 * time.Millisecond}
			c.RecordDirect(s)
			tc.steps(c)
			since, answered := c.Since()
			endedAt, outage := c.Outage()
			if since != tc.wantSince || !answered || outage != tc.outage || outage && endedAt != since {
				t.Errorf("since %v (%t), outage until %v (%t); want %v, outage %t", since, answered, endedAt, outage, tc.wantSince, tc.outage)
			}
		})
	}
}
