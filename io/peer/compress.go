package peer

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/pkg/errors"
)

const (
	// minCompressBytes is the size of the smallest payload that is compressed.
	minCompressBytes = 1024
	// maxPayloadBytes bounds the size of a decompressed payload.
	maxPayloadBytes = 64 << 20
)

// compress returns the payload compressed with DEFLATE, or unchanged if it is small or compression does not shrink it.
func compress(payload []byte) (encoded []byte, compressed bool) {
	if len(payload) < minCompressBytes {
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

// decompress reverses compress. It returns an error for invalid data and for a payload above maxPayloadBytes.
func decompress(encoded []byte, compressed bool) ([]byte, error) {
	if !compressed {
		return encoded, nil
	}
	payload, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(encoded)), maxPayloadBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress")
	}
	if len(payload) > maxPayloadBytes {
		return nil, errors.New("decompress: payload is too large")
	}
	return payload, nil
}
