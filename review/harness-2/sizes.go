package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	digestInterval = 16 * time.Millisecond // between two prompts, at all relays together
	burstFrom      = 5 * time.Second
	burstLength    = 14 * time.Second
	burstInterval  = 18 * time.Millisecond // between two prompts that the burst adds
	sizesLength    = 95 * time.Second
	burstTokens    = 2890 // of each prompt of the burst
)

// runSizes has a burst of prompts that are all of one size, as when many users ask about
// documents made from one form.
func runSizes(ctx context.Context, rec *record, trouble bool) (string, error) {
	d, err := newDeployment(rec, 3, 3)
	if err != nil {
		return "", err
	}
	defer d.stop()
	if err := d.start(); err != nil {
		return "", err
	}
	var working atomic.Int64
	for i := range 9 {
		w, err := newWorker(d, i, "crew", "decode", 32, func(w *worker, rw http.ResponseWriter, r *http.Request, _ []byte) {
			working.Add(1)
			defer working.Add(-1)
			tokens := 0
			_, _ = fmt.Sscanf(r.Header.Get("Token-Counts"), "%d", &tokens)
			time.Sleep(time.Millisecond + time.Duration(float64(tokens)/209.5*float64(time.Millisecond))) // half of 419 tokens in a ms
			w.stream(rw, r, 2, 600*time.Microsecond)
		})
		if err != nil {
			return "", err
		}
		defer w.stop()
	}
	for i := range 4 {
		w, err := newWorker(d, 20+i, "ledger", "decode", 6, func(w *worker, rw http.ResponseWriter, r *http.Request, _ []byte) {
			w.whole(rw, r, 10*time.Millisecond, "the bank is planted")
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

	ctx, stop := context.WithTimeout(ctx, sizesLength)
	defer stop()
	begin := time.Now()
	c := newClient(d)
	var digests, digestsServed, reads, readsServed atomic.Int64
	digest := func(i int) {
		since := time.Since(begin)
		tokens := min(max(int(2890*rand.ExpFloat64()), 1100), 18300)
		if trouble && since > burstFrom && since < burstFrom+burstLength {
			tokens = burstTokens
		}
		budget := 2 * time.Second
		for range 2 { // clients come back once
			digests.Add(1)
			sent := time.Now()
			a := c.send(context.WithoutCancel(ctx), i%d.relays+1, http.MethodPost, "/digest/1", map[string]string{
				"Model": "m", "Token-Counts": fmt.Sprintf("%d,2", tokens), "Prompt-Prefix": prefix(3, tokens),
			}, "x", budget)
			if a.status == http.StatusOK {
				digestsServed.Add(1)
				return
			}
			var seconds float64
			_, _ = fmt.Sscanf(a.header.Get("Retry-After"), "%g", &seconds)
			time.Sleep(time.Duration(seconds * float64(time.Second)))
			budget -= time.Since(sent)
			if a.status != http.StatusServiceUnavailable || budget < 100*time.Millisecond {
				return
			}
		}
	}
	var running sync.WaitGroup
	running.Add(3)
	go func() { defer running.Done(); every(ctx, digestInterval, digest) }()
	go func() {
		defer running.Done()
		sleep(ctx, burstFrom)
		burst, stopBurst := context.WithTimeout(ctx, burstLength)
		defer stopBurst()
		every(burst, burstInterval, digest)
	}()
	go func() {
		defer running.Done()
		every(ctx, 14*time.Millisecond, func(i int) {
			reads.Add(1)
			if c.send(context.WithoutCancel(ctx), i%d.relays+1, http.MethodGet, "/read/1", nil, "", readBudget).status == http.StatusOK {
				readsServed.Add(1)
			}
		})
	}()
	for ctx.Err() == nil {
		sleep(ctx, 5*time.Second)
		rec.add("prompts: %d sent, %d served; reads: %d sent, %d served; engines are at work on %d requests",
			digests.Load(), digestsServed.Load(), reads.Load(), readsServed.Load(), working.Load())
	}
	running.Wait()
	share := float64(digestsServed.Load()) / float64(digests.Load())
	all := float64(digestsServed.Load()+readsServed.Load()) / float64(digests.Load()+reads.Load())
	rec.add("share of prompts that are served: %.3f; of all requests: %.3f", share, all)
	if share < all/4 {
		return fmt.Sprintf("Starved: of the prompts %.1f%% are served, of all requests %.1f%%", 100*share, 100*all), nil
	}
	return "", nil
}
