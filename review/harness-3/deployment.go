package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of all machines of a deployment, as in DEPLOY.md.
const (
	frontPort   = 8144
	readyPort   = 8140
	controlPort = 8146
	firstPort   = 7660
	lastPort    = 7675
	workerPort  = 8587
)

const (
	memoryMB     = 284 // of a process
	restartDelay = 300 * time.Millisecond
	samplePeriod = 50 * time.Millisecond
	heartbeat    = 1200 * time.Millisecond
)

type (
	// deployment is a set of machines with loopback addresses. It plays the platform.
	deployment struct {
		program string
		folder  string // temporary
		prefix  string // of the addresses
		record  *record
		trouble bool

		mu        sync.Mutex
		processes []*process
		workers   []*worker
		seeds     []string // control addresses for the settings
	}

	// process is one process of the system, which the platform starts again when it ends.
	process struct {
		deployment *deployment
		name       string
		role       string
		ip         string
		settings   string // file
		bootstrap  bool

		mu      sync.Mutex
		running *os.Process
		stopped bool  // by the platform for good
		ends    int   // by itself, which includes those for its memory
		peakMB  int64 // resident memory
	}
)

// newDeployment finds addresses that are free.
func newDeployment(program string, r *record, trouble bool) (*deployment, error) {
	program, err := filepath.Abs(program)
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	d := &deployment{program: program, folder: folder, record: r, trouble: trouble}
	for range 50 {
		d.prefix = fmt.Sprintf("127.%d.%d.", 80+rand.IntN(150), rand.IntN(250))
		if d.isFree() {
			r.printf("addresses %s*, trouble %v", d.prefix, trouble)
			return d, nil
		}
	}
	return nil, fmt.Errorf("no free addresses found")
}

