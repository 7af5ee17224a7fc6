package entry

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"endivedeck.example/contract"
	"endivedeck.example/control"
	"endivedeck.example/fault"
	"endivedeck.example/interval"
	"endivedeck.example/kernel"
	"endivedeck.example/message"
	"endivedeck.example/pool"
	"endivedeck.example/settings"
	"endivedeck.example/sidecar"
	"endivedeck.example/wal"
	"endivedeck.example/wire/memory"
)

const (
	soakFaultTime      = 40 * time.Second // during which faults are injected
	soakRecoveryTime   = 20 * time.Second // for orders already begun to be resolved
	soakRequestTimeout = 50 * time.Second
	thinkTime          = 100 * time.Millisecond
	resendInterval     = 200 * time.Millisecond
	maxUnknownReplies  = 6 // that an order may have run
	soakControlCount   = 3
	soakEntryCount     = 2
	soakEngineCount    = 3
	soakServiceCount   = 2
	soakQueryClients   = 6
	soakOrderClients   = 3
)

var (
	soakSeeds     = flag.Uint64("soaks", 3, "number of seeds that TestSoak runs")
	firstSoakSeed = flag.Uint64("firstsoak", 0, "first seed that TestSoak runs")
)

type (
	// soakOptions disables safeguards, to check that the soak test detects it.
	soakOptions struct {
		noFencing       bool // an order whose call failed is not fenced off at its sidecar
		oneAttempt      bool // a query is not continued on another backend server
		misreportNotRun bool // a service call with unknown outcome is reported as not run
	}

	// soakRun is a set of control, sidecar and entry processes on an in-memory
	// network, with fake engines and a fake order service, under a schedule of
	// faults that follows from a seed.
	soakRun struct {
		t        *testing.T
		options  soakOptions
		random   *rand.Rand // for the fault schedule only
		network  *memory.Network
		names    []string
		entries  []*soakEntryProcess
		sidecars map[string]*soakSidecarProcess
		controls map[string]*soakControlProcess
		service  *soakService
		engines  map[string]*soakEngine
		running  sync.WaitGroup
		stop     chan struct{}
		result   soakResult
	}

	// soakResult counts the outcomes of queries and orders.
	soakResult struct {
		mu               sync.Mutex
		completed        int // queries
		mixedUp          int // queries with a wrong answer, orders reported as done but not executed once
		truncated        int // queries that failed after they may have run, and sidecars that did not stop
		rejected         int // queries that failed without running
		done             int // orders
		unknown          int // orders without a known outcome
		falseNotRun      int // orders reported as not run, but executed
		duplicated       int // orders executed more than once
		brokenCalls      int // calls of the order service that failed with an unknown outcome
		violationDetails []string
	}

	soakEntryProcess struct {
		mu    sync.Mutex
		entry *Entry // nil until it has started
	}

	soakSidecarProcess struct {
		name       string
		isService  bool
		sidecar    *sidecar.Sidecar
		restarting bool // set by the fault schedule, reset by soakRestart
	}

	soakControlProcess struct {
		control    *control.Control
		disk       *wal.MemoryDisk
		restarting bool
	}
)

// TestSoak runs the whole system under load while connections go silent, network
// partitions come and go, engines and calls of the order service fail, and
// control and sidecar processes are restarted as planned. No answer may be
// truncated, duplicated or mixed with another; no order may be executed twice or
// reported as not run although it was executed; and no more orders may have an
// unknown outcome than the order service itself failed.
func TestSoak(t *testing.T) {
	for seed := *firstSoakSeed; seed < *firstSoakSeed+*soakSeeds; seed++ {
		s := runSoak(t, seed, soakOptions{})
		t.Logf("seed %d: %s", seed, s)
		if got := s.violations(); got != "" {
			t.Errorf("seed %d: got %s, want none\n%s", seed, got, strings.Join(s.violationDetails, "\n"))
		}
	}
}

