package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	sizeMachines = 3
	sizeWorkers  = 9
	sizeShared   = 4                       // shared parts of prompts
	sizePeriod   = 25 * time.Millisecond   // between two prompts at each machine
	sizeBefore   = 3500 * time.Millisecond // of traffic before the final fault
	sizeAfter    = 78 * time.Second        // of traffic, later than recoverySpan after the machines are back
	recoverySpan = 12 * time.Second        // recoveryS
	readRate     = 209.5                   // prompt tokens that a decode worker reads in a ms: half of 419
	sharedTokens = 6300
	ownTokens    = 2890
)

// outcomes counts requests by how they ended.
type outcomes struct {
	sent, served atomic.Int64

	refused    atomic.Int64 // with 503
	refusedFor atomic.Int64 // how long these took in all, in ns
}

func (o *outcomes) String() string {
	text := fmt.Sprintf("%d requests, %d served, %d refused with 503", o.sent.Load(), o.served.Load(), o.refused.Load())
	if n := o.refused.Load(); n > 0 {
		text += fmt.Sprintf(" after %.1f ms on average", float64(o.refusedFor.Load())/float64(n)/1e6)
	}
	return text
}

// runSizes has clients send the prompts of the sheet, all of one size, to workers that take
// as long as those of the site. After a while all processes are killed and started again.
// The check is that of the rule RECOVER: of the requests sent later than recoveryS after the
// machines are back, less than a quarter is served, though a quarter or more was before.
func runSizes(d *deployment) (bool, error) {
	var controls []string
	for machine := 1; machine <= sizeMachines; machine++ {
		controls = append(controls, d.controlAddress(machine))
	}
	d.seeds = controls
	for machine := 1; machine <= sizeMachines; machine++ {
		if _, err := d.start("control", machine, true, true); err != nil {
			return false, err
		}
		if _, err := d.start("relay", machine, true, false); err != nil {
			return false, err
		}
	}
	speeds := []float64{1, 1, 1.3} // as in the site file
	for i := range sizeWorkers {
		w, err := d.newWorker("crew-assist", "decode", 100+i, func() []string { return controls })
		if err != nil {
			return false, err
		}
		w.mu.Lock()
		w.readTime = speeds[i%len(speeds)] / readRate
		w.mu.Unlock()
	}
	if err := d.put(controls, manifest(1, route("survey", "/survey/", "streaming", "crew-assist")), 15*time.Second); err != nil {
		return false, err
	}
	var clients []*client
	for machine := 1; machine <= sizeMachines; machine++ {
		c := d.newClient(machine, 64)
		if !await(15*time.Second, func() bool { return sendPrompt(c, d.surveyPrompt()) == http.StatusOK }) {
			return false, fmt.Errorf("machine %d serves no request", machine)
		}
		clients = append(clients, c)
	}
	var before, early, after outcomes
	var requests sync.WaitGroup
	d.sendSurveys(clients, sizeBefore, &requests, &before)
	requests.Wait()
	d.record.printf("before the final fault: %v", &before)
	d.mu.Lock()
	processes := d.processes
	d.mu.Unlock()
	for _, p := range processes {
		p.signal(syscall.SIGKILL)
	}
	d.record.printf("all processes are killed; each is started again after %v", restartDelay)
	time.Sleep(time.Second)
	d.sendSurveys(clients, recoverySpan, &requests, &early)
	requests.Wait()
	d.record.printf("up to %v after the machines are back: %v", recoverySpan, &early)
	for range 6 {
		d.sendSurveys(clients, sizeAfter/6, &requests, &after)
		requests.Wait()
		d.record.printf("later than that, in all: %v", &after)
	}
	return 4*before.served.Load() >= before.sent.Load() && 4*after.served.Load() < after.sent.Load(), nil
}

// sendSurveys sends prompts to each machine for a time.
func (d *deployment) sendSurveys(clients []*client, span time.Duration, requests *sync.WaitGroup, o *outcomes) {
	ticker := time.NewTicker(sizePeriod)
	defer ticker.Stop()
	for deadline := time.Now().Add(span); time.Now().Before(deadline); <-ticker.C {
		for _, c := range clients {
			requests.Add(1)
			o.sent.Add(1)
			go func() {
				defer requests.Done()
				sentAt := time.Now()
				switch sendPrompt(c, d.surveyPrompt()) {
				case http.StatusOK:
					o.served.Add(1)
				case http.StatusServiceUnavailable:
					o.refused.Add(1)
					o.refusedFor.Add(int64(time.Since(sentAt)))
				}
			}()
		}
	}
}

// surveyPrompt is a prompt with a shared part and one of its own. Without the disruption, the
// size of the latter varies.
func (d *deployment) surveyPrompt() map[string]string {
	own := ownTokens
	if !d.trouble {
		own = ownTokens/2 + rand.IntN(ownTokens)
	}
	n := requestNumber.Add(1)
	return map[string]string{
		"Model": "m", "Token-Counts": fmt.Sprintf("%d,2", sharedTokens+own),
		"Prompt-Prefix": fmt.Sprintf("5c1e07a%d:%d,%08x:%d", rand.IntN(sizeShared), sharedTokens, n, own),
	}
}
