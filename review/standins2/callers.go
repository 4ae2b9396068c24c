package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// call is a request of a caller.
type call struct {
	route   string
	body    string
	prompt  string
	timeout time.Duration
}

// The calls of callers whose requests crash nothing.
var soundCalls = []call{
	{route: unsafeRoute, body: "stamp 1", timeout: callTimeout},
	{route: safeRoute, timeout: callTimeout},
	{route: streamRoute, body: "entry 1", prompt: "5c1e07a2:40,%s:960", timeout: streamTimeout},
}

// callers sends requests to the entries.
type callers struct {
	d      *deployment
	client *http.Client

	mu     sync.Mutex
	number int
	// sent and served count the sound calls.
	sent, served int
}

// newCallers returns callers that keep their connections open.
func newCallers(d *deployment) *callers {
	return &callers{d: d, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}}
}

// send sends one call to an entry and returns the status, or 0 if there was no complete answer.
func (c *callers) send(e *entry, q call, name string) int {
	c.mu.Lock()
	c.number++
	attempt := fmt.Sprintf("%s-%04x", name, c.number)
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), q.timeout)
	defer cancel()
	method := http.MethodPost
	if q.body == "" {
		method = http.MethodGet
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+e.front+q.route+"2f", strings.NewReader(q.body))
	if err != nil {
		return 0
	}
	request.Host = host
	request.Header.Set("X-Attempt-Id", attempt)
	request.Header.Set("X-Credential", apiKey)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(q.timeout.Milliseconds()))
	if q.prompt != "" {
		request.Header.Set("X-Model", "m")
		request.Header.Set("X-Token-Counts", "1000,400")
		request.Header.Set("X-Prompt-Prefix", strings.ReplaceAll(q.prompt, "%s", fmt.Sprintf("%x", len(attempt)+c.number)))
	}
	response, err := c.client.Do(request)
	if err != nil {
		c.d.record.add("caller", "%s to %s: no answer", attempt, e.name)
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		c.d.record.add("caller", "%s to %s: status %d, cut after %d bytes", attempt, e.name, response.StatusCode, len(body))
		return 0
	}
	c.d.record.add("caller", "%s to %s: status %d, %d bytes, Retry-After %q", attempt, e.name, response.StatusCode, len(body),
		response.Header.Get("Retry-After"))
	return response.StatusCode
}

// background sends sound calls to all entries in turn until ctx ends.
func (c *callers) background(ctx context.Context, interval time.Duration) {
	var group sync.WaitGroup
	defer group.Wait()
	for i := 0; ctx.Err() == nil; i++ {
		group.Go(func() {
			status := c.send(c.d.entries[i%len(c.d.entries)], soundCalls[(i/len(c.d.entries))%len(soundCalls)], "sound")
			c.mu.Lock()
			defer c.mu.Unlock()
			c.sent++
			if status == http.StatusOK {
				c.served++
			}
		})
		time.Sleep(interval)
	}
}

// soundCounts returns how many sound calls were sent and served.
func (c *callers) soundCounts() (sent, served int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sent, c.served
}
