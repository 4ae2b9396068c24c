package ratelimit

import (
	"testing"
	"time"
)

func TestWindowSlides(t *testing.T) {
	start := time.Unix(1000, 0)
	w := &Window{Span: time.Second}
	for _, after := range []time.Duration{0, 400 * time.Millisecond, 900 * time.Millisecond} {
		w.Add(start.Add(after))
	}
	for after, want := range map[time.Duration]int{
		950 * time.Millisecond: 3,
	} {
		if got := w.Count(start.Add(after)); got != want {
			t.Errorf("count after %v = %d, want %d", after, got, want)
		}
	}
	if got := w.Count(start.Add(time.Second)); got != 2 {
		t.Errorf("count after 1s = %d, want 2", got)
	}
	if got := w.Count(start.Add(1900 * time.Millisecond)); got != 0 {
		t.Errorf("count after 1.9s = %d, want 0", got)
	}
}
