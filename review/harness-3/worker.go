package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// worker is a stand-in for a sound worker. It answers with a stream of two events if it is
// a model worker, and with a short body otherwise.
type worker struct {
	deployment *deployment
	id         string
	service    string
	stage      string // of a model worker; empty for another one
	address    string
	born       int64
	controls   func() []string // addresses to which heartbeats are sent
	server     *http.Server
	done       chan struct{}
	closeOnce  sync.Once

	mu    sync.Mutex
	seq   int
	state string
	runs  map[string]int // by Request-Id

	readTime float64           // ms for each token of a prompt that isn't cached; 0 to answer at once
	cached   map[string]string // shared parts, with their numbers of tokens
	reading  sync.Mutex        // prompts are read one after the other
}

// newWorker starts a worker on a machine.
func (d *deployment) newWorker(service, stage string, machine int, controls func() []string) (*worker, error) {
	w := &worker{
		deployment: d, id: fmt.Sprintf("i-%s-%d", service, machine), service: service, stage: stage,
		address: net.JoinHostPort(d.address(machine), strconv.Itoa(workerPort)), born: time.Now().UnixMilli(),
		controls: controls, done: make(chan struct{}), state: "ready", runs: map[string]int{}, cached: map[string]string{},
	}
	l, err := net.Listen("tcp", w.address)
	if err != nil {
		return nil, err
	}
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(l) }()
	go w.beat()
	d.mu.Lock()
	d.workers = append(d.workers, w)
	d.mu.Unlock()
	return w, nil
}

func (w *worker) close() {
	w.closeOnce.Do(func() {
		close(w.done)
		_ = w.server.Close()
	})
}

// beat registers the worker until it is closed.
func (w *worker) beat() {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for n := 0; ; n++ {
		w.register(n)
		select {
		case <-ticker.C:
		case <-w.done:
			return
		}
	}
}

// register sends one heartbeat, to the next address if one doesn't take it.
func (w *worker) register(n int) {
	addresses := w.controls()
	for i := range addresses {
		w.mu.Lock()
		w.seq++
		body := map[string]any{
			"service": w.service, "address": w.address, "zone": "zone-a", "version": "v1", "slots": 32,
			"state": w.state, "coldRemainingMs": 0, "seq": w.seq, "born": w.born,
		}
		w.mu.Unlock()
		if w.stage != "" {
			body["stage"] = w.stage
			body["models"] = []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}
		}
		status, _, err := call(http.MethodPut, addresses[(n+i)%len(addresses)], "/-/instances/"+w.id, body, time.Second)
		if err == nil && status == http.StatusOK {
			return
		}
	}
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	h := rw.Header()
	h.Set("Request-Id", r.Header.Get("Request-Id"))
	switch {
	case r.URL.Path == "/healthz":
		h.Set("Instance-Id", w.id)
		return
	case strings.HasPrefix(r.URL.Path, "/-/kv-handle/"):
		return
	case r.URL.Path == "/-/kv-list":
		w.writeCached(rw)
		return
	case r.Header.Get("Target-Instance") != "" && r.Header.Get("Target-Instance") != w.id:
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.Header.Get("Stage") == "prefill" {
		h.Set("Content-Type", "application/json")
		_, _ = fmt.Fprintf(rw, `{"kvHandle":"h%s","tokens":1,"version":1}`, r.Header.Get("Request-Id"))
		return
	}
	if w.stage == "prefill" {
		rw.WriteHeader(http.StatusMisdirectedRequest) // the wrong stage
		return
	}
	w.mu.Lock()
	w.runs[r.Header.Get("Request-Id")]++
	w.mu.Unlock()
	h.Set("Response-Signature", "3e1b.07."+w.id)
	if w.stage == "" {
		_, _ = io.WriteString(rw, w.service+" has done it\n")
		return
	}
	w.read(r)
	h.Set("Content-Type", "text/event-stream")
	h.Set("Weight-Versions", "1")
	_, _ = io.WriteString(rw, "id: 1\ndata: yes\n\n")
	_ = http.NewResponseController(rw).Flush()
	time.Sleep(2 * time.Millisecond)
	_, _ = io.WriteString(rw, "id: 2\ndata: done\n\n")
}

// read takes the time to read the part of a prompt that isn't cached.
func (w *worker) read(r *http.Request) {
	w.mu.Lock()
	readTime := w.readTime
	w.mu.Unlock()
	if readTime == 0 {
		return
	}
	count, _, _ := strings.Cut(r.Header.Get("Token-Counts"), ",")
	tokens, _ := strconv.Atoi(count)
	shared, _, _ := strings.Cut(r.Header.Get("Prompt-Prefix"), ",")
	id, sharedCount, _ := strings.Cut(shared, ":")
	w.reading.Lock()
	defer w.reading.Unlock()
	w.mu.Lock()
	if _, known := w.cached[id]; known {
		n, _ := strconv.Atoi(sharedCount)
		tokens -= n
	}
	w.cached[id] = sharedCount
	w.mu.Unlock()
	time.Sleep(time.Duration(readTime * float64(tokens) * float64(time.Millisecond)))
}

// writeCached writes the list of what is cached.
func (w *worker) writeCached(rw io.Writer) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var entries []string
	for id, tokens := range w.cached {
		entries = append(entries, fmt.Sprintf(`["",%q,%s,"m"]`, id, tokens))
	}
	_, _ = fmt.Fprintf(rw, `{"epoch":1,"next":1,"held":[%s]}`, strings.Join(entries, ","))
}

func (w *worker) runCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.runs)
}

// call sends a request with a JSON body, on a new connection, and returns the status and
// the body of the answer.
func call(method, address, path string, body any, timeout time.Duration) (int, []byte, error) {
	text, err := json.Marshal(body)
	if err != nil {
		return 0, nil, err
	}
	request, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(text))
	if err != nil {
		return 0, nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	client := http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	return response.StatusCode, answer, err
}
