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

// client sends requests to the front of one machine.
type client struct {
	address string
	http    http.Client
}

var requestNumber atomic.Int64

func (d *deployment) newClient(machine, conns int) *client {
	return &client{
		address: net.JoinHostPort(d.address(machine), strconv.Itoa(frontPort)),
		http:    http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: conns, MaxConnsPerHost: conns}},
	}
}

// send sends a request for the usual host.
func (c *client) send(method, path string, header map[string]string, body string, timeout time.Duration) (id string, status int, text string, err error) {
	return c.sendTo(host, method, path, header, body, timeout)
}

// sendTo sends a request and returns the status and the body of the answer.
func (c *client) sendTo(host, method, path string, header map[string]string, body string, timeout time.Duration) (id string, status int, text string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	id = fmt.Sprintf("%016x", requestNumber.Add(1))
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.address+path, strings.NewReader(body))
	if err != nil {
		return id, 0, "", err
	}
	request.Host = host
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(timeout.Milliseconds(), 10))
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return id, 0, "", err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	return id, response.StatusCode, string(answer), err
}

// sendRead sends a request and returns the status of the answer, 0 for none.
func sendRead(c *client, path string) int {
	_, status, _, err := c.send(http.MethodGet, path, nil, "", 2*time.Second)
	if err != nil {
		return 0
	}
	return status
}

// await calls ready until it returns true.
func await(limit time.Duration, ready func() bool) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if ready() {
			return true
		}
	}
	return false
}
