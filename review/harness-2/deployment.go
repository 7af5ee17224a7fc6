package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	program     = "target/endivedeck"
	heartbeat   = 1200 * time.Millisecond
	routeHost   = "ficu95.example"
	firstWorker = 100 // last byte of the address of the first worker
	frontPort   = 8144
	readyPort   = 8140
	controlPort = 8146
	workerPort  = 8080
	memoryMB    = 284 // of a machine
)

// keep makes a deployment keep its folder, with the logs of its processes.
var keep = os.Getenv("KEEP") != ""

type (
	// deployment is a small deployment: control instances and relays, each a process of the
	// project on a loopback address of its own, or sharing one as on the users' machines.
	deployment struct {
		dir      string // of settings, data and logs
		subnet   string // the first three bytes of all addresses
		relays   int
		controls int
		slack    float64 // of the retry budget
		record   *record

		mu        sync.Mutex
		processes map[string]*process // by name
		version   uint64              // of the latest manifest
		nodes     []int               // machines that serve control, as callers know them
		diskless  map[int]bool        // machines without a disk
	}

	// process is one process of the project.
	process struct {
		name     string
		settings string
		machine  int
		cmd      *exec.Cmd
		ended    chan struct{} // closed when the current run has ended
		expected bool          // its end was ordered by the case
		ends     int           // runs that ended by themselves
	}

	// record is the file of what was sent, answered and run.
	record struct {
		mu    sync.Mutex
		file  *os.File
		start time.Time
	}
)

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, start: time.Now()}, nil
}

// add writes a line with the time since the start of the case.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// newDeployment picks a loopback subnet of which the needed ports are free.
func newDeployment(rec *record, controls, relays int) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	d := &deployment{dir: dir, relays: relays, controls: controls, slack: 60, record: rec, processes: map[string]*process{}, diskless: map[int]bool{}}
	for i := 1; i <= controls; i++ {
		d.nodes = append(d.nodes, i)
	}
	for range 50 {
		d.subnet = fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), 1+rand.IntN(250))
		listener, err := net.Listen("tcp", d.address(1, frontPort))
		if err == nil {
			_ = listener.Close()
			return d, nil
		}
	}
	return nil, err
}

func (d *deployment) address(machine, port int) string {
	return fmt.Sprintf("%s.%d:%d", d.subnet, machine, port)
}

func (d *deployment) front(relay int) string { return d.address(relay, frontPort) }

func (d *deployment) control(i int) string { return d.address(i, controlPort) }

// controlNodes returns the machines that serve control, as callers know them.
func (d *deployment) controlNodes() []int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.nodes)
}

// setControlNodes changes what callers know.
func (d *deployment) setControlNodes(nodes ...int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.nodes = nodes
}

// writeSettings writes the settings file of a process and returns its path.
func (d *deployment) writeSettings(role string, machine int, first bool) (string, error) {
	path := filepath.Join(d.dir, processName(role, machine)+".conf")
	return path, os.WriteFile(path, []byte(d.settingsFile(role, machine, first)), 0o600)
}

// settingsFile returns the settings file of a process, as the users' pages show it.
func (d *deployment) settingsFile(role string, machine int, first bool) string {
	var seeds []string
	for _, node := range d.controlNodes()[:3] {
		seeds = append(seeds, d.control(node))
	}
	zone := fmt.Sprintf("zone-%d", (machine-1)%3+1)
	lines := []string{
		fmt.Sprintf("nodeId=edge-%s-%d", zone, machine),
		"role=" + role,
		"machineClass=edge",
		fmt.Sprintf("ip=%s.%d", d.subnet, machine),
		"zone=" + zone,
		"region=south",
		"zones.zone-1=south", "zones.zone-2=south", "zones.zone-3=south",
		"internalPorts=7660,7675",
		"seeds=" + strings.Join(seeds, ","),
		fmt.Sprintf("bootstrap=%v", first),
		fmt.Sprintf("lossCounts=%v", !d.diskless[machine]),
		"limits.cpuShare=0.72", "limits.cores=1", fmt.Sprintf("limits.memoryMb=%d", memoryMB), "limits.maxFds=4100",
		"limits.linkMbps=1000.0", "limits.diskMb=64",
		"discovery=registry", "entry=vip", "heartbeatMs=1200",
		"invariants=base,drain,config,cost,retry,recover,split,stream,engine",
		"faultTolerance.machines=1", "faultTolerance.zones=0", "faultTolerance.regions=0",
		"bounds.seedStalenessS=3", "bounds.addrReuseS=2", "bounds.stableWindowMs=3000", "bounds.ackTimeoutMs=4000",
		"bounds.catchUpS=4", "bounds.drainMs=2000", "bounds.graceS=8", "bounds.lossSlackMs=200", "bounds.configApplyMs=2000",
		"bounds.rollbackSlackMs=250", "bounds.maxSkewMs=5000", "bounds.retryBudgetRatio=0.2", "bounds.budgetWindowS=10",
		fmt.Sprintf("bounds.retryBudgetSlack=%v", d.slack), "bounds.recoveryS=12", "bounds.transitMs=120", "bounds.retryAfterS=3",
		"bounds.requireFencing=false", "bounds.leaseMs=3000", "bounds.thawSlackMs=300", "configMode=highest",
	}
	if role == "relay" {
		lines = append(lines, "serves=edge", "listen.front="+d.front(machine), "listen.ready="+d.address(machine, readyPort))
	} else {
		lines = append(lines, "serves=control_plane", "listen.control="+d.control(machine))
		if !d.diskless[machine] {
			lines = append(lines, "dataDir="+filepath.Join(d.dir, "data-"+strconv.Itoa(machine)))
		}
	}
	return strings.Join(lines, "\n") + "\n"
}

