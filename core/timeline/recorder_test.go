package timeline

import (
	"testing"
	"testing/synctest"
	"time"

	"wisteriadyke/core/fleet"
)

func TestRecorderKeepsTheLatest(t *testing.T) {
	tests := map[string]struct {
		records int
		want    []uint64
	}{
		"none":    {records: 0},
		"partial": {records: 2, want: []uint64{1, 2}},
		"full":    {records: 3, want: []uint64{1, 2, 3}},
		"wrapped": {records: 5, want: []uint64{3, 4, 5}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			r := &Recorder{Entry: "a", Capacity: 3}
			for range tc.records {
				r.Record(Event{Kind: KindRequestArrived})
			}
			events := r.Events(Filter{})
			if len(events) != len(tc.want) {
				t.Fatalf("retained %d events, want %d", len(events), len(tc.want))
			}
			for i, e := range events {
				if e.Sequence != tc.want[i] {
					t.Errorf("event %d has sequence %d, want %d", i, e.Sequence, tc.want[i])
				}
			}
		})
	}
}

func TestFilter(t *testing.T) {
	r := &Recorder{Entry: "a"}
	r.Record(Event{Request: "r1", Endpoint: "e1", Account: "c1"})
	r.Record(Event{Request: "r2", Endpoint: "e1", Account: "c2"})
	r.Record(Event{Request: "r3/segment-1", Account: "c3"})
	r.Record(Event{Request: "r3/answer", Account: "c3"})
	r.Record(Event{Request: "r33", Account: "c3"})
	tests := map[string]struct {
		filter Filter
		want   int
	}{
		"all":      {want: 5},
		"parts":    {filter: Filter{Request: "r3"}, want: 2},
		"request":  {filter: Filter{Request: "r1"}, want: 1},
		"endpoint": {filter: Filter{Endpoint: "e1"}, want: 2},
		"account":  {filter: Filter{Account: "c2"}, want: 1},
		"both":     {filter: Filter{Request: "r1", Account: "c2"}, want: 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			if got := len(r.Events(tc.filter)); got != tc.want {
				t.Errorf("got %d events, want %d", got, tc.want)
			}
		})
	}
}

func TestMergeOrdersCauseBeforeEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ahead := &Recorder{Entry: fleet.EntryID("ahead")}
		behind := &Recorder{Entry: fleet.EntryID("behind")}
		ahead.Clock.Observe(Timestamp{Wall: time.Now().Add(time.Minute)})
		ahead.Record(Event{Kind: KindRequestArrived})
		behind.Clock.Observe(ahead.Clock.Now())
		behind.Record(Event{Kind: KindReservationGranted})
		merged := Merge(behind.Events(Filter{}), ahead.Events(Filter{}))
		if merged[0].Kind != KindRequestArrived || merged[1].Kind != KindReservationGranted {
			t.Errorf("got effect %v before its cause %v", merged[0], merged[1])
		}
	})
}
