package gate

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"endivedeck.example/internal/callers/allowance"
)

// FuzzConnection sends what a client may send on one connection. No request may be passed
// on that net/http doesn't read from the same bytes, and nothing may stay charged. The
// seeds in testdata are the shapes of crowds.
func FuzzConnection(f *testing.F) {
	budget := allowance.New(allowance.Limits{Bytes: 4 << 20, Reserve: 1 << 20, Address: 4 << 20}, nil)
	var passed atomic.Int64
	handler := func(w http.ResponseWriter, r *http.Request) {
		passed.Add(1)
		answerRead(w, r)
	}
	limits := DefaultLimits()
	limits.MaxBodyBytes = 64 << 10
	server, err := NewWithin(budget, "127.0.0.1:0", http.HandlerFunc(handler), limits, nil)
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(server.Close)
	f.Add(wholeRequest + wholeRequest)
	f.Fuzz(func(t *testing.T, sent string) {
		passed.Store(0)
		c, err := net.Dial("tcp", server.Address())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		_ = c.SetDeadline(time.Now().Add(20 * time.Second))
		_, _ = io.WriteString(c, sent) // the server may refuse it
		_ = c.(*net.TCPConn).CloseWrite()
		_, err = io.Copy(io.Discard, c) // the server may reset the connection
		if errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("got a connection that stays open, want it closed after its client has sent all")
		}
		for deadline := time.Now().Add(20 * time.Second); budget.Held() != 0; {
			if time.Now().After(deadline) {
				t.Fatalf("got %d bytes held after the connection was closed, want none", budget.Held())
			}
			time.Sleep(time.Millisecond)
		}
		if got, want := passed.Load(), countRequests(sent); got > want {
			t.Errorf("got %d requests passed on, want at most %d", got, want)
		}
	})
}

// countRequests returns how many requests begin in a text.
func countRequests(text string) int64 {
	reader := bufio.NewReader(strings.NewReader(text))
	for n := int64(0); ; n++ {
		if peeked, _ := reader.Peek(2); n > 0 && string(peeked) == "\r\n" {
			_, _ = reader.Discard(2) // net/http skips an empty line after a POST
		}
		r, err := http.ReadRequest(reader)
		if err != nil {
			return n
		}
		_, _ = io.Copy(io.Discard, r.Body)
	}
}
