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
	soakTime    = 40 * time.Second // of failures
	soakQuiet   = 20 * time.Second // for orders that were begun to be settled
	soakWhole   = 50 * time.Second
	thinkTime   = 100 * time.Millisecond
	resendPause = 200 * time.Millisecond
	resendMost  = 6 // answers that an order may have run
	soakControl = 3
	soakEntries = 2
	soakEngines = 3
	soakLedgers = 2
	soakChats   = 6
	soakOrders  = 3
)

var (
	soaks     = flag.Uint64("soaks", 3, "seeds that TestSoak plays")
	firstSoak = flag.Uint64("firstsoak", 0, "the first of them")
)

type (
	// soakOptions switches mechanisms off, for the twins.
	soakOptions struct {
		unfenced bool // lost orders aren't asked about
		oneTry   bool // an answer isn't continued elsewhere
		lying    bool // a service's broken call is taken for one that didn't run
	}

	// soak is the system's own processes over a network in memory, with fakes
	// for engines and the order service, under a seeded schedule of failures.
	soak struct {
		t        *testing.T
		options  soakOptions
		random   *rand.Rand // of the schedule alone
		network  *memory.Network
		names    []string
		entries  []*soakEntry
		sidecars map[string]*soakSidecar
		controls map[string]*soakControlled
		ledger   *soakLedger
		engines  map[string]*soakEngine
		running  sync.WaitGroup
		over     chan struct{}
		score    soakScore
	}

	// soakScore counts outcomes.
	soakScore struct {
		mu      sync.Mutex
		whole   int
		wrong   int // crossed or otherwise another's
		cut     int
		refused int
		done    int
		unknown int
		falseNo int // refused as not run, and had run
		doubled int
		crashes int // of the order service in the middle of a call
		faults  []string
	}

	soakEntry struct {
		mu    sync.Mutex
		entry *Entry // nil while it restarts
	}

	soakSidecar struct {
		name    string
		service bool
		sidecar *sidecar.Sidecar
		busy    bool // it restarts; only the schedule looks at it, and the restart ends it
	}

	soakControlled struct {
		control *control.Control
		disk    *wal.Memory
		busy    bool
	}
)

// TestSoak plays the whole system under forgotten connections, silent cuts,
// crashes of engines and of the order service, and planned restarts of every
// process: no answer is cut, crossed or doubled, no order runs twice or is
// called not run when it ran, and no more stay unknown than the order service
// itself broke off.
func TestSoak(t *testing.T) {
	for seed := *firstSoak; seed < *firstSoak+*soaks; seed++ {
		s := playSoak(t, seed, soakOptions{})
		t.Logf("seed %d: %s", seed, s)
		if got := s.violation(); got != "" {
			t.Errorf("seed %d: got %s, want none\n%s", seed, got, strings.Join(s.faults, "\n"))
		}
	}
}

// TestSoakTwins switches one mechanism off at a time: the count must catch it.
func TestSoakTwins(t *testing.T) {
	for _, twin := range []struct {
		name    string
		options soakOptions
	}{
		{"lost orders aren't asked about", soakOptions{unfenced: true}},
		{"answers aren't continued elsewhere", soakOptions{oneTry: true}},
		{"a broken call is taken for not run", soakOptions{lying: true}},
	} {
		t.Run(twin.name, func(t *testing.T) {
			for seed := range uint64(20) {
				s := playSoak(t, seed, twin.options)
				if got := s.violation(); got != "" {
					t.Logf("seed %d: %s", seed, got)
					return
				}
			}
			t.Error("got no violation, want the count to catch one")
		})
	}
}

func (s *soakScore) String() string {
	return fmt.Sprintf("%d answers whole, %d wrong, %d cut, %d refused; %d orders done, %d unknown of %d broken off, %d doubled, %d falsely not run",
		s.whole, s.wrong, s.cut, s.refused, s.done, s.unknown, s.crashes, s.doubled, s.falseNo)
}

func (s *soakScore) violation() string {
	if s.wrong+s.cut+s.doubled+s.falseNo > 0 || s.unknown > s.crashes || s.whole == 0 || s.done == 0 {
		return s.String()
	}
	return ""
}

func (s *soakScore) note(counter *int, format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*counter++
	if format != "" && len(s.faults) < 12 {
		s.faults = append(s.faults, time.Now().UTC().Format("04:05.000 ")+fmt.Sprintf(format, args...))
	}
}

func playSoak(t *testing.T, seed uint64, options soakOptions) *soakScore {
	var score *soakScore
	synctest.Test(t, func(t *testing.T) {
		s := newSoak(t, seed, options)
		for i := range soakChats + soakOrders {
			c := &soakCrew{soak: s, number: i}
			s.running.Add(1)
			go c.run()
		}
		s.play()
		close(s.over)
		s.running.Wait()
		s.end()
		score = &s.score
	})
	return score
}

