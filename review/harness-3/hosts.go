package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	hostMachines = 3
	hostRequests = 20 // for each spelling, at each machine
)

// runHosts has an operator send a manifest in which two routes have the same prefix, and
// hosts that differ in the case of a letter only, and clients send requests for both. Host
// names don't depend on case (RFC 9110, section 4.2.3). If the routes share their host, the
// manifest is invalid, and the rule CONFIG forbids to acknowledge it. If they don't, each
// request may only run at the service of the route with its host, by the rule ROUTE.
func runHosts(d *deployment) (bool, error) {
	var controls []string
	for machine := 1; machine <= hostMachines; machine++ {
		controls = append(controls, d.controlAddress(machine))
	}
	d.seeds = controls
	for machine := 1; machine <= hostMachines; machine++ {
		if _, err := d.start("control", machine, true, true); err != nil {
			return false, err
		}
		if _, err := d.start("relay", machine, true, false); err != nil {
			return false, err
		}
	}
	for i, service := range []string{"plant-ledger", "seed-ledger"} {
		if _, err := d.newWorker(service, "", 100+i, func() []string { return controls }); err != nil {
			return false, err
		}
	}
	first, second := route("plants", "/orders/", "idempotent", "plant-ledger"), route("seeds", "/orders/", "idempotent", "seed-ledger")
	hosts := map[string]string{host: "plant-ledger", "Crews.example": "seed-ledger"}
	second["host"] = "Crews.example"
	if !d.trouble {
		hosts = map[string]string{host: "plant-ledger", "seeds.example": "seed-ledger"}
		second["host"] = "seeds.example"
	}
	m := manifest(1, first, second)
	m["services"] = append(m["services"].([]map[string]any), map[string]any{"name": "seed-ledger", "healthPath": "/healthz", "maxConns": 120, "protocol": "h1", "tls": false})
	status, body, err := call(http.MethodPut, controls[0], "/-/config", m, 4*time.Second)
	for deadline := time.Now().Add(10 * time.Second); (err != nil || status >= 500) && time.Now().Before(deadline); {
		time.Sleep(200 * time.Millisecond)
		status, body, err = call(http.MethodPut, controls[0], "/-/config", m, 4*time.Second)
	}
	d.record.printf("operator: routes for the hosts %q and %q with the same prefix: status %d %.200s", first["host"], second["host"], status, body)
	switch {
	case err != nil:
		return false, err
	case status >= 400 && status < 500:
		return false, nil // refused as invalid
	case status != http.StatusOK:
		return false, fmt.Errorf("status %d", status)
	}
	time.Sleep(4 * time.Second) // longer than configApplyMs and stableWindowMs
	wrong := 0
	for machine := 1; machine <= hostMachines; machine++ {
		c := d.newClient(machine, 1)
		for name, service := range hosts {
			ran := map[string]int{}
			for range hostRequests {
				_, status, text, err := c.sendTo(name, http.MethodGet, "/orders/one", nil, "", 2*time.Second)
				if err != nil || status != http.StatusOK {
					ran[fmt.Sprintf("status %d", status)]++
					continue
				}
				by, _, _ := strings.Cut(text, " ")
				ran[by]++
				if by != service {
					wrong++
				}
			}
			d.record.printf("machine %d: %d requests for the host %q, whose route names the service %s, were run by: %v", machine, hostRequests, name, service, ran)
		}
	}
	d.record.printf("%d requests ran at the service of the other route", wrong)
	return wrong > 0, nil
}
