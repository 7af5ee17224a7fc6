package entry

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"endivedeck.example/contract"
	"endivedeck.example/fault"
	"endivedeck.example/interval"
	"endivedeck.example/kernel"
	"endivedeck.example/message"
	"endivedeck.example/order"
	"endivedeck.example/pool"
	"endivedeck.example/settings"
	"endivedeck.example/wire"
	"endivedeck.example/wire/memory"
)

const (
	modelName    = "crew-assist"
	answerPieces = 10
	piecePause   = 100 * time.Millisecond
	ledgerName   = "plant-ledger-1"
	secondLedger = "plant-ledger-2"
	ledgerKind   = "plant-ledger"
	wholeTime    = 5 * time.Second
	grantPause   = time.Second
	customerName = "crews"
)

var engineNames = []string{"crew-assist-1", "crew-assist-2"}

type (
	// bed is one entry before a fake control and a fake sidecar, over a
	// network in memory, under the test's clock.
	bed struct {
		t       *testing.T
		network *memory.Network
		entry   *Entry
		control *fakeControl
		sidecar *fakeSidecar
		engines []*fakeEngine // behind their sidecars
		servers []*wire.Server
	}

	// fakeControl keeps a book of orders and answers by what the test sets.
	fakeControl struct {
		mu      sync.Mutex
		book    *order.Store
		ledgers []string
		index   uint64
		lost    bool // begins are carried out, and their answers lost
		away    bool // it doesn't lead
	}

	// fakeEngine stands for an engine and its sidecar: it gives answers of
	// some pieces, and keeps none.
	fakeEngine struct {
		mu   sync.Mutex
		asks int
	}

	// fakeSidecar counts the calls that it hands over.
	fakeSidecar struct {
		mu      sync.Mutex
		control *fakeControl
		ran     map[string]int  // by idempotency key
		handed  map[uint64]bool // intents that were handed over, or never will be
		fail    error           // of the next call
		forget  func()          // called once the next call has run
		gone    bool            // another incarnation answers
	}
)

// inBed runs a test with one entry under the test's clock.
func inBed(t *testing.T, test func(b *bed)) {
	inBedWith(t, []string{ledgerName}, test)
}

func inBedWith(t *testing.T, ledgers []string, test func(b *bed)) {
	synctest.Test(t, func(t *testing.T) {
		network := memory.New()
		workers := pool.New(64, 1024)
		control := &fakeControl{book: order.NewStore(), ledgers: ledgers}
		b := &bed{t: t, network: network, control: control, sidecar: &fakeSidecar{control: control, ran: map[string]int{}, handed: map[uint64]bool{}}}
		b.serve("control-1", workers, b.control.handlers())
		for _, name := range ledgers {
			b.serve(name, workers, b.sidecar.handlers())
		}
		for _, name := range engineNames {
			e := &fakeEngine{}
			b.engines = append(b.engines, e)
			b.serve(name, workers, e.handlers())
		}
		wanted := DefaultSettings()
		wanted.Control = []string{"control-1"}
		e, err := New(newHost("entry-1", workers), wanted, network.Transport("entry-1"))
		if err != nil {
			t.Fatal(err)
		}
		b.entry = e
		e.join()
		<-e.member.Ready()
		interval.Sleep(t.Context(), 2*grantPause)
		test(b)
		e.part(context.Background())
		for _, s := range b.servers {
			s.Close()
		}
		_ = workers.Stop(context.Background())
		interval.Sleep(context.Background(), time.Minute)
	})
}

// newHost returns the frame of a process whose log nobody reads.
func newHost(name string, workers *pool.Pool) *kernel.Host {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	process := kernel.DefaultProcess()
	process.Instance = name
	return &kernel.Host{Process: process, Log: logrus.NewEntry(logger), Metrics: metrics.NewSet(), Pool: workers}
}

func (b *bed) serve(name string, workers *pool.Pool, handlers map[string]wire.Handler) {
	b.t.Helper()
	listener, err := b.network.Transport(name).Listen(name)
	if err != nil {
		b.t.Fatal(err)
	}
	b.servers = append(b.servers, wire.NewServer(listener, workers, handlers))
}

// order sends an order under a key and returns how it was answered.
func (b *bed) order(key string) string {
	caller, err := b.entry.desk.Identify("key of the crews")
	if err == nil {
		_, err = b.entry.desk.Do(b.t.Context(), orderCall(caller, key))
	}
	if err == nil {
		return "done"
	}
	return "refused: " + string(fault.Of(err)) + ", ran: " + string(fault.From(err).Ran)
}

func (f *fakeControl) handlers() map[string]wire.Handler {
	return map[string]wire.Handler{
		message.MethodRenew:   wire.HandlerFunc(f.renew),
		message.MethodRelease: wire.HandlerFunc(func(x *wire.Exchange) { x.Reply(message.Nothing{}) }),
		message.MethodBegin:   wire.HandlerFunc(f.begin),
		message.MethodFinish:  wire.Answer(f.finish),
	}
}

func (f *fakeControl) set(lost, away bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lost = lost
	f.away = away
}

