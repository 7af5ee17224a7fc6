package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	heartbeat   = 1200 * time.Millisecond // heartbeatMs of the settings
	stableTime  = 3 * time.Second         // stableWindowMs
	leadTime    = 10 * time.Second        // traffic starts 10 s after the machines do
	zoneCount   = 3
	startupTime = 25 * time.Second // until the first manifest must be acknowledged
)

type (
	// trial is one run of a case.
	trial struct {
		root     string
		dir      string // temporary, for settings, logs and data
		trouble  bool
		record   *record
		machines []*machine
		workers  []*worker
		started  time.Time
		workerIP string // without the last number
		nextPort int
	}

	// machine is an edge machine that runs a relay and a control process, each as a
	// process of its own.
	machine struct {
		name     string
		ip       string
		front    string // address for clients
		ready    string // address of the readiness check
		operator string // address of listen.control
		relay    *exec.Cmd
		control  *exec.Cmd
	}

	// record writes what was seen, with the time since the start.
	record struct {
		mu    sync.Mutex
		file  *os.File
		start time.Time
	}
)

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func newTrial(root, recordFile string, trouble bool) (*trial, error) {
	file, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	t := &trial{root: root, dir: dir, trouble: trouble, started: time.Now(), record: &record{file: file, start: time.Now()}}
	t.record.printf("disruption: %v", trouble)
	return t, nil
}

// close ends every process and stand-in that the trial has started.
func (t *trial) close() {
	for _, w := range t.workers {
		w.end()
	}
	for _, m := range t.machines {
		for _, process := range []*exec.Cmd{m.relay, m.control} {
			if process != nil && process.Process != nil {
				_ = process.Process.Kill()
				_ = process.Wait()
			}
		}
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		for _, m := range t.machines {
			for _, role := range []string{"relay", "control"} {
				text, _ := os.ReadFile(filepath.Join(t.dir, m.name+"-"+role+".log"))
				_ = os.WriteFile(filepath.Join(keep, m.name+"-"+role+".log"), text, 0o644)
			}
		}
	}
	_ = os.RemoveAll(t.dir)
	_ = t.record.file.Close()
}

// start starts the machines, as at the first start of a deployment: with empty disks
// and the same three seeds.
func (t *trial) start() error {
	program := filepath.Join(t.root, "target", "endivedeck")
	if _, err := os.Stat(program); err != nil {
		return fmt.Errorf("the program isn't built: %w", err)
	}
	network, ports, err := freeNetwork()
	if err != nil {
		return err
	}
	t.workerIP = network + ".10"
	t.nextPort = ports + 10
	var seeds []string
	for i := range zoneCount {
		ip := fmt.Sprintf("%s.%d", network, i+1)
		m := &machine{
			name:     fmt.Sprintf("edge-zone-%c-1", 'a'+i),
			ip:       ip,
			front:    fmt.Sprintf("%s:%d", ip, ports),
			ready:    fmt.Sprintf("%s:%d", ip, ports+1),
			operator: fmt.Sprintf("%s:%d", ip, ports+2),
		}
		t.machines = append(t.machines, m)
		seeds = append(seeds, m.operator)
	}
	for i, m := range t.machines {
		common := fmt.Sprintf("nodeId=%s\nmachineClass=edge\nserves=edge,control_plane\nip=%s\nzone=zone-%c\nregion=region-1\n", m.name, m.ip, 'a'+i) +
			"zones.zone-a=region-1\nzones.zone-b=region-1\nzones.zone-c=region-1\n" +
			fmt.Sprintf("listen.front=%s\nlisten.ready=%s\nlisten.control=%s\n", m.front, m.ready, m.operator) +
			fmt.Sprintf("internalPorts=%d,%d\nseeds=%s\n", ports+3, ports+8, strings.Join(seeds, ",")) +
			"bootstrap=true\nlossCounts=true\nlimits.cpuShare=0.72\nlimits.cores=1\nlimits.memoryMb=284\nlimits.maxFds=4100\nlimits.linkMbps=1000.0\nlimits.diskMb=64\n" +
			"discovery=registry\nentry=vip\nheartbeatMs=1200\ninvariants=base,drain,config,cost,retry,recover,split,stream,engine\n" +
			"faultTolerance.machines=1\nfaultTolerance.zones=0\nfaultTolerance.regions=0\n" +
			"bounds.seedStalenessS=3\nbounds.addrReuseS=2\nbounds.stableWindowMs=3000\nbounds.ackTimeoutMs=4000\nbounds.catchUpS=4\nbounds.drainMs=2000\nbounds.graceS=8\n" +
			"bounds.lossSlackMs=200\nbounds.configApplyMs=2000\nbounds.rollbackSlackMs=250\nbounds.maxSkewMs=5000\nbounds.retryBudgetRatio=0.2\nbounds.budgetWindowS=10\n" +
			"bounds.retryBudgetSlack=58\nbounds.recoveryS=12\nbounds.transitMs=120\nbounds.retryAfterS=3\nbounds.requireFencing=false\nbounds.leaseMs=3000\nbounds.thawSlackMs=300\nconfigMode=highest\n"
		if m.control, err = t.startProcess(program, m.name, "control", common+"role=control\ndataDir="+filepath.Join(t.dir, m.name, "control")+"\n"); err != nil {
			return err
		}
		if m.relay, err = t.startProcess(program, m.name, "relay", common+"role=relay\n"); err != nil {
			return err
		}
		t.record.printf("machine %s started: relay (process %d) at %s, control (process %d) at %s", m.name, m.relay.Process.Pid, m.front, m.control.Process.Pid, m.operator)
	}
	return nil
}

