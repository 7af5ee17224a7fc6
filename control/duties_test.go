package control

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"endivedeck.example/fault"
	"endivedeck.example/golden"
	"endivedeck.example/internal/duties/replicas"
	"endivedeck.example/internal/duties/tenure"
	"endivedeck.example/internal/usage/ledger"
	"endivedeck.example/internal/usage/meter"
	"endivedeck.example/interval"
	"endivedeck.example/message"
	"endivedeck.example/settings"
	"endivedeck.example/wal"
	"endivedeck.example/wire"
	"endivedeck.example/wire/memory"
)

const (
	testLease      = 3 * time.Second
	reportInterval = 500 * time.Millisecond // of relays
)

var (
	testSchedule = ledger.Schedule{Length: 5 * time.Second, Late: 10 * time.Second}

	// testProvider is the provider of the running test.
	testProvider *fakeProvider
)

func init() {
	Providers.Register("fake", func(string) (Provider, error) { return testProvider, nil })
}

type (
	// fakeProvider records the calls that it gets, and answers as the test says.
	fakeProvider struct {
		mu       sync.Mutex
		start    time.Time
		received []receivedCall
		answer   func(c receivedCall) error // nil accepts all
		prepare  func(by tenure.Tenure, w meter.Window)
		silent   bool // calls arrive, and get no answer
	}

	receivedCall struct {
		after time.Duration // the start of the test
		by    tenure.Tenure
		usage meter.Window
		order *replicas.Order // nil for a call that reports usage
	}

	fakeCall struct {
		provider *fakeProvider
		by       tenure.Tenure
		usage    meter.Window
		order    *replicas.Order
	}

	// fakeRelay reports the usage that the test counts.
	fakeRelay struct {
		name   string
		meter  *meter.Meter
		client *wire.Client
		cancel context.CancelFunc
		tasks  sync.WaitGroup
		active atomic.Int64 // requests at the servers of each of two domains; 0 reports no demand
	}
)

func (p *fakeProvider) PrepareUsage(_ context.Context, by tenure.Tenure, w meter.Window) (ProviderCall, error) {
	p.mu.Lock()
	prepare := p.prepare
	p.mu.Unlock()
	if prepare != nil {
		prepare(by, w)
	}
	return &fakeCall{provider: p, by: by, usage: w}, nil
}

func (p *fakeProvider) PrepareServers(_ context.Context, by tenure.Tenure, o replicas.Order) (ProviderCall, error) {
	return &fakeCall{provider: p, by: by, order: &o}, nil
}

func (c *fakeCall) Send(ctx context.Context) error {
	p := c.provider
	p.mu.Lock()
	call := receivedCall{after: time.Since(p.start), by: c.by, usage: c.usage, order: c.order}
	p.received = append(p.received, call)
	silent, answer := p.silent, p.answer
	p.mu.Unlock()
	if silent {
		<-ctx.Done()
		return fault.New(fault.Broken, fault.MaybeRun, "no answer")
	}
	if answer != nil {
		return answer(call)
	}
	return nil
}

func (c *fakeCall) Close() {}

func (p *fakeProvider) calls() []receivedCall {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.received)
}

func (p *fakeProvider) set(change func(p *fakeProvider)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(p)
}

// check fails the test if the calls break a promise: one set of counts for a window, one
// holder for a token, no token lower than before, and no two holders in turns within the lease.
func (p *fakeProvider) check(t *testing.T) {
	t.Helper()
	var usage, orders []receivedCall
	for _, c := range p.calls() {
		if c.order == nil {
			usage = append(usage, c)
		} else {
			orders = append(orders, c)
		}
	}
	checkCalls(t, usage)
	checkCalls(t, orders)
}

