// Package boundedlog writes log lines without blocking the logging goroutines.
package boundedlog

import (
	"io"
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/rs/zerolog/diode"
)

// maxBufferedLines is the number of lines buffered for a slow output. A busy entry writes as many in a few seconds.
const maxBufferedLines = 4096

// Writer writes lines in the background and drops the oldest ones if its output is too slow. It must be closed.
type Writer struct {
	diode   diode.Writer
	dropped atomic.Int64
}

// New returns a Writer whose output is the argument out.
func New(out io.Writer) *Writer {
	w := &Writer{}
	w.diode = diode.NewWriter(out, maxBufferedLines, 0, func(missed int) { w.dropped.Add(int64(missed)) })
	return w
}

// Write buffers one line. It never waits for the output.
func (w *Writer) Write(line []byte) (int, error) {
	n, err := w.diode.Write(line)
	return n, errors.Wrap(err, "log")
}

// Dropped returns the number of lines that were dropped.
func (w *Writer) Dropped() int64 {
	return w.dropped.Load()
}

// Close writes the buffered lines and stops the background goroutine.
func (w *Writer) Close() error {
	return errors.Wrap(w.diode.Close(), "log")
}
