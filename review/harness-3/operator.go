package main

import (
	"fmt"
	"net/http"
	"time"
)

const host = "crews.example"

// route returns a route of a manifest.
func route(name, prefix, kind, service string) map[string]any {
	return map[string]any{
		"name": name, "host": host, "pathPrefix": prefix, "kind": kind, "timeoutMs": 2000, "targetLatencyMs": 150, "priority": 0,
		"service": service, "maxAttempts": 2, "sticky": kind == "streaming", "resumable": kind == "streaming", "itlTargetMs": 150,
	}
}

// manifest returns a manifest with the services of the small deployments.
func manifest(version int, routes ...map[string]any) map[string]any {
	return map[string]any{
		"version": version,
		"routes":  routes,
		"services": []map[string]any{
			{
				"name": "crew-assist", "healthPath": "/healthz", "maxConns": 250, "protocol": "h1", "tls": false,
				"engine": map[string]any{
					"slots": 32, "kvCapacity": 884000, "kvTokenBytes": 262144, "linkMbps": 17000000.0, "moves": true, "backups": true,
					"stride": 59, "most": 12, "kvTtlS": 5.0, "roleSwitchS": 3.0, "pinMs": 4000.0, "holdMs": 2000.0, "models": []map[string]any{{"name": "m"}},
				},
			},
			{"name": "plant-ledger", "healthPath": "/healthz", "maxConns": 120, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// put sends a manifest until it is acknowledged, to any of the addresses.
func (d *deployment) put(addresses []string, m map[string]any, limit time.Duration) error {
	var last string
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		for _, address := range addresses {
			status, body, err := call(http.MethodPut, address, "/-/config", m, time.Second)
			if err == nil && status == http.StatusOK {
				d.record.printf("operator: version %v acknowledged by %s", m["version"], address)
				return nil
			}
			last = fmt.Sprintf("%s: status %d %.100s %v", address, status, body, err)
		}
	}
	return fmt.Errorf("version %v was not acknowledged within %v: %s", m["version"], limit, last)
}
