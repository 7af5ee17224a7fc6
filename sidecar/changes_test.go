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
	changeDuration = 3 * time.Second
	answerTokens   = 20
	tokenInterval  = 100 * time.Millisecond
)

type (
	// fakeEngine logs the orders that it accepts and executes. Unlike a real
	// engine it can execute several at once, so that the log shows it.
	fakeEngine struct {
		mu               sync.Mutex
		transcript       *transcript
		checksToken      bool // reject an order whose fencing token isn't newer
		acceptedToken    uint64
		doneToken        uint64
		executing        int
		down             bool
		crashNext        bool      // crash while executing the next order
		loseNextResponse bool      // accept the next order, but return an error
		stallUntil       time.Time // calls of State return at that time, with the state from their start
		overlaps         int
		acceptedOrders   []uint64
	}

	// fakeControl responds to renewals as set by the test.
	fakeControl struct {
		mu          sync.Mutex
		transcript  *transcript
		term        uint64
		change      *change.Change
		unavailable bool
		reports     []change.Report
	}

	// transcript is the log of events that is compared with a golden file.
	transcript struct {
		mu   sync.Mutex
		text strings.Builder
	}

	// testbed contains a sidecar with a fake engine and a fake control.
	testbed struct {
		t          *testing.T
		network    *memory.Network
		transcript *transcript
		engine     *fakeEngine
		control    *fakeControl
		sidecar    *Sidecar
		server     *wire.Server
		pools      []*pool.Pool
	}
)

var _ engine.Engine = (*fakeEngine)(nil)

func (t *transcript) add(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	fmt.Fprintf(&t.text, format+"\n", args...)
}

// Generate sends an answer of answerTokens, which is aborted if the engine
// starts to execute an order.
func (e *fakeEngine) Generate(ctx context.Context, request message.GenerateRequest, yield func(message.Chunk) error) error {
	for i := range answerTokens {
		interval.Sleep(ctx, tokenInterval)
		if e.state().Changing {
			e.transcript.add("engine: aborts an answer")
			return fault.New(fault.Broken, fault.MaybeRun, "the engine executes an order")
		}
		if i == answerTokens-1 {
			e.transcript.add("engine: completes an answer")
		}
		if err := yield(message.Chunk{ID: request.ID, Offset: i, Tokens: 1, Text: "word ", Final: i == answerTokens-1}); err != nil {
			return err
		}
	}
	return nil
}

func (e *fakeEngine) Cancel(context.Context, string) error { return nil }

func (e *fakeEngine) State(ctx context.Context) (engine.State, error) {
	e.mu.Lock()
	stall := time.Until(e.stallUntil)
	down := e.down
	e.mu.Unlock()
	if down {
		return engine.State{}, fault.New(fault.Unavailable, fault.NotRun, "the engine is down")
	}
	state := e.state()
	if stall > 0 {
		interval.Sleep(context.WithoutCancel(ctx), stall) // emulates a paused process: its own time-outs don't end the call
	}
	return state, nil
}

func (e *fakeEngine) state() engine.State {
	e.mu.Lock()
	defer e.mu.Unlock()
	return engine.State{Models: []string{"m"}, Role: "both", Changing: e.executing > 0, AcceptedToken: e.acceptedToken, DoneToken: e.doneToken}
}

func (e *fakeEngine) Order(_ context.Context, order engine.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.checksToken && order.FencingToken <= e.acceptedToken {
		e.transcript.add("engine: rejects order %d, has accepted %d", order.FencingToken, e.acceptedToken)
		return fault.New(fault.Stale, fault.NotRun, "older fencing token")
	}
	e.transcript.add("engine: accepts order %d while executing %d others", order.FencingToken, e.executing)
	e.acceptedOrders = append(e.acceptedOrders, order.FencingToken)
	if e.executing > 0 {
		e.overlaps++
	}
	e.acceptedToken = order.FencingToken
	e.executing++
	time.AfterFunc(changeDuration, func() { e.finishOrder(order) })
	if e.loseNextResponse {
		e.loseNextResponse = false
		return fault.New(fault.Broken, fault.MaybeRun, "the response was lost")
	}
	return nil
}

