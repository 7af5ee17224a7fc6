package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"
)

const (
	coreMachines  = 3
	oldRelay      = 10 // machine of the relay that runs all the time
	newRelay      = 11 // machine of a relay that is started at the end
	firstReplaced = 20 // first machine without a disk that serves control
	replacedBatch = 31 // of these at a time; they and the core are 34 control instances
	batches       = 2
	firstNewCore  = 5 // first machine that takes the place of one of the core

	stableWindow = 3000 * time.Millisecond // stableWindowMs
	configApply  = 2000 * time.Millisecond // configApplyMs
	checkTime    = 10 * time.Second        // for which requests are sent after configApply
)

// runControls replaces machines that serve control: two times 31 machines without a disk,
// and then each machine of the core, one after the other. Then the operator changes the
// manifest. The check is that of the rule CONFIG: a request that is sent later than
// configApplyMs after the confirmation is handled as only the older version allows.
func runControls(d *deployment) (bool, error) {
	core := map[int]*process{}
	var current []string // control addresses of the core
	for machine := 1; machine <= coreMachines; machine++ {
		current = append(current, d.controlAddress(machine))
	}
	d.seeds = current
	for machine := 1; machine <= coreMachines; machine++ {
		p, err := d.start("control", machine, true, true)
		if err != nil {
			return false, err
		}
		core[machine] = p
	}
	relay, err := d.start("relay", oldRelay, true, false)
	if err != nil {
		return false, err
	}
	w, err := d.newWorker("plant-ledger", "", 100, func() []string { return d.currentSeeds() })
	if err != nil {
		return false, err
	}
	if err := d.put(current, manifest(1, route("old", "/old/", "idempotent", "plant-ledger")), 15*time.Second); err != nil {
		return false, err
	}
	c := d.newClient(oldRelay, 2)
	if !await(15*time.Second, func() bool { return sendRead(c, "/old/one") == http.StatusOK }) {
		return false, fmt.Errorf("the relay serves no request")
	}
	if d.trouble {
		for batch := range batches {
			if err := d.replaceBatch(firstReplaced + batch*replacedBatch); err != nil {
				return false, err
			}
		}
	}
	for i := range coreMachines {
		if err := d.replaceCore(core[i+1], i+1, firstNewCore+i); err != nil {
			return false, err
		}
	}
	current = d.currentSeeds()
	if err := d.writeSettings(relay, false); err != nil { // names the new core
		return false, err
	}
	relay.signal(syscall.SIGHUP)
	time.Sleep(stableWindow)
	if _, err := d.start("relay", newRelay, false, false); err != nil {
		return false, err
	}
	fresh := d.newClient(newRelay, 2)
	if !await(15*time.Second, func() bool { return sendRead(fresh, "/old/one") == http.StatusOK }) {
		return false, fmt.Errorf("the new relay serves no request")
	}
	if err := d.put(current, manifest(2, route("new", "/new/", "idempotent", "plant-ledger")), 15*time.Second); err != nil {
		return false, err
	}
	time.Sleep(configApply)
	var oldRuns, newRefused, sent int
	for deadline := time.Now().Add(checkTime); time.Now().Before(deadline); time.Sleep(250 * time.Millisecond) {
		sent++
		before := w.runCount()
		dropped, added := sendRead(c, "/old/one"), sendRead(c, "/new/one")
		if dropped == http.StatusOK && w.runCount() > before {
			oldRuns++
		}
		if added == http.StatusNotFound {
			newRefused++
		}
		d.record.printf("relay on machine %d: a request on the route that version 2 dropped: %d; on the one that it added: %d", oldRelay, dropped, added)
	}
	d.record.printf("relay on machine %d, started at the end: %d and %d", newRelay, sendRead(fresh, "/old/one"), sendRead(fresh, "/new/one"))
	d.record.printf("of %d pairs later than %v after the confirmation: %d ran on the dropped route, %d were refused with 404 on the added one", sent, configApply, oldRuns, newRefused)
	return oldRuns > 0 || newRefused > 0, nil
}

// sendRead sends a request and returns the status of the answer, 0 for none.
func sendRead(c *client, path string) int {
	_, status, _, err := c.send(http.MethodGet, path, nil, "", 2*time.Second)
	if err != nil {
		return 0
	}
	return status
}

// currentSeeds returns the control addresses that the platform names now.
func (d *deployment) currentSeeds() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.seeds
}

// members returns how many members the group of control instances has, as its leader says.
func (d *deployment) members() (all, voters int) {
	for _, address := range d.currentSeeds() {
		status, body, err := call(http.MethodGet, address, "/v1/status", nil, time.Second)
		if err == nil && status == http.StatusOK {
			text := string(body)
			return strings.Count(text, `"voter":`), strings.Count(text, `"voter":true`)
		}
	}
	return 0, 0
}

// replaceBatch starts machines without a disk that serve control, from the given one on,
// and stops them when all have joined.
func (d *deployment) replaceBatch(first int) error {
	var processes []*process
	for i := range replacedBatch {
		p, err := d.start("control", first+i, false, false)
		if err != nil {
			return err
		}
		processes = append(processes, p)
	}
	if !await(25*time.Second, func() bool { all, _ := d.members(); return all == coreMachines+replacedBatch }) {
		all, voters := d.members()
		return fmt.Errorf("%d members with %d voters, want %d", all, voters, coreMachines+replacedBatch)
	}
	time.Sleep(1500 * time.Millisecond) // relays are told of the members within a second
	for _, p := range processes {
		p.remove(syscall.SIGTERM)
	}
	d.record.printf("machines %d to %d served control and are gone again", first, first+replacedBatch-1)
	if !await(40*time.Second, func() bool { all, _ := d.members(); return all == coreMachines }) {
		all, voters := d.members()
		return fmt.Errorf("%d members with %d voters, want %d", all, voters, coreMachines)
	}
	return nil
}

// replaceCore has a new machine with an empty disk take the place of one of the core: the
// new one first, then SIGTERM.
func (d *deployment) replaceCore(old *process, oldMachine, newMachine int) error {
	if _, err := d.start("control", newMachine, false, true); err != nil {
		return err
	}
	if !await(15*time.Second, func() bool { _, voters := d.members(); return voters == coreMachines+1 }) {
		return fmt.Errorf("machine %d has not become a voter", newMachine)
	}
	time.Sleep(1500 * time.Millisecond) // relays are told of the members within a second
	d.mu.Lock()
	var next []string
	for _, address := range d.seeds {
		if address != d.controlAddress(oldMachine) {
			next = append(next, address)
		}
	}
	d.seeds = append(next, d.controlAddress(newMachine))
	d.mu.Unlock()
	old.remove(os.Signal(syscall.SIGTERM))
	if !await(15*time.Second, func() bool { _, voters := d.members(); return voters == coreMachines }) {
		return fmt.Errorf("machine %d has not been removed", oldMachine)
	}
	d.record.printf("core machine %d is replaced by machine %d", oldMachine, newMachine)
	return nil
}
