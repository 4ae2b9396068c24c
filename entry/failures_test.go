package entry

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"

	"wisteriadyke/core/dispatch"
	"wisteriadyke/core/fleet"
	"wisteriadyke/core/retry"
	standin "wisteriadyke/standin/engine"
)

// defaultSeeds is the number of schedules of an ordinary run; the environment variable FAILURE_SEEDS sets another one.
const defaultSeeds = 200

// lastsFor is how long requests and failures come; settleTime is how long after the last of them memory must be free.
const (
	lastsFor   = 20 * time.Second
	settleTime = 40 * time.Second
)

// TestEveryRequestEndsTruthfully runs requests through three entries while engines die and pause, connections break,
// callers leave and endpoints change their owners, gracefully or not.
func TestEveryRequestEndsTruthfully(t *testing.T) {
	seeds := uint64(defaultSeeds)
	if text := os.Getenv("FAILURE_SEEDS"); text != "" {
		count, err := strconv.ParseUint(text, 10, 32)
		if err != nil {
			t.Fatal(err)
		}
		seeds = count
	}
	var served, given atomic.Int64
	t.Run("seeds", func(t *testing.T) {
		for seed := range seeds {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { schedule(t, seed, &served, &given) })
			})
		}
	})
	if served.Load() < given.Load()/2 {
		t.Errorf("%d of %d requests were served, want half at least", served.Load(), given.Load())
	}
}

// schedule runs one seeded schedule.
func schedule(t *testing.T, seed uint64, served, given *atomic.Int64) {
	ctx, cancel := context.WithCancel(t.Context())
	w := newWorld(ctx, seed)
	var requests errgroup.Group
	begun := time.Now()
	for number := 0; time.Since(begun) < lastsFor; number++ {
		time.Sleep(time.Duration(w.random.ExpFloat64() * float64(150*time.Millisecond)))
		d := w.entries[w.random.IntN(worldEntries)]
		tokens := []int{100, 500, 2_000, 8_000, 60_000}[w.random.IntN(5)]
		leaves := time.Duration(0)
		if w.random.IntN(20) == 0 {
			leaves = time.Duration(w.random.IntN(2000)) * time.Millisecond
		}
		if w.random.IntN(12) == 0 {
			w.disturb()
		}
		requests.Go(func() error {
			given.Add(1)
			if serveOne(ctx, t, d, number, tokens, leaves) {
				served.Add(1)
			}
			return nil
		})
	}
	_ = requests.Wait()
	time.Sleep(settleTime)
	w.checkEmpty(t)
	cancel()
	if err := w.group.Wait(); err != nil {
		t.Error(err)
	}
}

// serveOne sends one request and judges how it ends; it reports whether the answer was whole.
func serveOne(ctx context.Context, t *testing.T, d *dispatch.Dispatcher, number, tokens int, leaves time.Duration) bool {
	if leaves > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, leaves)
		defer cancel()
	}
	const output = 30
	prompt := fmt.Sprintf("%d %s", number, strings.Repeat("x", tokens*dispatch.BytesPerToken))
	request := dispatch.Request{
		ID: fleet.RequestID(fmt.Sprint("request-", number)), Account: fleet.AccountID(fmt.Sprint("account-", number%3)),
		Weight: 1, Class: "c", Pool: "p", Prompt: prompt, PromptTokens: dispatch.CountTokens(prompt), MaxTokens: output,
		FirstTokenDeadline: time.Now().Add(10 * time.Second), Deadline: time.Now().Add(30 * time.Second),
	}
	var answer wholeAnswer
	err := d.Generate(ctx, request, &answer)
	if late := time.Since(request.Deadline); late > 4*time.Second {
		t.Errorf("%s ended %s after its bound: %v", request.ID, late, err)
	}
	var failure *dispatch.Failure
	switch {
	case err == nil && answer.text.String() != standin.ExpectedText(prompt, output):
		t.Errorf("%s got an answer that is not its own whole one", request.ID)
	case err != nil && !errors.As(err, &failure):
		t.Errorf("%s ended with %v, which is no typed failure", request.ID, err)
	case err != nil && failure.State == dispatch.StateNotRun && answer.text.Len() > 0:
		t.Errorf("%s was told not_run after %d bytes of its answer", request.ID, answer.text.Len())
	case err != nil && failure.Reason == dispatch.ReasonQuarantined && deathsOf(d, request) < 2:
		t.Errorf("%s was quarantined though fewer than two engines died where it ran", request.ID)
	}
	return err == nil
}

// deathsOf counts the engine lives that ended while a request ran there, and that have really ended.
func deathsOf(d *dispatch.Dispatcher, request dispatch.Request) int {
	ended := 0
	for _, note := range d.Suspects.Records() {
		if note.Fingerprint != retry.FingerprintOf(request.Account, request.Prompt) {
			continue
		}
		for _, death := range note.Deaths {
			endpoint, _ := d.State.Endpoints.Get(death.Endpoint)
			now, err := d.Engines.Incarnation(context.Background(), endpoint)
			if err != nil || now != death.Incarnation {
				ended++
			}
		}
	}
	return ended
}

// wholeAnswer collects an answer.
type wholeAnswer struct {
	text strings.Builder
}

func (a *wholeAnswer) WriteToken(_ fleet.Tokens, text string) error {
	a.text.WriteString(text)
	return nil
}
