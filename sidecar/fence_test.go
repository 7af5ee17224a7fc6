package sidecar

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"endivedeck.example/change"
	"endivedeck.example/engine"
	"endivedeck.example/fault"
	"endivedeck.example/golden"
	"endivedeck.example/interval"
	"endivedeck.example/kernel"
	"endivedeck.example/message"
	"endivedeck.example/pool"
	"endivedeck.example/settings"
	"endivedeck.example/wire"
	"endivedeck.example/wire/memory"
)

const (
	loadTime     = 3 * time.Second
	answerPieces = 20
	piecePause   = 100 * time.Millisecond
)

type (
	// fakeEngine writes down the orders that it takes.
	fakeEngine struct {
		mu       sync.Mutex
		seen     *transcript
		checks   bool // it refuses an old fencing number
		newest   uint64
		done     uint64
		changing int
		down     bool
		crash    bool      // crash halfway through the next order
		lose     bool      // lose the answer to the next order
		hold     time.Time // looks at the state that begin before end then
		overlaps int
		taken    []uint64
	}

	// fakeControl answers renewals by what the test sets.
	fakeControl struct {
		mu      sync.Mutex
		seen    *transcript
		term    uint64
		change  *change.Change
		silent  bool
		reports []change.Report
	}

	transcript struct {
		mu   sync.Mutex
		text strings.Builder
	}

	// bed is one sidecar with its engine and a control.
	bed struct {
		t       *testing.T
		network *memory.Network
		seen    *transcript
		engine  *fakeEngine
		control *fakeControl
		sidecar *Sidecar
		server  *wire.Server
		pools   []*pool.Pool
	}
)

var _ engine.Engine = (*fakeEngine)(nil)

func (s *transcript) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(&s.text, format+"\n", args...)
}

// Generate gives an answer of answerPieces, which an order breaks off.
func (e *fakeEngine) Generate(ctx context.Context, work message.Work, give func(message.Piece) error) error {
	for i := range answerPieces {
		interval.Sleep(ctx, piecePause)
		if e.state().Changing {
			e.seen.note("engine: drops an answer")
			return fault.New(fault.Broken, fault.Unknown, "the engine changes")
		}
		if i == answerPieces-1 {
			e.seen.note("engine: ends an answer")
		}
		if err := give(message.Piece{ID: work.ID, Offset: i, Tokens: 1, Text: "word ", End: i == answerPieces-1}); err != nil {
			return err
		}
	}
	return nil
}

func (e *fakeEngine) Cancel(context.Context, string) error { return nil }

func (e *fakeEngine) State(ctx context.Context) (engine.State, error) {
	e.mu.Lock()
	hold := time.Until(e.hold)
	down := e.down
	e.mu.Unlock()
	if down {
		return engine.State{}, fault.New(fault.Unavailable, fault.No, "the engine is down")
	}
	state := e.state()
	if hold > 0 {
		interval.Sleep(context.WithoutCancel(ctx), hold) // the process is paused, its calls aren't
	}
	return state, nil
}

func (e *fakeEngine) state() engine.State {
	e.mu.Lock()
	defer e.mu.Unlock()
	return engine.State{Models: []string{"m"}, Role: "both", Changing: e.changing > 0, Number: e.newest, Done: e.done}
}

func (e *fakeEngine) Order(_ context.Context, order engine.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.checks && order.Number <= e.newest {
		e.seen.note("engine: refuses order %d, knows %d", order.Number, e.newest)
		return fault.New(fault.Stale, fault.No, "an older order")
	}
	e.seen.note("engine: takes order %d, %d others being carried out", order.Number, e.changing)
	e.taken = append(e.taken, order.Number)
	if e.changing > 0 {
		e.overlaps++
	}
	e.newest = order.Number
	e.changing++
	time.AfterFunc(loadTime, func() { e.end(order) })
	if e.lose {
		e.lose = false
		return fault.New(fault.Broken, fault.Unknown, "the answer was lost")
	}
	return nil
}

