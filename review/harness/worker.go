package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const testHost = "ficu95.example"

type (
	// worker is a stand-in for a worker of the platform. It announces itself, queues
	// requests beyond its slots and rejects those beyond its queue.
	worker struct {
		trial   *trial
		service string
		zone    string
		slots   int
		queue   int
		engine  bool
		serve   func(*worker, *exchange) // runs a request and writes its answer

		mu       sync.Mutex
		id       string
		address  string
		born     int64
		seq      int
		running  int
		queued   int
		up       bool
		pingsCut bool // the paths to the addresses of control_plane are cut
		listener net.Listener
		conns    map[net.Conn]bool
		stopPing context.CancelFunc
		freed    chan struct{}
	}

	// exchange is one request at a worker.
	exchange struct {
		worker  *worker
		conn    net.Conn
		request *http.Request
		target  string // request target, as received
		id      string // Request-Id
		body    []byte
		gone    chan struct{} // closed when the sender closes the connection
		keep    bool          // the connection may carry another request
	}
)

var signatureCount atomic.Int64

// addWorker starts a worker.
func (t *trial) addWorker(service string, zone, slots, queue int, engine bool, serve func(*worker, *exchange)) (*worker, error) {
	w := &worker{
		trial: t, service: service, zone: fmt.Sprintf("zone-%c", 'a'+zone%zoneCount), slots: slots, queue: queue, engine: engine, serve: serve,
		address: fmt.Sprintf("%s:%d", t.workerIP, t.nextPort),
	}
	t.nextPort++
	t.workers = append(t.workers, w)
	return w, w.boot()
}

// boot starts the worker, under a new ID.
func (w *worker) boot() error {
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	w.mu.Lock()
	w.id = fmt.Sprintf("i-%08x", rand.Uint32())
	w.born = time.Now().UnixMilli()
	w.seq, w.running, w.queued = 0, 0, 0
	w.up = true
	w.listener = listener
	w.conns = map[net.Conn]bool{}
	w.stopPing = cancel
	w.freed = make(chan struct{})
	w.mu.Unlock()
	w.trial.record.printf("worker %s of %s starts at %s", w.id, w.service, w.address)
	go w.accept(listener, w.id)
	go w.ping(ctx)
	return nil
}

// end ends the worker as a crash of its process does: all its connections are closed.
func (w *worker) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up {
		return
	}
	w.up = false
	w.stopPing()
	_ = w.listener.Close()
	for conn := range w.conns {
		_ = conn.Close()
	}
	close(w.freed)
}

func (w *worker) accept(listener net.Listener, id string) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		if !w.up || w.id != id {
			w.mu.Unlock()
			_ = conn.Close()
			continue
		}
		w.conns[conn] = true
		w.mu.Unlock()
		go w.serveConn(conn, id)
	}
}

func (w *worker) serveConn(conn net.Conn, id string) {
	defer func() {
		_ = conn.Close()
		w.mu.Lock()
		delete(w.conns, conn)
		w.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		x, err := w.readRequest(conn, reader)
		if err != nil {
			return
		}
		received := make(chan struct{})
		go func() { // returns with the first byte of the next request, or at the end of the connection
			defer close(received)
			if _, err := reader.Peek(1); err != nil {
				close(x.gone)
			}
		}()
		x.keep = true
		w.handle(x, id)
		if !x.keep {
			return
		}
		<-received
	}
}

// readRequest reads a request. The request line is read apart, since the target is
// recorded as it was received, whatever it is.
func (w *worker) readRequest(conn net.Conn, reader *bufio.Reader) (*exchange, error) {
	line, err := reader.ReadString('\n')
	if err != nil {
		return nil, err
	}
	method, rest, _ := strings.Cut(strings.TrimRight(line, "\r\n"), " ")
	target, _, _ := strings.Cut(rest, " ")
	header := &bytes.Buffer{}
	for {
		field, err := reader.ReadString('\n')
		if err != nil {
			return nil, err
		}
		header.WriteString(field)
		if strings.TrimRight(field, "\r\n") == "" {
			break
		}
	}
	request, err := http.ReadRequest(bufio.NewReader(io.MultiReader(strings.NewReader(method+" / HTTP/1.1\r\n"), header, reader)))
	if err != nil {
		return nil, err
	}
	body := make([]byte, max(request.ContentLength, 0))
	if request.ContentLength < 0 {
		return nil, fmt.Errorf("request in chunks")
	}
	// The body follows in reader, of which ReadRequest may have buffered a part.
	if _, err := io.ReadFull(request.Body, body); err != nil {
		return nil, err
	}
	return &exchange{worker: w, conn: conn, request: request, target: target, id: request.Header.Get("Request-Id"), body: body, gone: make(chan struct{})}, nil
}

