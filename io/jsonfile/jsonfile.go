// Package jsonfile reads files of JSON with comments.
package jsonfile

import (
	"bytes"
	"encoding/json"
	"os"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"
)

// Read decodes the file at path into the value that into points to; unknown fields are refused.
func Read(path string, into any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read")
	}
	return Decode(path, data, into)
}

// Decode decodes data, the contents of the file called name, into the value that into points to.
func Decode(name string, data []byte, into any) error {
	standard, err := hujson.Standardize(data)
	if err != nil {
		return errors.Wrap(err, name)
	}
	decoder := json.NewDecoder(bytes.NewReader(standard))
	decoder.DisallowUnknownFields()
	return errors.Wrap(decoder.Decode(into), name)
}
