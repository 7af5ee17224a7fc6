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
	soakDialect = "soak"
	soakTokens  = 20
	tokenPause  = 30 * time.Millisecond
	ledgerTime  = 20 * time.Millisecond
	engineDown  = time.Second
)

var (
	playing   *soak        // the one that dialects belong to
	soakPools []*pool.Pool // of its processes

	_ engine.Engine   = (*soakEngine)(nil)
	_ sidecar.Service = (*soakLedger)(nil)
)

type (
	// soakEngine gives answers with doubled and crossed pieces, and crashes
	// when told to.
	soakEngine struct {
		mu     sync.Mutex
		random *rand.Rand
		crash  int // counts crashes
		until  time.Time
	}

	// soakLedger counts how often each order ran.
	soakLedger struct {
		soak   *soak
		mu     sync.Mutex
		random *rand.Rand
		ran    map[string]int
		crash  int // calls that are to break off
	}

	// soakCrew chats or orders until the soak is over.
	soakCrew struct {
		soak   *soak
		number int
	}

	// soakRestart restarts one process as planned.
	soakRestart struct {
		soak *soak
		name string
		busy *bool
	}
)

func init() {
	engine.Dialects.Register(soakDialect, func(address string) engine.Engine { return playing.engines[address] })
	sidecar.Services.Register(soakDialect, func(sidecar.ServiceSettings) sidecar.Service { return playing.ledger })
}

// play brings one failure about after another, several at once.
func (s *soak) play() {
	for end := time.Now().Add(soakTime); time.Now().Before(end); {
		interval.Sleep(s.t.Context(), time.Duration(100+s.random.IntN(900))*time.Millisecond)
		s.fail()
	}
	for _, name := range s.names {
		s.network.Heal(name)
	}
	interval.Sleep(s.t.Context(), soakQuiet)
}

func (s *soak) fail() {
	name := s.names[s.random.IntN(len(s.names))]
	length := time.Duration(500+s.random.IntN(3500)) * time.Millisecond
	switch s.random.IntN(8) {
	case 0, 1:
		other := s.names[s.random.IntN(len(s.names))]
		s.network.Forget(name, other)
	case 2:
		for _, other := range s.names {
			s.network.Forget(name, other)
		}
	case 3:
		s.network.Isolate(name, s.names...)
		time.AfterFunc(length, func() { s.network.Heal(name) })
	case 4:
		s.engines[fmt.Sprintf("crew-assist-%d", 1+s.random.IntN(soakEngines))].fall()
	case 5:
		s.ledger.fall()
	default:
		s.restart(name)
	}
}

// restart restarts a process, unless it is being restarted. Of the control
// instances one at a time is.
func (s *soak) restart(name string) {
	r := &soakRestart{soak: s, name: name}
	switch {
	case strings.HasPrefix(name, "control"):
		for _, c := range s.controls {
			if c.busy {
				return
			}
		}
		r.busy = &s.controls[name].busy
	case s.sidecars[name] != nil:
		r.busy = &s.sidecars[name].busy
	default:
		return // entries are stopped at the end
	}
	if *r.busy {
		return
	}
	*r.busy = true
	s.running.Add(1)
	go r.run()
}

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
			s.score.note(&s.score.cut, "%s stopped with %v", r.name, err)
		}
		s.startSidecar(c)
	}
	interval.Sleep(ctx, 2*time.Second)
	*r.busy = false
}

func (c *soakCrew) run() {
	defer c.soak.running.Done()
	for i := 0; ; i++ {
		select {
		case <-c.soak.over:
			return
		default:
		}
		if c.number < soakChats {
			c.ask(i)
		} else {
			c.order(i)
		}
		interval.Sleep(context.Background(), thinkTime)
	}
}

// desk returns the desk of an entry that serves, as the platform's balancer
// finds by its health check.
func (c *soakCrew) desk(i int) *Desk {
	for ; ; i++ {
		e := c.soak.entries[i%soakEntries]
		e.mu.Lock()
		entry := e.entry
		e.mu.Unlock()
		if entry != nil && entry.member.HasLease() {
			return entry.desk
		}
		interval.Sleep(context.Background(), thinkTime)
	}
}

func (c *soakCrew) ask(i int) {
	s := &c.soak.score
	d := c.desk(i + c.number)
	prompt := fmt.Sprintf("crew %d asks for the %dth time", c.number, i)
	caller, err := d.Identify("key of the crews")
	var got answer
	if err == nil {
		q := Query{ID: nonce(), Caller: caller, Class: "chat", Model: modelName, Prompt: prompt, Most: soakTokens}
		_, err = d.Ask(context.Background(), q, &got)
	}
	want := soakAnswer(prompt, 0)
	switch {
	case err == nil && got.text == want:
		s.note(&s.whole, "")
	case err == nil || !strings.HasPrefix(want, got.text):
		s.note(&s.wrong, "got %q for %q", got.text, prompt)
	case isNo(err) && got.text == "":
		s.note(&s.refused, "")
	default:
		s.note(&s.cut, "%q was cut: %v", prompt, err)
	}
}

