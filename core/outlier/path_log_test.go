package outlier

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"wisteriadyke/core/fleet"
)

// TestPathLog guards against log lines whose number grows with entries times endpoints: ten lost paths of one zone lead to
// one line when the zone becomes suspect and one when that ends, and only at the witness and where others report them.
func TestPathLog(t *testing.T) {
	tests := map[string]struct {
		lose func(p *PathTable, report PathReport)
		want int
	}{
		"reply of a chooser": {lose: func(p *PathTable, r PathReport) { p.Merge([]PathReport{r}, r.At) }},
		"report to a chooser": {
			lose: func(p *PathTable, r PathReport) { p.MergeReported([]PathReport{r}, r.At) }, want: 2,
		},
		"witness": {lose: func(p *PathTable, r PathReport) { p.RecordLost(p.endpoint(r.Endpoint), r.At) }, want: 2},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			p, now := newPathTable("e1"), time.Unix(1000, 0)
			p.Log = zerolog.New(&out).Level(zerolog.InfoLevel)
			p.RecordReached(p.endpoint("b0"), now)
			for i := range 9 {
				tc.lose(p, PathReport{
					Endpoint: fleet.EndpointID(fmt.Sprintf("b%d", i+1)), Incarnation: 2, Zone: "a", Witness: "e2", At: now, Corroborated: true,
				})
			}
			p.dropExpired(now.Add(lostPathTTL))
			if got := bytes.Count(out.Bytes(), []byte("\n")); got != tc.want {
				t.Errorf("%d lines, want %d:\n%s", got, tc.want, out.String())
			}
		})
	}
}