func (e *fakeEngine) end(order engine.Order) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.changing--
	if e.crash {
		e.crash = false
		e.newest, e.done = 0, 0
		e.down = true
		e.seen.note("engine: crashes halfway through order %d", order.Number)
		time.AfterFunc(2*time.Second, e.restart)
		return
	}
	e.done = order.Number
	e.seen.note("engine: has carried out order %d", order.Number)
}

func (e *fakeEngine) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down = false
}

func (c *fakeControl) renew(x *wire.Exchange) {
	interval.Sleep(context.Background(), 100*time.Millisecond)
	c.mu.Lock()
	answer := message.Renewed{Term: c.term, Lease: 6 * time.Second, Change: c.change}
	silent := c.silent
	c.mu.Unlock()
	if silent {
		x.Fail(fault.New(fault.Unavailable, fault.No, "not the leader"))
		return
	}
	x.Reply(answer)
}

func (c *fakeControl) report(x *wire.Exchange) {
	var report change.Report
	if err := x.Decode(&report); err == nil {
		c.seen.note("control: order %d is %s", report.FencingToken, report.State)
		c.mu.Lock()
		c.reports = append(c.reports, report)
		if c.change != nil && c.change.FencingToken == report.FencingToken {
			next := *c.change
			next.State = report.State
			c.change = &next
		}
		c.mu.Unlock()
	}
	x.Reply(message.Nothing{})
}

// send has control send a change from now on.
func (c *fakeControl) send(term, number uint64, kind change.Kind) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.term = term
	announcement := change.Announcement{BackendServer: "engine-1", Kind: kind, Model: "m2", Role: change.RolePrefill}
	c.change = &change.Change{Announcement: announcement, FencingToken: number, Term: term, State: change.Announced}
	c.seen.note("control of term %d: change %d (%s)", term, number, kind)
}

// inBed runs a test with one sidecar under the test's clock.
func inBed(t *testing.T, seen *transcript, test func(b *bed)) {
	synctest.Test(t, func(t *testing.T) {
		b := &bed{t: t, network: memory.New(), seen: seen}
		b.engine = &fakeEngine{seen: seen}
		b.control = &fakeControl{seen: seen, term: 3}
		listener, err := b.network.Transport("control").Listen("control")
		if err != nil {
			t.Fatal(err)
		}
		b.server = wire.NewServer(listener, b.pool(), map[string]wire.Handler{
			message.MethodRenew:   wire.HandlerFunc(b.control.renew),
			message.MethodReport:  wire.HandlerFunc(b.control.report),
			message.MethodRelease: wire.HandlerFunc(func(x *wire.Exchange) { x.Reply(message.Nothing{}) }),
		})
		b.start()
		<-b.sidecar.member.Ready()
		test(b)
		b.stop()
		b.server.Close()
		for _, p := range b.pools {
			_ = p.Stop(context.Background())
		}
		interval.Sleep(context.Background(), time.Minute)
	})
}

func (b *bed) pool() *pool.Pool {
	p := pool.New(16, 64)
	b.pools = append(b.pools, p)
	return p
}

func (b *bed) make() (*Sidecar, error) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	process := kernel.DefaultProcess()
	process.Instance = "engine-1"
	host := &kernel.Host{Process: process, Log: logrus.NewEntry(logger), Metrics: metrics.NewSet(), Pool: b.pool()}
	section := DefaultSettings()
	section.Listen = "engine-1"
	section.Control = []string{"control"}
	section.Engine.Address = "engine"
	section.Resume = settings.Duration(time.Second)
	s, err := New(host, section, b.network.Transport("engine-1"))
	if err == nil {
		s.engine = b.engine
	}
	return s, err
}

func (b *bed) start() {
	s, err := b.make()
	if err != nil {
		b.t.Fatal(err)
	}
	b.sidecar = s
	if err := s.Start(b.t.Context()); err != nil {
		b.t.Fatal(err)
	}
}

func (b *bed) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_ = b.sidecar.Stop(ctx)
}

func (b *bed) wait(length time.Duration) { interval.Sleep(context.Background(), length) }

