package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	slashClients  = 120    // of the crowd, each with one connection and one request at a time
	slashPath     = 15_500 // bytes of the path
	slashInterval = 50 * time.Millisecond
	slashLength   = 25 * time.Second
)

// runSlashes has callers ask for a long path that has no route, beside callers that read
// from a service.
func runSlashes(ctx context.Context, rec *record, trouble bool) (string, error) {
	d, err := newDeployment(rec, 3, 3)
	if err != nil {
		return "", err
	}
	defer d.stop()
	if err := d.start(); err != nil {
		return "", err
	}
	for i := range 4 {
		w, err := newWorker(d, i, application, "decode", 6, func(w *worker, rw http.ResponseWriter, r *http.Request) {
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

	path := "/none/" + strings.Repeat("a", slashPath)
	if trouble {
		path = "/none/" + strings.Repeat("/", slashPath)
	}
	ctx, stop := context.WithTimeout(ctx, slashLength)
	defer stop()
	var running sync.WaitGroup
	var sent, answered atomic.Int64
	for i := range slashClients {
		running.Add(1)
		go func() {
			defer running.Done()
			sleep(ctx, 5*time.Second)
			for ctx.Err() == nil {
				askOnConnection(ctx, d.front(i%d.relays+1), path, &sent, &answered)
				sleep(ctx, slashInterval)
			}
		}()
	}
	readers := newReaders(d, rec)
	running.Add(1)
	go func() {
		defer running.Done()
		every(ctx, 50*time.Millisecond, func(i int) { readers.read(context.WithoutCancel(ctx), i%d.relays+1) })
	}()
	for ctx.Err() == nil {
		sleep(ctx, 5*time.Second)
		rec.add("crowd: %d sent, %d answered; %s; relays use %v MB", sent.Load(), answered.Load(), readers, d.relayMemory())
	}
	running.Wait()
	return readers.verdict(), nil
}

// askOnConnection sends requests for a path on one connection, one at a time, until an answer
// is missing or ends the connection.
func askOnConnection(ctx context.Context, address, path string, sent, answered *atomic.Int64) {
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", address)
	if err != nil {
		return
	}
	defer conn.Close()
	in := bufio.NewReader(conn)
	for ctx.Err() == nil {
		_ = conn.SetDeadline(time.Now().Add(readBudget))
		sent.Add(1)
		if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n\r\n", path, routeHost, newID(), readBudget.Milliseconds()); err != nil {
			return
		}
		response, err := http.ReadResponse(in, nil)
		if err != nil {
			return
		}
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if err != nil {
			return
		}
		answered.Add(1)
		if response.Close {
			return
		}
		sleep(ctx, slashInterval)
	}
}
