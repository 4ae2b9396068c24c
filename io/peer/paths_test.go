package peer

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"wisteriadyke/core/outlier"
	"wisteriadyke/core/sharedload"
)

// TestLostPathsKeepTheirMeaning guards against reports of lost paths that lose a field or their age on the way, and
// against messages of entries that don't send any.
func TestLostPathsKeepTheirMeaning(t *testing.T) {
	at := time.Now().Add(-300 * time.Millisecond)
	for name, reports := range map[string][]outlier.PathReport{
		"none": nil,
		"lost and reached": {
			{Endpoint: "i-1", Incarnation: 7, Zone: "a", Witness: "e", At: at, Corroborated: true},
			{Endpoint: "i-2", Incarnation: 8, Zone: "b", Witness: "f", At: at, Reached: true},
		},
	} {
		t.Run(name, func(t *testing.T) {
			near := cmpopts.EquateApproxTime(50 * time.Millisecond)
			report := fromUsageSet(toUsageSet(sharedload.UsageReport{LostPaths: reports}))
			if diff := cmp.Diff(reports, report.LostPaths, near); diff != "" {
				t.Errorf("report: %s", diff)
			}
			choice := fromChooseReply(toChooseReply(sharedload.Choice{LostPaths: reports}))
			if diff := cmp.Diff(reports, choice.LostPaths, near); diff != "" {
				t.Errorf("choice: %s", diff)
			}
		})
	}
}
