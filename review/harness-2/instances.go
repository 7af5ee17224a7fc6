package main

import (
	"context"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

const (
	instanceBatches = 5
	batchSize       = 13 // control instances without a disk that run at a time
	configApply     = 2 * time.Second
)

// runInstances replaces control instances over time, each by one at another address, and
// then changes the manifest. The relays run all the while.
func runInstances(ctx context.Context, rec *record, trouble bool) (string, error) {
	d, err := newDeployment(rec, 3, 3)
	if err != nil {
		return "", err
	}
	defer d.stop()
	if err := d.start(); err != nil {
		return "", err
	}
	for i := range 2 {
		w, err := newWorker(d, i, application, "decode", 6, func(w *worker, rw http.ResponseWriter, r *http.Request) {
			w.whole(rw, r, 5*time.Millisecond, "the bank is planted")
		})
		if err != nil {
			return "", err
		}
		defer w.stop()
	}
	m := manifest()
	if err := d.put(ctx, m); err != nil {
		return "", err
	}
	if err := d.awaitReady(ctx); err != nil {
		return "", err
	}
	sleep(ctx, 2*time.Second)

	if trouble {
		next := 10
		for range instanceBatches {
			for i := next; i < next+batchSize; i++ {
				d.diskless[i] = true
				if err := d.startProcess("control", i, false); err != nil {
					return "", err
				}
			}
			sleep(ctx, 4*time.Second)
			for i := next; i < next+batchSize; i++ {
				d.signal("control", i, syscall.SIGTERM)
			}
			for i := next; i < next+batchSize; i++ {
				<-d.process("control", i).ended
			}
			next += batchSize
		}
	}
	sleep(ctx, 4*time.Second)

	for i, old := range []int{1, 2, 3} {
		replacement := 90 + i
		nodes := d.controlNodes()
		if err := d.startProcess("control", replacement, false); err != nil {
			return "", err
		}
		sleep(ctx, 5*time.Second)
		nodes[i] = replacement
		d.setControlNodes(nodes...)
		for relay := 1; relay <= d.relays; relay++ {
			if _, err := d.writeSettings("relay", relay, false); err != nil {
				return "", err
			}
			d.signal("relay", relay, syscall.SIGHUP)
		}
		d.signal("control", old, syscall.SIGTERM)
		<-d.process("control", old).ended
		sleep(ctx, 5*time.Second)
	}
	sleep(ctx, 2*time.Second)

	m["routes"] = append(m["routes"].([]any), map[string]any{"name": "r-new", "host": routeHost, "pathPrefix": "/new/", "kind": "idempotent", "timeoutMs": 1200, "targetLatencyMs": 150, "priority": 2, "service": "ledger", "maxAttempts": 2})
	if err := d.put(ctx, m); err != nil {
		return "", fmt.Errorf("the second manifest was not confirmed: %v", err)
	}
	sleep(ctx, configApply+3*time.Second)
	c := newClient(d)
	stale := 0
	for i := range 30 {
		relay := i%d.relays + 1
		a := c.send(ctx, relay, http.MethodGet, "/new/1", nil, "", readBudget)
		old := c.send(ctx, relay, http.MethodGet, "/read/1", nil, "", readBudget)
		rec.add("relay %d: new route: status %d; old route: status %d (%v, %v)", relay, a.status, old.status, a.err, old.err)
		if a.status == http.StatusNotFound {
			stale++
		}
		sleep(ctx, 200*time.Millisecond)
	}
	if stale > 0 {
		return fmt.Sprintf("CONFIG: %d of 30 requests on a route that was confirmed more than configApplyMs before were refused with 404", stale), nil
	}
	return "", nil
}