func checkCalls(t *testing.T, calls []receivedCall) {
	t.Helper()
	counts := map[int64]string{}
	holders := map[uint64]string{}
	last := map[string]time.Duration{}
	for i, c := range calls {
		text := fmt.Sprint(c.usage.Counts)
		if before, known := counts[c.usage.Number]; known && before != text && c.order == nil {
			t.Errorf("window %d: got counts %s after %s", c.usage.Number, text, before)
		}
		counts[c.usage.Number] = text
		if holder, known := holders[c.by.Token]; known && holder != c.by.Holder {
			t.Errorf("token %d: used by %s and %s", c.by.Token, holder, c.by.Holder)
		}
		holders[c.by.Token] = c.by.Holder
		if i > 0 {
			before := calls[i-1]
			if c.by.Token < before.by.Token {
				t.Errorf("got token %d of %s after %d of %s", c.by.Token, c.by.Holder, before.by.Token, before.by.Holder)
			}
			if at, known := last[c.by.Holder]; known && before.by.Holder != c.by.Holder && c.after-at < testLease {
				t.Errorf("%s acted at %v and, after %s, at %v", c.by.Holder, at, before.by.Holder, c.after)
			}
		}
		last[c.by.Holder] = c.after
	}
}

// windows returns the windows reported, each once, as lines with the counts.
func (p *fakeProvider) windows() string {
	seen := map[int64]string{}
	for _, c := range p.calls() {
		seen[c.usage.Number] = fmt.Sprintf("    window %d: %v\n", c.usage.Number-firstWindow(p.start), c.usage.Counts)
	}
	var text strings.Builder
	for _, number := range slices.Sorted(maps.Keys(seen)) {
		text.WriteString(seen[number])
	}
	return text.String()
}

// firstWindow returns the window that contains the start of the test. The fake clock starts
// at midnight UTC, with a window.
func firstWindow(start time.Time) int64 { return meter.Number(start, testSchedule.Length) }

// withDuties runs a test with three instances that have the duty to report usage, and two relays
// for which 10 and 20 requests of a team begin each second.
func withDuties(t *testing.T, test func(cl *cluster, p *fakeProvider, relays []*fakeRelay)) {
	synctest.Test(t, func(t *testing.T) {
		p := &fakeProvider{start: time.Now()}
		testProvider = p
		cl := &cluster{t: t, network: memory.NewNetwork(), controls: map[string]*instance{}, rolePolicy: "fixed", duties: DutySettings{
			Provider: "fake", Address: "provider", Names: []string{DutyUsage, DutyServers}, CallRate: 50, Lease: durationOf(testLease),
			Usage: UsageSettings{Window: durationOf(testSchedule.Length), Late: durationOf(testSchedule.Late)},
		}}
		for i := range 3 {
			name := fmt.Sprintf("control-%d", i+1)
			cl.founders = append(cl.founders, Founder{Instance: name, Address: name})
		}
		for _, f := range cl.founders {
			cl.start(f.Instance, wal.NewMemoryDisk())
		}
		defer cl.shutdown()
		relays := []*fakeRelay{cl.startRelay("north", 10), cl.startRelay("south", 20)}
		defer func() {
			for _, r := range relays {
				r.kill()
			}
		}()
		cl.awaitLeader()
		test(cl, p, relays)
		p.check(t)
	})
}

// startRelay starts a relay for which some requests begin each second, evenly.
func (cl *cluster) startRelay(name string, perSecond int) *fakeRelay {
	ctx, cancel := context.WithCancel(context.Background())
	r := &fakeRelay{name: name, meter: meter.New(testSchedule.Length), client: wire.NewClient(cl.network.Transport(name)), cancel: cancel}
	r.tasks.Add(1 + len(cl.founders))
	go r.run(ctx, time.Second/time.Duration(perSecond))
	for _, f := range cl.founders {
		go r.loop(ctx, f.Address)
	}
	return r
}

// run counts requests.
func (r *fakeRelay) run(ctx context.Context, every time.Duration) {
	defer r.tasks.Done()
	interval.Every(ctx, every, func(now time.Time) { r.meter.Count(now, "crews") })
}

// loop reports to a control instance, as package relay does.
func (r *fakeRelay) loop(ctx context.Context, address string) {
	defer r.tasks.Done()
	for ctx.Err() == nil {
		r.report(ctx, address)
		interval.Sleep(ctx, reportInterval)
	}
}

