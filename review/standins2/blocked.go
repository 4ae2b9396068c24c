package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// addedRoute is the route that the second version of the desired state adds, and sharedPart the part that the prompts of
	// all its requests begin with.
	addedRoute = "/nuva310/"
	sharedPart = "91bd3f06:410"
	// minAddedCalls and minServedPart are the figures of the rule: 20 requests on added routes, a quarter as often.
	minAddedCalls = 20
	minServedPart = 0.25
	// addedDuration is how long sound requests are sent on the added route.
	addedDuration = 25 * time.Second
)

// runBlockedRoute adds a route for streams. The first request on it crashes each worker that begins to run it and comes
// twice more; then sound requests of other callers come on the route.
func runBlockedRoute(d *deployment) (bool, error) {
	arguments := []string{"--events", "20", "--slots", "16"}
	crashArguments := append([]string{}, arguments...)
	if d.trouble {
		crashArguments = append(crashArguments, "--crash-body", "entry that crashes")
	}
	for i := range 6 {
		if err := d.startWorker(engines, zones[i%len(zones)], crashArguments...); err != nil {
			return false, err
		}
	}
	for _, zone := range zones {
		if err := d.startWorker(services, zone); err != nil {
			return false, err
		}
	}
	if err := d.startEntries(); err != nil {
		return false, err
	}
	senders := newCallers(d)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group sync.WaitGroup
	group.Go(func() { senders.background(ctx, soundInterval) })
	defer group.Wait()
	defer cancel()
	time.Sleep(2 * time.Second)
	if err := d.store.put("op", "config", desiredState(2)); err != nil {
		return false, err
	}
	d.record.add("config", "version 2 adds the route %s", addedRoute)
	time.Sleep(2*stableWindow + configTime)
	prompt := sharedPart + ",%s:550"
	for i := range 3 {
		senders.send(d.entries[i], call{route: addedRoute, body: "entry that crashes", prompt: prompt, timeout: streamTimeout}, "crasher")
		time.Sleep(time.Second)
	}
	time.Sleep(stableWindow)
	sentBefore, servedBefore := senders.soundCounts()
	var mu sync.Mutex
	added, addedServed := 0, 0
	var calls sync.WaitGroup
	for started := time.Now(); time.Since(started) < addedDuration; time.Sleep(500 * time.Millisecond) {
		calls.Go(func() {
			mu.Lock()
			added++
			q := call{route: addedRoute, body: fmt.Sprintf("entry %d", added), prompt: prompt, timeout: streamTimeout}
			e := d.entries[added%len(d.entries)]
			mu.Unlock()
			if senders.send(e, q, "added") == http.StatusOK {
				mu.Lock()
				defer mu.Unlock()
				addedServed++
			}
		})
	}
	calls.Wait()
	sent, served := senders.soundCounts()
	sent, served = sent-sentBefore, served-servedBefore
	crashes := d.crasherEvents(eventCrashes)
	d.record.add("check", "the request crashed %d workers", len(crashes))
	d.record.add("check", "first routes: %d sound calls, %d served; added route: %d, %d served", sent, served, added, addedServed)
	if added < minAddedCalls || sent == 0 || served == 0 || d.trouble && len(crashes) == 0 {
		return false, errors.New("too few calls")
	}
	return float64(addedServed)/float64(added) < minServedPart*float64(served)/float64(sent), nil
}
