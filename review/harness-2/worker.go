package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
	application  = "ledger" // the service whose runs are recorded one by one
	queuePerSlot = 4        // requests that wait at a worker, for each that runs
)

type (
	// worker is a stand-in for a backend server. It registers itself with the control
	// instances, and answers requests as its handler says.
	worker struct {
		deployment *deployment
		id         string
		service    string
		address    string
		slots      int
		stage      string
		born       int64
		seq        atomic.Uint64
		server     *http.Server
		cancel     context.CancelFunc
		answer     func(w http.ResponseWriter, r *http.Request)
		places     chan struct{} // holds an element for each request that runs or waits
		running    chan struct{} // holds an element for each request that runs
		runs       atomic.Int64
	}
)

// newWorker starts the i-th worker.
func newWorker(d *deployment, i int, service, stage string, slots int, answer func(*worker, http.ResponseWriter, *http.Request)) (*worker, error) {
	w := &worker{
		deployment: d, id: fmt.Sprintf("i-%s-%d", service, i), service: service, address: d.address(firstWorker+i, workerPort),
		slots: slots, stage: stage, born: time.Now().UnixMilli(),
		places: make(chan struct{}, slots*(1+queuePerSlot)), running: make(chan struct{}, slots),
	}
	w.answer = func(rw http.ResponseWriter, r *http.Request) { answer(w, rw, r) }
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		return nil, err
	}
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(listener) }()
	ctx, cancel := context.WithCancel(context.Background())
	w.cancel = cancel
	go w.register(ctx)
	return w, nil
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	switch {
	case r.URL.Path == "/-/kv-list":
		rw.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(rw, `{"epoch":1,"next":0,"held":[]}`)
		return
	case r.URL.Path == "/healthz":
		rw.Header().Set("Instance-Id", w.id)
		return
	}
	if target := r.Header.Get("Target-Instance"); target != "" && target != w.id {
		rw.Header().Set("Instance-Id", w.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id := r.Header.Get("Request-Id"); id != "" {
		rw.Header().Set("Request-Id", id)
	}
	select {
	case w.places <- struct{}{}:
		defer func() { <-w.places }()
	default:
		shed(rw)
		return
	}
	ctx := r.Context()
	if ms, err := strconv.Atoi(r.Header.Get("Deadline-Ms")); err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		defer cancel()
	}
	select {
	case w.running <- struct{}{}:
		defer func() { <-w.running }()
	case <-ctx.Done():
		shed(rw)
		return
	}
	w.runs.Add(1)
	if w.service == application {
		w.deployment.record.add("worker %s runs %s", w.id, r.Header.Get("Request-Id"))
	}
	w.answer(rw, r.WithContext(ctx))
}

// shed rejects a request that wasn't run.
func shed(rw http.ResponseWriter) {
	rw.Header().Set("Not-Executed", "1")
	rw.WriteHeader(http.StatusServiceUnavailable)
}

// register sends a ping each heartbeat until ctx is done.
func (w *worker) register(ctx context.Context) {
	node := 0
	client := &http.Client{Timeout: time.Second}
	for ctx.Err() == nil {
		nodes := w.deployment.controlNodes()
		for range nodes {
			if w.ping(ctx, client, nodes[node%len(nodes)], "ready") {
				break
			}
			node++
		}
		select {
		case <-ctx.Done():
		case <-time.After(heartbeat):
		}
	}
}

// ping sends one ping to a control instance and reports whether it was confirmed.
func (w *worker) ping(ctx context.Context, client *http.Client, control int, state string) bool {
	body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":"zone-1","version":"v1","slots":%d,"state":%q,"coldRemainingMs":0,"stage":%q,"models":[{"name":"m","version":1,"adapters":[]}],"seq":%d,"born":%d}`,
		w.service, w.address, w.slots, state, w.stage, w.seq.Add(1), w.born)
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+w.deployment.control(control)+"/-/instances/"+w.id, strings.NewReader(body))
	if err != nil {
		return false
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode/100 == 2
}

// stop ends the worker at once.
func (w *worker) stop() {
	w.cancel()
	_ = w.server.Close()
}

// stream answers with events of the given number and pause between them.
func (w *worker) stream(rw http.ResponseWriter, r *http.Request, events int, pause time.Duration) {
	rw.Header().Set("Content-Type", "text/event-stream")
	rw.Header().Set("Response-Signature", "sig."+w.id+"."+r.Header.Get("Request-Id"))
	rw.Header().Set("Weight-Versions", "1")
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for i := first + 1; i <= events; i++ {
		select {
		case <-time.After(pause):
		case <-r.Context().Done():
			return
		}
		_, _ = fmt.Fprintf(rw, "id: %d\ndata: token-%d\n\n", i, i)
		_ = http.NewResponseController(rw).Flush()
	}
}

// whole answers a request of an application with a body.
func (w *worker) whole(rw http.ResponseWriter, r *http.Request, took time.Duration, body string) {
	select {
	case <-time.After(took):
	case <-r.Context().Done():
		rw.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	rw.Header().Set("Response-Signature", "sig."+w.id+"."+r.Header.Get("Request-Id"))
	_, _ = io.WriteString(rw, body)
}
