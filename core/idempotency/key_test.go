package idempotency

import (
	"testing"
	"time"

	"github.com/pkg/errors"
)

func TestParseKey(t *testing.T) {
	at := time.UnixMilli(0x017F22E279B0).UTC()
	tests := map[string]struct {
		text string
		want Key
		err  error
	}{
		"version 7": {
			text: "017F22E2-79B0-7CC3-98C4-DC0C0C07398F",
			want: Key{Account: "acme", Key: "017f22e2-79b0-7cc3-98c4-dc0c0c07398f", CreatedAt: at},
		},
		"version 4":  {text: "919108f7-52d1-4320-9bac-f847db4148a8", err: ErrMalformedKey},
		"no UUID":    {text: "filing-1", err: ErrMalformedKey},
		"empty text": {err: ErrMalformedKey},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got, err := ParseKey("acme", test.text)
			if got != test.want || !errors.Is(err, test.err) {
				t.Errorf("got key %+v, error %v; want %+v, %v", got, err, test.want, test.err)
			}
		})
	}
}
