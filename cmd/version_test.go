package cmd

import (
	"bytes"
	"strings"
	"testing"
)

func TestVersion(t *testing.T) {
	var out, errOut bytes.Buffer
	if code := Main([]string{"version"}, &out, &errOut); code != ExitOK {
		t.Fatalf("version: exit code %d, stderr %q", code, errOut.String())
	}
	if !strings.HasPrefix(out.String(), "wisteriadyke ") {
		t.Errorf("version printed %q, want the prefix %q", out.String(), "wisteriadyke ")
	}
}
