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
	streamRetention = 30 * time.Second // for which a finished stream can be resumed
)

type (
	// EngineOptions configures a simulated engine.
	EngineOptions struct {
		Address              string        // to listen on
		Models               []string      // loaded at the start
		Spec                 EngineSpec    // capacity and speed
		Fencing              bool          // refuse an order with an outdated fencing token or while another is in progress
		LoadLag              time.Duration // age of load reports
		EventLag             time.Duration // publication delay of cache events
		EventLossRate        float64       // fraction of cache events that is lost
		ChangeTime           time.Duration // duration of a role change, and of a model load of unknown size or rate
		WeightBytes          float64       // size of a model's weights in bytes
		WeightBytesPerSecond float64       // read rate of the weight store in bytes per second
		LineFaultRate        float64       // fraction of lines sent twice, after a line that ends another stream
		Seed                 uint64        // of the random faults
	}

	// Engine is a simulated engine that serves HTTP. Create it with NewEngine.
	Engine struct {
		options   EngineOptions
		server    *gate.Server
		workAdded chan struct{} // wakes the scheduling loop
		stop      context.CancelFunc
		running   sync.WaitGroup // tracks the scheduling loop

		mu          rank.Mutex
		rng         *rand.Rand
		batch       *Batch
		streams     map[string]*stream
		loadHistory []timedLoad // oldest first, from the newest that is at least LoadLag old
		cacheEvents []timedEvent
		lastSeq     uint64
		orders      orders
	}

	// stream is one answer and the connections that read it.
	stream struct {
		id             string
		model          string
		prompt         string
		sequence       *Sequence
		tokens         []string // generated here, from offset receivedTokens on
		receivedTokens int      // answer tokens that came with the request
		ended          bool
		canceled       bool
		endedAt        time.Time
		subscribers    map[chan struct{}]bool // each is signaled when the stream changes
	}

	// LoadReport is the engine's load report.
	LoadReport struct {
		Running         int      `json:"running"`
		Queued          int      `json:"queued"`
		Slots           int      `json:"slots"`
		FreeBlocks      int      `json:"freePieces"` // KV cache blocks
		AgeMS           int64    `json:"ageMs"`
		Role            string   `json:"role"`
		Models          []string `json:"models"`
		State           string   `json:"state"`       // serving or changing
		AcceptedToken   uint64   `json:"number"`      // fencing token of the newest accepted order
		DoneToken       uint64   `json:"lastDone"`    // fencing token of the order completed last
		BlockTokens     int      `json:"pieceTokens"` // tokens per KV cache block
		CacheHitTokens  int      `json:"cacheHits"`   // in tokens
		CacheMissTokens int      `json:"cacheMisses"` // in tokens
	}

	timedLoad struct {
		at   time.Time // when the load was measured
		load LoadReport
	}

	// Event is a published cache event. A gap in Seq shows that events are lost.
	Event struct {
		Seq       uint64 `json:"seq"`
		BlockHash uint64 `json:"hash,string"`
		Evicted   bool   `json:"evicted"`
	}

	timedEvent struct {
		at    time.Time // when the event is published
		event Event
	}
)

// NewEngine starts a simulated engine.
func NewEngine(options EngineOptions) (*Engine, error) {
	ctx, cancel := context.WithCancel(context.Background())
	e := &Engine{
		options:   options,
		workAdded: make(chan struct{}, 1),
		stop:      cancel,
		mu:        rank.New(rank.Standin),
		rng:       rand.New(rand.NewPCG(options.Seed, options.Seed)),
		batch:     NewBatch(options.Spec),
		streams:   map[string]*stream{},
	}
	e.orders = newOrders(options.Models)
	server, err := gate.New(options.Address, e.handler(), gate.DefaultLimits(), nil)
	if err != nil {
		cancel()
		return nil, err
	}
	e.server = server
	e.running.Add(1)
	go e.run(ctx)
	return e, nil
}

// Address returns the address on which the engine listens.
func (e *Engine) Address() string { return e.server.Address() }

// Stop ends the engine at once and breaks its connections, as a crash does.
func (e *Engine) Stop() {
	e.stop()
	e.server.Close()
	e.running.Wait()
}

