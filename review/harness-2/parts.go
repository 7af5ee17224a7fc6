package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// manifest returns a manifest like that of a small deployment.
func manifest() map[string]any {
	return map[string]any{
		"routes": []any{
			map[string]any{"name": "r-digest", "host": routeHost, "pathPrefix": "/digest/", "kind": "streaming", "timeoutMs": 2000, "targetLatencyMs": 150, "priority": 0, "service": "crew", "maxAttempts": 1, "sticky": true, "resumable": false, "itlTargetMs": 150},
			map[string]any{"name": "r-read", "host": routeHost, "pathPrefix": "/read/", "kind": "idempotent", "timeoutMs": 1200, "targetLatencyMs": 150, "priority": 2, "service": "ledger", "maxAttempts": 2},
			map[string]any{"name": "r-order", "host": routeHost, "pathPrefix": "/order/", "kind": "non_idempotent", "timeoutMs": 1200, "targetLatencyMs": 150, "priority": 2, "service": "ledger", "maxAttempts": 1},
		},
		"services": []any{
			map[string]any{"name": "crew", "healthPath": "/healthz", "maxConns": 250, "protocol": "h1", "tls": false, "engine": map[string]any{"slots": 32, "kvCapacity": 884000, "kvTokenBytes": 262144, "linkMbps": 17000000.0, "moves": true, "backups": true, "stride": 62, "most": 12, "kvTtlS": 5.0, "roleSwitchS": 3.0, "pinMs": 4000.0, "holdMs": 2000.0, "models": []any{map[string]any{"name": "m"}}}},
			map[string]any{"name": "ledger", "healthPath": "/healthz", "maxConns": 120, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// prefix returns a Prompt-Prefix of the given number of parts and, together, tokens.
func prefix(parts, tokens int) string {
	var b strings.Builder
	for i := range parts {
		if i > 0 {
			b.WriteByte(',')
		}
		n := 1
		if i == parts-1 {
			n = tokens - parts + 1
		}
		fmt.Fprintf(&b, "%06x:%d", rand.IntN(1<<24), n)
	}
	return b.String()
}

const (
	crowdParts    = 1700              // of a prompt of the crowd; its header line has about 15 KB
	crowdInterval = time.Second / 249 // between two of its requests, at all relays together
	crowdLength   = 25 * time.Second
)

// runParts has callers send prompts that consist of very many parts, within all limits,
// beside callers that read from another service.
func runParts(ctx context.Context, rec *record, trouble bool) (string, error) {
	d, err := newDeployment(rec, 3, 8)
	if err != nil {
		return "", err
	}
	defer d.stop()
	if err := d.start(); err != nil {
		return "", err
	}
	var crew atomic.Int64 // runs at the engines
	for i := range 9 {
		w, err := newWorker(d, i, "crew", "decode", 32, func(w *worker, rw http.ResponseWriter, r *http.Request) {
			crew.Add(1)
			tokens := 0
			_, _ = fmt.Sscanf(r.Header.Get("Token-Counts"), "%d", &tokens)
			time.Sleep(time.Duration(tokens) * time.Second / 200_000)
			w.stream(rw, r, 2, time.Millisecond)
		})
		if err != nil {
			return "", err
		}
		defer w.stop()
	}
	for i := range 4 {
		w, err := newWorker(d, 20+i, application, "decode", 6, func(w *worker, rw http.ResponseWriter, r *http.Request) {
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

	parts := 3
	if trouble {
		parts = crowdParts
	}
	var running sync.WaitGroup
	ctx, stop := context.WithTimeout(ctx, crowdLength)
	defer stop()
	crowd, readers := newClient(d), newReaders(d, rec)
	var sent, served, refused, unanswered atomic.Int64
	running.Add(2)
	go func() {
		defer running.Done()
		every(ctx, crowdInterval, func(i int) {
			sent.Add(1)
			tokens := 1750 + rand.IntN(2000)
			a := crowd.send(context.WithoutCancel(ctx), i%d.relays+1, http.MethodPost, "/digest/1", map[string]string{
				"Model": "m", "Token-Counts": fmt.Sprintf("%d,2", tokens), "Prompt-Prefix": prefix(parts, tokens),
			}, "x", 2*time.Second)
			switch a.status {
			case http.StatusOK:
				served.Add(1)
			case 0:
				unanswered.Add(1)
			default:
				refused.Add(1)
			}
		})
	}()
	go func() {
		defer running.Done()
		every(ctx, 50*time.Millisecond, func(i int) { readers.read(context.WithoutCancel(ctx), i%d.relays+1) })
	}()
	for ctx.Err() == nil {
		sleep(ctx, 5*time.Second)
		rec.add("crowd: %d sent, %d served, %d refused, %d unanswered, %d run by workers; %s; relays use %v MB",
			sent.Load(), served.Load(), refused.Load(), unanswered.Load(), crew.Load(), readers, d.relayMemory())
	}
	running.Wait()
	return readers.verdict(), nil
}
