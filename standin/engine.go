package standin

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"endivedeck.example/fault"
	"endivedeck.example/gate"
	"endivedeck.example/prompt"
	"endivedeck.example/rank"
)

const (
	keepEnded = 30 * time.Second // a finished stream can be resumed for so long
)

type (
	// EngineOptions describes an engine stand-in.
	EngineOptions struct {
		Address  string
		Models   []string // that it holds at the start
		Shape    Shape
		Fencing  bool          // refuse an order with an old number
		LoadLag  time.Duration // how old load reports are
		EventLag time.Duration // how late cache events are published
		EventGap float64       // the part of cache events that is lost
		LoadTime time.Duration // to take another role, and to load a model where Weights is 0
		Weights  float64       // bytes of a model
		Store    float64       // bytes a second that the weight store gives
		Cross    float64       // the part of lines that comes twice, or with another stream's line before it
		Seed     uint64
	}

	// Engine is an engine stand-in over HTTP. Create it with NewEngine.
	Engine struct {
		options EngineOptions
		gate    *gate.Server
		wake    chan struct{}
		stop    context.CancelFunc
		ended   sync.WaitGroup

		mu      rank.Mutex
		random  *rand.Rand
		batch   *Batch
		streams map[string]*stream
		reports []timedLoad // newest last
		events  []timedEvent
		nextSeq uint64
		orders  orders
	}

	// stream is one answer and those who read it.
	stream struct {
		id       string
		model    string
		text     string
		sequence *Sequence
		tokens   []string // from offset Given on
		given    int
		end      bool
		canceled bool
		endedAt  time.Time
		readers  map[chan struct{}]bool
	}

	// Load is the engine's load report.
	Load struct {
		Running  int      `json:"running"`
		Queued   int      `json:"queued"`
		Slots    int      `json:"slots"`
		Free     int      `json:"freePieces"`
		AgeMS    int64    `json:"ageMs"`
		Role     string   `json:"role"`
		Models   []string `json:"models"`
		State    string   `json:"state"`  // serving or changing
		Number   uint64   `json:"number"` // of the newest order that was taken
		LastDone uint64   `json:"lastDone"`
		Pieces   int      `json:"pieceTokens"` // tokens in a piece
		Hits     int      `json:"cacheHits"`
		Misses   int      `json:"cacheMisses"`
	}

	timedLoad struct {
		at   time.Time
		load Load
	}

	// Event is a cache event as it is published.
	Event struct {
		Seq     uint64 `json:"seq"`
		Hash    uint64 `json:"hash,string"`
		Evicted bool   `json:"evicted"`
	}

	timedEvent struct {
		at    time.Time
		event Event
	}
)

// NewEngine starts an engine stand-in.
func NewEngine(options EngineOptions) (*Engine, error) {
	ctx, cancel := context.WithCancel(context.Background())
	e := &Engine{
		options: options,
		wake:    make(chan struct{}, 1),
		stop:    cancel,
		mu:      rank.New(rank.Standin),
		random:  rand.New(rand.NewPCG(options.Seed, options.Seed)),
		batch:   NewBatch(options.Shape),
		streams: map[string]*stream{},
	}
	e.orders = newOrders(options.Models)
	g, err := gate.New(options.Address, e.handler(), gate.DefaultLimits(), nil)
	if err != nil {
		cancel()
		return nil, err
	}
	e.gate = g
	e.ended.Add(1)
	go e.run(ctx)
	return e, nil
}

// Address returns the address that the engine listens on.
func (e *Engine) Address() string { return e.gate.Address() }

// Stop ends the engine at once, as a crash does.
func (e *Engine) Stop() {
	e.stop()
	e.gate.Close()
	e.ended.Wait()
}

// run does one step after another while there is work, and waits otherwise.
func (e *Engine) run(ctx context.Context) {
	defer e.ended.Done()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		took, idle := e.step(time.Now())
		var due <-chan time.Time
		if !idle {
			timer.Reset(took)
			due = timer.C
		}
		select {
		case <-ctx.Done():
			return
		case <-due:
		case <-e.wake:
			if !idle {
				select {
				case <-due:
				case <-ctx.Done():
					return
				}
			}
		}
	}
}

// step does one step and hands its tokens to the streams.
func (e *Engine) step(now time.Time) (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	made, took := e.batch.Step()
	for _, m := range made {
		e.give(now, m)
	}
	e.publish(now)
	e.note(now)
	e.forget(now)
	return took, e.batch.Idle()
}

