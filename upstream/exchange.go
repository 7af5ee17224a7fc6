package upstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"time"

	"endivedeck.example/fault"
)

const (
	inlineBytes = 16 << 10 // of a body that is written before the answer is read
	strayMost   = 2        // answers of other requests that are dropped before one's own
	strayBytes  = 64 << 10 // of such an answer
)

type (
	// Request is one request to a backend server.
	Request struct {
		Method   string
		Host     string
		Path     string // with the query
		Header   http.Header
		Body     []byte
		MaxConns int // of connections to the server; 0 for none

		// Matches reports whether an answer is the one to this request.
		Matches func(header http.Header) bool
	}

	// Response is an answer whose body is still to be read. Close must be called.
	Response struct {
		Status        int
		Header        http.Header
		ContentLength int64 // of the body in bytes, or -1 if it isn't known

		conn     *conn
		response *http.Response
		writing  *writing
		ended    bool // the whole body was read
		closed   bool
		stop     func() bool
	}

	// writing is a request on its way out.
	writing struct {
		conn    *conn
		request *http.Request
		done    chan struct{}
		err     error
	}
)

// Send sends a request and returns its answer as soon as its header is in. An
// error with Ran No means that no byte of the request has left. When ctx is
// done the connection is closed, also while the body is read.
func (p *Pool) Send(ctx context.Context, address string, r Request) (*Response, error) {
	c, err := p.take(ctx, address, r.MaxConns)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, c.close)
	if ctx.Err() != nil {
		c.close()
		return nil, fault.New(fault.Deadline, fault.No, "no time was left to send to %s", address)
	}
	w := &writing{conn: c, request: r.encode(), done: make(chan struct{})}
	if len(r.Body) > inlineBytes {
		go w.run() // the server may answer before it has read the body
	} else {
		w.run()
	}
	a, err := c.read(w, r)
	if err != nil {
		stop()
		c.close()
		<-w.done
		return nil, lost(ctx, address, err)
	}
	a.stop = stop
	return a, nil
}

func lost(ctx context.Context, address string, err error) error {
	if ctx.Err() != nil {
		return fault.New(fault.Deadline, fault.Unknown, "no answer from %s in time", address)
	}
	return fault.New(fault.Broken, fault.Unknown, "the connection to %s was lost: %v", address, err)
}

func (r *Request) encode() *http.Request {
	if _, given := r.Header["User-Agent"]; !given {
		r.Header["User-Agent"] = []string{""} // net/http adds its own otherwise
	}
	request := &http.Request{
		Method:        r.Method,
		URL:           &url.URL{Opaque: r.Path},
		Host:          r.Host,
		Header:        r.Header,
		ContentLength: int64(len(r.Body)),
	}
	if len(r.Body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(r.Body))
	}
	return request
}

func (w *writing) run() {
	defer close(w.done)
	w.err = w.request.Write(w.conn.out)
	if w.err == nil {
		w.err = w.conn.out.Flush()
	}
}

// over reports whether the whole request has left.
func (w *writing) over() bool {
	select {
	case <-w.done:
		return w.err == nil
	default:
		return false
	}
}

// read reads the header of the request's own answer.
func (c *conn) read(w *writing, r Request) (*Response, error) {
	for range strayMost + 1 {
		response, err := http.ReadResponse(c.in, w.request)
		if err != nil {
			return nil, err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if r.Matches == nil || r.Matches(response.Header) {
			return &Response{
				Status:        response.StatusCode,
				Header:        response.Header,
				ContentLength: response.ContentLength,
				conn:          c,
				response:      response,
				writing:       w,
			}, nil
		}
		if response.Close || response.ContentLength < 0 {
			return nil, errors.New("an answer to another request came")
		}
		if _, err := io.CopyN(io.Discard, response.Body, min(response.ContentLength, strayBytes)); err != nil {
			return nil, err
		}
	}
	return nil, errors.New("answers to other requests came")
}

// Read implements io.Reader for the body. It returns io.EOF only when the
// body is whole, as far as its framing tells.
func (a *Response) Read(p []byte) (int, error) {
	n, err := a.response.Body.Read(p)
	if err == io.EOF {
		a.ended = true
	}
	return n, err
}

// Close ends the exchange. The connection is kept if the answer was read to
// its end and both sides allow it; else it is closed, which has the server
// drop the request. It may be called more than once.
func (a *Response) Close() {
	if a.closed {
		return
	}
	a.closed = true
	a.stop()
	c := a.conn
	framed := a.response.ContentLength >= 0 || len(a.response.TransferEncoding) > 0
	if !a.ended || !framed || a.response.Close || !a.writing.over() {
		c.close()
		<-a.writing.done
		return
	}
	c.rest(time.Now(), a.Header)
}
