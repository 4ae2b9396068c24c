package main

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"
)

func init() { cases["route"] = caseRoute }

const (
	otherService = "dahu75a"
	otherPath    = "/pufi791/"
)

// caseRoute runs three gateways and two plain services. Another writer writes an entry with missing fields into the
// registry, under the id of a worker of one service and with the name of the other service.
func caseRoute(r *run) error {
	storeAddress, err := r.serveStore("all")
	if err != nil {
		return err
	}
	state := desiredState(7, true)
	state["routes"] = append(state["routes"].([]any), map[string]any{
		"name": "r-other", "host": host, "prefix": otherPath, "kind": "unsafe", "timeoutMs": 1000, "goalMs": 150, "priority": 2,
		"service": otherService, "maxAttempts": 2, "public": false,
	})
	state["services"] = append(state["services"].([]any), map[string]any{
		"name": otherService, "healthPath": "/health", "maxConns": 51, "protocol": "h1", "tls": false, "coldS": 0.0, "coldPerS": 0.0,
	})
	r.configure(state)
	zones := []string{"zone-a", "zone-b", "zone-c"}
	var gateways, others []*process
	for i, zone := range zones {
		if _, err := r.startWorker(fmt.Sprintf("i-plain%d", i), plainService, zone); err != nil {
			return err
		}
		w, err := r.startWorker(fmt.Sprintf("i-other%d", i), otherService, zone)
		if err != nil {
			return err
		}
		others = append(others, w)
	}
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
	time.Sleep(3 * time.Second)
	var group sync.WaitGroup
	stop := make(chan struct{})
	for _, g := range gateways {
		for client, prefix := range []string{unsafePath, otherPath} {
			group.Go(func() {
				for i := 0; ; i++ {
					select {
					case <-stop:
						return
					case <-time.After(50 * time.Millisecond):
					}
					r.once(g, request{method: "POST", path: fmt.Sprintf("%s%d-%d", prefix, client, i), key: key, deadline: time.Second})
				}
			})
		}
	}
	time.Sleep(2 * time.Second)
	if r.trouble {
		for range 3 {
			entry := map[string]any{"service": plainService, "address": others[0].address, "state": "ready"}
			value, _ := json.Marshal(entry)
			r.store.put("servers", others[0].name, value)
			r.note(event{"event": "another writer writes an entry", "key": others[0].name, "value": string(value)})
			time.Sleep(3 * time.Second)
		}
	}
	time.Sleep(2 * time.Second)
	close(stop)
	group.Wait()
	time.Sleep(300 * time.Millisecond)
	wrong := 0
	for _, e := range r.find(func(e event) bool { return e["event"] == "runs" }) {
		path := e.text("path")
		if len(path) > len(unsafePath) && path[:len(unsafePath)] == unsafePath && e.text("service") != plainService {
			wrong++
		}
	}
	r.note(event{"event": "judged", "wrong": wrong})
	if wrong > 0 {
		r.fail("ROUTE: %d requests were run by a service to which no desired state allowed them to go", wrong)
	}
	return nil
}
