package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// playDoubleSlash sends requests whose path begins with two slashes on a route with the
// prefix "/". Without the disruption the path begins with one.
func playDoubleSlash(ctx context.Context, t *trial) (string, error) {
	if err := t.start(); err != nil {
		return "", err
	}
	var mu sync.Mutex
	run := map[string]string{} // target by Request-Id
	service := "wuno96b"
	for i := range 3 {
		_, err := t.addWorker(service, i, 6, 24, false, func(w *worker, x *exchange) {
			w.trial.record.printf("worker %s runs %s: %s %s", w.id, x.id, x.request.Method, x.target)
			mu.Lock()
			run[x.id] = x.target
			mu.Unlock()
			time.Sleep(10 * time.Millisecond)
			x.answer(http.StatusOK, x.signature(), "stock of "+x.target)
		})
		if err != nil {
			return "", err
		}
	}
	stock := route("stock-lookup", "/", "idempotent", service, 1500*time.Millisecond, 2, false)
	if err := t.putManifest(ctx, manifest(3, []map[string]any{stock}, []map[string]any{appService(service)})); err != nil {
		return "", err
	}
	lookup := func(target string) clientRequest {
		return clientRequest{id: newID(), method: http.MethodGet, target: target, deadline: 1500 * time.Millisecond}
	}
	if err := t.warmUp(ctx, func() clientRequest { return lookup("/warm/up") }); err != nil {
		return "", err
	}
	t.awaitLead(ctx)
	target := "/stock/2f?size=3"
	if t.trouble {
		target = "/" + target
	}
	changed := 0
	for i := range 12 {
		m := t.machines[i%len(t.machines)]
		request := lookup(target)
		r := send(ctx, m.front, request)
		t.record.printf("client sends %s to %s: %s %s; answer: %d %q", request.id, m.name, request.method, request.target, r.status, r.body)
		mu.Lock()
		if got, ok := run[request.id]; ok && got != target {
			changed++
		}
		mu.Unlock()
	}
	if changed == 0 {
		return "", nil
	}
	return fmt.Sprintf("UNASKED: workers ran %d of 12 requests with another path than the client's", changed), nil
}