func newSoak(t *testing.T, seed uint64, options soakOptions) *soak {
	s := &soak{
		t:        t,
		options:  options,
		random:   rand.New(rand.NewPCG(seed, seed)),
		network:  memory.New(),
		sidecars: map[string]*soakSidecar{},
		controls: map[string]*soakControlled{},
		engines:  map[string]*soakEngine{},
		over:     make(chan struct{}),
	}
	s.ledger = &soakLedger{soak: s, random: rand.New(rand.NewPCG(seed, 1)), ran: map[string]int{}}
	playing = s
	for i := range soakControl {
		name := fmt.Sprintf("control-%d", i+1)
		s.names = append(s.names, name)
		s.controls[name] = &soakControlled{disk: wal.NewMemory()}
	}
	for name := range s.controls {
		s.startControl(name)
	}
	for i := range soakEngines + soakLedgers {
		c := &soakSidecar{name: fmt.Sprintf("crew-assist-%d", i+1), service: i >= soakEngines}
		if c.service {
			c.name = fmt.Sprintf("plant-ledger-%d", i+1-soakEngines)
		} else {
			s.engines[c.name] = &soakEngine{random: rand.New(rand.NewPCG(seed, uint64(i)+2))}
		}
		s.names = append(s.names, c.name)
		s.sidecars[c.name] = c
		s.startSidecar(c)
	}
	for i := range soakEntries {
		s.names = append(s.names, fmt.Sprintf("entry-%d", i+1))
		s.entries = append(s.entries, &soakEntry{})
		s.startEntry(i)
	}
	s.putContract()
	interval.Sleep(t.Context(), 3*time.Second)
	return s
}

func (s *soak) host(name string) *kernel.Host {
	workers := pool.New(48, 1024)
	soakPools = append(soakPools, workers)
	return newHost(name, workers)
}

func (s *soak) controlNames() []string { return s.names[:soakControl] }

func (s *soak) startControl(name string) {
	wanted := control.DefaultSettings()
	wanted.Listen = name
	for _, n := range s.controlNames() {
		wanted.Founders = append(wanted.Founders, control.Founder{Instance: n, Address: n})
	}
	c, err := control.New(s.host(name), wanted, s.network.Transport(name))
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

func (s *soak) startSidecar(c *soakSidecar) {
	wanted := sidecar.DefaultSettings()
	wanted.Listen = c.name
	wanted.Control = s.controlNames()
	if c.service {
		wanted.Service.Name = ledgerKind
		wanted.Service.Address = c.name
		wanted.Service.Dialect = soakDialect
	} else {
		wanted.Engine.Address = c.name
		wanted.Engine.Dialect = soakDialect
	}
	made, err := sidecar.New(s.host(c.name), wanted, s.network.Transport(c.name))
	if err == nil {
		err = made.Start(context.Background())
	}
	if err != nil {
		s.t.Error(err)
		return
	}
	c.sidecar = made
}

func (s *soak) startEntry(i int) {
	name := fmt.Sprintf("entry-%d", i+1)
	wanted := DefaultSettings()
	wanted.Control = s.controlNames()
	if s.options.oneTry {
		wanted.Tries = 1
	}
	e, err := New(s.host(name), wanted, s.network.Transport(name))
	if err != nil {
		s.t.Error(err)
		return
	}
	e.desk.unfenced = s.options.unfenced
	e.join()
	<-e.member.Ready()
	interval.Sleep(context.Background(), grantPause)
	s.entries[i].mu.Lock()
	s.entries[i].entry = e
	s.entries[i].mu.Unlock()
}

func (s *soak) putContract() {
	class := contract.Class{WholeAnswer: settings.Duration(soakWhole), Rate: 1000, Burst: 1000, Concurrency: 1000}
	wanted := contract.Contract{
		Customer: customerName,
		Models:   []string{modelName},
		Services: []string{ledgerKind},
		Classes:  map[string]contract.Class{"orders": class, "chat": class},
		Share:    1,
		Keys:     []string{contract.HashKey("key of the crews")},
	}
	ask := message.Operate{
		Kind:     control.OperatePutContract,
		Wait:     10 * time.Second,
		Contract: &contract.Change{RequestID: "1", Customer: customerName, Contract: &wanted},
	}
	for {
		for _, name := range s.controlNames() {
			if _, err := s.controls[name].control.Operate(context.Background(), ask); err == nil {
				return
			}
		}
		interval.Sleep(context.Background(), resendPause)
	}
}

// end stops everything, as planned.
func (s *soak) end() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	for _, e := range s.entries {
		e.entry.part(ctx)
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

// isNo reports whether an error says that nothing ran.
func isNo(err error) bool { return fault.From(err).Ran == fault.No }
