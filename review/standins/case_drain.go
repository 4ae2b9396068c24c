package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["drain"] = caseDrain }

// silent is the gateway whose connection goes silent: by their names, the one that chooses for all.
const silent = 2

// drainBound is drainMs of the small sites.
const drainBound = 2.0

// caseDrain runs three gateways and three workers of a plain service. One open connection between a gateway and the store,
// that of its registry poll, goes silent; later a worker of the service drains and leaves.
func caseDrain(r *run) error {
	storeAddress, err := r.serveStore("all")
	if err != nil {
		return err
	}
	r.configure(desiredState(7, true))
	zones := []string{"zone-a", "zone-b", "zone-c"}
	var workers, gateways []*process
	for i, zone := range zones {
		w, err := r.startWorker(fmt.Sprintf("i-plain%d", i), plainService, zone, "--leave-after", "4s")
		if err != nil {
			return err
		}
		workers = append(workers, w)
	}
	polls := make(chan *link, 100)
	for i, zone := range zones {
		p, err := newProxy(storeAddress)
		if err != nil {
			return err
		}
		if i == silent {
			p.inspect = func(l *link, data []byte) {
				if text := string(data); strings.Contains(text, "rows-feed") && strings.Contains(text, "table=servers") &&
					!strings.Contains(text, "waitMs=0") {
					polls <- l
				}
			}
		}
		g, err := r.startGateway(gatewayOptions{name: fmt.Sprintf("front-%d", i), zone: zone, store: p.address()})
		if err != nil {
			return err
		}
		gateways = append(gateways, g)
	}
	if err := r.awaitReady(gateways...); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	for len(polls) > 0 {
		<-polls
	}
	select {
	case l := <-polls:
		time.Sleep(300 * time.Millisecond)
		if r.trouble {
			l.silence()
			r.note(event{"event": "a connection to the store goes silent", "gateway": gateways[silent].name})
		}
	case <-time.After(15 * time.Second):
		return fmt.Errorf("no registry poll was seen")
	}
	// Well past stableWindowMs after the disruption.
	time.Sleep(4 * time.Second)
	var group sync.WaitGroup
	stop := make(chan struct{})
	for client := range 12 {
		group.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				r.once(gateways[client%len(gateways)], request{
					method: "POST", path: fmt.Sprintf("%s%d-%d", unsafePath, client, i), key: key, deadline: time.Second,
				})
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	r.signal(workers[1], syscall.SIGTERM)
	drainedAt, err := r.awaitDraining(workers[1].name)
	if err != nil {
		return err
	}
	time.Sleep(6 * time.Second)
	close(stop)
	group.Wait()
	time.Sleep(300 * time.Millisecond)
	late, sent, lost := 0, 0, 0
	for _, e := range r.find(func(e event) bool { return e["event"] == "runs" && e["worker"] == workers[1].name }) {
		if at, _ := e["t"].(float64); at > drainedAt+drainBound+0.05 {
			late++
		}
	}
	for _, e := range r.find(func(e event) bool { return e["event"] == "answered" }) {
		sent++
		if e["status"] != 200 {
			lost++
		}
	}
	r.note(event{"event": "judged", "late": late, "sent": sent, "not served": lost})
	if late > 0 {
		r.fail("DRAIN: %d requests reached a worker later than %v s after its draining was confirmed", late, drainBound)
	}
	return nil
}

// awaitDraining waits until the store lists a worker as draining and returns the time of that.
func (r *run) awaitDraining(id string) (float64, error) {
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(2 * time.Millisecond) {
		r.store.mu.Lock()
		known := r.store.beats[id]
		r.store.mu.Unlock()
		if strings.Contains(known.value, `"draining"`) {
			at := r.now()
			r.note(event{"event": "draining confirmed", "worker": id})
			return at, nil
		}
	}
	return 0, fmt.Errorf("worker %s does not drain", id)
}