func (r *fakeRelay) report(ctx context.Context, address string) {
	call, err := r.client.OpenCall(ctx, address, message.MethodUsage, message.UsageHello{Relay: r.name, Incarnation: fmt.Sprintf("%p", r)})
	if err != nil {
		return
	}
	defer call.Cancel()
	stopCancel := context.AfterFunc(ctx, call.Cancel)
	defer stopCancel()
	var since uint64
	for {
		// Between counts, so that what is reported doesn't depend on their order.
		if interval.Sleep(ctx, time.Until(time.Now().Truncate(reportInterval).Add(reportInterval+25*time.Millisecond))); ctx.Err() != nil {
			return
		}
		now := time.Now()
		report := message.UsageReport{Time: now.UnixMilli(), Complete: testSchedule.Complete(now)}
		report.Windows, since = r.meter.Changes(since)
		for _, domain := range []string{"east", "west"} {
			for _, service := range []string{"assist", "ledger"} {
				if active := int(r.active.Load()); active > 0 {
					report.Demand = append(report.Demand, message.Demand{Service: service, Domain: domain, Servers: 2, Slots: 10, Active: active})
				}
			}
		}
		if err := call.Send(report); err != nil {
			return
		}
	}
}

// kill ends the relay with what it hasn't reported.
func (r *fakeRelay) kill() {
	r.cancel()
	r.tasks.Wait()
	r.client.Close()
}

// sleepUntil waits until some time after the start of the test.
func (p *fakeProvider) sleepUntil(after time.Duration) {
	interval.Sleep(context.Background(), time.Until(p.start.Add(after)))
}

// TestUsage brings about the failures of an instance, a relay, a link or the provider, one at a
// time, and shows which windows are reported with which counts. Window 0 is the one in which
// the test starts. 150 requests begin in each window, but for the first.
func TestUsage(t *testing.T) {
	var seen strings.Builder
	for _, c := range []struct {
		name string
		test func(cl *cluster, p *fakeProvider, relays []*fakeRelay)
	}{
		{"calm", func(_ *cluster, p *fakeProvider, _ []*fakeRelay) { p.sleepUntil(27 * time.Second) }},
		{"the holder is killed", func(cl *cluster, p *fakeProvider, _ []*fakeRelay) {
			p.sleepUntil(13 * time.Second)
			cl.kill(cl.awaitLeader())
			p.sleepUntil(27 * time.Second)
		}},
		{"the holder stops as planned", func(cl *cluster, p *fakeProvider, _ []*fakeRelay) {
			p.sleepUntil(13 * time.Second)
			cl.stop(cl.awaitLeader())
			p.sleepUntil(27 * time.Second)
		}},
		{"the holder is killed between commit and call", func(cl *cluster, p *fakeProvider, _ []*fakeRelay) {
			p.set(func(p *fakeProvider) { p.answer = refuseAll })
			p.sleepUntil(11500 * time.Millisecond)
			cl.kill(cl.awaitLeader())
			p.set(func(p *fakeProvider) { p.answer = nil })
			p.sleepUntil(27 * time.Second)
		}},
		{"the holder is cut off", func(cl *cluster, p *fakeProvider, _ []*fakeRelay) {
			p.sleepUntil(13 * time.Second)
			isolateLeader(cl)
			p.sleepUntil(32 * time.Second)
		}},
		{"a relay is killed", func(_ *cluster, p *fakeProvider, relays []*fakeRelay) {
			p.sleepUntil(13250 * time.Millisecond)
			relays[1].kill()
			p.sleepUntil(32 * time.Second)
		}},
		{"a relay is cut off for 3 s", func(cl *cluster, p *fakeProvider, _ []*fakeRelay) {
			p.sleepUntil(13 * time.Second)
			cl.network.Isolate("south", cl.founderNames()...)
			p.sleepUntil(16 * time.Second)
			cl.network.Heal("south")
			p.sleepUntil(27 * time.Second)
		}},
		{"the provider is down for 8 s", func(_ *cluster, p *fakeProvider, _ []*fakeRelay) {
			p.sleepUntil(10 * time.Second)
			p.set(func(p *fakeProvider) { p.answer = refuseAll })
			p.sleepUntil(18 * time.Second)
			p.set(func(p *fakeProvider) { p.answer = nil })
			p.sleepUntil(27 * time.Second)
		}},
		{"the provider is silent for 8 s", func(_ *cluster, p *fakeProvider, _ []*fakeRelay) {
			p.sleepUntil(10 * time.Second)
			p.set(func(p *fakeProvider) { p.silent = true })
			p.sleepUntil(18 * time.Second)
			p.set(func(p *fakeProvider) { p.silent = false })
			p.sleepUntil(27 * time.Second)
		}},
		{"the provider says 429 and accepts nonetheless", func(_ *cluster, p *fakeProvider, _ []*fakeRelay) {
			p.set(func(p *fakeProvider) {
				p.answer = func(c receivedCall) error {
					if c.after%(3*time.Second) < 1500*time.Millisecond {
						return fault.New(fault.LimitExceeded, fault.MaybeRun, "status 429")
					}
					return nil
				}
			})
			p.sleepUntil(27 * time.Second)
		}},
		{"the provider refuses a window for good", func(_ *cluster, p *fakeProvider, _ []*fakeRelay) {
			p.set(func(p *fakeProvider) {
				p.answer = func(c receivedCall) error {
					if c.usage.Number == firstWindow(p.start)+1 {
						return fault.New(fault.Malformed, fault.NotRun, "status 400")
					}
					return nil
				}
			})
			p.sleepUntil(27 * time.Second)
		}},
		{"all instances are killed and start again", func(cl *cluster, p *fakeProvider, _ []*fakeRelay) {
			p.sleepUntil(13 * time.Second)
			for _, name := range cl.founderNames() {
				disk := cl.controls[name].disk
				cl.kill(name)
				cl.start(name, disk)
			}
			p.sleepUntil(32 * time.Second)
		}},
		{"the holder loses its disk", func(cl *cluster, p *fakeProvider, _ []*fakeRelay) {
			p.sleepUntil(13 * time.Second)
			name := cl.awaitLeader()
			cl.kill(name)
			cl.startWith(name, bootstrapJoin, wal.NewMemoryDisk())
			p.sleepUntil(32 * time.Second)
		}},
		{"no majority for 31 s", func(cl *cluster, p *fakeProvider, _ []*fakeRelay) {
			p.sleepUntil(13 * time.Second)
			disks := map[string]*wal.MemoryDisk{}
			for _, name := range cl.founderNames()[:2] {
				disks[name] = cl.controls[name].disk
				cl.kill(name)
			}
			p.sleepUntil(44 * time.Second)
			for name, disk := range disks {
				cl.start(name, disk)
			}
			p.sleepUntil(62 * time.Second)
		}},
	} {
		withDuties(t, func(cl *cluster, p *fakeProvider, relays []*fakeRelay) {
			c.test(cl, p, relays)
			fmt.Fprintf(&seen, "%s:\n%s", c.name, p.windows())
		})
	}
	golden.Check(t, "usage.golden", seen.String())
}

