package outlier

import (
	"fmt"
	"testing"
	"time"

	"wisteriadyke/core/fleet"
)

// TestSentReports guards against messages that repeat unchanged reports: an entry with maxPathReports lost paths that are
// renewed every 1.5 s and 20 messages a second to each of two choosers must stay within 6 KB a second. A renewed report and
// a new recipient must not be left out.
func TestSentReports(t *testing.T) {
	// reportBytes is the size of a report in a message: the names of the endpoint, the zone and the witness, and numbers.
	const seconds, reportBytes, budget = 6, 70, 6 << 10
	start := time.Unix(1000, 0)
	var sent SentReports
	var reports []PathReport
	for i := range maxPathReports {
		reports = append(reports, PathReport{Endpoint: fleet.EndpointID(fmt.Sprint(i)), Witness: "e1"})
	}
	total, first := 0, 0
	for tick := range seconds * 20 {
		now := start.Add(time.Duration(tick) * 50 * time.Millisecond)
		if tick%30 == 0 {
			for i := range reports {
				reports[i].At = now
			}
		}
		for _, to := range []fleet.EntryID{"c1", "c2"} {
			got := len(sent.Select(to, reports, now))
			total += got
			if tick%30 == 0 {
				first += got
			}
		}
	}
	if got := total * reportBytes / seconds; got > budget {
		t.Errorf("%d bytes a second, want at most %d", got, budget)
	}
	if want := 2 * 4 * maxPathReports; first != want {
		t.Errorf("%d new and renewed reports sent at once, want %d", first, want)
	}
	again := reports[:1:1]
	again[0].At = start.Add(seconds*time.Second - 100*time.Millisecond)
	again[0].Reached = true
	sent.Select("c1", again, again[0].At)
	again[0].At, again[0].Reached = start.Add(seconds*time.Second), false
	if len(sent.Select("c1", again, again[0].At)) != 1 {
		t.Error("an endpoint that was reached and lost again is left out")
	}
	later := start.Add(time.Minute)
	reports[0].At = later
	sent.Select("c1", reports[:1], later)
	if len(sent.entries) != 1 || len(sent.entries["c1"]) != 1 {
		t.Error("what was sent of expired reports is kept")
	}
}
