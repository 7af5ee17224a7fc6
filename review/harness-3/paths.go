package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	pathMachines  = 3
	pathWorkers   = 2
	pathTime      = 30 * time.Second
	pathClients   = 64    // of the long paths, at one machine
	pathBytes     = 15900 // of a path; its head stays below 16,384 bytes
	orderPeriod   = 200 * time.Millisecond
	orderPatience = 6 * time.Second
	routeTimeout  = 2000 * time.Millisecond // timeoutMs of the route
	answerSlack   = 500 * time.Millisecond  // after it, as in the rule
	minUnanswered = 20                      // requests, so that the share says something
)

// runPaths has clients send requests of legal size whose paths consist of slashes, to one
// machine, beside ordinary ones. The check is that of the rule CONFIG: of the ordinary
// requests that are unanswered at the timeout of their route, more than half have no
// answer half a second later.
func runPaths(d *deployment) (bool, error) {
	var controls []string
	for machine := 1; machine <= pathMachines; machine++ {
		controls = append(controls, d.controlAddress(machine))
	}
	d.seeds = controls
	for machine := 1; machine <= pathMachines; machine++ {
		if _, err := d.start("control", machine, true, true); err != nil {
			return false, err
		}
		if _, err := d.start("relay", machine, true, false); err != nil {
			return false, err
		}
	}
	var workers []*worker
	for i := range pathWorkers {
		w, err := d.newWorker("plant-ledger", "", 100+i, func() []string { return controls })
		if err != nil {
			return false, err
		}
		workers = append(workers, w)
	}
	if err := d.put(controls, manifest(1, route("reads", "/reads/", "idempotent", "plant-ledger")), 15*time.Second); err != nil {
		return false, err
	}
	for machine := 1; machine <= pathMachines; machine++ {
		c := d.newClient(machine, 1)
		served := await(15*time.Second, func() bool {
			_, status, _, _ := c.send(http.MethodGet, "/reads/one", nil, "", routeTimeout)
			return status == http.StatusOK
		})
		if !served {
			return false, fmt.Errorf("machine %d serves no request", machine)
		}
	}
	d.record.printf("all machines serve; ordinary requests go to machine 1 each %v", orderPeriod)

	path := "/" + strings.Repeat("a", pathBytes-1)
	if d.trouble {
		path = strings.Repeat("/", pathBytes)
	}
	var long, answered atomic.Int64
	var clients sync.WaitGroup
	deadline := time.Now().Add(pathTime)
	attacker := d.newClient(1, pathClients)
	for range pathClients {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for time.Now().Before(deadline) {
				long.Add(1)
				if _, status, _, _ := attacker.send(http.MethodGet, path, nil, "", 10*time.Second); status != 0 {
					answered.Add(1)
				}
			}
		}()
	}
	lateAtTimeout, lateAfter := d.sendOrdinary(deadline)
	d.record.printf("requests with long paths: %d sent, %d answered; runs at the workers: %d and %d", long.Load(), answered.Load(), workers[0].runCount(), workers[1].runCount())
	d.record.printf("ordinary requests unanswered after %v, the timeout of the route: %d; after %v more: %d", routeTimeout, lateAtTimeout, answerSlack, lateAfter)
	clients.Wait()
	c := d.newClient(1, 1)
	recovered := await(10*time.Second, func() bool {
		_, status, _, _ := c.send(http.MethodGet, "/reads/one", nil, "", routeTimeout)
		return status == http.StatusOK
	})
	d.record.printf("an ordinary request to machine 1 after the long paths have ended: answered %v", recovered)
	return lateAtTimeout >= minUnanswered && 2*lateAfter > lateAtTimeout, nil
}

// sendOrdinary sends ordinary requests to machine 1 until deadline, each on a connection of
// its own. It returns how many had no answer at the timeout of the route, and how many of
// these had none at the end of answerSlack.
func (d *deployment) sendOrdinary(deadline time.Time) (atTimeout, after int) {
	var mu sync.Mutex
	var requests sync.WaitGroup
	for time.Now().Before(deadline) {
		requests.Add(1)
		go func() {
			defer requests.Done()
			c := d.newClient(1, 1)
			sentAt := time.Now()
			id, status, _, err := c.send(http.MethodGet, "/reads/one", nil, "", orderPatience)
			took := time.Since(sentAt)
			c.http.CloseIdleConnections()
			d.record.printf("ordinary request %s: status %d after %d ms %s", id, status, took.Milliseconds(), shortError(err))
			mu.Lock()
			defer mu.Unlock()
			if took > routeTimeout {
				atTimeout++
			}
			if took > routeTimeout+answerSlack {
				after++
			}
		}()
		time.Sleep(orderPeriod)
	}
	requests.Wait()
	return atTimeout, after
}

func shortError(err error) string {
	if err == nil {
		return ""
	}
	return fmt.Sprintf("(%.80v)", err)
}
