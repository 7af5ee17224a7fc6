package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"endivedeck.example/engine"
	"endivedeck.example/fault"
	"endivedeck.example/interval"
	"endivedeck.example/message"
	"endivedeck.example/order"
	"endivedeck.example/pool"
	"endivedeck.example/sidecar"
)

const (
	soakDialect     = "soak"
	soakTokens      = 20
	tokenInterval   = 30 * time.Millisecond
	serviceCallTime = 20 * time.Millisecond
	engineDowntime  = time.Second
)

var (
	activeSoak *soakRun     // serves the engines and services of soakDialect
	soakPools  []*pool.Pool // of the processes of activeSoak

	_ engine.Engine   = (*soakEngine)(nil)
	_ sidecar.Service = (*soakService)(nil)
)

type (
	// soakEngine generates answers with duplicated chunks and chunks of
	// other answers in between, and crashes on request.
	soakEngine struct {
		mu        sync.Mutex
		random    *rand.Rand
		crashes   int
		downUntil time.Time
	}

	// soakService counts how often each order was executed.
	soakService struct {
		soak         *soakRun
		mu           sync.Mutex
		random       *rand.Rand
		executions   map[string]int
		callsToBreak int // next calls that fail with an unknown outcome
	}

	// soakClient sends queries or orders until the soak test stops.
	soakClient struct {
		soak   *soakRun
		number int
	}

	// soakRestart is a planned restart of one process.
	soakRestart struct {
		soak       *soakRun
		name       string
		restarting *bool
	}
)

func init() {
	engine.Dialects.Register(soakDialect, func(address string) engine.Engine { return activeSoak.engines[address] })
	sidecar.ServiceDialects.Register(soakDialect, func(sidecar.ServiceSettings) sidecar.Service { return activeSoak.service })
}

// injectFaults injects faults at random intervals for soakFaultTime. The faults
// overlap. Then it heals the network and waits for the system to recover.
func (s *soakRun) injectFaults() {
	for end := time.Now().Add(soakFaultTime); time.Now().Before(end); {
		interval.Sleep(s.t.Context(), time.Duration(100+s.random.IntN(900))*time.Millisecond)
		s.injectFault()
	}
	for _, name := range s.names {
		s.network.Heal(name)
	}
	interval.Sleep(s.t.Context(), soakRecoveryTime)
}

func (s *soakRun) injectFault() {
	name := s.names[s.random.IntN(len(s.names))]
	length := time.Duration(500+s.random.IntN(3500)) * time.Millisecond
	switch s.random.IntN(8) {
	case 0, 1:
		other := s.names[s.random.IntN(len(s.names))]
		s.network.BlackholeConns(name, other)
	case 2:
		for _, other := range s.names {
			s.network.BlackholeConns(name, other)
		}
	case 3:
		s.network.Isolate(name, s.names...)
		time.AfterFunc(length, func() { s.network.Heal(name) })
	case 4:
		s.engines[fmt.Sprintf("crew-assist-%d", 1+s.random.IntN(soakEngineCount))].crash()
	case 5:
		s.service.breakNextCall()
	default:
		s.restart(name)
	}
}

// restart starts a planned restart of a process, unless one is running. Only one
// control instance is restarted at a time.
func (s *soakRun) restart(name string) {
	r := &soakRestart{soak: s, name: name}
	switch {
	case strings.HasPrefix(name, "control"):
		for _, c := range s.controls {
			if c.restarting {
				return
			}
		}
		r.restarting = &s.controls[name].restarting
	case s.sidecars[name] != nil:
		r.restarting = &s.sidecars[name].restarting
	default:
		return // entries run until the end
	}
	if *r.restarting {
		return
	}
	*r.restarting = true
	s.running.Add(1)
	go r.run()
}

