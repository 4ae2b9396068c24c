package boundedlog

import (
	"bytes"
	"sync"
	"testing"
	"time"
)

// blocked is an output that takes nothing until it is released.
type blocked struct {
	mu      sync.Mutex
	release chan struct{}
	taken   bytes.Buffer
}

// Write waits for the release.
func (b *blocked) Write(p []byte) (int, error) {
	<-b.release
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.taken.Write(p)
}

// TestSlowOutputHoldsNobodyUp writes far more lines than wait: no call blocks, and each line that is lost is counted.
func TestSlowOutputHoldsNobodyUp(t *testing.T) {
	const written = 3 * lines
	out := &blocked{release: make(chan struct{})}
	w := New(out)
	begun := time.Now()
	for range written {
		if _, err := w.Write([]byte("a line\n")); err != nil {
			t.Fatal(err)
		}
	}
	if took := time.Since(begun); took > 5*time.Second {
		t.Errorf("%d lines took %v", written, took)
	}
	close(out.release)
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	out.mu.Lock()
	defer out.mu.Unlock()
	arrived := int64(bytes.Count(out.taken.Bytes(), []byte("\n")))
	if w.Dropped() == 0 || arrived+w.Dropped() != written {
		t.Errorf("%d lines arrived and %d were counted as lost, want %d together", arrived, w.Dropped(), written)
	}
}
