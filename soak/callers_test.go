package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

const (
	// callerCount is the number of callers, each of which sends one request at a time.
	callerCount = 24
	// cancelShare is the share of requests that their caller cancels early.
	cancelShare = 0.05
	// longShare is the share of streams whose prompt does not fit into one engine.
	longShare = 0.1
)

// caller sends one request at a time. It draws a random entry, sends up to eight requests to it, over the same
// connection if possible, and draws again after the eighth or the first failed one.
type caller struct {
	deployment *deployment
	number     int
	client     *http.Client
	// sent is the number of attempts created so far.
	sent int
}

// newCaller returns a caller with its own connections.
func newCaller(w *deployment, number int) *caller {
	dialer := &net.Dialer{Timeout: time.Second}
	return &caller{
		deployment: w,
		number:     number,
		client:     &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 1, DisableCompression: true}},
	}
}

// run sends requests until ctx ends.
func (c *caller) run(ctx context.Context) error {
	for ctx.Err() == nil {
		target := rand.N(len(c.deployment.entries))
		for range 8 {
			if ctx.Err() != nil {
				break
			}
			if !c.send(c.newAttempt(target)) {
				break
			}
			time.Sleep(rand.N(40 * time.Millisecond))
		}
	}
	c.client.CloseIdleConnections()
	return nil
}

// newAttempt returns an attempt of a random kind for an entry, without sending it.
func (c *caller) newAttempt(entry int) *attempt {
	c.sent++
	a := &attempt{
		id: fmt.Sprintf("c%d-%d", c.number, c.sent), entry: entry, key: permanentKey, account: permanentAccount,
		kind: []kind{kindSafe, kindOnce, kindStream}[rand.N(3)],
	}
	if key, account := c.deployment.otherKey(); rand.Float64() < 0.3 && key != "" {
		a.key, a.account = key, account
	}
	a.body = fmt.Sprintf("body of %s", a.id)
	switch a.kind {
	case kindSafe:
		a.path = "/r/a%2Fb//" + a.id
	case kindOnce:
		a.path = "/u/" + a.id + "?q=%20"
	case kindStream:
		a.path = "/s/" + a.id
		a.parts = soundParts
		if rand.Float64() < 0.2 {
			a.from = 2
		}
	}
	return a
}

// send sends one request and records its outcome. It reports whether the request got a complete answer with a status of
// 2xx.
func (c *caller) send(a *attempt) bool {
	ctx, cancel := context.WithTimeout(context.Background(), deadline+deadlineSlack/2)
	defer cancel()
	var cancelled atomic.Bool
	if rand.Float64() < cancelShare {
		cancelTimer := time.AfterFunc(rand.N(200*time.Millisecond), func() {
			cancelled.Store(true)
			cancel()
		})
		defer cancelTimer.Stop()
	}
	target := fmt.Sprintf("http://%s%s", c.deployment.entries[a.entry].callers.Address(), a.path)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, io.NopCloser(bytes.NewReader([]byte(a.body))))
	if err != nil {
		panic(err)
	}
	request.ContentLength = int64(len(a.body))
	request.Host = "app.example"
	request.Header.Set("X-Attempt-Id", a.id)
	request.Header.Set("X-Credential", a.key)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	request.Header.Set("X-Tenant", "forged")
	if a.kind == kindStream {
		tokens := 1000 + rand.N(8000)
		if rand.Float64() < longShare {
			tokens = 150_000
		}
		request.Header.Set("X-Token-Counts", fmt.Sprintf("%d,300", tokens))
		request.Header.Set("X-Prompt-Prefix", fmt.Sprintf("%s,%s:%d", a.parts, a.id, tokens))
		if a.from > 0 {
			request.Header.Set("Last-Event-Id", strconv.Itoa(a.from))
		}
	}
	a.sentAt = time.Now()
	c.deployment.recordSent(a)
	response, err := c.client.Do(request)
	if err != nil {
		c.deployment.recordOutcome(a, outcome{cancelled: cancelled.Load()})
		return false
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	c.deployment.recordOutcome(a, outcome{
		cancelled: cancelled.Load(), status: response.StatusCode, seal: response.Header.Get("X-Response-Seal"),
		answer: string(body), complete: err == nil,
	})
	return err == nil && response.StatusCode/100 == 2
}

// otherKey returns a key other than the permanent one that is or was configured, and its account. It returns empty
// strings if there is none.
func (w *deployment) otherKey() (key, account string) {
	w.stateMu.Lock()
	defer w.stateMu.Unlock()
	for account, keys := range w.keys {
		if account != permanentAccount && len(keys) > 0 {
			return keys[0], account
		}
	}
	for key := range w.removedKeys {
		return key, "account-of-" + key
	}
	return "", ""
}