// run stops and starts the process and lets it run for a while before it may be
// restarted again.
func (r *soakRestart) run() {
	s := r.soak
	defer s.running.Done()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	if c := s.controls[r.name]; c != nil {
		_ = c.control.Stop(ctx)
		s.startControl(r.name)
	} else {
		c := s.sidecars[r.name]
		if err := c.sidecar.Stop(ctx); err != nil {
			s.result.count(&s.result.truncated, "stopping %s failed: %v", r.name, err)
		}
		s.startSidecar(c)
	}
	interval.Sleep(ctx, 2*time.Second)
	*r.restarting = false
}

// run sends queries or orders, one at a time, until the soak test stops.
func (c *soakClient) run() {
	defer c.soak.running.Done()
	for i := 0; ; i++ {
		select {
		case <-c.soak.stop:
			return
		default:
		}
		if c.number < soakQueryClients {
			c.sendQuery(i)
		} else {
			c.sendOrder(i)
		}
		interval.Sleep(context.Background(), thinkTime)
	}
}

// healthyExecutor returns the Executor of an entry that holds its configuration
// lease, as a load balancer would select it by the health check.
func (c *soakClient) healthyExecutor(i int) *Executor {
	for ; ; i++ {
		e := c.soak.entries[i%soakEntryCount]
		e.mu.Lock()
		entry := e.entry
		e.mu.Unlock()
		if entry != nil && entry.member.HasLease() {
			return entry.executor
		}
		interval.Sleep(context.Background(), thinkTime)
	}
}

func (c *soakClient) sendQuery(i int) {
	s := &c.soak.result
	executor := c.healthyExecutor(i + c.number)
	prompt := fmt.Sprintf("crew %d asks for the %dth time", c.number, i)
	caller, err := executor.Authenticate("key of the crews")
	var got answerCollector
	if err == nil {
		q := Query{ID: randomID(), Caller: caller, Class: "chat", Model: testModel, Prompt: prompt, MaxTokens: soakTokens}
		_, err = executor.Query(context.Background(), q, &got)
	}
	want := soakAnswer(prompt, 0)
	switch {
	case err == nil && got.text == want:
		s.count(&s.completed, "")
	case err == nil || !strings.HasPrefix(want, got.text):
		s.count(&s.mixedUp, "got answer %q to %q", got.text, prompt)
	case didNotRun(err) && got.text == "":
		s.count(&s.rejected, "")
	default:
		s.count(&s.truncated, "answer to %q was truncated: %v", prompt, err)
	}
}

// sendOrder sends an order, repeatedly with the same key until its outcome is
// known or maxUnknownReplies replies have said that it may have run. It counts
// each violation of at-most-once execution.
func (c *soakClient) sendOrder(i int) {
	s := &c.soak.result
	key := fmt.Sprintf("%d-%d", c.number, i)
	neverRan := true
	var replies []string
	for attempt, repliesLeft := 0, maxUnknownReplies; repliesLeft > 0; attempt++ {
		executor := c.healthyExecutor(i + attempt)
		err := c.send(executor, key)
		ran := c.soak.service.executionsOf(key)
		if ran > 1 {
			s.count(&s.duplicated, "order %s was executed %d times", key, ran)
		}
		if err == nil {
			s.count(&s.done, "")
			if ran != 1 {
				s.count(&s.mixedUp, "order %s was reported as done and executed %d times", key, ran)
			}
			c.resend(i+attempt+1, key)
			return
		}
		neverRan = neverRan && didNotRun(err)
		if neverRan && ran > 0 {
			s.count(&s.falseNotRun, "order %s failed with %v, which says that it did not run, and was executed", key, err)
		}
		if !didNotRun(err) {
			repliesLeft--
		}
		replies = append(replies, err.Error())
		interval.Sleep(context.Background(), resendInterval)
	}
	s.count(&s.unknown, "outcome of order %s unknown, executed %d times: %s", key, c.soak.service.executionsOf(key), strings.Join(replies[:min(4, len(replies))], "; "))
}

func (c *soakClient) send(executor *Executor, key string) error {
	caller, err := executor.Authenticate("key of the crews")
	if err == nil {
		_, err = executor.Call(context.Background(), orderCall(caller, key))
	}
	return err
}