func (t *trial) startProcess(program, machine, role, settings string) (*exec.Cmd, error) {
	file := filepath.Join(t.dir, machine+"-"+role+".conf")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	if err := os.MkdirAll(filepath.Join(t.dir, machine, role), 0o700); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(t.dir, machine+"-"+role+".log"))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	command := exec.Command(program, "machine")
	command.Dir = t.root
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "ENDIVEDECK_SETTINGS=" + file}
	command.Stdout = log
	command.Stderr = log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return command, command.Start()
}

// freeNetwork returns the first three numbers of a loopback network and a port from
// which on the ports that the machines use are free.
func freeNetwork() (network string, ports int, err error) {
	for range 50 {
		network = fmt.Sprintf("127.%d.%d", 64+rand.IntN(128), 1+rand.IntN(250))
		ports = 20_000 + 20*rand.IntN(600)
		if free(network, ports) {
			return network, ports, nil
		}
	}
	return "", 0, errors.New("no free ports found")
}

func free(network string, ports int) bool {
	for i := range zoneCount {
		ip := fmt.Sprintf("%s.%d", network, i+1)
		for _, port := range []int{ports, ports + 1, ports + 2, ports + 3, ports + 8, 9464, 9465} {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

// putManifest sends a manifest to the machines in turn, as an operator does, until one
// acknowledges it.
func (t *trial) putManifest(ctx context.Context, manifest map[string]any) error {
	body, err := json.Marshal(manifest)
	if err != nil {
		return err
	}
	client := &http.Client{Timeout: time.Second}
	deadline := time.Now().Add(startupTime)
	for i := 0; time.Now().Before(deadline) && ctx.Err() == nil; i++ {
		m := t.machines[i%len(t.machines)]
		request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+m.operator+"/-/config", bytes.NewReader(body))
		if err != nil {
			return err
		}
		response, err := client.Do(request)
		if err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				t.record.printf("manifest version %v acknowledged by %s", manifest["version"], m.name)
				return nil
			}
		}
		sleep(ctx, 200*time.Millisecond)
	}
	return errors.New("the first manifest was not acknowledged")
}

// operators returns the addresses that serve control_plane.
func (t *trial) operators() []string {
	var list []string
	for _, m := range t.machines {
		list = append(list, m.operator)
	}
	return list
}

// awaitLead waits until traffic may start.
func (t *trial) awaitLead(ctx context.Context) { sleep(ctx, time.Until(t.started.Add(leadTime))) }

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// route returns a route of a manifest.
func route(name, prefix, kind, service string, timeout time.Duration, attempts int, resumable bool) map[string]any {
	r := map[string]any{
		"name": name, "host": testHost, "pathPrefix": prefix, "kind": kind, "timeoutMs": timeout.Milliseconds(),
		"targetLatencyMs": 250, "priority": 1, "service": service, "maxAttempts": attempts,
	}
	if kind == "streaming" {
		r["sticky"] = true
		r["resumable"] = resumable
		r["itlTargetMs"] = 150
	}
	return r
}

// manifest returns a manifest with the limits of the pages' example.
func manifest(version int, routes, services []map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// engineService returns a service of model workers with the properties of the pages'
// example.
func engineService(name string, slots int) map[string]any {
	return map[string]any{
		"name": name, "healthPath": "/healthz", "maxConns": 310, "protocol": "h1", "tls": false,
		"engine": map[string]any{
			"slots": slots, "kvCapacity": 317000, "kvTokenBytes": 262144, "linkMbps": 8100000.0, "moves": true, "backups": true,
			"stride": 59, "most": 12, "kvTtlS": 5.0, "roleSwitchS": 3.0, "pinMs": 4000.0, "holdMs": 2000.0,
			"models": []map[string]any{{"name": "m"}},
		},
	}
}

// appService returns a service of workers that are no engines.
func appService(name string) map[string]any {
	return map[string]any{"name": name, "healthPath": "/healthz", "maxConns": 110, "protocol": "h1", "tls": false}
}
