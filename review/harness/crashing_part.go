package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	crashingPart     = "5bad5bad"
	workersDownTime  = 3 * time.Second // until a crashed worker is back
	crashingInterval = 1200 * time.Millisecond
	crashingRequests = 20
	maxAfterFifth    = 3 // requests with the part that may reach workers later than stableTime after the fifth crash
)

// crashLog records the crashes of workers and the requests with the crashing part that
// reach workers.
type crashLog struct {
	mu      sync.Mutex
	crashes []time.Time
	reached []time.Time
}

// playCrashingPart has requests with one part come that crash each worker which begins
// to write an answer on it. The worker ends with the first event of its stream, or
// before it has sent anything if CRASH=early.
func playCrashingPart(ctx context.Context, t *trial) (string, error) {
	early := os.Getenv("CRASH") == "early"
	log := &crashLog{}
	if err := t.start(); err != nil {
		return "", err
	}
	service := "huvo11a"
	for i := range 9 {
		_, err := t.addWorker(service, i, 48, 144, true, func(w *worker, x *exchange) { log.serve(w, x, early) })
		if err != nil {
			return "", err
		}
	}
	chat := route("ladder-chat", "/bopu901/", "streaming", service, 15*time.Second, 1, false)
	if err := t.putManifest(ctx, manifest(3, []map[string]any{chat}, []map[string]any{engineService(service, 48)})); err != nil {
		return "", err
	}
	if err := t.warmUp(ctx, soundChat); err != nil {
		return "", err
	}
	t.awaitLead(ctx)

	traffic, stop := context.WithCancel(ctx)
	var clients sync.WaitGroup
	counts := &outcomes{}
	for _, m := range t.machines {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for traffic.Err() == nil {
				clients.Add(1)
				go func() {
					defer clients.Done()
					r := send(ctx, m.front, soundChat())
					counts.add(r.status == http.StatusOK && r.whole)
				}()
				sleep(traffic, 100*time.Millisecond)
			}
		}()
	}
	sleep(ctx, 2*time.Second)
	for i := 0; i < crashingRequests && ctx.Err() == nil; i++ {
		m := t.machines[i%len(t.machines)]
		request := soundChat()
		if t.trouble {
			request.header = streamHeader(220, 8, "1ead0001:79", crashingPart+":60", "0"+request.id[:7]+":81")
		}
		r := send(ctx, m.front, request)
		t.record.printf("request %s sent to %s: status %d, events %v, whole %v", request.id, m.name, r.status, r.events, r.whole)
		sleep(ctx, crashingInterval)
	}
	stop()
	clients.Wait()
	good, bad := counts.totals()
	t.record.printf("sound requests: %d served whole, %d not", good, bad)
	return log.judge(t), nil
}

// soundChat returns a request with the same first part and the same caller as those with
// the crashing part.
func soundChat() clientRequest {
	id := newID()
	return clientRequest{
		id: id, method: http.MethodPost, target: "/bopu901/2f", deadline: 15 * time.Second, body: "a question",
		header: streamHeader(220, 8, "1ead0001:79", "600d0002:60", "0"+id[:7]+":81"),
	}
}

func (l *crashLog) serve(w *worker, x *exchange, early bool) {
	crashes := strings.Contains(x.request.Header.Get("Prompt-Prefix"), crashingPart)
	if crashes {
		l.mu.Lock()
		l.reached = append(l.reached, time.Now())
		l.mu.Unlock()
		w.trial.record.printf("request %s with the crashing part reaches worker %s", x.id, w.id)
	}
	select {
	case <-time.After(20 * time.Millisecond):
	case <-x.gone:
		x.keep = false
		return
	}
	if crashes && early {
		l.crash(w, x)
		return
	}
	if x.beginStream() != nil {
		x.keep = false
		return
	}
	for number := 1; number <= 8; number++ {
		if x.event(number) != nil {
			x.keep = false
			return
		}
		select {
		case <-time.After(20 * time.Millisecond):
		case <-x.gone:
			x.keep = false
			return
		}
		if crashes {
			l.crash(w, x)
			return
		}
	}
	x.endStream()
}

func (l *crashLog) crash(w *worker, x *exchange) {
	l.mu.Lock()
	l.crashes = append(l.crashes, time.Now())
	count := len(l.crashes)
	l.mu.Unlock()
	w.trial.record.printf("worker %s crashes under request %s (crash %d)", w.id, x.id, count)
	x.keep = false
	w.end()
	time.AfterFunc(workersDownTime, func() {
		if err := w.boot(); err != nil {
			w.trial.record.printf("a worker could not start again: %v", err)
		}
	})
}

func (l *crashLog) judge(t *trial) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	t.record.printf("%d crashes, %d requests with the crashing part reached workers", len(l.crashes), len(l.reached))
	if len(l.crashes) < 5 {
		return ""
	}
	late := 0
	for _, at := range l.reached {
		if at.After(l.crashes[4].Add(stableTime)) {
			late++
		}
	}
	t.record.printf("%d of these later than %v after the fifth crash; at most %d may", late, stableTime, maxAfterFifth)
	if late <= maxAfterFifth {
		return ""
	}
	return fmt.Sprintf("BUDGET: %d requests with a part that crashes workers reached workers later than %v after the fifth crash (at most %d may)", late, stableTime, maxAfterFifth)
}

// outcomes counts requests.
type outcomes struct {
	mu        sync.Mutex
	good, bad int
}

func (o *outcomes) add(good bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if good {
		o.good++
	} else {
		o.bad++
	}
}

func (o *outcomes) totals() (good, bad int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.good, o.bad
}
