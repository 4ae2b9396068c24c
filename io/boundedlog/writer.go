// Package boundedlog writes log lines without ever holding up those who log.
package boundedlog

import (
	"io"
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/rs/zerolog/diode"
)

// lines is the number of lines that wait for a slow output, a few seconds of a busy entry.
const lines = 4096

// Writer passes lines on in the background and drops the oldest when its output is too slow. Close ends it.
type Writer struct {
	diode   diode.Writer
	dropped atomic.Int64
}

// New returns a writer to out.
func New(out io.Writer) *Writer {
	w := &Writer{}
	w.diode = diode.NewWriter(out, lines, 0, func(missed int) { w.dropped.Add(int64(missed)) })
	return w
}

// Write takes one line; it never waits for the output.
func (w *Writer) Write(line []byte) (int, error) {
	n, err := w.diode.Write(line)
	return n, errors.Wrap(err, "log")
}

// Dropped returns the number of lines that were lost.
func (w *Writer) Dropped() int64 {
	return w.dropped.Load()
}

// Close writes what waits.
func (w *Writer) Close() error {
	return errors.Wrap(w.diode.Close(), "log")
}
