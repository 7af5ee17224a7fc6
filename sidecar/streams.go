package sidecar

import (
	"context"
	"time"

	"endivedeck.example/fault"
	"endivedeck.example/interval"
	"endivedeck.example/message"
	"endivedeck.example/pool"
	"endivedeck.example/rank"
	"endivedeck.example/wire"
)

const (
	sweepPause = time.Second
	cancelTime = time.Second
	signTime   = 300 * time.Millisecond // between signs of life on a quiet answer
)

type (
	// streams keeps the answers that the engine gives, so that an entry can
	// come back for the rest.
	streams struct {
		sidecar *Sidecar
		mu      rank.Mutex
		kept    map[string]*stream
	}

	// stream is one answer. Its fields are guarded by streams.mu.
	stream struct {
		streams *streams
		work    message.Work
		ctx     context.Context
		cancel  context.CancelFunc
		pieces  []message.Piece
		tokens  int // next offset
		end     bool
		err     error
		reader  int // of the newest reader; earlier ones end
		wake    chan struct{}
		begun   time.Time
		first   time.Time // when the first token came
		last    time.Time // when the last one came
		left    time.Time // when the last reader went away
		read    bool      // somebody reads
	}
)

func newStreams(s *Sidecar) *streams {
	return &streams{sidecar: s, mu: rank.New(rank.Stream), kept: map[string]*stream{}}
}

// run gives up the answers that nobody came back for.
func (t *streams) run(ctx context.Context) {
	defer t.sidecar.running.Done()
	interval.Every(ctx, sweepPause, t.sweep)
}

func (t *streams) sweep(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, s := range t.kept {
		if !s.read && now.Sub(s.left) > t.sidecar.settings.Resume.Std() {
			delete(t.kept, id)
			s.cancel()
		}
	}
}

// work serves message.MethodWork.
func (t *streams) work(x *wire.Exchange) {
	var work message.Work
	if err := x.Decode(&work); err != nil {
		x.Fail(err)
		return
	}
	s, reader, err := t.open(work)
	if err != nil {
		x.Fail(err)
		return
	}
	t.feed(x, s, reader, work.Offset)
}

// open returns the answer that is kept under the work's id, or begins it.
func (t *streams) open(work message.Work) (*stream, int, error) {
	if s, reader := t.attach(work); s != nil {
		return s, reader, nil
	}
	if work.Resume {
		return nil, 0, fault.New(fault.NotFound, fault.Unknown, "the answer isn't kept here")
	}
	if work.Most > t.sidecar.settings.MaxTokens {
		return nil, 0, fault.New(fault.TooLarge, fault.No, "an answer may have %d tokens here", t.sidecar.settings.MaxTokens)
	}
	if err := t.sidecar.admit(work.Customer, work.Revision); err != nil {
		return nil, 0, err
	}
	s := t.add(work)
	if err := t.sidecar.host.Pool.Submit(pool.Task(s)); err != nil {
		t.drop(s)
		t.sidecar.done()
		return nil, 0, err
	}
	return s, s.reader, nil
}

func (t *streams) attach(work message.Work) (*stream, int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.kept[work.ID]
	if s == nil {
		return nil, 0
	}
	s.reader++
	s.read = true
	s.signal()
	return s, s.reader
}

func (t *streams) add(work message.Work) *stream {
	ctx, cancel := context.WithTimeout(context.Background(), work.Left)
	s := &stream{
		streams: t,
		work:    work,
		ctx:     ctx,
		cancel:  cancel,
		tokens:  work.Offset,
		reader:  1,
		read:    true,
		begun:   time.Now(),
		wake:    make(chan struct{}),
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.kept[work.ID] = s
	return s
}

func (t *streams) drop(s *stream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.kept[s.work.ID] == s {
		delete(t.kept, s.work.ID)
	}
	s.cancel()
}

// Do has the engine give the answer, and implements pool.Task.
func (s *stream) Do() {
	sidecar := s.streams.sidecar
	defer sidecar.done()
	err := sidecar.engine.Generate(s.ctx, s.work, s.take)
	if s.ctx.Err() != nil {
		s.stopEngine()
		if err != nil {
			err = fault.New(fault.Deadline, fault.Unknown, "the answer's time was over")
		}
	}
	s.streams.mu.Lock()
	if !s.end {
		s.err = err
		s.end = true
	}
	s.signal()
	whole := s.err == nil && !s.first.IsZero()
	took := timing{first: s.first.Sub(s.begun), gaps: s.last.Sub(s.first), tokens: s.tokens - s.work.Offset}
	s.streams.mu.Unlock()
	if whole {
		sidecar.count(s.work, took)
	}
}

func (s *stream) stopEngine() {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTime)
	defer cancel()
	_ = s.streams.sidecar.engine.Cancel(ctx, s.work.ID)
}