// TestSoakDetectsDisabledSafeguards disables one safeguard at a time and checks
// that the soak test reports violations within 20 seeds.
func TestSoakDetectsDisabledSafeguards(t *testing.T) {
	for _, disabled := range []struct {
		name    string
		options soakOptions
	}{
		{"no fencing of lost orders", soakOptions{noFencing: true}},
		{"no continuation on another backend server", soakOptions{oneAttempt: true}},
		{"failed call reported as not run", soakOptions{misreportNotRun: true}},
	} {
		t.Run(disabled.name, func(t *testing.T) {
			for seed := range uint64(20) {
				s := runSoak(t, seed, disabled.options)
				if got := s.violations(); got != "" {
					t.Logf("seed %d: %s", seed, got)
					return
				}
			}
			t.Error("got no violation in 20 seeds, want one")
		})
	}
}

func (s *soakResult) String() string {
	return fmt.Sprintf("%d answers complete, %d mixed up, %d truncated, %d rejected; %d orders done, %d unknown (%d service calls failed), %d executed twice, %d falsely reported as not run",
		s.completed, s.mixedUp, s.truncated, s.rejected, s.done, s.unknown, s.brokenCalls, s.duplicated, s.falseNotRun)
}

// violations returns a summary if an invariant was violated or nothing was
// completed, and "" otherwise.
func (s *soakResult) violations() string {
	if s.mixedUp+s.truncated+s.duplicated+s.falseNotRun > 0 || s.unknown > s.brokenCalls || s.completed == 0 || s.done == 0 {
		return s.String()
	}
	return ""
}

// count increments a counter. With a format it also records a detail, of which
// the first 12 are kept.
func (s *soakResult) count(counter *int, format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*counter++
	if format != "" && len(s.violationDetails) < 12 {
		s.violationDetails = append(s.violationDetails, time.Now().UTC().Format("04:05.000 ")+fmt.Sprintf(format, args...))
	}
}

func runSoak(t *testing.T, seed uint64, options soakOptions) *soakResult {
	var result *soakResult
	synctest.Test(t, func(t *testing.T) {
		s := newSoak(t, seed, options)
		for i := range soakQueryClients + soakOrderClients {
			c := &soakClient{soak: s, number: i}
			s.running.Add(1)
			go c.run()
		}
		s.injectFaults()
		close(s.stop)
		s.running.Wait()
		s.stopAll()
		result = &s.result
	})
	return result
}

func newSoak(t *testing.T, seed uint64, options soakOptions) *soakRun {
	s := &soakRun{
		t:        t,
		options:  options,
		random:   rand.New(rand.NewPCG(seed, seed)),
		network:  memory.NewNetwork(),
		sidecars: map[string]*soakSidecarProcess{},
		controls: map[string]*soakControlProcess{},
		engines:  map[string]*soakEngine{},
		stop:     make(chan struct{}),
	}
	s.service = &soakService{soak: s, random: rand.New(rand.NewPCG(seed, 1)), executions: map[string]int{}}
	activeSoak = s
	for i := range soakControlCount {
		name := fmt.Sprintf("control-%d", i+1)
		s.names = append(s.names, name)
		s.controls[name] = &soakControlProcess{disk: wal.NewMemoryDisk()}
	}
	for name := range s.controls {
		s.startControl(name)
	}
	for i := range soakEngineCount + soakServiceCount {
		c := &soakSidecarProcess{name: fmt.Sprintf("crew-assist-%d", i+1), isService: i >= soakEngineCount}
		if c.isService {
			c.name = fmt.Sprintf("plant-ledger-%d", i+1-soakEngineCount)
		} else {
			s.engines[c.name] = &soakEngine{random: rand.New(rand.NewPCG(seed, uint64(i)+2))}
		}
		s.names = append(s.names, c.name)
		s.sidecars[c.name] = c
		s.startSidecar(c)
	}
	for i := range soakEntryCount {
		s.names = append(s.names, fmt.Sprintf("entry-%d", i+1))
		s.entries = append(s.entries, &soakEntryProcess{})
		s.startEntry(i)
	}
	s.submitContract()
	interval.Sleep(t.Context(), 3*time.Second)
	return s
}