// TestOrders plays what can go wrong with orders to engines. Each line of the
// golden files is what the engine or control saw.
func TestOrders(t *testing.T) {
	tests := []struct {
		name string
		play func(b *bed)
	}{
		{"replace", func(b *bed) {
			b.control.send(3, 10, change.Replace)
			b.wait(10 * time.Second)
		}},
		{"deposed", func(b *bed) {
			b.control.send(5, 10, change.Replace)
			b.wait(time.Second)
			b.control.send(4, 12, change.SwitchRole)
			b.wait(10 * time.Second)
		}},
		{"deposed_twin", func(b *bed) {
			b.sidecar.unfenced = true
			b.control.send(5, 10, change.Replace)
			b.wait(time.Second)
			b.control.send(4, 12, change.SwitchRole)
			b.wait(10 * time.Second)
		}},
		{"paused", pausedBeforeItWrites},
		{"paused_twin", func(b *bed) {
			b.sidecar.unfenced = true
			pausedBeforeItWrites(b)
		}},
		{"answers_run", changeWhileAnswersRun},
		{"answers_run_twin", func(b *bed) {
			b.sidecar.hasty = true
			changeWhileAnswersRun(b)
		}},
		{"crash", func(b *bed) {
			b.engine.crash = true
			b.control.send(3, 10, change.Replace)
			b.wait(15 * time.Second)
		}},
		{"lost_answer", func(b *bed) {
			b.engine.lose = true
			b.control.send(3, 10, change.SwitchRole)
			b.wait(10 * time.Second)
		}},
		{"restarted", func(b *bed) {
			b.control.send(3, 10, change.Replace)
			b.wait(time.Second)
			b.seen.note("the sidecar is stopped and started again")
			b.stop()
			b.start()
			b.wait(10 * time.Second)
		}},
		{"older_than_the_engine_knows", func(b *bed) {
			b.engine.checks = true
			b.engine.newest = 50
			b.control.send(3, 10, change.Replace)
			b.wait(10 * time.Second)
		}},
		{"two_sidecars", func(b *bed) {
			_, err := b.make()
			b.seen.note("a second sidecar for the slot: %s", fault.Of(err))
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			seen := &transcript{}
			inBed(t, seen, test.play)
			golden.Check(t, "orders/"+test.name+".golden", seen.text.String())
		})
	}
}

// changeWhileAnswersRun announces a change half a second into an answer.
func changeWhileAnswersRun(b *bed) {
	b.wait(2 * time.Second)
	ended := make(chan string)
	ask := &asking{bed: b, ended: ended}
	go ask.run()
	b.wait(500 * time.Millisecond)
	b.control.send(3, 10, change.Replace)
	outcome := <-ended
	b.wait(10 * time.Second)
	b.seen.note("the answer that ran: %s", outcome)
}

// asking is one answer on its way to a reader.
type asking struct {
	bed   *bed
	ended chan<- string
}

func (a *asking) run() {
	client := wire.NewClient(a.bed.network.Transport("entry-1"))
	defer client.Close()
	work := message.Work{ID: "req-1", Customer: "crews", Model: "m", Prompt: "which bank", Most: answerPieces, Left: time.Minute}
	call, err := client.Open(context.Background(), "engine-1", message.MethodWork, work)
	tokens := 0
	for err == nil {
		var p message.Piece
		err = call.Receive(&p)
		tokens += p.Tokens
		if p.End {
			a.ended <- fmt.Sprintf("whole, %d tokens", tokens)
			return
		}
	}
	a.ended <- fmt.Sprintf("cut: %v", err)
}

// pausedBeforeItWrites has the sidecar look at the engine, then pause for
// longer than its lease, while control goes on without it.
func pausedBeforeItWrites(b *bed) {
	b.control.mu.Lock()
	b.control.silent = true
	b.control.mu.Unlock()
	b.engine.mu.Lock()
	b.engine.hold = time.Now().Add(20 * time.Second)
	b.engine.mu.Unlock()
	b.control.send(3, 10, change.Replace)
	b.sidecar.ApplyRenewal(message.Renewed{Term: 3, Change: b.control.change})
	b.wait(30 * time.Second)
}