func (e *fakeEngine) finishOrder(order engine.Order) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.executing--
	if e.crashNext {
		e.crashNext = false
		e.acceptedToken, e.doneToken = 0, 0
		e.down = true
		e.transcript.add("engine: crashes halfway through order %d", order.FencingToken)
		time.AfterFunc(2*time.Second, e.restart)
		return
	}
	e.doneToken = order.FencingToken
	e.transcript.add("engine: completes order %d", order.FencingToken)
}

func (e *fakeEngine) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down = false
}

func (c *fakeControl) renew(call *wire.ServerCall) {
	interval.Sleep(context.Background(), 100*time.Millisecond)
	c.mu.Lock()
	response := message.RenewResponse{Term: c.term, LeaseTTL: 6 * time.Second, Change: c.change}
	unavailable := c.unavailable
	c.mu.Unlock()
	if unavailable {
		call.Fail(fault.New(fault.Unavailable, fault.NotRun, "not the leader"))
		return
	}
	call.Reply(response)
}

func (c *fakeControl) report(call *wire.ServerCall) {
	var report change.Report
	if err := call.Decode(&report); err == nil {
		c.transcript.add("control: order %d is %s", report.FencingToken, report.State)
		c.mu.Lock()
		c.reports = append(c.reports, report)
		if c.change != nil && c.change.FencingToken == report.FencingToken {
			next := *c.change
			next.State = report.State
			c.change = &next
		}
		c.mu.Unlock()
	}
	call.Reply(message.Empty{})
}

// announce makes control return a change with each renewal from now on.
func (c *fakeControl) announce(term, number uint64, kind change.Kind) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.term = term
	announcement := change.Announcement{BackendServer: "engine-1", Kind: kind, Model: "m2", Role: change.RolePrefill}
	c.change = &change.Change{Announcement: announcement, FencingToken: number, Term: term, State: change.Announced}
	c.transcript.add("control of term %d: change %d (%s)", term, number, kind)
}

