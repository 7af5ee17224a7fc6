package main

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

const (
	twiceSilence = 1200 * time.Millisecond // "a second or so"
	twiceStreams = 6
	twiceEvents  = 50
	overlapLimit = 400 * time.Millisecond
)

// runLog records which worker works on which request, and when.
type runLog struct {
	mu     sync.Mutex
	runs   map[string][]*workerRun // by Request-Id, in the order of their starts
	silent string                  // ID of the worker that falls silent
	until  time.Time
}

type workerRun struct {
	worker string
	start  time.Time
	last   time.Time // when the worker last worked on the request
}

// playTwice has one worker, which is sound, fall silent for a moment and go on while it
// runs resumable streams. It is one of the workers that don't drop a request when its
// connection closes.
func playTwice(ctx context.Context, t *trial) (string, error) {
	if err := t.start(); err != nil {
		return "", err
	}
	l := &runLog{runs: map[string][]*workerRun{}}
	service := "huvo11a"
	for i := range 3 {
		if _, err := t.addWorker(service, i, 48, 144, true, l.serve); err != nil {
			return "", err
		}
	}
	chat := route("ladder-chat", "/bopu901/", "streaming", service, 15*time.Second, 2, true)
	if err := t.putManifest(ctx, manifest(3, []map[string]any{chat}, []map[string]any{engineService(service, 48)})); err != nil {
		return "", err
	}
	if err := t.warmUp(ctx, func() clientRequest { return chatRequest(1) }); err != nil {
		return "", err
	}
	t.awaitLead(ctx)
	var clients sync.WaitGroup
	for i := range twiceStreams {
		m := t.machines[i%len(t.machines)]
		request := chatRequest(twiceEvents)
		clients.Add(1)
		go func() {
			defer clients.Done()
			r := send(ctx, m.front, request)
			t.record.printf("client of %s: answer to %s: status %d, %d events, whole %v, %v", m.name, request.id, r.status, len(r.events), r.whole, r.err)
		}()
		sleep(ctx, 50*time.Millisecond)
	}
	sleep(ctx, time.Second)
	if t.trouble {
		l.fallSilent(t)
	}
	clients.Wait()
	sleep(ctx, 3*time.Second) // until the first worker has come to its end too
	return l.judge(t)
}

// chatRequest returns a request for a stream of some events.
func chatRequest(events int) clientRequest {
	id := newID()
	return clientRequest{
		id: id, method: "POST", target: "/bopu901/2f", deadline: 15 * time.Second, body: "a question",
		header: streamHeader(220, events, "1ead0001:79", "600d0002:60", "0"+id[:7]+":81"),
	}
}

// fallSilent makes the worker silent that has begun most of the streams.
func (l *runLog) fallSilent(t *trial) {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := map[string]int{}
	for _, runs := range l.runs {
		for _, r := range runs {
			counts[r.worker]++
			if l.silent == "" || counts[r.worker] > counts[l.silent] {
				l.silent = r.worker
			}
		}
	}
	l.until = time.Now().Add(twiceSilence)
	t.record.printf("worker %s falls silent for %v", l.silent, twiceSilence)
}

func (l *runLog) silence(worker string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if worker != l.silent {
		return 0
	}
	return time.Until(l.until)
}

func (l *runLog) serve(w *worker, x *exchange) {
	events, first := 0, 1
	_, _ = fmt.Sscanf(x.request.Header.Get("Token-Counts"), "220,%d", &events)
	if text := x.request.Header.Get("Last-Event-Id"); text != "" {
		_, _ = fmt.Sscan(text, &first)
		first++
	}
	run := &workerRun{worker: w.id, start: time.Now(), last: time.Now()}
	w.trial.record.printf("worker %s runs %s from event %d", run.worker, x.id, first)
	l.mu.Lock()
	l.runs[x.id] = append(l.runs[x.id], run)
	l.mu.Unlock()
	writable := x.beginStream() == nil
	closed := false
	for number := first; number <= events; number++ {
		time.Sleep(eventInterval)
		for wait := l.silence(run.worker); wait > 0; wait = l.silence(run.worker) {
			time.Sleep(wait)
		}
		l.mu.Lock()
		run.last = time.Now()
		l.mu.Unlock()
		writable = writable && x.event(number) == nil
		select {
		case <-x.gone:
			if !closed {
				w.trial.record.printf("worker %s finds the connection of %s closed at event %d and works on", run.worker, x.id, number)
			}
			closed = true
		default:
		}
	}
	w.trial.record.printf("worker %s has finished %s", run.worker, x.id)
	if !writable || closed {
		x.keep = false
		return
	}
	x.endStream()
}

func (l *runLog) judge(t *trial) (string, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.runs) < twiceStreams {
		return "", errors.New("not every stream was run")
	}
	twice := 0
	for id, runs := range l.runs {
		for i := 1; i < len(runs); i++ {
			overlap := runs[i-1].last.Sub(runs[i].start)
			t.record.printf("%s goes on at worker %s; worker %s still worked on it %v later", id, runs[i].worker, runs[i-1].worker, overlap.Round(time.Millisecond))
			if overlap > overlapLimit {
				twice++
			}
		}
	}
	if twice == 0 {
		return "", nil
	}
	return fmt.Sprintf("TWICE: %d of %d requests went on at another worker while the worker before still worked on them more than %v later", twice, twiceStreams, overlapLimit), nil
}
