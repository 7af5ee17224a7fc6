package relay

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"endivedeck.example/fault"
	"endivedeck.example/gate"
	"endivedeck.example/pool"
)

const (
	// comeBack is when a caller may try again: the late prompts before it are
	// read by then, and it has most of its time left.
	comeBack = 600 * time.Millisecond

	writeSpare = time.Second // after a caller's time, for the last bytes to leave

	statusBroken = 499 // in logs, of an answer that was broken off
)

// ServeHTTP implements http.Handler for callers.
func (r *Relay) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	start := time.Now()
	if r.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	j := &job{relay: r, request: req, out: newAnswerer(w), start: start, tried: map[string]bool{}}
	err := r.prepare(j)
	if err == nil {
		err = r.onWorker(j)
	}
	if err != nil && !j.out.begun {
		j.out.refuse(err)
	}
	j.note(err)
	_ = j.out.control.SetWriteDeadline(time.Time{}) // the connection may carry more
	if j.out.broken {
		panic(http.ErrAbortHandler) // the connection ends without the answer looking whole
	}
}

// prepare reads the request and finds its route.
func (r *Relay) prepare(j *job) error {
	if _, known := r.view.Version(); !known {
		return fault.New(fault.Unavailable, fault.No, "no routes are in force yet")
	}
	path, _, _ := strings.Cut(j.request.RequestURI, "?")
	j.route, j.version = r.view.Match(j.request.Host, path)
	if j.route == nil {
		return fault.New(fault.NotFound, fault.No, "no route for this host and path")
	}
	if r.mayOutlast(time.Now(), j.route.Timeout) {
		return fault.New(fault.Unavailable, fault.No, "the relay is about to stop")
	}
	ask, err := r.dialect.ParseRequest(j.request)
	if err != nil {
		return err
	}
	j.ask = ask
	if most := r.view.Limits().MaxBodyBytes; most > 0 {
		j.request.Body = http.MaxBytesReader(j.out.w, j.request.Body, most)
	}
	j.body, err = gate.ReadBody(j.request)
	return err
}

// onWorker serves j on a worker of the pool, within the caller's time.
func (r *Relay) onWorker(j *job) error {
	j.until = j.start.Add(j.route.Timeout)
	if j.ask.Timeout > 0 && j.ask.Timeout < j.route.Timeout {
		j.until = j.start.Add(j.ask.Timeout)
	}
	j.cameBack = r.patience.cameBack(j.start, j.route.Name, j.until.Sub(j.start))
	_ = j.out.control.SetWriteDeadline(j.until.Add(writeSpare)) // without one, a caller that reads nothing holds a worker
	ctx, cancel := context.WithDeadline(j.request.Context(), j.until)
	defer cancel()
	j.ctx = ctx
	j.done = make(chan error, 1)
	if err := r.host.Pool.Submit(pool.Task(j)); err != nil {
		return err
	}
	return <-j.done
}

// answerer writes one answer to a caller.
type answerer struct {
	w       http.ResponseWriter
	control *http.ResponseController
	begun   bool // the header has left
	broken  bool // it can't be made whole any more
	status  int
}

func newAnswerer(w http.ResponseWriter) *answerer {
	return &answerer{w: w, control: http.NewResponseController(w)}
}

// begin sends the header of an answer.
func (a *answerer) begin(dialect Dialect, status int, header http.Header) {
	dialect.CopyResponseHeader(a.w.Header(), header)
	if _, given := header["Content-Type"]; !given {
		a.w.Header()["Content-Type"] = nil // net/http guesses one otherwise
	}
	a.begun = true
	a.status = status
	a.w.WriteHeader(status)
}

// write sends a part of the body on at once.
func (a *answerer) write(p []byte) error {
	if _, err := a.w.Write(p); err != nil {
		return err
	}
	return a.control.Flush()
}

// refuse answers with an error of the relay's own.
func (a *answerer) refuse(err error) {
	e := fault.From(err)
	answer := fault.AnswerTo(e.Kind)
	a.status = answer.Status
	if e.Ran != fault.No && promises(answer.Status) {
		a.status = http.StatusBadGateway
	}
	if e.Ran == fault.No && e.Kind == fault.Deadline {
		a.status = http.StatusServiceUnavailable
	}
	header := a.w.Header()
	header.Set("Content-Type", "text/plain; charset=utf-8")
	if promises(a.status) {
		header.Set("Retry-After", strconv.FormatFloat(comeBack.Seconds(), 'g', 3, 64))
	}
	a.begun = true
	a.w.WriteHeader(a.status)
	_, _ = a.w.Write([]byte(explain(e) + "\n")) // a caller that is gone needs no answer
}

// explain returns what a caller is told. What is inside of the system, such as
// addresses, stays in the log.
func explain(e *fault.Error) string {
	switch e.Kind {
	case fault.Malformed, fault.NotFound, fault.TooLarge:
		return e.Text
	}
	return string(e.Kind)
}

// promises reports whether a status says that the request hasn't run.
func promises(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}