// take keeps a piece of the engine's. One that belongs to another answer or
// comes twice is dropped; one that leaves a gap breaks the answer off.
func (s *stream) take(p message.Piece) error {
	s.streams.mu.Lock()
	defer s.streams.mu.Unlock()
	metrics := s.streams.sidecar.host.Metrics
	if p.ID != s.work.ID {
		metrics.GetOrCreateCounter("pieces_crossed_total").Inc()
		return nil
	}
	if p.Offset < s.tokens {
		metrics.GetOrCreateCounter("pieces_doubled_total").Inc()
		return nil
	}
	if p.Offset > s.tokens {
		return fault.New(fault.Broken, fault.Unknown, "the engine left a gap in the answer")
	}
	s.last = time.Now()
	if s.first.IsZero() {
		s.first = s.last
	}
	s.pieces = append(s.pieces, p)
	s.tokens += p.Tokens
	if s.tokens > s.work.Most {
		return fault.New(fault.Broken, fault.Unknown, "the engine gave more tokens than were asked for")
	}
	s.end = s.end || p.End
	s.signal()
	return nil
}

// signal wakes the readers. It is called with streams.mu held.
func (s *stream) signal() {
	close(s.wake)
	s.wake = make(chan struct{})
}

// feed sends an answer from offset on, until it ends, the entry is gone or
// has come back by another call. A piece without tokens is a sign of life: one
// is sent at once, and whenever the engine is quiet.
func (t *streams) feed(x *wire.Exchange, s *stream, reader, offset int) {
	next := 0
	sign := time.NewTimer(0)
	defer sign.Stop()
	for {
		pieces, state := s.after(reader, &next)
		for _, p := range pieces {
			if p.Offset < offset {
				continue
			}
			if err := x.Send(p); err != nil {
				t.leave(s, reader)
				x.End()
				return
			}
		}
		switch {
		case state.superseded:
			x.End()
			return
		case state.err != nil:
			t.drop(s)
			x.Fail(state.err)
			return
		case state.end:
			// It is kept until the sweep, in case the last pieces didn't arrive.
			t.leave(s, reader)
			x.End()
			return
		}
		select {
		case <-state.wake:
			continue
		case <-s.ctx.Done():
			s.streams.awaitEnd(s)
			continue
		case <-sign.C:
		}
		sign.Reset(signTime)
		if err := x.Send(message.Piece{ID: s.work.ID, Offset: s.offset()}); err != nil {
			t.leave(s, reader)
			x.End()
			return
		}
	}
}

type streamState struct {
	wake       chan struct{}
	end        bool
	err        error
	superseded bool
}

// after returns the pieces from index next on, and moves next behind them.
func (s *stream) after(reader int, next *int) ([]message.Piece, streamState) {
	s.streams.mu.Lock()
	defer s.streams.mu.Unlock()
	pieces := s.pieces[*next:]
	*next = len(s.pieces)
	return pieces, streamState{wake: s.wake, end: s.end, err: s.err, superseded: s.reader != reader}
}

// offset returns the offset of the next token.
func (s *stream) offset() int {
	s.streams.mu.Lock()
	defer s.streams.mu.Unlock()
	return s.tokens
}

// awaitEnd ends an answer whose time is over and that was never begun.
func (t *streams) awaitEnd(s *stream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !s.end {
		s.end = true
		s.err = fault.New(fault.Deadline, fault.Unknown, "the answer's time was over")
	}
}

func (t *streams) leave(s *stream, reader int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s.reader == reader {
		s.read = false
		s.left = time.Now()
	}
}

// cancel serves message.MethodCancel.
func (t *streams) cancel(x *wire.Exchange) {
	var ask message.Cancel
	if err := x.Decode(&ask); err != nil {
		x.Fail(err)
		return
	}
	t.mu.Lock()
	s := t.kept[ask.ID]
	t.mu.Unlock()
	if s != nil {
		t.drop(s)
	}
	x.Reply(message.Nothing{})
}