func (e *Engine) give(now time.Time, m Made) {
	s := e.streams[m.Sequence.ID]
	if s == nil || s.sequence != m.Sequence {
		return
	}
	s.tokens = append(s.tokens, Token(s.model, s.text, m.Offset))
	if m.End {
		s.end = true
		s.endedAt = now
	}
	s.notify()
}

func (s *stream) notify() {
	for reader := range s.readers {
		select {
		case reader <- struct{}{}:
		default:
		}
	}
}

// publish puts cache events into the feed, late and with gaps.
func (e *Engine) publish(now time.Time) {
	for _, event := range e.batch.Events {
		e.nextSeq++
		if e.random.Float64() < e.options.EventGap {
			continue
		}
		published := Event{Seq: e.nextSeq, Hash: event.Hash, Evicted: event.Evicted}
		e.events = append(e.events, timedEvent{at: now.Add(e.options.EventLag), event: published})
	}
	e.batch.Events = nil
	const mostEvents = 10_000
	if over := len(e.events) - mostEvents; over > 0 {
		e.events = e.events[over:]
	}
}

// note keeps what the load was, for reports that lag.
func (e *Engine) note(now time.Time) {
	e.reports = append(e.reports, timedLoad{at: now, load: e.loadNow()})
	oldest := now.Add(-e.options.LoadLag)
	for len(e.reports) > 1 && !e.reports[1].at.After(oldest) {
		e.reports = e.reports[1:]
	}
}

func (e *Engine) loadNow() Load {
	return Load{
		Running: len(e.batch.Running),
		Queued:  len(e.batch.Waiting),
		Slots:   e.options.Shape.Slots,
		Free:    e.batch.Free(),
		Pieces:  e.options.Shape.PieceTokens,
		Hits:    e.batch.Hits,
		Misses:  e.batch.Misses,
	}
}

func (e *Engine) forget(now time.Time) {
	for id, s := range e.streams {
		if s.end && now.Sub(s.endedAt) > keepEnded {
			delete(e.streams, id)
		}
	}
}

// begin starts a stream. An id that runs already isn't started again.
func (e *Engine) begin(ask StreamRequest) (*stream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.orders.accepts(ask.Model); err != nil {
		return nil, err
	}
	if e.streams[ask.ID] != nil {
		return nil, fault.New(fault.Conflict, fault.No, "the stream runs already")
	}
	s := &stream{
		id:      ask.ID,
		model:   ask.Model,
		text:    ask.Prompt,
		given:   ask.Given,
		readers: map[chan struct{}]bool{},
	}
	s.sequence = &Sequence{
		ID:       ask.ID,
		Prefix:   prompt.BlockHashes(ask.Model, ask.Prompt, e.options.Shape.PieceTokens),
		Prompt:   prompt.CountTokens(ask.Prompt),
		Given:    ask.Given,
		Answer:   AnswerTokens(ask.Model, ask.Prompt, ask.Most),
		Priority: ask.Priority,
	}
	e.streams[ask.ID] = s
	if ask.Given >= s.sequence.Answer {
		s.end = true
		s.endedAt = time.Now()
		return s, nil
	}
	e.batch.Add(s.sequence)
	e.kick()
	return s, nil
}

func (e *Engine) kick() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

func (e *Engine) cancel(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.streams[id]
	if s == nil {
		return
	}
	e.batch.Cancel(id)
	s.canceled = true
	delete(e.streams, id)
	s.notify()
}

// Running returns how many streams run, for tests.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.batch.Running) + len(e.batch.Waiting)
}

func (e *Engine) load(now time.Time) Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	oldest := now.Add(-e.options.LoadLag)
	seen := timedLoad{at: now, load: e.loadNow()}
	for _, r := range e.reports {
		if r.at.After(oldest) {
			break
		}
		seen = r
	}
	if !e.batch.Idle() || e.options.LoadLag == 0 {
		seen.load.AgeMS = now.Sub(seen.at).Milliseconds()
	}
	e.orders.fill(&seen.load)
	return seen.load
}

func (e *Engine) eventsAfter(now time.Time, after uint64) []Event {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := []Event{}
	for _, t := range e.events {
		if t.event.Seq > after && !t.at.After(now) {
			list = append(list, t.event)
		}
	}
	return list
}
