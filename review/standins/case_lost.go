package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["lost"] = caseLost }

// caseLost runs three gateways and seven model workers. Clients send streams on kept connections, one worker crashes, and
// the streams at the other workers are watched; that is done twice.
func caseLost(r *run) error {
	storeAddress, err := r.serveStore("all")
	if err != nil {
		return err
	}
	r.configure(desiredState(7, false))
	zones := []string{"zone-a", "zone-b", "zone-c"}
	workers := map[string]*process{}
	for i := range 7 {
		id := fmt.Sprintf("i-model%d", i)
		p, err := r.startWorker(id, modelService, zones[i%3], "--first-after", "250ms", "--event-every", "100ms", "--events", "30")
		if err != nil {
			return err
		}
		workers[id] = p
	}
	if _, err := r.startWorker("i-plain", plainService, zones[0]); err != nil {
		return err
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
	time.Sleep(4 * time.Second)

	crashed := map[string]bool{}
	for round := range 2 {
		if err := r.streamsAndCrash(round, gateways, workers, crashed); err != nil {
			return err
		}
	}
	r.judgeLost(crashed)
	return nil
}

// streamsAndCrash sends streams on kept connections and lets one worker crash while they run; the worker starts again
// afterwards. It adds the worker to crashed.
func (r *run) streamsAndCrash(round int, gateways []*process, workers map[string]*process, crashed map[string]bool) error {
	var group sync.WaitGroup
	stream := func(i int, wait time.Duration) {
		group.Go(func() {
			time.Sleep(wait)
			g := gateways[i%len(gateways)]
			c, err := connect(g.address)
			if err != nil {
				return
			}
			defer c.close()
			c.send(r, g.name, request{method: "GET", path: safePath + "2f", key: key, deadline: time.Second})
			// As in the example of the protocol page: the same path, no body, and the prompt in the headers.
			c.send(r, g.name, request{
				method: "POST", path: streamPath + "2f", key: key, deadline: 10 * time.Second,
				tokens: "4960,1600", prefix: fmt.Sprintf("5c1e07a2:40,%08x:4920", 0x1000*(round+1)+i),
			})
		})
	}
	for i := range 14 {
		stream(i, time.Duration(i)*30*time.Millisecond)
	}
	for i := range 21 {
		stream(14+i, 1500*time.Millisecond+time.Duration(i)*10*time.Millisecond)
	}
	time.Sleep(1800 * time.Millisecond)
	victim := r.latestRunner(21)
	if r.trouble {
		if victim == "" {
			return fmt.Errorf("no worker runs a stream")
		}
		crashed[victim] = true
		r.signal(workers[victim], syscall.SIGKILL)
	}
	group.Wait()
	if r.trouble {
		if err := r.restartWorker(workers[victim]); err != nil {
			return err
		}
	}
	time.Sleep(3 * time.Second)
	return nil
}

// latestRunner returns the model worker that began most of the latest streams, or "" if none began any.
func (r *run) latestRunner(latest int) string {
	found := r.find(func(e event) bool { return e["event"] == "runs" && e["service"] == modelService })
	began, most := map[string]int{}, ""
	for _, e := range found[max(0, len(found)-latest):] {
		worker := e.text("worker")
		if began[worker]++; began[worker] > began[most] {
			most = worker
		}
	}
	return most
}

// judgeLost counts the streams that were passed on to a sound worker and whose connection was closed without a whole
// answer.
func (r *run) judgeLost(crashed map[string]bool) {
	ranAt := map[string]string{}
	for _, e := range r.find(func(e event) bool { return e["event"] == "runs" && e["service"] == modelService }) {
		ranAt[e.text("id")] = e.text("worker")
	}
	var closed, wrong []string
	for _, e := range r.find(func(e event) bool { return e["event"] == "answered" }) {
		worker, ran := ranAt[e.text("id")]
		if !ran || crashed[worker] || e["whole"] == true {
			continue
		}
		if e.text("error") == "connection closed" {
			closed = append(closed, e.text("id"))
		} else {
			wrong = append(wrong, e.text("id"))
		}
	}
	r.note(event{"event": "judged", "closed without a whole answer at sound workers": len(closed), "other failures": len(wrong)})
	if len(closed) > 3 {
		r.fail("LOST: %d requests of kept connections were passed on to sound workers, and their connections closed without an answer",
			len(closed))
	}
}
