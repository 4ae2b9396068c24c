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

// defaultSeeds is the number of seeded schedules of a test run; the environment variable FAILURE_SEEDS overrides it.
const defaultSeeds = 200

// loadDuration is how long a schedule sends requests and injects faults; quiesceTime is the time after the last request
// within which all memory must be released.
const (
	loadDuration = 20 * time.Second
	quiesceTime  = 40 * time.Second
)

// TestEveryRequestEndsTruthfully sends requests through three entries while engines die and pause, connections break,
// callers disconnect and endpoints change their owners, with or without a handover. Every request must end soon after
// its deadline at the latest, with its own complete answer or with a *dispatch.Failure whose state and reason are
// correct. In the end all memory must be released, and no engine may have died of overload.
func TestEveryRequestEndsTruthfully(t *testing.T) {
	seeds := uint64(defaultSeeds)
	if text := os.Getenv("FAILURE_SEEDS"); text != "" {
		count, err := strconv.ParseUint(text, 10, 32)
		if err != nil {
			t.Fatal(err)
		}
		seeds = count
	}
	var served, sent atomic.Int64
	t.Run("seeds", func(t *testing.T) {
		for seed := range seeds {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { runSchedule(t, seed, &served, &sent) })
			})
		}
	})
	if served.Load() < sent.Load()/2 {
		t.Errorf("%d of %d requests were served, want at least half", served.Load(), sent.Load())
	}
}

// runSchedule runs one seeded schedule of requests and faults.
func runSchedule(t *testing.T, seed uint64, served, sent *atomic.Int64) {
	ctx, cancel := context.WithCancel(t.Context())
	c := newTestCluster(ctx, seed)
	var requests errgroup.Group
	start := time.Now()
	for number := 0; time.Since(start) < loadDuration; number++ {
		time.Sleep(time.Duration(c.random.ExpFloat64() * float64(150*time.Millisecond)))
		d := c.entries[c.random.IntN(clusterEntries)]
		tokens := []int{100, 500, 2_000, 8_000, 60_000}[c.random.IntN(5)]
		disconnectAfter := time.Duration(0)
		if c.random.IntN(20) == 0 {
			disconnectAfter = time.Duration(c.random.IntN(2000)) * time.Millisecond
		}
		if c.random.IntN(12) == 0 {
			c.injectFault()
		}
		requests.Go(func() error {
			sent.Add(1)
			if sendRequest(ctx, t, d, number, tokens, disconnectAfter) {
				served.Add(1)
			}
			return nil
		})
	}
	_ = requests.Wait()
	time.Sleep(quiesceTime)
	c.checkReleased(t)
	cancel()
	if err := c.group.Wait(); err != nil {
		t.Error(err)
	}
}

// sendRequest sends one request and checks how it ends; it reports whether it succeeded.
func sendRequest(
	ctx context.Context, t *testing.T, d *dispatch.Dispatcher, number, tokens int, disconnectAfter time.Duration,
) bool {
	if disconnectAfter > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, disconnectAfter)
		defer cancel()
	}
	const output = 30
	prompt := fmt.Sprintf("%d %s", number, strings.Repeat("x", tokens*dispatch.BytesPerToken))
	request := dispatch.Request{
		ID: fleet.RequestID(fmt.Sprint("request-", number)), Account: fleet.AccountID(fmt.Sprint("account-", number%3)),
		Weight: 1, Class: "c", Pool: "p", Prompt: prompt, PromptTokens: dispatch.CountTokens(prompt), MaxTokens: output,
		FirstTokenDeadline: time.Now().Add(10 * time.Second), Deadline: time.Now().Add(30 * time.Second),
	}
	var answer answerCollector
	err := d.Generate(ctx, request, &answer)
	if late := time.Since(request.Deadline); late > 4*time.Second {
		t.Errorf("%s ended %s after its deadline: %v", request.ID, late, err)
	}
	var failure *dispatch.Failure
	switch {
	case err == nil && answer.text.String() != standin.ExpectedText(prompt, output):
		t.Errorf("%s got an answer other than its own complete answer", request.ID)
	case err != nil && !errors.As(err, &failure):
		t.Errorf("%s ended with %v, want a *dispatch.Failure", request.ID, err)
	case err != nil && failure.State == dispatch.StateNotRun && answer.text.Len() > 0:
		t.Errorf("%s failed with not_run after %d bytes of its answer", request.ID, answer.text.Len())
	case err != nil && failure.Reason == dispatch.ReasonQuarantined && countDeaths(d, request) < 2:
		t.Errorf("%s was quarantined although fewer than two engines that ran it have died", request.ID)
	}
	return err == nil
}

// countDeaths returns the number of recorded deaths of a request whose engine incarnation has actually ended.
func countDeaths(d *dispatch.Dispatcher, request dispatch.Request) int {
	ended := 0
	for _, record := range d.Suspects.Records() {
		if record.Fingerprint != retry.FingerprintOf(request.Account, request.Prompt) {
			continue
		}
		for _, death := range record.Deaths {
			endpoint, _ := d.State.Endpoints.Get(death.Endpoint)
			current, err := d.Engines.Incarnation(context.Background(), endpoint)
			if err != nil || current != death.Incarnation {
				ended++
			}
		}
	}
	return ended
}

// answerCollector collects the text of an answer.
type answerCollector struct {
	text strings.Builder
}

func (a *answerCollector) WriteToken(_ fleet.Tokens, text string) error {
	a.text.WriteString(text)
	return nil
}