// runInTestbed runs a test with one sidecar and a synthetic clock.
func runInTestbed(t *testing.T, log *transcript, test func(b *testbed)) {
	synctest.Test(t, func(t *testing.T) {
		b := &testbed{t: t, network: memory.NewNetwork(), transcript: log}
		b.engine = &fakeEngine{transcript: log}
		b.control = &fakeControl{transcript: log, term: 3}
		listener, err := b.network.Transport("control").Listen("control")
		if err != nil {
			t.Fatal(err)
		}
		b.server = wire.NewServer(listener, b.newPool(), map[string]wire.Handler{
			message.MethodRenew:   wire.HandlerFunc(b.control.renew),
			message.MethodReport:  wire.HandlerFunc(b.control.report),
			message.MethodRelease: wire.HandlerFunc(func(call *wire.ServerCall) { call.Reply(message.Empty{}) }),
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

func (b *testbed) newPool() *pool.Pool {
	p := pool.New(16, 64)
	b.pools = append(b.pools, p)
	return p
}

func (b *testbed) newSidecar() (*Sidecar, error) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	process := kernel.DefaultProcessSettings()
	process.Instance = "engine-1"
	host := &kernel.Host{Process: process, Log: logrus.NewEntry(logger), Metrics: metrics.NewSet(), Pool: b.newPool()}
	section := DefaultSettings()
	section.Listen = "engine-1"
	section.ControlAddresses = []string{"control"}
	section.Engine.Address = "engine"
	section.ResumeRetention = settings.Duration(time.Second)
	s, err := New(host, section, b.network.Transport("engine-1"))
	if err == nil {
		s.engine = b.engine
	}
	return s, err
}

func (b *testbed) start() {
	s, err := b.newSidecar()
	if err != nil {
		b.t.Fatal(err)
	}
	b.sidecar = s
	if err := s.Start(b.t.Context()); err != nil {
		b.t.Fatal(err)
	}
}

func (b *testbed) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_ = b.sidecar.Stop(ctx)
}

func (b *testbed) wait(length time.Duration) { interval.Sleep(context.Background(), length) }

// TestOrders guards against conflicting, stale, lost or repeated orders to an
// engine. Its cases are deposed leaders, a paused or restarted sidecar, a
// crashing engine and lost responses. The cases whose names end in _twin run
// without the protection, to show that the failure occurs. The golden files contain
// the events seen by the engine and by control.
func TestOrders(t *testing.T) {
	tests := []struct {
		name string
		run  func(b *testbed)
	}{
		{"replace", func(b *testbed) {
			b.control.announce(3, 10, change.Replace)
			b.wait(10 * time.Second)
		}},
		{"deposed", func(b *testbed) {
			b.control.announce(5, 10, change.Replace)
			b.wait(time.Second)
			b.control.announce(4, 12, change.SwitchRole)
			b.wait(10 * time.Second)
		}},
		{"deposed_twin", func(b *testbed) {
			b.sidecar.skipFencing = true
			b.control.announce(5, 10, change.Replace)
			b.wait(time.Second)
			b.control.announce(4, 12, change.SwitchRole)
			b.wait(10 * time.Second)
		}},
		{"paused", pauseBeforeOrder},
		{"paused_twin", func(b *testbed) {
			b.sidecar.skipFencing = true
			pauseBeforeOrder(b)
		}},
		{"answers_run", changeDuringAnswer},
		{"answers_run_twin", func(b *testbed) {
			b.sidecar.skipDrain = true
			changeDuringAnswer(b)
		}},
		{"crash", func(b *testbed) {
			b.engine.crashNext = true
			b.control.announce(3, 10, change.Replace)
			b.wait(15 * time.Second)
		}},
		{"lost_answer", func(b *testbed) {
			b.engine.loseNextResponse = true
			b.control.announce(3, 10, change.SwitchRole)
			b.wait(10 * time.Second)
		}},
		{"restarted", func(b *testbed) {
			b.control.announce(3, 10, change.Replace)
			b.wait(time.Second)
			b.transcript.add("the sidecar is stopped and started again")
			b.stop()
			b.start()
			b.wait(10 * time.Second)
		}},
		{"older_than_the_engine_knows", func(b *testbed) {
			b.engine.checksToken = true
			b.engine.acceptedToken = 50
			b.control.announce(3, 10, change.Replace)
			b.wait(10 * time.Second)
		}},
		{"two_sidecars", func(b *testbed) {
			_, err := b.newSidecar()
			b.transcript.add("a second sidecar for the backend server: %s", fault.KindOf(err))
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			log := &transcript{}
			runInTestbed(t, log, test.run)
			golden.Check(t, "orders/"+test.name+".golden", log.text.String())
		})
	}
}

// changeDuringAnswer announces a change half a second after the start of an
// answer.
func changeDuringAnswer(b *testbed) {
	b.wait(2 * time.Second)
	outcomes := make(chan string)
	reader := &answerReader{testbed: b, outcome: outcomes}
	go reader.run()
	b.wait(500 * time.Millisecond)
	b.control.announce(3, 10, change.Replace)
	outcome := <-outcomes
	b.wait(10 * time.Second)
	b.transcript.add("the answer in progress: %s", outcome)
}

// answerReader requests an answer and reads it to its end.
type answerReader struct {
	testbed *testbed
	outcome chan<- string
}

// run reads the answer and sends its outcome.
func (r *answerReader) run() {
	client := wire.NewClient(r.testbed.network.Transport("entry-1"))
	defer client.Close()
	request := message.GenerateRequest{ID: "req-1", Customer: "crews", Model: "m", Prompt: "which bank", MaxTokens: answerTokens, TimeLeft: time.Minute}
	call, err := client.OpenCall(context.Background(), "engine-1", message.MethodGenerate, request)
	tokens := 0
	for err == nil {
		var chunk message.Chunk
		err = call.Receive(&chunk)
		tokens += chunk.Tokens
		if chunk.Final {
			r.outcome <- fmt.Sprintf("complete, %d tokens", tokens)
			return
		}
	}
	r.outcome <- fmt.Sprintf("truncated: %v", err)
}

// pauseBeforeOrder pauses the sidecar between reading the engine's state and
// sending the order, for longer than its lease.
func pauseBeforeOrder(b *testbed) {
	b.control.mu.Lock()
	b.control.unavailable = true
	b.control.mu.Unlock()
	b.engine.mu.Lock()
	b.engine.stallUntil = time.Now().Add(20 * time.Second)
	b.engine.mu.Unlock()
	b.control.announce(3, 10, change.Replace)
	b.sidecar.ApplyRenewal(message.RenewResponse{Term: 3, Change: b.control.change})
	b.wait(30 * time.Second)
}
