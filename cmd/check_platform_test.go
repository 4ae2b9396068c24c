package cmd

import (
	"testing"

	"wisteriadyke/io/settings"
)

// TestRetryBurstIsThatOfTheSettings guards against a check that assumes another retry budget than entries have without
// a setting.
func TestRetryBurstIsThatOfTheSettings(t *testing.T) {
	got := newCheckCommand().Flags().Lookup("retry-burst").DefValue
	for _, field := range settings.GatewayReference() {
		if field.Path == "retry_burst" && field.Default != got {
			t.Errorf("got default %s, want %s", got, field.Default)
		}
	}
}
