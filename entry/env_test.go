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
	testModel           = "crew-assist"
	answerChunks        = 10
	chunkInterval       = 100 * time.Millisecond
	serviceServer       = "plant-ledger-1"
	secondServiceServer = "plant-ledger-2"
	testService         = "plant-ledger"
	requestTimeout      = 5 * time.Second
	grantInterval       = time.Second
	testCustomer        = "crews"
)

var engineServers = []string{"crew-assist-1", "crew-assist-2"}

type (
	// testEnv is an entry connected to a fake control and fake sidecars over an
	// in-memory network.
	testEnv struct {
		t       *testing.T
		network *memory.Network
		entry   *Entry
		control *fakeControl
		sidecar *fakeSidecar
		engines []*fakeEngine
		servers []*wire.Server
	}

	// fakeControl records orders like control, with faults that a test sets.
	fakeControl struct {
		mu               sync.Mutex
		store            *order.Store
		serviceServers   []string
		index            uint64
		dropBeginReplies bool // orders are begun, the reply is lost and control is then not the leader
		notLeader        bool
		rejectFinishes   bool // as if no leader were reachable
		finishTime       time.Duration
	}

	// fakeEngine emulates an engine and its sidecar. Its answers have
	// answerChunks chunks and can't be resumed.
	fakeEngine struct {
		mu       sync.Mutex
		requests int
		cancels  int
		breaks   *engineBreaks // nil for none
	}

	// engineBreaks makes engines break off the answers to the next requests that
	// any of them receives.
	engineBreaks struct {
		mu     sync.Mutex
		left   int     // requests that are still to be broken off
		tokens int     // that each of them yields before
		errs   []error // what the sidecars report in turn; nil to close the stream
		count  int     // requests that were broken off
	}

	// fakeSidecar counts the executions of each order by its service.
	fakeSidecar struct {
		mu            sync.Mutex
		control       *fakeControl
		executions    map[string]int  // by idempotency key
		sentOrders    map[uint64]bool // by begin index: sent to the service or fenced off
		nextCallError error           // returned to the next call
		afterNextCall func()          // called once the next call was executed
		restarted     bool            // fence requests reach another incarnation
	}
)

// withTestEnv runs a test with a testEnv and fake time.
func withTestEnv(t *testing.T, test func(env *testEnv)) {
	withTestEnvServers(t, []string{serviceServer}, test)
}

// withTestEnvServers is like withTestEnv, with the given backend servers of the
// service.
func withTestEnvServers(t *testing.T, serviceServers []string, test func(env *testEnv)) {
	synctest.Test(t, func(t *testing.T) {
		network := memory.NewNetwork()
		workers := pool.New(64, 1024)
		control := &fakeControl{store: order.NewStore(), serviceServers: serviceServers}
		env := &testEnv{t: t, network: network, control: control, sidecar: &fakeSidecar{control: control, executions: map[string]int{}, sentOrders: map[uint64]bool{}}}
		env.serve("control-1", workers, env.control.handlers())
		for _, name := range serviceServers {
			env.serve(name, workers, env.sidecar.handlers())
		}
		for _, name := range engineServers {
			e := &fakeEngine{}
			env.engines = append(env.engines, e)
			env.serve(name, workers, e.handlers())
		}
		config := DefaultSettings()
		config.ControlAddresses = []string{"control-1"}
		e, err := New(newHost("entry-1", workers), config, network.Transport("entry-1"))
		if err != nil {
			t.Fatal(err)
		}
		env.entry = e
		e.connect()
		<-e.member.Ready()
		interval.Sleep(t.Context(), 2*grantInterval)
		test(env)
		e.disconnect(context.Background())
		for _, s := range env.servers {
			s.Close()
		}
		_ = workers.Stop(context.Background())
		interval.Sleep(context.Background(), time.Minute)
	})
}

// newHost returns the host of a process whose log is discarded.
func newHost(name string, workers *pool.Pool) *kernel.Host {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	process := kernel.DefaultProcessSettings()
	process.Instance = name
	return &kernel.Host{Process: process, Log: logrus.NewEntry(logger), Metrics: metrics.NewSet(), Pool: workers}
}

func (env *testEnv) serve(name string, workers *pool.Pool, handlers map[string]wire.Handler) {
	env.t.Helper()
	listener, err := env.network.Transport(name).Listen(name)
	if err != nil {
		env.t.Fatal(err)
	}
	env.servers = append(env.servers, wire.NewServer(listener, workers, handlers))
}

