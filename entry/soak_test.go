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
	soakFaultTime      = 40 * time.Second // of failures
	soakRecoveryTime   = 20 * time.Second // for orders that were begun to be settled
	soakRequestTimeout = 50 * time.Second
	thinkTime          = 100 * time.Millisecond
	resendInterval     = 200 * time.Millisecond
	maxUnknownReplies  = 6 // answers that an order may have run
	soakControlCount   = 3
	soakEntryCount     = 2
	soakEngineCount    = 3
	soakServiceCount   = 2
	soakQueryClients   = 6
	soakOrderClients   = 3
)

var (
	soakSeeds     = flag.Uint64("soaks", 3, "seeds that TestSoak plays")
	firstSoakSeed = flag.Uint64("firstsoak", 0, "the first of them")
)

type (
	// soakOptions switches mechanisms off, for the twins.
	soakOptions struct {
		noFencing   bool // lost orders aren't asked about
		oneAttempt  bool // an answer isn't continued elsewhere
		falseNotRun bool // a service's broken call is taken for one that didn't run
	}

	// soakRun is the system's own processes over a network in memory, with fakes
	// for engines and the order service, under a seeded schedule of failures.
	soakRun struct {
		t        *testing.T
		options  soakOptions
		random   *rand.Rand // of the schedule alone
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

	// soakResult counts outcomes.
	soakResult struct {
		mu          sync.Mutex
		completed   int
		mixedUp     int // crossed or otherwise another's
		truncated   int
		rejected    int
		done        int
		unknown     int
		falseNotRun int // refused as not run, and had run
		duplicated  int
		brokenCalls int // of the order service in the middle of a call
		details     []string
	}

	soakEntryProcess struct {
		mu    sync.Mutex
		entry *Entry // nil while it restarts
	}

	soakSidecarProcess struct {
		name       string
		isService  bool
		sidecar    *sidecar.Sidecar
		restarting bool // it restarts; only the schedule looks at it, and the restart ends it
	}

	soakControlProcess struct {
		control    *control.Control
		disk       *wal.Memory
		restarting bool
	}
)

// TestSoak plays the whole system under forgotten connections, silent cuts,
// crashes of engines and of the order service, and planned restarts of every
// process: no answer is cut, crossed or doubled, no order runs twice or is
// called not run when it ran, and no more stay unknown than the order service
// itself broke off.
func TestSoak(t *testing.T) {
	for seed := *firstSoakSeed; seed < *firstSoakSeed+*soakSeeds; seed++ {
		s := runSoak(t, seed, soakOptions{})
		t.Logf("seed %d: %s", seed, s)
		if got := s.violations(); got != "" {
			t.Errorf("seed %d: got %s, want none\n%s", seed, got, strings.Join(s.details, "\n"))
		}
	}
}

// TestSoakDetectsDisabledSafeguards switches one mechanism off at a time: the count must catch it.
func TestSoakDetectsDisabledSafeguards(t *testing.T) {
	for _, disabled := range []struct {
		name    string
		options soakOptions
	}{
		{"lost orders aren't asked about", soakOptions{noFencing: true}},
		{"answers aren't continued elsewhere", soakOptions{oneAttempt: true}},
		{"a broken call is taken for not run", soakOptions{falseNotRun: true}},
	} {
		t.Run(disabled.name, func(t *testing.T) {
			for seed := range uint64(20) {
				s := runSoak(t, seed, disabled.options)
				if got := s.violations(); got != "" {
					t.Logf("seed %d: %s", seed, got)
					return
				}
			}
			t.Error("got no violation, want the count to catch one")
		})
	}
}

func (s *soakResult) String() string {
	return fmt.Sprintf("%d answers whole, %d wrong, %d cut, %d refused; %d orders done, %d unknown of %d broken off, %d doubled, %d falsely not run",
		s.completed, s.mixedUp, s.truncated, s.rejected, s.done, s.unknown, s.brokenCalls, s.duplicated, s.falseNotRun)
}

func (s *soakResult) violations() string {
	if s.mixedUp+s.truncated+s.duplicated+s.falseNotRun > 0 || s.unknown > s.brokenCalls || s.completed == 0 || s.done == 0 {
		return s.String()
	}
	return ""
}

func (s *soakResult) count(counter *int, format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*counter++
	if format != "" && len(s.details) < 12 {
		s.details = append(s.details, time.Now().UTC().Format("04:05.000 ")+fmt.Sprintf(format, args...))
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
		network:  memory.New(),
		sidecars: map[string]*soakSidecarProcess{},
		controls: map[string]*soakControlProcess{},
		engines:  map[string]*soakEngine{},
		stop:     make(chan struct{}),
	}
	s.service = &soakService{run: s, random: rand.New(rand.NewPCG(seed, 1)), executions: map[string]int{}}
	activeSoak = s
	for i := range soakControlCount {
		name := fmt.Sprintf("control-%d", i+1)
		s.names = append(s.names, name)
		s.controls[name] = &soakControlProcess{disk: wal.NewMemory()}
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
	interval.Wait(t.Context(), 3*time.Second)
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
	config.Control = s.controlNames()
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
	config.Control = s.controlNames()
	if s.options.oneAttempt {
		config.Tries = 1
	}
	e, err := New(s.host(name), config, s.network.Transport(name))
	if err != nil {
		s.t.Error(err)
		return
	}
	e.desk.fencingDisabled = s.options.noFencing
	e.connect()
	<-e.member.Ready()
	interval.Wait(context.Background(), grantInterval)
	s.entries[i].mu.Lock()
	s.entries[i].entry = e
	s.entries[i].mu.Unlock()
}

func (s *soakRun) submitContract() {
	class := contract.Class{Whole: settings.Duration(soakRequestTimeout), Rate: 1000, Burst: 1000, Concurrency: 1000}
	terms := contract.Contract{
		Customer: testCustomer,
		Models:   []string{testModel},
		Services: []string{testService},
		Classes:  map[string]contract.Class{"orders": class, "chat": class},
		Share:    1,
		Keys:     []string{contract.HashKey("key of the crews")},
	}
	request := message.Operate{
		Kind:     control.OperatePut,
		Wait:     10 * time.Second,
		Contract: &contract.Change{Request: "1", Customer: testCustomer, Contract: &terms},
	}
	for {
		for _, name := range s.controlNames() {
			if _, err := s.controls[name].control.Operate(context.Background(), request); err == nil {
				return
			}
		}
		interval.Wait(context.Background(), resendInterval)
	}
}

// stopAll stops everything, as planned.
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
	interval.Wait(context.Background(), 2*time.Minute)
}

// didNotRun reports whether an error says that nothing ran.
func didNotRun(err error) bool { return fault.From(err).Ran == fault.No }
