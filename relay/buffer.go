package relay

import (
	"io"
	"sync/atomic"

	"endivedeck.example/fault"
	"endivedeck.example/upstream"
)

const (
	// freeBufferBytes of a response may always be held. With the sizes that servers
	// usually send, no response needs more.
	freeBufferBytes = 64 << 10

	// maxBufferBytes is what all responses together may hold beyond freeBufferBytes
	// each. A faulty server may send bytes without end on all its connections.
	maxBufferBytes = 64 << 20

	minBufferGrowth = 32 << 10
)

type (
	// bufferLimit limits the bytes of responses that a relay holds at a time.
	bufferLimit struct{ held atomic.Int64 }

	// bufferShare is what one request holds of a bufferLimit.
	bufferShare struct {
		limit   *bufferLimit
		hold    func(bytes int64) bool // charges bytes to the caller until the request ends
		held    int64
		charged int64 // by hold
	}
)

// charge charges the caller for bytes that are about to be held, in place of those of
// before, and reports whether there is room for them.
func (s *bufferShare) charge(bytes int) bool {
	more := int64(bytes) - s.charged
	if more <= 0 || s.hold == nil {
		return true
	}
	if !s.hold(more) {
		return false
	}
	s.charged += more
	return true
}

// resize sets the number of bytes that are held, and reports whether the limit allows
// it. Fewer bytes are always allowed.
func (s *bufferShare) resize(bytes int) bool {
	counted := int64(max(bytes-freeBufferBytes, 0))
	total := s.limit.held.Add(counted - s.held)
	if counted > s.held && total > maxBufferBytes {
		s.limit.held.Add(s.held - counted)
		return false
	}
	s.held = counted
	return true
}

// release gives up all that is held.
func (s *bufferShare) release() { s.resize(0) }

// readResponse reads the body of a response of at most maxResponseBytes, whose bytes
// share counts.
func readResponse(resp *upstream.Response, share *bufferShare) ([]byte, error) {
	if resp.ContentLength > maxResponseBytes {
		return nil, fault.New(fault.TooLarge, fault.MaybeRun, "response of %d bytes exceeds the limit of %d", resp.ContentLength, maxResponseBytes)
	}
	var body []byte
	for {
		if len(body) == cap(body) {
			size := min(max(2*cap(body), minBufferGrowth), maxResponseBytes+1)
			if !share.charge(size) {
				return nil, fault.New(fault.TooLarge, fault.MaybeRun, "no room for the response: callers hold all of their memory")
			}
			if !share.resize(size) {
				return nil, fault.New(fault.TooLarge, fault.MaybeRun, "responses hold more than %d bytes at a time", maxBufferBytes)
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := resp.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case len(body) > maxResponseBytes:
			return nil, fault.New(fault.TooLarge, fault.MaybeRun, "response exceeds the limit of %d bytes", maxResponseBytes)
		case err == io.EOF:
			return body, nil
		case err != nil:
			return nil, err
		}
	}
}
