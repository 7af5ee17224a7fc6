package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"endivedeck.example/fault"
	"endivedeck.example/internal/responses/head"
)

const (
	maxSyncBodyBytes  = 16 << 10 // a larger body is written while the response is read
	maxStrayResponses = 2        // informational responses and responses to other requests that are skipped
	maxStrayBodyBytes = 64 << 10 // of the body of a response to another request
	maxHeaderBytes    = 64 << 10 // of a response header
)

// framingHeaders are written by Request.write itself.
var framingHeaders = map[string]bool{"Host": true, "Content-Length": true, "Transfer-Encoding": true, "Trailer": true}

// Whether a response belongs to the request that it was read for.
const (
	Own     Match = iota // it does
	Other                // it belongs to another request
	Unknown              // its header doesn't say; it does if it is the first one on its connection
)

type (
	// Match tells whether a response belongs to a request.
	Match int

	// Request is one request to a backend server.
	Request struct {
		Method   string
		Host     string
		Path     string // request target: path and query
		Header   http.Header
		Body     []byte
		MaxConns int // connections to the server that may be open; 0 means no limit

		// Match reports whether a response with this header belongs to the request.
		// If it is nil, every response does.
		Match func(header http.Header) Match
	}

	// Response holds the status and header of a response and reads its body. The
	// caller must call Close.
	Response struct {
		Status        int
		Header        http.Header
		ContentLength int64 // of the body in bytes; -1 if unknown

		conn       *conn
		response   *http.Response
		write      *requestWrite
		atEOF      bool // the body has been read to its end
		closed     bool
		stopCancel func() bool
	}

	// requestWrite writes one request to a connection.
	requestWrite struct {
		conn    *conn
		request Request
		done    chan struct{}
		err     error
	}
)

// Send sends a request and returns the response once its header has been read.
// An error with fault.NotRun means that no byte of the request was sent. When ctx
// is done the connection is closed, even while the body is being read.
func (p *Pool) Send(ctx context.Context, address string, r Request) (*Response, error) {
	c, err := p.acquire(ctx, address, r.MaxConns)
	if err != nil {
		return nil, err
	}
	stopCancel := context.AfterFunc(ctx, c.close)
	if ctx.Err() != nil {
		c.close()
		return nil, fault.New(fault.DeadlineExceeded, fault.NotRun, "deadline passed or request canceled before anything was sent to %s", address)
	}
	w := &requestWrite{conn: c, request: r, done: make(chan struct{})}
	if len(r.Body) > maxSyncBodyBytes {
		go w.run() // the server may respond before it has read the body
	} else {
		w.run()
	}
	resp, err := c.readResponse(w, r)
	if err != nil {
		stopCancel()
		c.close()
		<-w.done
		return nil, sendError(ctx, address, err)
	}
	resp.stopCancel = stopCancel
	return resp, nil
}

// sendError returns the error for a request that may have been sent and whose
// response header could not be read because of err.
func sendError(ctx context.Context, address string, err error) error {
	if ctx.Err() != nil {
		return fault.New(fault.DeadlineExceeded, fault.MaybeRun, "deadline passed or request canceled before %s responded", address)
	}
	return fault.New(fault.Broken, fault.MaybeRun, "no valid response header from %s: %v", address, err)
}

// run writes the request and closes done.
func (w *requestWrite) run() {
	defer close(w.done)
	w.err = w.request.write(w.conn.writer)
	if w.err == nil {
		w.err = w.conn.writer.Flush()
	}
}

// write writes the request. Its target is sent as it is: net/http would change one that
// begins with two slashes.
func (r *Request) write(w *bufio.Writer) error {
	_, err := fmt.Fprintf(w, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Path, r.Host)
	if err != nil {
		return err
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		if _, err := fmt.Fprintf(w, "Content-Length: %d\r\n", len(r.Body)); err != nil {
			return err
		}
	}
	if err := r.Header.WriteSubset(w, framingHeaders); err != nil {
		return err
	}
	if _, err := w.WriteString("\r\n"); err != nil {
		return err
	}
	_, err = w.Write(r.Body)
	return err
}

// succeeded reports whether the whole request has been written.
func (w *requestWrite) succeeded() bool {
	select {
	case <-w.done:
		return w.err == nil
	default:
		return false
	}
}

// readResponse reads the header of the response to the request. It skips
// informational responses and responses to other requests, at most
// maxStrayResponses altogether.
func (c *conn) readResponse(w *requestWrite, r Request) (*Response, error) {
	strays := c.reused // responses to other requests may come, or have come
	for range maxStrayResponses + 1 {
		response, err := c.readHeader(r.Method)
		if err != nil {
			return nil, err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		match := Own
		if r.Match != nil {
			match = r.Match(response.Header)
		}
		switch {
		case match == Unknown && strays:
			return nil, errors.New("received a response that may belong to another request")
		case match != Other:
			return &Response{
				Status:        response.StatusCode,
				Header:        response.Header,
				ContentLength: response.ContentLength,
				conn:          c,
				response:      response,
				write:         w,
			}, nil
		case response.Close, response.ContentLength < 0, response.ContentLength > maxStrayBodyBytes:
			return nil, errors.New("received a response to another request that cannot be skipped")
		}
		strays = true
		if _, err := io.CopyN(io.Discard, response.Body, response.ContentLength); err != nil {
			return nil, err
		}
	}
	return nil, errors.New("all responses read were informational or to other requests")
}

// readHeader reads one response header of at most about maxHeaderBytes.
func (c *conn) readHeader(method string) (*http.Response, error) {
	// After an interim response or one to another request, the buffer may hold a part of
	// the header.
	received, err := c.reader.Peek(c.reader.Buffered())
	if err != nil {
		return nil, err
	}
	if err := c.checked.ExpectHead(received, maxHeaderBytes); err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return nil, err
	}
	if err := head.CheckStatus(response.StatusCode); err != nil {
		return nil, err
	}
	return response, nil
}

// Read implements io.Reader for the response body. It returns io.EOF only at the
// end of the body that the framing (Content-Length or chunked encoding) gives.
// A body without framing ends where the server closes the connection; if the connection
// is reset, it is truncated.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.response.Body.Read(p)
	if err == io.EOF {
		r.atEOF = true
	}
	return n, err
}

// Framed reports whether the framing gives the end of the body. A body without framing
// ends with the connection, also if the server broke off and closed it in an orderly way.
func (r *Response) Framed() bool {
	return r.response.ContentLength >= 0 || len(r.response.TransferEncoding) > 0
}

// Close ends the exchange. The connection goes back to the pool if the whole
// request was written, the body was read to its end and the server allows reuse.
// Otherwise it is closed, so that the server stops working on the request.
// Further calls do nothing.
func (r *Response) Close() {
	if r.closed {
		return
	}
	r.closed = true
	r.stopCancel()
	c := r.conn
	if !r.atEOF || !r.Framed() || r.response.Close || !r.write.succeeded() {
		c.close()
		<-r.write.done
		return
	}
	c.returnToPool(time.Now(), r.Header)
}