// resend sends a completed order again through another entry. It must not be
// executed again.
func (c *soakClient) resend(i int, key string) {
	_ = c.send(c.healthyExecutor(i), key)
	if ran := c.soak.service.executionsOf(key); ran != 1 {
		s := &c.soak.result
		s.count(&s.duplicated, "order %s was done, sent again, and executed %d times", key, ran)
	}
}

func orderCall(caller Caller, key string) Call {
	return Call{
		ID:             randomID(),
		Caller:         caller,
		Class:          "orders",
		Service:        testService,
		Method:         "POST",
		Path:           "/orders",
		Body:           []byte(key),
		IdempotencyKey: key,
	}
}

func soakAnswer(prompt string, from int) string {
	var text strings.Builder
	for i := from; i < soakTokens; i++ {
		fmt.Fprintf(&text, "%s/%d ", prompt, i)
	}
	return text.String()
}

func (e *soakEngine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashes++
	e.downUntil = time.Now().Add(engineDowntime)
}

// state returns the number of crashes so far and whether the engine is down.
func (e *soakEngine) state() (crashes int, down bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashes, time.Now().Before(e.downUntil)
}

func (e *soakEngine) oneIn(n int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.random.IntN(n) == 0
}

// Generate implements engine.Engine.
func (e *soakEngine) Generate(ctx context.Context, request message.GenerateRequest, yield func(message.Chunk) error) error {
	crashesBefore, down := e.state()
	if down {
		return fault.New(fault.Unavailable, fault.NotRun, "the engine is down")
	}
	for i := request.Offset; i < soakTokens; i++ {
		if !interval.Sleep(ctx, tokenInterval) {
			return ctx.Err()
		}
		if crashes, _ := e.state(); crashes != crashesBefore {
			return fault.New(fault.Broken, fault.MaybeRun, "the engine crashed")
		}
		chunk := message.Chunk{ID: request.ID, Offset: i, Tokens: 1, Text: fmt.Sprintf("%s/%d ", request.Prompt, i), Final: i == soakTokens-1, FinishReason: "stop"}
		if e.oneIn(10) {
			_ = yield(message.Chunk{ID: "another", Offset: i, Tokens: 1, Text: "another's "})
		}
		if err := yield(chunk); err != nil {
			return err
		}
		if e.oneIn(10) {
			_ = yield(chunk)
		}
	}
	return nil
}

// Cancel implements engine.Engine.
func (e *soakEngine) Cancel(context.Context, string) error { return nil }

// State implements engine.Engine.
func (e *soakEngine) State(context.Context) (engine.State, error) {
	if _, down := e.state(); down {
		return engine.State{}, fault.New(fault.Unavailable, fault.NotRun, "the engine is down")
	}
	return engine.State{Models: []string{testModel}, Role: "both", Load: message.Load{Capacity: 8}}, nil
}

// Order implements engine.Engine.
func (e *soakEngine) Order(context.Context, engine.Order) error { return nil }

func (s *soakService) breakNextCall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.callsToBreak++
}

func (s *soakService) executionsOf(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.executions[key]
}

// Call implements sidecar.Service. A failing call is executed with probability
// one half.
func (s *soakService) Call(_ context.Context, call message.ServiceCall) (order.Response, error) {
	interval.Sleep(context.Background(), serviceCallTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	broken := s.callsToBreak > 0
	if broken {
		s.callsToBreak--
		s.soak.result.count(&s.soak.result.brokenCalls, "")
	}
	if !broken || s.random.IntN(2) == 0 {
		s.executions[call.IdempotencyKey]++
	}
	if broken && s.soak.options.misreportNotRun {
		return order.Response{}, fault.New(fault.Unavailable, fault.NotRun, "no connection to the service")
	}
	if broken {
		return order.Response{}, fault.New(fault.Broken, fault.MaybeRun, "no response from the service")
	}
	return order.Response{Status: 201}, nil
}

// Healthy implements sidecar.Service.
func (s *soakService) Healthy(context.Context) error { return nil }
