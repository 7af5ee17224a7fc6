package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	pauseSeconds   = 25
	pauseGrace     = 500 * time.Millisecond // for requests that are under way
	pingCutTime    = 5 * time.Second        // the bench's for_s of srv_cut
	maxDuringPause = 2
	workTime       = 40 * time.Millisecond
)

// playPause has a worker ask each machine for a pause with Retry-After. Then the worker
// can't reach control_plane for a few seconds, while the machines that send it requests can
// still reach it.
func playPause(ctx context.Context, t *trial) (string, error) {
	if err := t.start(); err != nil {
		return "", err
	}
	var mu sync.Mutex
	machineOf := map[string]*machine{}     // by Request-Id
	pausedAt := map[*machine]time.Time{}   // when the worker has asked the machine for a pause
	arrivals := map[*machine][]time.Time{} // at the worker, since then
	var pausing *worker
	paused := false
	service := "wuno96b"
	var workers []*worker
	for i := range 5 {
		w, err := t.addWorker(service, i, 6, 24, false, func(w *worker, x *exchange) {
			mu.Lock()
			m := machineOf[x.id]
			if w != pausing || !paused || m == nil {
				mu.Unlock()
				time.Sleep(workTime)
				x.answer(http.StatusOK, x.signature(), "stock")
				return
			}
			asked := pausedAt[m].IsZero()
			if asked {
				pausedAt[m] = time.Now()
			} else {
				arrivals[m] = append(arrivals[m], time.Now())
			}
			mu.Unlock()
			if asked {
				t.record.printf("worker %s answers %s from %s with 503 and Retry-After: %d", w.id, x.id, m.name, pauseSeconds)
				x.answer(http.StatusServiceUnavailable, fmt.Sprintf("Not-Executed: 1\r\nRetry-After: %d\r\n", pauseSeconds), "busy")
				return
			}
			t.record.printf("request %s from %s reaches worker %s during its pause", x.id, m.name, w.id)
			x.answer(http.StatusServiceUnavailable, "Not-Executed: 1\r\n", "busy")
		})
		if err != nil {
			return "", err
		}
		workers = append(workers, w)
	}
	pausing = workers[0]
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
	traffic, stop := context.WithCancel(ctx)
	defer stop()
	var clients sync.WaitGroup
	for _, m := range t.machines {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for traffic.Err() == nil {
				request := lookup()
				mu.Lock()
				machineOf[request.id] = m
				mu.Unlock()
				clients.Add(1)
				go func() {
					defer clients.Done()
					send(ctx, m.front, request)
				}()
				sleep(traffic, 20*time.Millisecond)
			}
		}()
	}
	sleep(ctx, 3*time.Second)
	mu.Lock()
	paused = true
	mu.Unlock()
	sleep(ctx, 2*time.Second)
	if t.trouble {
		pausing.cutPings(pingCutTime)
	}
	sleep(ctx, 15*time.Second)
	stop()
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	if len(pausedAt) == 0 {
		return "", errors.New("no request reached the worker that asks for a pause")
	}
	worst := 0
	for m, asked := range pausedAt {
		n := 0
		for _, at := range arrivals[m] {
			if at.After(asked.Add(pauseGrace)) && at.Before(asked.Add(pauseSeconds*time.Second)) {
				n++
			}
		}
		t.record.printf("%s: %d requests reached the worker during its pause; at most %d may", m.name, n, maxDuringPause)
		worst = max(worst, n)
	}
	if worst <= maxDuringPause {
		return "", nil
	}
	return fmt.Sprintf("BUDGET: %d requests of one machine reached a worker that had asked it for a pause (at most %d may)", worst, maxDuringPause), nil
}

// cutPings cuts the worker off from the addresses of control_plane.
func (w *worker) cutPings(length time.Duration) {
	w.trial.record.printf("worker %s is cut off from control_plane for %v", w.id, length)
	w.setPingsCut(true)
	time.AfterFunc(length, func() {
		w.setPingsCut(false)
		w.trial.record.printf("worker %s reaches control_plane again", w.id)
	})
}

func (w *worker) setPingsCut(cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pingsCut = cut
}