// order sends an order again until its outcome is known, which an answer that
// it may have run doesn't make it a few times in a row.
func (c *soakCrew) order(i int) {
	s := &c.soak.score
	key := fmt.Sprintf("%d-%d", c.number, i)
	onlyNo := true
	var answers []string
	for try, left := 0, resendMost; left > 0; try++ {
		d := c.desk(i + try)
		err := c.send(d, key)
		ran := c.soak.ledger.runs(key)
		if ran > 1 {
			s.note(&s.doubled, "order %s ran %d times", key, ran)
		}
		if err == nil {
			s.note(&s.done, "")
			if ran != 1 {
				s.note(&s.wrong, "order %s was answered as done and ran %d times", key, ran)
			}
			c.resend(i+try+1, key)
			return
		}
		onlyNo = onlyNo && isNo(err)
		if onlyNo && ran > 0 {
			s.note(&s.falseNo, "order %s was answered %v and ran", key, err)
		}
		if !isNo(err) {
			left--
		}
		answers = append(answers, err.Error())
		interval.Sleep(context.Background(), resendPause)
	}
	s.note(&s.unknown, "order %s, ran %d times: %s", key, c.soak.ledger.runs(key), strings.Join(answers[:min(4, len(answers))], "; "))
}

func (c *soakCrew) send(d *Desk, key string) error {
	caller, err := d.Identify("key of the crews")
	if err == nil {
		_, err = d.Do(context.Background(), orderCall(caller, key))
	}
	return err
}

// resend sends an order that was done once more, through another entry: it
// doesn't run again.
func (c *soakCrew) resend(i int, key string) {
	_ = c.send(c.desk(i), key)
	if ran := c.soak.ledger.runs(key); ran != 1 {
		s := &c.soak.score
		s.note(&s.doubled, "order %s was done, sent again, and ran %d times", key, ran)
	}
}

func orderCall(caller Caller, key string) Call {
	return Call{
		ID:      nonce(),
		Caller:  caller,
		Class:   "orders",
		Service: ledgerKind,
		Method:  "POST",
		Path:    "/orders",
		Body:    []byte(key),
		Key:     key,
	}
}

func soakAnswer(prompt string, from int) string {
	var text strings.Builder
	for i := from; i < soakTokens; i++ {
		fmt.Fprintf(&text, "%s/%d ", prompt, i)
	}
	return text.String()
}

func (e *soakEngine) fall() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash++
	e.until = time.Now().Add(engineDown)
}

// now returns the number of crashes so far, and whether the engine is down.
func (e *soakEngine) now() (crash int, down bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crash, time.Now().Before(e.until)
}

func (e *soakEngine) chance(n int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.random.IntN(n) == 0
}

// Generate implements engine.Engine.
func (e *soakEngine) Generate(ctx context.Context, work message.Work, give func(message.Piece) error) error {
	begun, down := e.now()
	if down {
		return fault.New(fault.Unavailable, fault.No, "the engine is down")
	}
	for i := work.Offset; i < soakTokens; i++ {
		if !interval.Sleep(ctx, tokenPause) {
			return ctx.Err()
		}
		if crash, _ := e.now(); crash != begun {
			return fault.New(fault.Broken, fault.Unknown, "the engine crashed")
		}
		p := message.Piece{ID: work.ID, Offset: i, Tokens: 1, Text: fmt.Sprintf("%s/%d ", work.Prompt, i), End: i == soakTokens-1, Reason: "stop"}
		if e.chance(10) {
			_ = give(message.Piece{ID: "another", Offset: i, Tokens: 1, Text: "another's "})
		}
		if err := give(p); err != nil {
			return err
		}
		if e.chance(10) {
			_ = give(p)
		}
	}
	return nil
}

// Cancel implements engine.Engine.
func (e *soakEngine) Cancel(context.Context, string) error { return nil }

// State implements engine.Engine.
func (e *soakEngine) State(context.Context) (engine.State, error) {
	if _, down := e.now(); down {
		return engine.State{}, fault.New(fault.Unavailable, fault.No, "the engine is down")
	}
	return engine.State{Models: []string{modelName}, Role: "both", Load: message.Load{Capacity: 8}}, nil
}

// Order implements engine.Engine.
func (e *soakEngine) Order(context.Context, engine.Order) error { return nil }

func (l *soakLedger) fall() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.crash++
}

func (l *soakLedger) runs(key string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ran[key]
}

// Call implements sidecar.Service. A call that breaks off has run or not.
func (l *soakLedger) Call(_ context.Context, call message.ServiceCall) (order.Response, error) {
	interval.Sleep(context.Background(), ledgerTime)
	l.mu.Lock()
	defer l.mu.Unlock()
	broken := l.crash > 0
	if broken {
		l.crash--
		l.soak.score.note(&l.soak.score.crashes, "")
	}
	if !broken || l.random.IntN(2) == 0 {
		l.ran[call.Key]++
	}
	if broken && l.soak.options.lying {
		return order.Response{}, fault.New(fault.Unavailable, fault.No, "no connection to the service")
	}
	if broken {
		return order.Response{}, fault.New(fault.Broken, fault.Unknown, "the service didn't answer")
	}
	return order.Response{Status: 201}, nil
}

// Healthy implements sidecar.Service.
func (l *soakLedger) Healthy(context.Context) error { return nil }