// handle rejects the request where the pages say so, and otherwise waits for a slot and
// runs it.
func (w *worker) handle(x *exchange, id string) {
	header := x.request.Header
	switch {
	case x.target == "/healthz":
		x.answer(http.StatusOK, "Instance-Id: "+id+"\r\n", "ok")
		return
	case x.target == "/-/kv-list":
		x.answer(http.StatusOK, "Content-Type: application/json\r\n", `{"epoch":1,"next":0,"held":[]}`)
		return
	case strings.HasPrefix(x.target, "/-/"):
		x.answer(http.StatusOK, "Content-Type: application/json\r\n", "{}")
		return
	case header.Get("Target-Instance") != "" && header.Get("Target-Instance") != id:
		x.answer(http.StatusMisdirectedRequest, "", "another worker")
		return
	case x.id == "":
		x.answer(http.StatusBadRequest, "Not-Executed: 1\r\n", "no id")
		return
	}
	if !w.takeSlot(x) {
		return
	}
	defer w.freeSlot(id)
	w.serve(w, x)
}

func (w *worker) takeSlot(x *exchange) bool {
	w.mu.Lock()
	if w.running < w.slots {
		w.running++
		w.mu.Unlock()
		return true
	}
	if w.queued >= w.queue {
		w.mu.Unlock()
		w.trial.record.printf("worker %s is full and rejects %s", w.id, x.id)
		x.answer(http.StatusServiceUnavailable, "Not-Executed: 1\r\n", "full")
		return false
	}
	w.queued++
	for w.up && w.running >= w.slots {
		freed := w.freed
		w.mu.Unlock()
		select {
		case <-freed:
		case <-x.gone:
			w.mu.Lock()
			w.queued--
			w.mu.Unlock()
			x.keep = false
			return false
		}
		w.mu.Lock()
	}
	defer w.mu.Unlock()
	w.queued--
	w.running++
	return w.up
}

func (w *worker) freeSlot(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.id != id || !w.up {
		return
	}
	w.running--
	close(w.freed)
	w.freed = make(chan struct{})
}

// answer writes a whole answer.
func (x *exchange) answer(status int, header, body string) {
	_, err := fmt.Fprintf(x.conn, "HTTP/1.1 %d %s\r\nRequest-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), x.id, header, len(body), body)
	x.keep = x.keep && err == nil
}

// signature returns the header with the proof of an answer.
func (x *exchange) signature() string {
	return fmt.Sprintf("Response-Signature: %s.%d\r\n", x.worker.id, signatureCount.Add(1))
}

// beginStream writes the head of a stream.
func (x *exchange) beginStream() error {
	_, err := fmt.Fprintf(x.conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n%sContent-Type: text/event-stream\r\nWeight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n", x.id, x.signature())
	return err
}

// event writes one event of a stream.
func (x *exchange) event(number int) error {
	text := fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", number, number, x.id)
	_, err := fmt.Fprintf(x.conn, "%x\r\n%s\r\n", len(text), text)
	return err
}

// endStream ends a stream as complete.
func (x *exchange) endStream() {
	_, err := io.WriteString(x.conn, "0\r\n\r\n")
	x.keep = x.keep && err == nil
}

// ping announces the worker about every heartbeat, at one address after the other if
// one doesn't answer.
func (w *worker) ping(ctx context.Context) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	addresses := w.trial.operators()
	next := rand.IntN(len(addresses))
	for ctx.Err() == nil {
		w.mu.Lock()
		w.seq++
		body := w.announcement()
		id := w.id
		cut := w.pingsCut
		w.mu.Unlock()
		if cut {
			sleep(ctx, heartbeat)
			continue
		}
		for range addresses {
			request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+addresses[next]+"/-/instances/"+id, bytes.NewReader(body))
			if err != nil {
				return
			}
			response, err := client.Do(request)
			if err == nil {
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
				if response.StatusCode/100 == 2 {
					break
				}
			}
			next = (next + 1) % len(addresses)
		}
		sleep(ctx, heartbeat)
	}
}

// announcement returns the body of a ping. w.mu must be locked.
func (w *worker) announcement() []byte {
	fields := map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": w.slots,
		"state": "ready", "coldRemainingMs": 0, "seq": w.seq, "born": w.born,
	}
	if w.engine {
		fields["models"] = []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}
		fields["stage"] = "decode"
	}
	body, err := json.Marshal(fields)
	if err != nil {
		panic(err) // no field can't be encoded
	}
	return body
}
