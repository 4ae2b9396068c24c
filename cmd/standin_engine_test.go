package cmd

import (
	"bytes"
	"testing"
)

func TestStandinEngineRefusesBadFlags(t *testing.T) {
	tests := map[string][]string{
		"address":        {"--address", "localhost:7101"},
		"platform":       {"--platform", "nowhere"},
		"no such flag":   {"--colour", "red"},
		"extra argument": {"e1"},
	}
	for name, flags := range tests {
		t.Run(name, func(t *testing.T) {
			var out, errOut bytes.Buffer
			if code := Main(append([]string{"standin", "engine"}, flags...), &out, &errOut); code != ExitInput {
				t.Errorf("exit code %d, want %d; stderr %q", code, ExitInput, errOut.String())
			}
		})
	}
}
