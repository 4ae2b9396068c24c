package dispatch

import (
	"context"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/semaphore"

	"wisteriadyke/core/fleet"
)

// pacedGenerator writes pieces of a size at a pace; stopped is when it had written the last one or got an error.
type pacedGenerator struct {
	pieces, size int
	pause        time.Duration
	stopped      time.Time
}

// Generate writes the pieces.
func (g *pacedGenerator) Generate(_ context.Context, _ Request, sink Sink) (err error) {
	for i := 1; i <= g.pieces && err == nil; i++ {
		err = sink.WriteToken(fleet.Tokens(i), strings.Repeat("x", g.size))
		time.Sleep(g.pause)
	}
	g.stopped = time.Now()
	return err
}

// pacedSink takes a time for each piece, or fails once aborted.
type pacedSink struct {
	perPiece time.Duration
	aborted  chan struct{}
	arrived  []time.Time
}

// WriteToken takes a piece.
func (s *pacedSink) WriteToken(fleet.Tokens, string) error {
	select {
	case <-s.aborted:
		return errors.New("aborted")
	case <-time.After(s.perPiece):
		s.arrived = append(s.arrived, time.Now())
		return nil
	}
}

// Abort makes writes fail.
func (s *pacedSink) Abort() { close(s.aborted) }

// TestBufferedGenerator guards against callers that hold up an endpoint or memory without bound, and against answers that
// the buffer delays, cuts off or reports as complete although their end was not written.
func TestBufferedGenerator(t *testing.T) {
	const second = time.Second
	tests := map[string]struct {
		next     pacedGenerator
		perPiece time.Duration
		memory   int64
		wantErr  error
		// endpointWithin bounds the time until the endpoint was read to its end or left.
		endpointWithin time.Duration
		arrived        int
	}{
		"quick caller":                {pacedGenerator{pieces: 50, size: 1000, pause: second / 10}, 0, 1 << 20, nil, 5 * second, 50},
		"quick caller without memory": {pacedGenerator{pieces: 50, size: 1000, pause: second / 10}, 0, 0, nil, 5 * second, 50},
		"slow caller, short answer":   {pacedGenerator{pieces: 50, size: 1000}, second / 5, 1 << 20, nil, 0, 50},
		"slow caller, long answer":    {pacedGenerator{pieces: 500, size: 1000}, 10 * second, 1 << 20, ErrSlowCaller, callerWaitTimeout, 0},
		"slow caller without memory":  {pacedGenerator{pieces: 500, size: 1000}, 10 * second, 0, ErrSlowCaller, callerWaitTimeout, 0},
		"steady caller, long answer":  {pacedGenerator{pieces: 100, size: 1000}, second / 4, 1 << 20, nil, 10 * second, 100},
		"caller that stops":           {pacedGenerator{pieces: 500, size: 4000}, 5 * second / 4, 1 << 20, ErrSlowCaller, callerWaitTimeout, 0},
		"slow caller, whole body":     {pacedGenerator{pieces: 1, size: 1 << 20}, 3 * second, 1 << 20, nil, 3 * second, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := &BufferedGenerator{Next: &test.next, Memory: semaphore.NewWeighted(test.memory)}
				sink := &pacedSink{perPiece: test.perPiece, aborted: make(chan struct{})}
				startedAt := time.Now()
				err := g.Generate(t.Context(), Request{}, sink)
				if !errors.Is(err, test.wantErr) {
					t.Errorf("error = %v, want %v", err, test.wantErr)
				}
				if took := test.next.stopped.Sub(startedAt); took > test.endpointWithin {
					t.Errorf("the endpoint was held for %v, want %v at most", took, test.endpointWithin)
				}
				if len(sink.arrived) != test.arrived {
					t.Errorf("%d pieces arrived, want %d", len(sink.arrived), test.arrived)
				}
				for i, at := range sink.arrived {
					if due := startedAt.Add(time.Duration(i) * test.next.pause); test.perPiece == 0 && !at.Equal(due) {
						t.Errorf("piece %d arrived at %v, want %v", i, at, due)
					}
				}
				if !g.Memory.TryAcquire(test.memory) || g.Buffered() != 0 {
					t.Errorf("memory was not released: %d bytes are buffered", g.Buffered())
				}
			})
		})
	}
}

// waitingSink lets the endpoint wait for the caller at one token.
type waitingSink struct {
	collector
	waited time.Duration
}

func (s *waitingSink) callerWait() time.Duration { return s.waited }

func (s *waitingSink) WriteToken(position fleet.Tokens, text string) error {
	if position == 5 {
		time.Sleep(time.Second)
		s.waited += time.Second
	}
	return s.collector.WriteToken(position, text)
}

// TestCallerWaitIsNotMeasured guards against endpoints that count as slow because their callers read slowly.
func TestCallerWaitIsNotMeasured(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reservations := &fakeReservations{}
		d := newTestDispatcher(&fakeEngines{script: []behavior{{}}}, reservations)
		if err := d.Generate(t.Context(), newTestRequest(), &waitingSink{}); err != nil {
			t.Fatal(err)
		}
		if got, want := reservations.released[0].DecodeTime, 90*time.Millisecond; got != want {
			t.Errorf("decode time = %v, want %v", got, want)
		}
	})
}