// start starts all processes.
func (d *deployment) start() error {
	for i := 1; i <= d.controls; i++ {
		if err := d.startProcess("control", i, true); err != nil {
			return err
		}
	}
	for i := 1; i <= d.relays; i++ {
		if err := d.startProcess("relay", i, true); err != nil {
			return err
		}
	}
	return nil
}

func processName(role string, machine int) string { return fmt.Sprintf("%s-%d", role, machine) }

// startProcess starts a process, which must not run.
func (d *deployment) startProcess(role string, machine int, first bool) error {
	name := processName(role, machine)
	settings, err := d.writeSettings(role, machine, first)
	if err != nil {
		return err
	}
	output := os.DevNull
	if keep {
		output = filepath.Join(d.dir, name+".log")
	}
	log, err := os.OpenFile(output, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(program, "machine")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "ENDIVEDECK_SETTINGS=" + settings}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := cmd.Start(); err != nil {
		return err
	}
	d.mu.Lock()
	p := d.processes[name]
	if p == nil {
		p = &process{name: name, machine: machine}
		d.processes[name] = p
	}
	p.cmd, p.ended, p.expected = cmd, make(chan struct{}), false
	ended := p.ended
	d.mu.Unlock()
	d.record.add("%s started, process %d", name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		d.mu.Lock()
		if !p.expected {
			p.ends++
		}
		d.mu.Unlock()
		d.record.add("%s ended: %v", name, err)
		close(ended)
	}()
	return nil
}

func (d *deployment) process(role string, machine int) *process {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.processes[processName(role, machine)]
}

// signal sends a signal to a process.
func (d *deployment) signal(role string, machine int, s syscall.Signal) {
	p := d.process(role, machine)
	d.mu.Lock()
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.expected = true
	}
	cmd := p.cmd
	d.mu.Unlock()
	d.record.add("%s gets signal %v", p.name, s)
	_ = cmd.Process.Signal(s)
}

// kill kills a process and waits for its end.
func (d *deployment) kill(role string, machine int) {
	p := d.process(role, machine)
	d.signal(role, machine, syscall.SIGKILL)
	<-p.ended
}

// running reports whether a process runs.
func (d *deployment) running(role string, machine int) bool {
	p := d.process(role, machine)
	d.mu.Lock()
	ended := p.ended
	d.mu.Unlock()
	select {
	case <-ended:
		return false
	default:
		return true
	}
}

// stop ends all processes and removes the folder.
func (d *deployment) stop() {
	d.mu.Lock()
	list := make([]*process, 0, len(d.processes))
	for _, p := range d.processes {
		p.expected = true
		list = append(list, p)
	}
	d.mu.Unlock()
	for _, p := range list {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		<-p.ended
	}
	if keep {
		fmt.Println("kept", d.dir)
		return
	}
	_ = os.RemoveAll(d.dir)
}

// residentMB returns the memory in use by a process, in MB.
func residentMB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(value)[0])
			return kb / 1024
		}
	}
	return 0
}

// put sends a manifest to the control instances in turn until one acknowledges it.
func (d *deployment) put(ctx context.Context, m map[string]any) error {
	d.version++
	m["version"] = d.version
	body, err := json.Marshal(m)
	if err != nil {
		return err
	}
	client := &http.Client{Timeout: time.Second}
	for i := 0; ctx.Err() == nil; i++ {
		nodes := d.controlNodes()
		to := d.control(nodes[i%len(nodes)])
		request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+to+"/-/config", strings.NewReader(string(body)))
		if err != nil {
			return err
		}
		request.Header.Set("Content-Type", "application/json")
		response, err := client.Do(request)
		if err == nil {
			answer, _ := io.ReadAll(response.Body)
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				d.record.add("manifest %d confirmed by %s", d.version, to)
				return nil
			}
			if response.StatusCode < 500 {
				return fmt.Errorf("manifest refused: %d %s", response.StatusCode, answer)
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	return ctx.Err()
}

// awaitReady waits until all relays say that they are ready.
func (d *deployment) awaitReady(ctx context.Context) error {
	for relay := 1; relay <= d.relays; relay++ {
		for {
			response, err := http.Get("http://" + d.address(relay, readyPort) + "/-/readiness")
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if ctx.Err() != nil {
				return fmt.Errorf("relay %d is not ready", relay)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}
