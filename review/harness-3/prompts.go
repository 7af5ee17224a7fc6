package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	promptMachines = 3
	promptWorkers  = 9
	prefillWorkers = 4 // of these
	promptTime     = 98 * time.Second
	promptClients  = 24   // at each machine
	emptyParts     = 3800 // of a prompt; its head stays below 16,384 bytes
	promptEnds     = 3    // of the processes of a machine, as in the rule
)

// runPrompts has clients send prompts that list thousands of parts without tokens, in
// requests of legal size, beside ordinary ones. The check is that of the rule Fault: the
// processes of two machines or more end by themselves three times.
func runPrompts(d *deployment) (bool, error) {
	var controls []string
	for machine := 1; machine <= promptMachines; machine++ {
		controls = append(controls, d.controlAddress(machine))
	}
	d.seeds = controls
	var relays []*process
	for machine := 1; machine <= promptMachines; machine++ {
		if _, err := d.start("control", machine, true, true); err != nil {
			return false, err
		}
		relay, err := d.start("relay", machine, true, false)
		if err != nil {
			return false, err
		}
		relays = append(relays, relay)
	}
	for i := range promptWorkers {
		stage := "decode"
		if i < prefillWorkers {
			stage = "prefill"
		}
		if _, err := d.newWorker("crew-assist", stage, 100+i, func() []string { return controls }); err != nil {
			return false, err
		}
	}
	if err := d.put(controls, manifest(1, route("survey", "/survey/", "streaming", "crew-assist")), 15*time.Second); err != nil {
		return false, err
	}
	for machine := 1; machine <= promptMachines; machine++ {
		c := d.newClient(machine, 1)
		if !await(15*time.Second, func() bool { return sendPrompt(c, ordinaryPrompt()) == http.StatusOK }) {
			return false, fmt.Errorf("machine %d serves no request", machine)
		}
	}
	d.record.printf("all machines serve; %d MB is the limit of a process", memoryMB)

	var sent, served atomic.Int64
	var clients sync.WaitGroup
	deadline := time.Now().Add(promptTime)
	ended := func() (machines int) {
		for _, relay := range relays {
			if n, _ := relay.state(); n >= promptEnds {
				machines++
			}
		}
		return machines
	}
	for machine := 1; machine <= promptMachines; machine++ {
		c := d.newClient(machine, promptClients)
		for range promptClients {
			clients.Add(1)
			go func() {
				defer clients.Done()
				for time.Now().Before(deadline) && ended() < 2 {
					prompt := ordinaryPrompt()
					if d.trouble {
						prompt = emptyPrompt()
					}
					status := sendPrompt(c, prompt)
					sent.Add(1)
					if status == http.StatusOK {
						served.Add(1)
					} else {
						time.Sleep(100 * time.Millisecond)
					}
				}
			}()
		}
	}
	done := make(chan struct{})
	go func() { clients.Wait(); close(done) }()
	for running := true; running; {
		select {
		case <-done:
			running = false
		case <-time.After(2 * time.Second):
		}
		line := fmt.Sprintf("clients: %d requests sent, %d served; relays:", sent.Load(), served.Load())
		for _, relay := range relays {
			n, peak := relay.state()
			line += fmt.Sprintf(" %s ended %d times, peak %d MB;", relay.name, n, peak)
		}
		d.record.printf("%s", line)
	}
	for machine := 1; machine <= promptMachines; machine++ {
		c := d.newClient(machine, 1)
		answered := await(5*time.Second, func() bool { return sendPrompt(c, ordinaryPrompt()) == http.StatusOK })
		d.record.printf("an ordinary request to machine %d afterwards: answered %v", machine, answered)
	}
	return ended() >= 2, nil
}

// sendPrompt sends a prompt and returns the status of the answer, 0 for none.
func sendPrompt(c *client, header map[string]string) int {
	_, status, _, err := c.send(http.MethodPost, "/survey/one", header, "q", 2*time.Second)
	if err != nil {
		return 0
	}
	return status
}

// ordinaryPrompt is one of the prompts of the sheet: a shared part and one of its own.
func ordinaryPrompt() map[string]string {
	return map[string]string{
		"Model": "m", "Token-Counts": "9190,2", "Prompt-Prefix": fmt.Sprintf("5c1e07a2:6300,%08x:2890", requestNumber.Load()),
	}
}

// emptyPrompt has the same shared part, thousands of parts without tokens, and a short part
// of its own.
func emptyPrompt() map[string]string {
	n := requestNumber.Add(1)
	return map[string]string{
		"Model": "m", "Token-Counts": "6301,2",
		"Prompt-Prefix": fmt.Sprintf("5c1e07a2:6300,%08x:0,%sf%08x:1", n, strings.Repeat("1:0,", emptyParts), n),
	}
}
