package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	numberMachines = 3
	readBackTime   = 15 * time.Second // for which the operator reads the manifest back; longer than recoveryS
)

// runNumbers has an operator whose versions begin with 0 send the first manifest, and read
// it back. The check is that of the rule CONFIG: the manifest that was acknowledged doesn't
// come, or isn't what was sent under its number. A request on its route is sent to each
// machine besides.
func runNumbers(d *deployment) (bool, error) {
	var controls []string
	for machine := 1; machine <= numberMachines; machine++ {
		controls = append(controls, d.controlAddress(machine))
	}
	d.seeds = controls
	for machine := 1; machine <= numberMachines; machine++ {
		if _, err := d.start("control", machine, true, true); err != nil {
			return false, err
		}
		if _, err := d.start("relay", machine, true, false); err != nil {
			return false, err
		}
	}
	if _, err := d.newWorker("plant-ledger", "", 100, func() []string { return controls }); err != nil {
		return false, err
	}
	version := 1
	if d.trouble {
		version = 0
	}
	if err := d.put(controls, manifest(version, route("reads", "/reads/", "idempotent", "plant-ledger")), 15*time.Second); err != nil {
		return false, err
	}
	readBack, served, asked := 0, 0, 0
	for deadline := time.Now().Add(readBackTime); time.Now().Before(deadline); time.Sleep(500 * time.Millisecond) {
		asked++
		for i, address := range controls {
			status, body, err := call(http.MethodGet, address, "/-/config", nil, time.Second)
			if err == nil && status == http.StatusOK {
				readBack++
			}
			d.record.printf("operator: the manifest read back at machine %d: status %d, %d bytes %.80q", i+1, status, len(body), body)
			if sendRead(d.newClient(i+1, 1), "/reads/one") == http.StatusOK {
				served++
			}
		}
	}
	d.record.printf("of %d times at each of %d machines, the manifest came back %d times; of as many requests on its route, %d were served", asked, numberMachines, readBack, served)
	if readBack > 0 && readBack < asked {
		return false, fmt.Errorf("the manifest came back now and then only")
	}
	return readBack == 0, nil
}
