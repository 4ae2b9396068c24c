package main

import (
	"context"
	"errors"
	"sync"
	"time"
)

const (
	// crashesBefore is the number of crashes before which a request that crashes workers isn't limited, and retriesAfter the
	// number of retries that may reach workers later than stableWindow after the last of them.
	crashesBefore = 3
	retriesAfter  = 3
	// soundInterval is the time between two calls that crash nothing.
	soundInterval = 150 * time.Millisecond
	// minServedShare is the share of these calls that has to be served without the disruption.
	minServedShare = 0.9
)

// crasherCase is a case in which the same request comes again and again and crashes each worker that begins to run it.
type crasherCase struct {
	service string
	workers int
	// retired is the number of these workers that leave for good at the start.
	retired int
	// arguments are those of the workers; with trouble, crashArguments are added.
	arguments, crashArguments []string
	crasher                   call
	// interval is the time between two client attempts, and duration that of the case.
	interval, duration time.Duration
}

// runReturningCrasher lets an unsafe request come again for 85 seconds.
func runReturningCrasher(d *deployment) (bool, error) {
	return runCrasherCase(d, crasherCase{
		service: services, workers: 3, crashArguments: []string{"--crash-body", "stamp that crashes"},
		crasher:  call{route: unsafeRoute, body: "stamp that crashes", timeout: callTimeout},
		interval: 1500 * time.Millisecond, duration: 85 * time.Second,
	})
}

// runSmallService lets an unsafe request come again quickly at a service that has two workers left.
func runSmallService(d *deployment) (bool, error) {
	return runCrasherCase(d, crasherCase{
		service: services, workers: 3, retired: 1, crashArguments: []string{"--crash-body", "stamp that crashes"},
		crasher:  call{route: unsafeRoute, body: "stamp that crashes", timeout: callTimeout},
		interval: 600 * time.Millisecond, duration: 30 * time.Second,
	})
}

// runLateCrasher lets a stream come again that crashes its workers a second after its first event.
func runLateCrasher(d *deployment) (bool, error) {
	return runCrasherCase(d, crasherCase{
		service: engines, workers: 6, arguments: []string{"--events", "20", "--slots", "16"},
		crashArguments: []string{"--crash-body", "entry that crashes", "--crash-events", "10"},
		crasher:        call{route: streamRoute, body: "entry that crashes", prompt: "5c1e07a2:40,%s:960", timeout: streamTimeout},
		interval:       2500 * time.Millisecond, duration: 30 * time.Second,
	})
}

// runCrasherCase runs a case and reports whether more than retriesAfter retries of the request reached workers.
func runCrasherCase(d *deployment, c crasherCase) (broken bool, err error) {
	arguments := c.arguments
	if d.trouble {
		arguments = append(append([]string{}, arguments...), c.crashArguments...)
	}
	other, otherArguments := engines, []string{"--events", "20", "--slots", "16"}
	if c.service == engines {
		other, otherArguments = services, nil
	}
	for i := range c.workers {
		if err := d.startWorker(c.service, zones[i%len(zones)], arguments...); err != nil {
			return false, err
		}
	}
	for _, zone := range zones {
		if err := d.startWorker(other, zone, otherArguments...); err != nil {
			return false, err
		}
	}
	if err := d.startEntries(); err != nil {
		return false, err
	}
	for range c.retired {
		if err := d.retireWorker(c.service); err != nil {
			return false, err
		}
	}
	if c.retired > 0 {
		time.Sleep(drainTime + 2*linger)
	}
	senders := newCallers(d)
	ctx, cancel := context.WithTimeout(context.Background(), c.duration)
	defer cancel()
	var group sync.WaitGroup
	group.Go(func() { senders.background(ctx, soundInterval) })
	for i := 0; ctx.Err() == nil; i++ {
		group.Go(func() { senders.send(d.entries[i%len(d.entries)], c.crasher, "crasher") })
		time.Sleep(c.interval)
	}
	group.Wait()
	sent, served := senders.soundCounts()
	d.record.add("check", "%d sound calls, %d served", sent, served)
	if !d.trouble && float64(served) < minServedShare*float64(sent) {
		return false, errors.New("too few sound calls were served")
	}
	return checkCrasher(d)
}

// checkCrasher counts the retries that reached workers later than stableWindow after the third crash.
func checkCrasher(d *deployment) (broken bool, err error) {
	crashes, arrivals := d.crasherEvents(eventCrashes), d.crasherEvents(eventArrived)
	d.record.add("check", "the request reached workers %d times and crashed %d", len(arrivals), len(crashes))
	if !d.trouble {
		return false, nil
	}
	if len(crashes) < crashesBefore {
		return false, errors.New("the request crashed too few workers")
	}
	from := crashes[crashesBefore-1].at.Add(stableWindow)
	late := 0
	for _, a := range arrivals {
		if a.at.After(from) {
			late++
			d.record.addAt(a.at, "check", "retry %d later than %v after crash %d: %s at %s", late, stableWindow, crashesBefore, a.Attempt, a.worker)
		}
	}
	d.record.add("check", "%d retries reached workers later than %v after crash %d; %d are allowed", late, stableWindow, crashesBefore, retriesAfter)
	return late > retriesAfter, nil
}