// sendOrder sends an order with an idempotency key and returns its outcome.
func (env *testEnv) sendOrder(key string) string {
	caller, err := env.entry.executor.Authenticate("key of the crews")
	if err == nil {
		_, err = env.entry.executor.Call(env.t.Context(), orderCall(caller, key))
	}
	if err == nil {
		return "done"
	}
	return "refused: " + string(fault.KindOf(err)) + ", ran: " + string(fault.FromError(err).Ran)
}

func (f *fakeControl) handlers() map[string]wire.Handler {
	return map[string]wire.Handler{
		message.MethodRenew:   wire.HandlerFunc(f.renew),
		message.MethodRelease: wire.HandlerFunc(func(call *wire.ServerCall) { call.Reply(message.Empty{}) }),
		message.MethodBegin:   wire.HandlerFunc(f.begin),
		message.MethodFinish:  wire.Unary(f.finish),
	}
}

func (f *fakeControl) setFaults(dropBeginReplies, notLeader bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dropBeginReplies = dropBeginReplies
	f.notLeader = notLeader
}

func (f *fakeControl) setRejectFinishes(reject bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rejectFinishes = reject
}

func (f *fakeControl) renew(call *wire.ServerCall) {
	var request message.RenewRequest
	if err := call.Decode(&request); err != nil {
		call.Fail(err)
		return
	}
	class := contract.Class{WholeAnswer: settings.Duration(requestTimeout), Rate: 100, Burst: 100, Concurrency: 100}
	reply := message.RenewResponse{
		Term:       1,
		LeaseTTL:   time.Hour,
		Revision:   1,
		EntryCount: 1,
		Contracts: []contract.Accepted{{Revision: 1, Contract: contract.Contract{
			Customer: testCustomer,
			Models:   []string{testModel},
			Services: []string{testService},
			Classes:  map[string]contract.Class{"orders": class, "chat": class},
			Share:    1,
			Keys:     []string{contract.HashKey("key of the crews")},
		}}},
		Fleet: &message.Fleet{
			Version: message.FleetVersion{Term: 1, Version: 1},
		},
	}
	for _, name := range f.serviceServers {
		b := message.Backend{Name: name, Address: name, Kind: message.KindService, Service: testService}
		reply.Fleet.Backends = append(reply.Fleet.Backends, b)
	}
	for _, name := range engineServers {
		b := message.Backend{Name: name, Address: name, Kind: message.KindEngine, Models: []string{testModel}}
		reply.Fleet.Backends = append(reply.Fleet.Backends, b)
	}
	if request.FleetVersion == reply.Fleet.Version {
		time.AfterFunc(request.MaxWait, func() { call.Reply(reply) })
		return
	}
	call.Reply(reply)
}

func (f *fakeControl) begin(call *wire.ServerCall) {
	var begin order.Begin
	if err := call.Decode(&begin); err != nil {
		call.Fail(err)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.notLeader {
		call.Fail(fault.New(fault.Unavailable, fault.NotRun, "not the leader"))
		return
	}
	f.index++
	begin.At = time.Now()
	begun := f.store.Begin(f.index, begin)
	if f.dropBeginReplies {
		f.notLeader = true
		call.End()
		return
	}
	call.Reply(begun)
}

func (f *fakeControl) finish(finish order.Finish) (order.FinishResult, error) {
	interval.Sleep(context.Background(), f.finishTime)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.notLeader || f.rejectFinishes {
		return order.FinishResult{}, fault.New(fault.Unavailable, fault.NotRun, "not the leader")
	}
	finish.At = time.Now()
	return f.store.Finish(finish), nil
}

func (f *fakeControl) recordFinish(finish order.Finish) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.store.Finish(finish)
}

// answerCollector collects the answer to a query.
type answerCollector struct{ text string }

// WriteTokens implements TokenWriter.
func (r *answerCollector) WriteTokens(text string, _ int) error {
	r.text += text
	return nil
}

// sendQuery sends a query and returns its outcome and answer.
func (env *testEnv) sendQuery() string {
	caller, err := env.entry.executor.Authenticate("key of the crews")
	var got answerCollector
	if err == nil {
		q := Query{ID: randomID(), Caller: caller, Class: "chat", Model: testModel, Prompt: "which bank", MaxTokens: answerChunks}
		_, err = env.entry.executor.Query(env.t.Context(), q, &got)
	}
	if err != nil {
		return "failed with " + string(fault.KindOf(err)) + ", ran " + string(fault.FromError(err).Ran) + ", after: " + got.text
	}
	return "complete: " + got.text
}