// isFree reports whether the ports of a machine of the deployment are free.
func (d *deployment) isFree() bool {
	for _, port := range []int{frontPort, readyPort, controlPort, 9464, 9465, workerPort} {
		l, err := net.Listen("tcp", net.JoinHostPort(d.address(1), strconv.Itoa(port)))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// address returns the address of a machine.
func (d *deployment) address(machine int) string { return d.prefix + strconv.Itoa(machine) }

// controlAddress returns the address at which a machine serves operators and workers.
func (d *deployment) controlAddress(machine int) string {
	return net.JoinHostPort(d.address(machine), strconv.Itoa(controlPort))
}

// start starts a process of a role on a machine. With a disk, it has a data folder.
func (d *deployment) start(role string, machine int, bootstrap, disk bool) (*process, error) {
	p := &process{
		deployment: d, role: role, ip: d.address(machine), bootstrap: bootstrap,
		name: fmt.Sprintf("%s-%d", role, machine), settings: filepath.Join(d.folder, fmt.Sprintf("%s-%d.conf", role, machine)),
	}
	if err := d.writeSettings(p, disk); err != nil {
		return nil, err
	}
	if err := p.launch(); err != nil {
		return nil, err
	}
	d.mu.Lock()
	d.processes = append(d.processes, p)
	d.mu.Unlock()
	return p, nil
}

// writeSettings writes the settings file of a process.
func (d *deployment) writeSettings(p *process, disk bool) error {
	d.mu.Lock()
	seeds := strings.Join(d.seeds, ",")
	d.mu.Unlock()
	lines := []string{
		"nodeId=edge-" + p.ip, "role=" + p.role, "machineClass=edge", "serves=edge,control_plane", "ip=" + p.ip,
		"zone=zone-a", "region=region-a", "zones.zone-a=region-a",
		fmt.Sprintf("listen.front=%s:%d", p.ip, frontPort), fmt.Sprintf("listen.ready=%s:%d", p.ip, readyPort),
		fmt.Sprintf("listen.control=%s:%d", p.ip, controlPort), fmt.Sprintf("internalPorts=%d,%d", firstPort, lastPort),
		"seeds=" + seeds, "bootstrap=" + strconv.FormatBool(p.bootstrap), "lossCounts=" + strconv.FormatBool(disk),
		"limits.cpuShare=0.72", "limits.cores=1", "limits.memoryMb=" + strconv.Itoa(memoryMB), "limits.maxFds=4100", "limits.linkMbps=1000.0",
		"discovery=registry", "entry=vip", fmt.Sprintf("heartbeatMs=%d", heartbeat.Milliseconds()),
		"invariants=base,drain,config,cost,retry,recover,split,stream,engine",
		"faultTolerance.machines=1", "faultTolerance.zones=0", "faultTolerance.regions=0",
		"bounds.seedStalenessS=3", "bounds.addrReuseS=2", "bounds.stableWindowMs=3000", "bounds.ackTimeoutMs=4000", "bounds.catchUpS=4",
		"bounds.drainMs=2000", "bounds.graceS=8", "bounds.lossSlackMs=200", "bounds.configApplyMs=2000", "bounds.rollbackSlackMs=250",
		"bounds.maxSkewMs=5000", "bounds.retryBudgetRatio=0.2", "bounds.budgetWindowS=10", "bounds.retryBudgetSlack=60",
		"bounds.recoveryS=12", "bounds.transitMs=120", "bounds.retryAfterS=3", "bounds.requireFencing=false", "bounds.leaseMs=3000",
		"bounds.thawSlackMs=300", "configMode=highest",
	}
	if disk {
		data := filepath.Join(d.folder, "data-"+p.name)
		if err := os.MkdirAll(data, 0o700); err != nil {
			return err
		}
		lines = append(lines, "limits.diskMb=64", "dataDir="+data)
	}
	next := p.settings + ".next"
	if err := os.WriteFile(next, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		return err
	}
	return os.Rename(next, p.settings)
}

// launch starts the process and watches it.
func (p *process) launch() error {
	d := p.deployment
	log, err := os.OpenFile(filepath.Join(d.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	running, err := os.StartProcess(d.program, []string{d.program, "machine"}, &os.ProcAttr{
		Env:   []string{"PATH=" + os.Getenv("PATH"), "HOME=" + d.folder, "LANG=C", "ENDIVEDECK_SETTINGS=" + p.settings},
		Files: []*os.File{nil, log, log},
		Sys:   &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL},
	})
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.running = running
	p.mu.Unlock()
	go p.watch(running)
	return nil
}

// watch samples the memory of the process until it ends, and kills it if it is over its
// limit. A process that ends by itself is started again.
func (p *process) watch(running *os.Process) {
	ended := make(chan *os.ProcessState, 1)
	go func() {
		state, _ := running.Wait()
		ended <- state
	}()
	over := int64(0)
	ticker := time.NewTicker(samplePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			mb := residentMB(running.Pid)
			p.mu.Lock()
			p.peakMB = max(p.peakMB, mb)
			p.mu.Unlock()
			if mb > memoryMB && over == 0 {
				over = mb
				_ = running.Kill()
			}
		case state := <-ended:
			p.restart(state, over)
			return
		}
	}
}

// restart starts the process again unless the platform has stopped it for good.
func (p *process) restart(state *os.ProcessState, over int64) {
	p.mu.Lock()
	stopped := p.stopped
	if !stopped {
		p.ends++
	}
	p.mu.Unlock()
	if stopped {
		return
	}
	reason := fmt.Sprint(state)
	if over > 0 {
		reason = fmt.Sprintf("killed: it used %d MB, its limit is %d MB", over, memoryMB)
	}
	p.deployment.record.printf("process %s ended: %s", p.name, reason)
	time.Sleep(restartDelay)
	p.mu.Lock()
	stopped = p.stopped
	p.mu.Unlock()
	if stopped {
		return
	}
	p.endBootstrap()
	if err := p.launch(); err != nil {
		p.deployment.record.printf("process %s not started again: %v", p.name, err)
	}
}

// endBootstrap changes the settings: bootstrap is true at the first start only.
func (p *process) endBootstrap() {
	text, err := os.ReadFile(p.settings)
	if err == nil {
		text = bytes.Replace(text, []byte("bootstrap=true"), []byte("bootstrap=false"), 1)
		err = os.WriteFile(p.settings, text, 0o600)
	}
	if err != nil {
		p.deployment.record.printf("settings of %s not changed: %v", p.name, err)
	}
}

// residentMB returns the resident memory of a process.
func residentMB(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize()) >> 20
}

// signal sends a signal to the process.
func (p *process) signal(s os.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running != nil {
		_ = p.running.Signal(s)
	}
}

func (p *process) state() (ends int, peakMB int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ends, p.peakMB
}

// stop ends all processes and removes the temporary folder.
func (d *deployment) stop() {
	d.mu.Lock()
	processes, workers := d.processes, d.workers
	d.mu.Unlock()
	for _, p := range processes {
		p.mu.Lock()
		p.stopped = true
		if p.running != nil {
			_ = p.running.Kill()
		}
		p.mu.Unlock()
	}
	for _, w := range workers {
		w.close()
	}
	time.Sleep(200 * time.Millisecond)
	if os.Getenv("REVIEW_KEEP") == "" {
		_ = os.RemoveAll(d.folder)
	}
}
