package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

type (
	// clientRequest is a request of a client.
	clientRequest struct {
		id       string
		method   string
		target   string
		header   string // further lines
		body     string
		deadline time.Duration
	}

	// clientResponse is what a client gets.
	clientResponse struct {
		status int
		header http.Header
		body   string
		events []int // numbers of the events of a stream
		whole  bool  // the answer has ended as its framing says
		err    error
		at     time.Duration // since the request was sent
	}
)

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send sends a request on a new connection and reads the answer to its end.
func send(ctx context.Context, address string, r clientRequest) clientResponse {
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, r.deadline+time.Second)
	defer cancel()
	dialer := net.Dialer{Timeout: time.Second}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return clientResponse{err: err}
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	response := r.exchange(conn)
	response.at = time.Since(start)
	return response
}

func (r clientRequest) exchange(conn net.Conn) clientResponse {
	_, err := fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n%sContent-Length: %d\r\n\r\n%s",
		r.method, r.target, testHost, r.id, r.deadline.Milliseconds(), r.header, len(r.body), r.body)
	if err != nil {
		return clientResponse{err: err}
	}
	answer, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: r.method})
	if err != nil {
		return clientResponse{err: err}
	}
	body, err := io.ReadAll(answer.Body)
	response := clientResponse{status: answer.StatusCode, header: answer.Header, body: string(body), whole: err == nil, err: err}
	for _, line := range strings.Split(response.body, "\n") {
		if text, ok := strings.CutPrefix(line, "id: "); ok {
			if number, err := strconv.Atoi(text); err == nil {
				response.events = append(response.events, number)
			}
		}
	}
	return response
}

// stream sends the headers of a request for a generation.
func streamHeader(promptTokens, maxTokens int, parts ...string) string {
	return fmt.Sprintf("Model: m\r\nToken-Counts: %d,%d\r\nPrompt-Prefix: %s\r\n", promptTokens, maxTokens, strings.Join(parts, ","))
}

// warmUp sends a request to each machine until it has answered one with 200.
func (t *trial) warmUp(ctx context.Context, request func() clientRequest) error {
	for _, m := range t.machines {
		for {
			response := send(ctx, m.front, request())
			if response.status == http.StatusOK && response.whole {
				break
			}
			if ctx.Err() != nil || time.Since(t.started) > 40*time.Second {
				return fmt.Errorf("machine %s serves no request: %d %v", m.name, response.status, errors.Join(response.err))
			}
			sleep(ctx, 200*time.Millisecond)
		}
	}
	return nil
}
