package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	pauseAsked  = 25 * time.Second
	cutLength   = 5 * time.Second // of the worker from the control instances
	pauseMargin = 500 * time.Millisecond
	pauseLength = 40 * time.Second
	pauseFrom   = 5 * time.Second // from the first read to the refusals
)

// runPause has a worker turn requests away with Retry-After, and then cuts it off from the
// control instances for some seconds.
func runPause(ctx context.Context, rec *record, trouble bool) (string, error) {
	d, err := newDeployment(rec, 3, 2)
	if err != nil {
		return "", err
	}
	defer d.stop()
	if err := d.start(); err != nil {
		return "", err
	}
	var mu sync.Mutex
	sentTo := map[string]int{}         // relay by request
	refusedAt := map[int]time.Time{}   // first refusal by relay
	within := map[int]int{}            // requests of each relay within the pause
	begin := time.Now().Add(time.Hour) // of the refusals
	busy, err := newWorker(d, 0, "ledger", "decode", 6, func(w *worker, rw http.ResponseWriter, r *http.Request, _ []byte) {
		now := time.Now()
		mu.Lock()
		relay := sentTo[r.Header.Get("Request-Id")]
		at, refused := refusedAt[relay]
		refuse := now.After(begin) && !refused
		if refuse {
			refusedAt[relay] = now
		}
		if refused && now.Sub(at) > pauseMargin && now.Sub(at) < pauseAsked {
			within[relay]++
			rec.add("request %s of relay %d reaches the worker %.1f s after it has asked that relay for a pause of %v", r.Header.Get("Request-Id"), relay, now.Sub(at).Seconds(), pauseAsked)
		}
		mu.Unlock()
		if refuse {
			rec.add("the worker refuses a request of relay %d and asks for a pause of %v", relay, pauseAsked)
			rw.Header().Set("Retry-After", fmt.Sprint(pauseAsked.Seconds()))
			shed(rw)
			return
		}
		w.whole(rw, r, 30*time.Millisecond, "the bank is planted")
	})
	if err != nil {
		return "", err
	}
	defer busy.stop()
	for i := range 2 {
		w, err := newWorker(d, 1+i, "ledger", "decode", 6, func(w *worker, rw http.ResponseWriter, r *http.Request, _ []byte) {
			w.whole(rw, r, 30*time.Millisecond, "the bank is planted")
		})
		if err != nil {
			return "", err
		}
		defer w.stop()
	}
	if err := d.put(ctx, manifest()); err != nil {
		return "", err
	}
	if err := d.awaitReady(ctx); err != nil {
		return "", err
	}
	sleep(ctx, 2*time.Second)

	ctx, stop := context.WithTimeout(ctx, pauseLength)
	defer stop()
	c := newClient(d)
	c.onSend = func(id string, relay int) {
		mu.Lock()
		defer mu.Unlock()
		sentTo[id] = relay
	}
	var running sync.WaitGroup
	running.Add(1)
	go func() {
		defer running.Done()
		every(ctx, 6*time.Millisecond, func(i int) {
			c.send(context.WithoutCancel(ctx), i%d.relays+1, http.MethodGet, "/read/1", nil, "", readBudget)
		})
	}()
	sleep(ctx, pauseFrom)
	mu.Lock()
	begin = time.Now()
	mu.Unlock()
	sleep(ctx, time.Second)
	if trouble {
		seq := busy.seq.Load()
		for ctx.Err() == nil && busy.seq.Load() == seq { // the cut begins after a ping
			sleep(ctx, 10*time.Millisecond)
		}
		sleep(ctx, 200*time.Millisecond)
		rec.add("the worker is cut off from the control instances for %v", cutLength)
		busy.silent.Store(true)
		sleep(ctx, cutLength)
		busy.silent.Store(false)
		rec.add("the cut is over")
	}
	running.Wait()
	mu.Lock()
	defer mu.Unlock()
	rec.add("requests that reached the worker within the pause, by relay: %v", within)
	if len(refusedAt) == 0 {
		return "", fmt.Errorf("no request reached the worker to be refused")
	}
	for relay, n := range within {
		if n > 2 {
			return fmt.Sprintf("BUDGET: %d requests of relay %d reached a worker that had asked it for a pause", n, relay), nil
		}
	}
	return "", nil
}