func durationOf(d time.Duration) settings.Duration { return settings.Duration(d) }

func refuseAll(receivedCall) error {
	return fault.New(fault.Unavailable, fault.NotRun, "status 503")
}

// TestHolderStalls holds a call up between its preparation and its sending, as a machine does that stands
// still, while another instance takes the duty. The call must not be sent.
func TestHolderStalls(t *testing.T) {
	for _, stall := range []time.Duration{300 * time.Millisecond, 10 * time.Second} {
		withDuties(t, func(cl *cluster, p *fakeProvider, _ []*fakeRelay) {
			p.sleepUntil(9 * time.Second)
			old := cl.awaitLeader()
			var once sync.Once
			p.set(func(p *fakeProvider) {
				p.prepare = func(by tenure.Tenure, _ meter.Window) {
					if by.Holder != old {
						return
					}
					once.Do(func() {
						isolateLeader(cl)
						interval.Sleep(context.Background(), stall)
					})
				}
			})
			p.sleepUntil(40 * time.Second)
			cl.network.Heal(old)
			p.sleepUntil(60 * time.Second)
			stalled := false
			for _, c := range p.calls() {
				if c.after < 9*time.Second {
					continue
				}
				stalled = stalled || c.by.Holder != old
				if !stalled {
					t.Errorf("stall of %v: got a call of %s at %v, before its successor's", stall, c.by.Holder, c.after)
				}
			}
			if !stalled {
				t.Errorf("stall of %v: no other instance took the duty", stall)
			}
		})
	}
}

