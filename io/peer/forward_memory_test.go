package peer

import (
	"errors"
	"testing"

	"golang.org/x/sync/semaphore"

	"wisteriadyke/core/dispatch"
	"wisteriadyke/core/fleet"
)

// TestForwardsTakeMemory passes requests on while the memory for their copies is used up, and while it is not. Guards
// against copies of many long bodies beside the bodies themselves. The memory must be released when a request has ended.
func TestForwardsTakeMemory(t *testing.T) {
	payload, _ := plainCodec{}.EncodeRequest(nil)
	length := int64(len(payload))
	tests := map[string]struct {
		memory   int64
		noMemory bool
	}{
		"fits":     {length, false},
		"too_long": {length - 1, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			forwards := &ForwardTransport{Client: NewClient(), Codec: plainCodec{}, Memory: semaphore.NewWeighted(test.memory)}
			// Nothing listens at the zero address, so that a request that fits fails when it is connected.
			err := forwards.Forward(t.Context(), fleet.Entry{}, dispatch.Request{}, nil)
			var attempt *dispatch.AttemptError
			if !errors.As(err, &attempt) || attempt.Certainty != dispatch.CertainNotRun {
				t.Errorf("error %v, want one that the request did not run", err)
			}
			if got := errors.Is(err, errNoPayloadMemory); got != test.noMemory {
				t.Errorf("error %v, lack of memory %v, want %v", err, got, test.noMemory)
			}
			if !forwards.Memory.TryAcquire(test.memory) {
				t.Error("the memory was not released")
			}
		})
	}
}