func (f *fakeEngine) handlers() map[string]wire.Handler {
	return map[string]wire.Handler{
		message.MethodGrants:   wire.HandlerFunc(f.grants),
		message.MethodGenerate: wire.HandlerFunc(f.generate),
		message.MethodCancel:   wire.HandlerFunc(f.cancel),
	}
}

func (f *fakeEngine) cancel(call *wire.ServerCall) {
	f.mu.Lock()
	f.cancels++
	f.mu.Unlock()
	call.Reply(message.Empty{})
}

func (f *fakeEngine) grants(call *wire.ServerCall) {
	grant := message.Grant{Incarnation: "1", Duration: 3 * grantInterval, Models: []string{testModel}, Load: message.Load{Capacity: 8}}
	if call.Send(grant) != nil {
		call.End()
		return
	}
	time.AfterFunc(grantInterval, func() { f.grants(call) })
}

func (f *fakeEngine) generate(call *wire.ServerCall) {
	var request message.GenerateRequest
	if err := call.Decode(&request); err != nil {
		call.Fail(err)
		return
	}
	if request.Resume {
		call.Fail(fault.New(fault.NotFound, fault.MaybeRun, "no such stream"))
		return
	}
	f.mu.Lock()
	f.requests++
	breaks := f.breaks
	f.mu.Unlock()
	if breaks != nil {
		if ok, breakErr := breaks.take(); ok {
			f.sendChunks(call, request.ID, request.Offset, request.Offset+breaks.tokens, breakErr)
			return
		}
	}
	f.sendChunks(call, request.ID, request.Offset, answerChunks, nil)
}

// take reports whether the next request is to be broken off, and with which error,
// and counts it.
func (b *engineBreaks) take() (ok bool, breakErr error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left == 0 {
		return false, nil
	}
	breakErr = b.errs[b.count%len(b.errs)]
	b.left--
	b.count++
	return true, breakErr
}

// sendChunks sends the chunks of an answer from offset on. It breaks off at
// breakOffset, with an error unless breakErr is nil.
func (f *fakeEngine) sendChunks(call *wire.ServerCall, id string, offset, breakOffset int, breakErr error) {
	if offset == breakOffset {
		if breakErr != nil {
			call.Fail(breakErr)
		} else {
			call.End()
		}
		return
	}
	chunk := message.Chunk{ID: id, Offset: offset, Tokens: 1, Text: fmt.Sprintf("%d ", offset), Final: offset == answerChunks-1}
	if call.Send(chunk) != nil || chunk.Final {
		call.End()
		return
	}
	time.AfterFunc(chunkInterval, func() { f.sendChunks(call, id, offset+1, breakOffset, breakErr) })
}

func (f *fakeSidecar) handlers() map[string]wire.Handler {
	return map[string]wire.Handler{
		message.MethodGrants:      wire.HandlerFunc(f.grants),
		message.MethodServiceCall: wire.Unary(f.serveCall),
		message.MethodFence:       wire.Unary(f.fence),
	}
}

func (f *fakeSidecar) grants(call *wire.ServerCall) {
	if call.Send(message.Grant{Incarnation: "1", Duration: 3 * grantInterval, Load: message.Load{Capacity: 8}}) != nil {
		call.End()
		return
	}
	time.AfterFunc(grantInterval, func() { f.grants(call) })
}

func (f *fakeSidecar) serveCall(call message.ServiceCall) (message.ServiceResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.nextCallError; err != nil {
		f.nextCallError = nil
		return message.ServiceResponse{}, err
	}
	if f.sentOrders[call.BeginIndex] {
		return message.ServiceResponse{}, fault.New(fault.Conflict, fault.MaybeRun, "the order was already sent to the service")
	}
	f.sentOrders[call.BeginIndex] = true
	f.executions[call.IdempotencyKey]++
	response := order.Response{Status: 201}
	key := order.Key{Customer: call.Customer, Service: testService, Key: call.IdempotencyKey}
	f.control.recordFinish(order.Finish{Key: key, BeginIndex: call.BeginIndex, Response: response})
	if f.afterNextCall != nil {
		f.afterNextCall()
		f.afterNextCall = nil
	}
	return message.ServiceResponse{ID: call.ID, Response: response}, nil
}

func (f *fakeSidecar) fence(request message.FenceRequest) (message.FenceResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.restarted {
		return message.FenceResponse{}, fault.New(fault.NotFound, fault.MaybeRun, "the order belongs to another incarnation")
	}
	sent := f.sentOrders[request.BeginIndex]
	f.sentOrders[request.BeginIndex] = true
	return message.FenceResponse{Sent: sent}, nil
}
