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
	// callers is the number of callers that send one request after the other.
	callers = 24
	// leaveShare is the share of requests whose caller leaves early.
	leaveShare = 0.05
	// longShare is the share of streams whose prompt does not fit into one engine.
	longShare = 0.1
)

// caller sends requests to one entry after the other and keeps its connections as long as they work.
type caller struct {
	world  *world
	number int
	client *http.Client
	serial int
}

// newCaller returns a caller with connections of its own.
func newCaller(w *world, number int) *caller {
	dialer := &net.Dialer{Timeout: time.Second}
	return &caller{
		world:  w,
		number: number,
		client: &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 1, DisableCompression: true}},
	}
}

// run sends requests until ctx ends.
func (c *caller) run(ctx context.Context) error {
	for ctx.Err() == nil {
		target := rand.N(len(c.world.entries))
		for range 8 {
			if ctx.Err() != nil {
				break
			}
			if !c.send(c.next(target)) {
				break
			}
			time.Sleep(rand.N(40 * time.Millisecond))
		}
	}
	c.client.CloseIdleConnections()
	return nil
}

// next makes a request for an entry.
func (c *caller) next(target int) *attempt {
	c.serial++
	a := &attempt{
		id: fmt.Sprintf("c%d-%d", c.number, c.serial), entry: target, key: lastingKey, account: lastingAccount,
		kind: []kind{kindSafe, kindOnce, kindStream}[rand.N(3)],
	}
	if key, account := c.world.someKey(); rand.Float64() < 0.3 && key != "" {
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
		if rand.Float64() < 0.2 {
			a.from = 2
		}
	}
	return a
}

// send sends one request and notes all that comes back; it reports whether the connection may be used again.
func (c *caller) send(a *attempt) bool {
	ctx, cancel := context.WithTimeout(context.Background(), deadline+deadlineSlack/2)
	defer cancel()
	var left atomic.Bool
	if rand.Float64() < leaveShare {
		leaving := time.AfterFunc(rand.N(200*time.Millisecond), func() {
			left.Store(true)
			cancel()
		})
		defer leaving.Stop()
	}
	target := fmt.Sprintf("http://%s%s", c.world.entries[a.entry].callers.Address(), a.path)
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
		if a.from > 0 {
			request.Header.Set("Last-Event-Id", strconv.Itoa(a.from))
		}
	}
	a.sentAt = time.Now()
	c.world.sent(a)
	response, err := c.client.Do(request)
	if err != nil {
		c.world.ended(a, outcome{left: left.Load()})
		return false
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	c.world.ended(a, outcome{
		left: left.Load(), status: response.StatusCode, seal: response.Header.Get("X-Response-Seal"), answer: string(body),
		whole: err == nil,
	})
	return err == nil && response.StatusCode/100 == 2
}

// someKey returns a key that is or was in force beside the lasting one, or "".
func (w *world) someKey() (key, account string) {
	w.changes.Lock()
	defer w.changes.Unlock()
	for account, keys := range w.keys {
		if account != lastingAccount && len(keys) > 0 {
			return keys[0], account
		}
	}
	for key := range w.removedKeys {
		return key, "account-of-" + key
	}
	return "", ""
}
