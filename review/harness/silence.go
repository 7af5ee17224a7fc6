package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	streamEvents  = 50
	eventInterval = 100 * time.Millisecond
	silenceLength = 1300 * time.Millisecond // "a second or so"
	silenceAfter  = 1000 * time.Millisecond // from the SIGTERM
	graceS        = 8 * time.Second
	workerSlots   = 4
	workerQueue   = 2
	moreAfter     = 400 * time.Millisecond // from the start of the silence, until the queues fill
)

// silentWorkers makes the streams of one worker pause.
type silentWorkers struct {
	mu     sync.Mutex
	id     string // the worker that falls silent
	until  time.Time
	places map[string]string // worker by Request-Id, for streams that have begun
	atWork map[string]time.Time
}

// playSilence stops a machine by SIGTERM while it forwards resumable streams that end
// well before the end of the grace period. One worker, which is sound, falls silent for
// a moment, while the places of the others are taken.
func playSilence(ctx context.Context, t *trial) (string, error) {
	if err := t.start(); err != nil {
		return "", err
	}
	s := &silentWorkers{places: map[string]string{}, atWork: map[string]time.Time{}}
	service := "huvo11a"
	for i := range 2 {
		if _, err := t.addWorker(service, i, workerSlots, workerQueue, true, s.serve); err != nil {
			return "", err
		}
	}
	chat := route("ladder-chat", "/bopu901/", "streaming", service, 15*time.Second, 2, true)
	if err := t.putManifest(ctx, manifest(3, []map[string]any{chat}, []map[string]any{engineService(service, workerSlots)})); err != nil {
		return "", err
	}
	if err := t.warmUp(ctx, func() clientRequest { return chatRequest(1) }); err != nil {
		return "", err
	}
	t.awaitLead(ctx)
	sleep(ctx, 500*time.Millisecond)

	stopped := t.machines[0]
	results := map[string]clientResponse{}
	var mu sync.Mutex
	var clients sync.WaitGroup
	chatAt := func(m *machine) {
		request := chatRequest(streamEvents)
		clients.Add(1)
		go func() {
			defer clients.Done()
			r := send(ctx, m.front, request)
			t.record.printf("client of %s: answer to %s: status %d, %d events, whole %v, %v", m.name, request.id, r.status, len(r.events), r.whole, r.err)
			if m != stopped {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			results[request.id] = r
		}()
		sleep(ctx, 20*time.Millisecond)
	}
	for i := range 2 * workerSlots { // one for each slot
		chatAt(t.machines[i%2])
	}
	sleep(ctx, 600*time.Millisecond)

	var signalled time.Time
	if t.trouble {
		signalled = time.Now()
		t.record.printf("SIGTERM to the relay of %s", stopped.name)
		if err := stopped.relay.Process.Signal(syscall.SIGTERM); err != nil {
			return "", err
		}
		sleep(ctx, silenceAfter)
		s.fallSilent(t)
	}
	sleep(ctx, moreAfter)
	for range 2 * workerQueue { // one for each place in a queue
		chatAt(t.machines[2])
	}
	clients.Wait()
	if len(results) < workerSlots {
		return "", errors.New("not every stream was sent")
	}
	cut := 0
	for id, r := range results {
		if r.status == http.StatusOK && !r.whole {
			cut++
			if at := s.atWork[id]; t.trouble && at.After(signalled.Add(graceS*5/6)) {
				cut-- // its worker was at work too late
			}
		}
	}
	if cut == 0 {
		return "", nil
	}
	return fmt.Sprintf("LOST: %d of %d streams that the machine had passed on to workers before the SIGTERM were cut", cut, len(results)), nil
}

// fallSilent makes the worker silent that runs most of the streams.
func (s *silentWorkers) fallSilent(t *trial) {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := map[string]int{}
	for _, worker := range s.places {
		counts[worker]++
		if s.id == "" || counts[worker] > counts[s.id] {
			s.id = worker
		}
	}
	s.until = time.Now().Add(silenceLength)
	t.record.printf("worker %s falls silent for %v", s.id, silenceLength)
}

func (s *silentWorkers) pauseOf(id string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.id != id {
		return 0
	}
	return time.Until(s.until)
}

func (s *silentWorkers) serve(w *worker, x *exchange) {
	events, first := 0, 1
	_, _ = fmt.Sscanf(x.request.Header.Get("Token-Counts"), "220,%d", &events)
	if text := x.request.Header.Get("Last-Event-Id"); text != "" {
		_, _ = fmt.Sscan(text, &first)
		first++
	}
	w.trial.record.printf("worker %s runs %s from event %d", w.id, x.id, first)
	s.mu.Lock()
	s.places[x.id] = w.id
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.places, x.id)
		s.atWork[x.id] = time.Now()
	}()
	if x.beginStream() != nil {
		x.keep = false
		return
	}
	for number := first; number <= events; number++ {
		for {
			wait := max(eventInterval, s.pauseOf(w.id))
			select {
			case <-time.After(wait):
			case <-x.gone:
				x.keep = false
				w.trial.record.printf("worker %s drops %s before event %d: its connection was closed", w.id, x.id, number)
				return
			}
			if s.pauseOf(w.id) <= 0 {
				break
			}
		}
		if x.event(number) != nil {
			x.keep = false
			return
		}
	}
	x.endStream()
}