// TestHolderChanges moves the leadership again and again between two instances, by planned
// stops and kills, and checks the provider's view of the holders.
func TestHolderChanges(t *testing.T) {
	for _, orderly := range []bool{true, false} {
		withDuties(t, func(cl *cluster, p *fakeProvider, _ []*fakeRelay) {
			for range 12 {
				name := cl.awaitLeader()
				disk := cl.controls[name].disk
				if orderly {
					cl.stop(name)
				} else {
					cl.kill(name)
				}
				interval.Sleep(context.Background(), 700*time.Millisecond)
				cl.start(name, disk)
				interval.Sleep(context.Background(), 5*time.Second)
			}
			p.sleepUntil(time.Minute + 30*time.Second)
			holders := map[string]bool{}
			for _, c := range p.calls() {
				holders[c.by.Holder] = true
			}
			if got := len(holders); got < 2 {
				t.Errorf("holders: got %d, want 2 or more", got)
			}
		})
	}
}

// TestTokenAfterRestore restarts all instances from their snapshots, and checks that the tokens
// and the windows go on.
func TestTokenAfterRestore(t *testing.T) {
	withDuties(t, func(cl *cluster, p *fakeProvider, _ []*fakeRelay) {
		for round := range 4 {
			p.sleepUntil(time.Duration(round+1) * 20 * time.Second)
			for range 120 { // more than Settings.SnapshotEntries
				if _, err := cl.controls[cl.awaitLeader()].control.propose(context.Background(), Command{Take: &tenure.Take{Duty: "other", Holder: "x", Process: fmt.Sprint(time.Now())}}); err != nil {
					t.Error(err)
				}
				interval.Sleep(context.Background(), time.Millisecond)
			}
			before := cl.controls[cl.awaitLeader()].control.state.Tenure(DutyUsage)
			for _, name := range cl.founderNames() {
				disk := cl.controls[name].disk
				cl.kill(name)
				cl.start(name, disk)
			}
			interval.Sleep(context.Background(), 8*time.Second)
			after := cl.controls[cl.awaitLeader()].control.state.Tenure(DutyUsage)
			if after.Token <= before.Token {
				t.Errorf("round %d: got token %d after %d", round, after.Token, before.Token)
			}
		}
	})
}

// TestNoDuties checks that instances without a provider's address take no duty, log nothing
// for one and tell relays no time.
func TestNoDuties(t *testing.T) {
	withCluster(t, 3, func(cl *cluster) {
		leader := cl.controls[cl.awaitLeader()].control
		interval.Sleep(context.Background(), 20*time.Second)
		if got := leader.state.Tenure(DutyUsage); got != (tenure.Tenure{}) {
			t.Errorf("tenure: got %+v, want none", got)
		}
		if got := (&relaySubscriber{publisher: leader.publisher}).update(time.Now(), true).Time; got != 0 {
			t.Errorf("time for relays: got %d, want 0", got)
		}
		if _, served := leader.handlers()[message.MethodUsage]; served {
			t.Error("usage reports: got a handler, want none")
		}
	})
}

// TestDutySettings checks that the error for wrong settings names the field.
func TestDutySettings(t *testing.T) {
	testProvider = &fakeProvider{}
	good := DutySettings{
		Provider: "fake", Address: "provider", Names: []string{DutyUsage}, Lease: durationOf(testLease),
		Usage: UsageSettings{Window: durationOf(5 * time.Second), Late: durationOf(10 * time.Second)},
	}
	var seen strings.Builder
	for _, c := range []struct {
		name   string
		change func(s *DutySettings)
	}{
		{"good", func(*DutySettings) {}},
		{"no address", func(s *DutySettings) { *s = DutySettings{Names: s.Names} }},
		{"unknown duty", func(s *DutySettings) { s.Names = []string{DutyUsage, "rebates"} }},
		{"only servers", func(s *DutySettings) { s.Names, s.Usage = []string{DutyServers}, UsageSettings{} }},
		{"unknown provider", func(s *DutySettings) { s.Provider = "other" }},
		{"no lease", func(s *DutySettings) { s.Lease = 0 }},
		{"no window", func(s *DutySettings) { s.Usage.Window = 0 }},
		{"no time until late", func(s *DutySettings) { s.Usage.Late = 0 }},
	} {
		s := good
		c.change(&s)
		fmt.Fprintf(&seen, "%s: %v\n", c.name, s.check())
	}
	golden.Check(t, "dutysettings.golden", seen.String())
}
