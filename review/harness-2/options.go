package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

const optionsRequests = 20

// runOptions has callers send requests with the target "*", which no route matches.
func runOptions(ctx context.Context, rec *record, trouble bool) (string, error) {
	d, err := newDeployment(rec, 3, 2)
	if err != nil {
		return "", err
	}
	defer d.stop()
	if err := d.start(); err != nil {
		return "", err
	}
	w, err := newWorker(d, 0, application, "decode", 6, func(w *worker, rw http.ResponseWriter, r *http.Request) {
		w.whole(rw, r, 10*time.Millisecond, "the bank is planted")
	})
	if err != nil {
		return "", err
	}
	defer w.stop()
	if err := d.put(ctx, manifest()); err != nil {
		return "", err
	}
	if err := d.awaitReady(ctx); err != nil {
		return "", err
	}
	sleep(ctx, 2*time.Second)

	target := "/read/1"
	if trouble {
		target = "*"
	}
	unsigned := 0
	for i := range optionsRequests {
		conn, err := net.DialTimeout("tcp", d.front(i%d.relays+1), time.Second)
		if err != nil {
			return "", err
		}
		_ = conn.SetDeadline(time.Now().Add(readBudget))
		id := newID()
		_, _ = fmt.Fprintf(conn, "OPTIONS %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n\r\n", target, routeHost, id, readBudget.Milliseconds())
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			_ = conn.Close()
			return "", err
		}
		body, _ := io.ReadAll(response.Body)
		_ = conn.Close()
		signature := response.Header.Get("Response-Signature")
		rec.add("OPTIONS %s, request %s: status %d, signature %q, body %q", target, id, response.StatusCode, signature, body)
		if response.StatusCode/100 == 2 && signature == "" {
			unsigned++
		}
	}
	rec.add("requests that the worker ran: %d", w.runs.Load())
	if unsigned > 0 {
		return fmt.Sprintf("MIXED: %d of %d requests got a success without a worker's Response-Signature; the worker ran %d", unsigned, optionsRequests, w.runs.Load()), nil
	}
	return "", nil
}
