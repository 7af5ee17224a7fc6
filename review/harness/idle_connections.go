package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	arrivalsPerSecond = 44 // at one machine: 348 requests a second at 8 machines
	arrivalTime       = 50 * time.Second
	clientPatience    = 500 * time.Millisecond // a third of the time budget, until the request must have been read
	minClients        = 7                      // that must try
)

// callers are clients that each open a connection of their own.
type callers struct {
	mu       sync.Mutex
	open     []net.Conn
	answered []time.Time // when a request on a new connection was answered
	tried    []time.Time // when a client began to connect
	notReady []time.Time // when the readiness check had no 200
}

// playIdleConnections has clients come at the usual rate, each on a connection of its
// own. They leave it open after the answer, without another request. Without the
// disruption they close it.
func playIdleConnections(ctx context.Context, t *trial) (string, error) {
	if err := t.start(); err != nil {
		return "", err
	}
	service := "wuno96b"
	for i := range 3 {
		_, err := t.addWorker(service, i, 6, 24, false, func(w *worker, x *exchange) {
			time.Sleep(10 * time.Millisecond)
			x.answer(http.StatusOK, x.signature(), "stock")
		})
		if err != nil {
			return "", err
		}
	}
	stock := route("stock-lookup", "/pule252/", "idempotent", service, 1500*time.Millisecond, 2, false)
	if err := t.putManifest(ctx, manifest(3, []map[string]any{stock}, []map[string]any{appService(service)})); err != nil {
		return "", err
	}
	lookup := func() clientRequest {
		return clientRequest{id: newID(), method: http.MethodGet, target: "/pule252/2f", deadline: 1500 * time.Millisecond}
	}
	if err := t.warmUp(ctx, lookup); err != nil {
		return "", err
	}
	t.awaitLead(ctx)
	m := t.machines[0]
	c := &callers{}
	defer c.closeAll()
	var clients sync.WaitGroup
	polls, stopPolls := context.WithCancel(ctx)
	defer stopPolls()
	clients.Add(1)
	go func() {
		defer clients.Done()
		c.pollReadiness(polls, m)
	}()
	end := time.Now().Add(arrivalTime)
	ticker := time.NewTicker(time.Second / arrivalsPerSecond)
	defer ticker.Stop()
	for time.Now().Before(end) && ctx.Err() == nil {
		<-ticker.C
		clients.Add(1)
		go func() {
			defer clients.Done()
			c.call(t, m, lookup())
		}()
	}
	stopPolls()
	clients.Wait()
	return c.judge(t, m)
}

// call sends a request on a new connection and keeps that open.
func (c *callers) call(t *trial, m *machine, request clientRequest) {
	c.mu.Lock()
	c.tried = append(c.tried, time.Now())
	c.mu.Unlock()
	conn, err := net.DialTimeout("tcp", m.front, time.Second)
	if err != nil {
		t.record.printf("client can't connect for %s: %v", request.id, err)
		return
	}
	_ = conn.SetDeadline(time.Now().Add(clientPatience))
	r := request.exchange(conn)
	if r.err != nil {
		t.record.printf("client gives up on %s: %v", request.id, r.err)
		_ = conn.Close()
		return
	}
	_ = conn.SetDeadline(time.Time{})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered = append(c.answered, time.Now())
	if len(c.answered)%200 == 0 {
		t.record.printf("%d requests answered, the last with %d", len(c.answered), r.status)
	}
	if t.trouble {
		c.open = append(c.open, conn)
	} else {
		_ = conn.Close()
	}
}

func (c *callers) closeAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.open {
		_ = conn.Close()
	}
}

// pollReadiness asks a machine once a second whether it is ready, as the platform does.
func (c *callers) pollReadiness(ctx context.Context, m *machine) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for ctx.Err() == nil {
		response, err := client.Get("http://" + m.ready + "/-/readiness")
		ready := err == nil && response.StatusCode == http.StatusOK
		if err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
		if !ready {
			c.mu.Lock()
			c.notReady = append(c.notReady, time.Now())
			c.mu.Unlock()
		}
		sleep(ctx, time.Second)
	}
}

// judge looks for a span of stableTime in which the machine was ready and answered no
// request on a new connection, while minClients or more tried.
func (c *callers) judge(t *trial, m *machine) (string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.answered) == 0 {
		return "", errors.New("no request was answered")
	}
	last := c.answered[len(c.answered)-1]
	end := c.tried[len(c.tried)-1].Add(clientPatience)
	within := func(list []time.Time) int {
		n := 0
		for _, at := range list {
			if at.After(last) && at.Before(end) {
				n++
			}
		}
		return n
	}
	tried, notReady := within(c.tried), within(c.notReady)
	t.record.printf("%s: %d requests answered, %d connections left open; the last answer %v before the end", m.name, len(c.answered), len(c.open), end.Sub(last).Round(time.Millisecond))
	t.record.printf("since then %d clients have tried; the readiness check failed %d times", tried, notReady)
	if end.Sub(last) < stableTime || tried < minClients || notReady > 0 {
		return "", nil
	}
	return fmt.Sprintf("RECOVER: a machine that says it is ready took no new connection for %v, while %d clients tried", end.Sub(last).Round(time.Millisecond), tried), nil
}