// run is the scheduling loop. It runs steps while there is work and otherwise
// waits for more. Work added during a step doesn't shorten the step.
func (e *Engine) run(ctx context.Context) {
	defer e.running.Done()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		duration, idle := e.step(time.Now())
		var due <-chan time.Time
		if !idle {
			timer.Reset(duration)
			due = timer.C
		}
		select {
		case <-ctx.Done():
			return
		case <-due:
		case <-e.workAdded:
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

// step runs one step, delivers its tokens at once, and returns its duration
// and whether the engine is idle after it.
func (e *Engine) step(now time.Time) (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	tokens, duration := e.batch.Step()
	for _, token := range tokens {
		e.deliver(now, token)
	}
	e.publishCacheEvents(now)
	e.recordLoad(now)
	e.removeExpiredStreams(now)
	return duration, e.batch.Idle()
}

// deliver appends a token to its stream. It ignores a token whose stream was
// canceled, even if its ID has been reused.
func (e *Engine) deliver(now time.Time, token GeneratedToken) {
	s := e.streams[token.Sequence.ID]
	if s == nil || s.sequence != token.Sequence {
		return
	}
	s.tokens = append(s.tokens, Token(s.model, s.prompt, token.Offset))
	if token.Final {
		s.ended = true
		s.endedAt = now
	}
	s.notify()
}

func (s *stream) notify() {
	for subscriber := range s.subscribers {
		select {
		case subscriber <- struct{}{}:
		default:
		}
	}
}

// publishCacheEvents adds the step's cache events to the feed, delayed by
// EventLag and without the ones that are lost.
func (e *Engine) publishCacheEvents(now time.Time) {
	for _, event := range e.batch.Events {
		e.lastSeq++
		if e.rng.Float64() < e.options.EventLossRate {
			continue
		}
		numbered := Event{Seq: e.lastSeq, BlockHash: event.BlockHash, Evicted: event.Evicted}
		e.cacheEvents = append(e.cacheEvents, timedEvent{at: now.Add(e.options.EventLag), event: numbered})
	}
	e.batch.Events = nil
	const maxEvents = 10_000
	if excess := len(e.cacheEvents) - maxEvents; excess > 0 {
		e.cacheEvents = e.cacheEvents[excess:]
	}
}

// recordLoad records the current load and drops the records that no report
// needs any more.
func (e *Engine) recordLoad(now time.Time) {
	e.loadHistory = append(e.loadHistory, timedLoad{at: now, load: e.currentLoad()})
	oldest := now.Add(-e.options.LoadLag)
	for len(e.loadHistory) > 1 && !e.loadHistory[1].at.After(oldest) {
		e.loadHistory = e.loadHistory[1:]
	}
}

func (e *Engine) currentLoad() LoadReport {
	return LoadReport{
		Running:         len(e.batch.Running),
		Queued:          len(e.batch.Waiting),
		Slots:           e.options.Spec.Slots,
		FreeBlocks:      e.batch.FreeBlocks(),
		BlockTokens:     e.options.Spec.PieceTokens,
		CacheHitTokens:  e.batch.CacheHitTokens,
		CacheMissTokens: e.batch.CacheMissTokens,
	}
}

func (e *Engine) removeExpiredStreams(now time.Time) {
	for id, s := range e.streams {
		if s.ended && now.Sub(s.endedAt) > streamRetention {
			delete(e.streams, id)
		}
	}
}

// startStream queues a stream's sequence. An ID in use is refused.
func (e *Engine) startStream(request StreamRequest) (*stream, error) {
	if request.Priority < 0 || request.Priority > maxPriority {
		return nil, fault.New(fault.Malformed, fault.NotRun, "priority: want 0 to %d, got %d", maxPriority, request.Priority)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.orders.checkAvailable(request.Model); err != nil {
		return nil, err
	}
	if e.streams[request.ID] != nil {
		return nil, fault.New(fault.Conflict, fault.NotRun, "stream %q already exists", request.ID)
	}
	s := &stream{
		id:             request.ID,
		model:          request.Model,
		prompt:         request.Prompt,
		receivedTokens: request.ReceivedTokens,
		subscribers:    map[chan struct{}]bool{},
	}
	s.sequence = &Sequence{
		ID:             request.ID,
		BlockHashes:    prompt.BlockHashes(request.Model, request.Prompt, e.options.Spec.PieceTokens),
		PromptTokens:   prompt.CountTokens(request.Prompt),
		ReceivedTokens: request.ReceivedTokens,
		AnswerTokens:   AnswerTokens(request.Model, request.Prompt, request.MaxTokens),
		Priority:       request.Priority,
	}
	e.streams[request.ID] = s
	if request.ReceivedTokens >= s.sequence.AnswerTokens {
		s.ended = true
		s.endedAt = time.Now()
		return s, nil
	}
	e.batch.Add(s.sequence)
	e.wakeLoop()
	return s, nil
}

func (e *Engine) wakeLoop() {
	select {
	case e.workAdded <- struct{}{}:
	default:
	}
}

func (e *Engine) cancelStream(id string) {
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

// StreamCount returns the number of running and waiting streams, for tests.
func (e *Engine) StreamCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.batch.Running) + len(e.batch.Waiting)
}

// loadReport returns the newest recorded load that is at least LoadLag old, or
// the current load if there is none. An idle engine records no load, so the age
// of an idle engine's report is 0 unless LoadLag is 0.
func (e *Engine) loadReport(now time.Time) LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	oldest := now.Add(-e.options.LoadLag)
	report := timedLoad{at: now, load: e.currentLoad()}
	for _, entry := range e.loadHistory {
		if entry.at.After(oldest) {
			break
		}
		report = entry
	}
	if !e.batch.Idle() || e.options.LoadLag == 0 {
		report.load.AgeMS = now.Sub(report.at).Milliseconds()
	}
	e.orders.fillReport(&report.load)
	return report.load
}

// eventsAfter returns the published events with a sequence number above seq.
func (e *Engine) eventsAfter(now time.Time, seq uint64) []Event {
	e.mu.Lock()
	defer e.mu.Unlock()
	events := []Event{}
	for _, timed := range e.cacheEvents {
		if timed.event.Seq > seq && !timed.at.After(now) {
			events = append(events, timed.event)
		}
	}
	return events
}
