package boundedlog

import (
	"bytes"
	"sync"
	"testing"
	"time"
)

// blockingWriter blocks all writes until it is released.
type blockingWriter struct {
	mu       sync.Mutex
	release  chan struct{}
	received bytes.Buffer
}

// Write blocks until the release.
func (b *blockingWriter) Write(p []byte) (int, error) {
	<-b.release
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.received.Write(p)
}

// TestSlowOutputHoldsNobodyUp guards against a slow output that blocks logging goroutines. It writes far more lines
// than are buffered: no call may block, and each dropped line must be counted.
func TestSlowOutputHoldsNobodyUp(t *testing.T) {
	const count = 3 * maxBufferedLines
	out := &blockingWriter{release: make(chan struct{})}
	w := New(out)
	start := time.Now()
	for range count {
		if _, err := w.Write([]byte("a line\n")); err != nil {
			t.Fatal(err)
		}
	}
	if elapsed := time.Since(start); elapsed > 5*time.Second {
		t.Errorf("%d lines took %v, want at most 5s", count, elapsed)
	}
	close(out.release)
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	out.mu.Lock()
	defer out.mu.Unlock()
	arrived := int64(bytes.Count(out.received.Bytes(), []byte("\n")))
	if w.Dropped() == 0 || arrived+w.Dropped() != count {
		t.Errorf("got %d lines written and %d dropped, want some dropped and %d in total", arrived, w.Dropped(), count)
	}
}
