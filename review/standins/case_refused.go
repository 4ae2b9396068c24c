package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["refused"] = caseRefused }

// caseRefused runs three gateways and seven workers of a plain service, one of which fails part of its requests after it
// has run them.
func caseRefused(r *run) error {
	storeAddress, err := r.serveStore("all")
	if err != nil {
		return err
	}
	r.configure(desiredState(7, true))
	zones := []string{"zone-a", "zone-b", "zone-c"}
	for i := range 7 {
		var flags []string
		if r.trouble && i == 4 {
			flags = []string{"--fail-every", "3", "--fail-status", "503"}
		}
		if _, err := r.startWorker(fmt.Sprintf("i-plain%d", i), plainService, zones[i%3], flags...); err != nil {
			return err
		}
	}
	var gateways []*process
	for i, zone := range zones {
		g, err := r.startGateway(gatewayOptions{name: fmt.Sprintf("front-%d", i), zone: zone, store: storeAddress})
		if err != nil {
			return err
		}
		gateways = append(gateways, g)
	}
	if err := r.awaitReady(gateways...); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	var group sync.WaitGroup
	for _, g := range gateways {
		for client := range 3 {
			group.Go(func() {
				time.Sleep(time.Duration(client) * 40 * time.Millisecond)
				for i := range 60 {
					q := request{
						method: "POST", path: fmt.Sprintf("%s%s-%d-%d", unsafePath, g.name, client, i), key: key, deadline: time.Second,
					}
					a := r.once(g, q)
					if a.status == 503 || a.status == 429 {
						// The promise that it has not run: the client sends the same again, once.
						r.once(g, q)
					}
					time.Sleep(120 * time.Millisecond)
				}
			})
		}
	}
	group.Wait()
	time.Sleep(500 * time.Millisecond)
	ran := map[string]bool{}
	for _, e := range r.find(func(e event) bool { return e["event"] == "runs" }) {
		ran[e.text("id")] = true
	}
	answered, served := 0, 0
	for _, e := range r.find(func(e event) bool { return e["event"] == "answered" }) {
		status, _ := e["status"].(int)
		answered++
		if status == 200 {
			served++
		}
		switch status {
		case 408, 421, 429, 503:
			if ran[e.text("id")] {
				r.fail("REFUSED: unsafe request %s got %d and has run", e.text("id"), status)
			}
		}
	}
	r.noteTwice()
	if served < answered/2 {
		return fmt.Errorf("only %d of %d requests were served", served, answered)
	}
	return nil
}

// noteTwice notes how many calls ran twice because their client believed the promise and sent them again.
func (r *run) noteTwice() {
	runs, twice := map[string]int{}, 0
	for _, e := range r.find(func(e event) bool { return e["event"] == "runs" }) {
		if runs[e.text("path")]++; runs[e.text("path")] == 2 {
			twice++
		}
	}
	r.note(event{"event": "judged", "calls that ran twice": twice})
}