func (s *soakRun) host(name string) *kernel.Host {
	workers := pool.New(48, 1024)
	soakPools = append(soakPools, workers)
	return newHost(name, workers)
}

func (s *soakRun) controlNames() []string { return s.names[:soakControlCount] }

func (s *soakRun) startControl(name string) {
	config := control.DefaultSettings()
	config.Listen = name
	for _, n := range s.controlNames() {
		config.Founders = append(config.Founders, control.Founder{Instance: n, Address: n})
	}
	c, err := control.New(s.host(name), config, s.network.Transport(name))
	if err != nil {
		s.t.Error(err)
		return
	}
	c.UseDisk(s.controls[name].disk)
	if err := c.Start(context.Background()); err != nil {
		s.t.Error(err)
	}
	s.controls[name].control = c
}

func (s *soakRun) startSidecar(process *soakSidecarProcess) {
	config := sidecar.DefaultSettings()
	config.Listen = process.name
	config.ControlAddresses = s.controlNames()
	if process.isService {
		config.Service.Name = testService
		config.Service.Address = process.name
		config.Service.Dialect = soakDialect
	} else {
		config.Engine.Address = process.name
		config.Engine.Dialect = soakDialect
	}
	started, err := sidecar.New(s.host(process.name), config, s.network.Transport(process.name))
	if err == nil {
		err = started.Start(context.Background())
	}
	if err != nil {
		s.t.Error(err)
		return
	}
	process.sidecar = started
}

func (s *soakRun) startEntry(i int) {
	name := fmt.Sprintf("entry-%d", i+1)
	config := DefaultSettings()
	config.ControlAddresses = s.controlNames()
	if s.options.oneAttempt {
		config.MaxAttempts = 1
	}
	e, err := New(s.host(name), config, s.network.Transport(name))
	if err != nil {
		s.t.Error(err)
		return
	}
	e.executor.fencingDisabled = s.options.noFencing
	e.connect()
	<-e.member.Ready()
	interval.Sleep(context.Background(), grantInterval)
	s.entries[i].mu.Lock()
	s.entries[i].entry = e
	s.entries[i].mu.Unlock()
}

func (s *soakRun) submitContract() {
	class := contract.Class{WholeAnswer: settings.Duration(soakRequestTimeout), Rate: 1000, Burst: 1000, Concurrency: 1000}
	terms := contract.Contract{
		Customer: testCustomer,
		Models:   []string{testModel},
		Services: []string{testService},
		Classes:  map[string]contract.Class{"orders": class, "chat": class},
		Share:    1,
		Keys:     []string{contract.HashKey("key of the crews")},
	}
	request := message.OperateRequest{
		Kind:     control.OperatePutContract,
		MaxWait:  10 * time.Second,
		Contract: &contract.Change{RequestID: "1", Customer: testCustomer, Contract: &terms},
	}
	for {
		for _, name := range s.controlNames() {
			if _, err := s.controls[name].control.Operate(context.Background(), request); err == nil {
				return
			}
		}
		interval.Sleep(context.Background(), resendInterval)
	}
}

// stopAll stops all processes, entries first.
func (s *soakRun) stopAll() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	for _, e := range s.entries {
		e.entry.disconnect(ctx)
	}
	for _, c := range s.sidecars {
		if err := c.sidecar.Stop(ctx); err != nil {
			s.t.Error(err)
		}
	}
	for _, c := range s.controls {
		_ = c.control.Stop(ctx)
	}
	for _, p := range soakPools {
		_ = p.Stop(ctx)
	}
	soakPools = nil
	interval.Sleep(context.Background(), 2*time.Minute)
}

// didNotRun reports whether an error promises that nothing ran.
func didNotRun(err error) bool { return fault.FromError(err).Ran == fault.NotRun }
