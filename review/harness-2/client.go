package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

type (
	// answer is what a client got for one request.
	answer struct {
		id     string
		status int // 0 if no answer came
		header http.Header
		body   string
		err    error
		took   time.Duration
	}

	// client sends requests to the relays.
	client struct {
		deployment *deployment
		http       *http.Client
	}
)

// newClient returns a client that opens a connection for each request, so that none is sent
// a second time under its id.
func newClient(d *deployment) *client {
	transport := &http.Transport{
		DialContext:        (&net.Dialer{Timeout: time.Second}).DialContext,
		DisableCompression: true,
		DisableKeepAlives:  true,
	}
	return &client{deployment: d, http: &http.Client{Transport: transport}}
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send sends one request and returns its answer. The client leaves when its time budget is over.
func (c *client) send(ctx context.Context, relay int, method, path string, header map[string]string, body string, budget time.Duration) answer {
	a := answer{id: newID()}
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, budget)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.deployment.front(relay)+path, strings.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	request.Host = routeHost
	request.Header.Set("Request-Id", a.id)
	request.Header.Set("Deadline-Ms", fmt.Sprint(budget.Milliseconds()))
	request.Header.Set("User-Agent", "")
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := c.http.Do(request)
	if err == nil {
		var text []byte
		text, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		a.status, a.header, a.body = response.StatusCode, response.Header, string(text)
	}
	a.err, a.took = err, time.Since(start)
	return a
}

// every calls f in a goroutine of its own at a steady rate until ctx is done, and returns
// when all calls have ended.
func every(ctx context.Context, interval time.Duration, f func(i int)) {
	var running sync.WaitGroup
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			running.Wait()
			return
		case <-ticker.C:
		}
		running.Add(1)
		go func() {
			defer running.Done()
			f(i)
		}()
	}
}

// sleep waits unless ctx is done earlier.
func sleep(ctx context.Context, length time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(length):
	}
}