func (f *fakeControl) renew(x *wire.Exchange) {
	var ask message.Renew
	if err := x.Decode(&ask); err != nil {
		x.Fail(err)
		return
	}
	class := contract.Class{WholeAnswer: settings.Duration(wholeTime), Rate: 100, Burst: 100, Concurrency: 100}
	answer := message.Renewed{
		Term:     1,
		Lease:    time.Hour,
		Revision: 1,
		Entries:  1,
		Contracts: []contract.Accepted{{Revision: 1, Contract: contract.Contract{
			Customer: customerName,
			Models:   []string{modelName},
			Services: []string{ledgerKind},
			Classes:  map[string]contract.Class{"orders": class, "chat": class},
			Share:    1,
			Keys:     []string{contract.HashKey("key of the crews")},
		}}},
		Fleet: &message.Fleet{
			Version: message.FleetVersion{Term: 1, Version: 1},
		},
	}
	for _, name := range f.ledgers {
		b := message.Backend{Name: name, Address: name, Kind: message.KindService, Service: ledgerKind}
		answer.Fleet.Backends = append(answer.Fleet.Backends, b)
	}
	for _, name := range engineNames {
		b := message.Backend{Name: name, Address: name, Kind: message.KindEngine, Models: []string{modelName}}
		answer.Fleet.Backends = append(answer.Fleet.Backends, b)
	}
	if ask.Fleet == answer.Fleet.Version {
		time.AfterFunc(ask.Wait, func() { x.Reply(answer) })
		return
	}
	x.Reply(answer)
}

func (f *fakeControl) begin(x *wire.Exchange) {
	var begin order.Begin
	if err := x.Decode(&begin); err != nil {
		x.Fail(err)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.away {
		x.Fail(fault.New(fault.Unavailable, fault.No, "it doesn't lead"))
		return
	}
	f.index++
	begin.At = time.Now()
	begun := f.book.Begin(f.index, begin)
	if f.lost {
		f.away = true
		x.End()
		return
	}
	x.Reply(begun)
}

func (f *fakeControl) finish(finish order.Finish) (order.FinishResult, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.away {
		return order.FinishResult{}, fault.New(fault.Unavailable, fault.No, "it doesn't lead")
	}
	finish.At = time.Now()
	return f.book.Finish(finish), nil
}

func (f *fakeControl) record(finish order.Finish) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.book.Finish(finish)
}

// answer collects a query's answer.
type answer struct{ text string }

// Take implements Reader.
func (a *answer) Take(text string, _ int) error {
	a.text += text
	return nil
}

// chat asks a model and returns how it was answered.
func (b *bed) chat() string {
	caller, err := b.entry.desk.Identify("key of the crews")
	var got answer
	if err == nil {
		q := Query{ID: nonce(), Caller: caller, Class: "chat", Model: modelName, Prompt: "which bank", Most: answerPieces}
		_, err = b.entry.desk.Ask(b.t.Context(), q, &got)
	}
	if err != nil {
		return "broke off with " + string(fault.Of(err)) + " after: " + got.text
	}
	return "whole: " + got.text
}

func (f *fakeEngine) handlers() map[string]wire.Handler {
	return map[string]wire.Handler{
		message.MethodGrants: wire.HandlerFunc(f.grants),
		message.MethodWork:   wire.HandlerFunc(f.work),
		message.MethodCancel: wire.HandlerFunc(func(x *wire.Exchange) { x.Reply(message.Nothing{}) }),
	}
}

func (f *fakeEngine) grants(x *wire.Exchange) {
	grant := message.Grant{Incarnation: "1", For: 3 * grantPause, Models: []string{modelName}, Load: message.Load{Capacity: 8}}
	if x.Send(grant) != nil {
		x.End()
		return
	}
	time.AfterFunc(grantPause, func() { f.grants(x) })
}

func (f *fakeEngine) work(x *wire.Exchange) {
	var work message.Work
	if err := x.Decode(&work); err != nil {
		x.Fail(err)
		return
	}
	if work.Resume {
		x.Fail(fault.New(fault.NotFound, fault.Unknown, "the answer isn't kept here"))
		return
	}
	f.mu.Lock()
	f.asks++
	f.mu.Unlock()
	f.give(x, work.ID, work.Offset)
}

func (f *fakeEngine) give(x *wire.Exchange, id string, offset int) {
	p := message.Piece{ID: id, Offset: offset, Tokens: 1, Text: fmt.Sprintf("%d ", offset), End: offset == answerPieces-1}
	if x.Send(p) != nil || p.End {
		x.End()
		return
	}
	time.AfterFunc(piecePause, func() { f.give(x, id, offset+1) })
}

func (f *fakeSidecar) handlers() map[string]wire.Handler {
	return map[string]wire.Handler{
		message.MethodGrants: wire.HandlerFunc(f.grants),
		message.MethodCall:   wire.Answer(f.call),
		message.MethodFence:  wire.Answer(f.fence),
	}
}

func (f *fakeSidecar) grants(x *wire.Exchange) {
	if x.Send(message.Grant{Incarnation: "1", For: 3 * grantPause, Load: message.Load{Capacity: 8}}) != nil {
		x.End()
		return
	}
	time.AfterFunc(grantPause, func() { f.grants(x) })
}

func (f *fakeSidecar) call(call message.ServiceCall) (message.ServiceAnswer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.fail; err != nil {
		f.fail = nil
		return message.ServiceAnswer{}, err
	}
	if f.handed[call.Order] {
		return message.ServiceAnswer{}, fault.New(fault.Conflict, fault.Unknown, "handed over already")
	}
	f.handed[call.Order] = true
	f.ran[call.Key]++
	answer := order.Response{Status: 201}
	key := order.Key{Customer: call.Customer, Service: ledgerKind, Key: call.Key}
	f.control.record(order.Finish{Key: key, BeginIndex: call.Order, Response: answer})
	if f.forget != nil {
		f.forget()
		f.forget = nil
	}
	return message.ServiceAnswer{ID: call.ID, Answer: answer}, nil
}

func (f *fakeSidecar) fence(ask message.Fence) (message.Fenced, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.gone {
		return message.Fenced{}, fault.New(fault.NotFound, fault.Unknown, "another process was to hand the order over")
	}
	handed := f.handed[ask.Order]
	f.handed[ask.Order] = true
	return message.Fenced{Handed: handed}, nil
}
