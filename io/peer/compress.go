package peer

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/pkg/errors"
)

const (
	// compressFrom is the payload size in bytes from which compression is tried.
	compressFrom = 1024
	// maxPayload bounds a payload in bytes after decompression.
	maxPayload = 64 << 20
)

// compress returns the payload in its shorter form.
func compress(payload []byte) (short []byte, compressed bool) {
	if len(payload) < compressFrom {
		return payload, false
	}
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.DefaultCompression)
	if err != nil {
		return payload, false
	}
	if _, err := w.Write(payload); err != nil || w.Close() != nil || b.Len() >= len(payload) {
		return payload, false
	}
	return b.Bytes(), true
}

// decompress returns the payload as it was before compress.
func decompress(short []byte, compressed bool) ([]byte, error) {
	if !compressed {
		return short, nil
	}
	payload, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(short)), maxPayload+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress")
	}
	if len(payload) > maxPayload {
		return nil, errors.New("decompress: payload is too large")
	}
	return payload, nil
}
