package entry

import (
	"context"
	"time"

	"endivedeck.example/interval"
	"endivedeck.example/message"
	"endivedeck.example/order"
	"endivedeck.example/rank"
)

const (
	settlePause = 500 * time.Millisecond
	settleTime  = 2 * time.Second // for one answer of control
	settleMost  = 10_000          // outcomes that wait to be recorded
)

// settler records, as soon as control can be reached, that attempts of orders
// didn't run: until then their keys aren't free, although their callers may
// have been told that nothing ran.
type settler struct {
	entry *Entry
	mu    rank.Mutex
	list  []order.Finish
	kick  chan struct{}
	ended chan struct{}

	off bool // nothing is recorded; for a twin
}

func newSettler(e *Entry) *settler {
	return &settler{
		entry: e,
		mu:    rank.New(rank.Order),
		kick:  make(chan struct{}, 1),
		ended: make(chan struct{}),
	}
}

// add has an outcome recorded. The oldest is given up when there are too many:
// its key then stays taken for the record's keep-time.
func (s *settler) add(f order.Finish) {
	if s.off {
		return
	}
	s.mu.Lock()
	s.list = append(s.list, f)
	if len(s.list) > settleMost {
		s.list = s.list[1:]
	}
	s.mu.Unlock()
	select {
	case s.kick <- struct{}{}:
	default:
	}
}

// run records what was added until ctx is done.
func (s *settler) run(ctx context.Context) {
	defer close(s.ended)
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.kick:
		}
		for s.settle(ctx) && interval.Wait(ctx, settlePause) {
		}
	}
}

// settle records what it can and reports whether something is left.
func (s *settler) settle(ctx context.Context) bool {
	for {
		f, ok := s.first()
		if !ok {
			return false
		}
		if err := s.record(ctx, f); err != nil {
			return true
		}
		s.drop(f)
	}
}

func (s *settler) record(ctx context.Context, f order.Finish) error {
	ctx, cancel := context.WithTimeout(ctx, settleTime)
	defer cancel()
	var finished order.Finished
	if err := s.entry.member.Ask(ctx, message.MethodFinish, f, &finished); err != nil {
		return err
	}
	if finished.Error != nil {
		s.entry.log.WithField("customer", f.Key.Customer).WithField("error", finished.Error.Text).Warn("an attempt couldn't be given up")
	}
	return nil
}

func (s *settler) first() (order.Finish, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.list) == 0 {
		return order.Finish{}, false
	}
	return s.list[0], true
}

func (s *settler) drop(f order.Finish) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.list) > 0 && s.list[0].Key == f.Key {
		s.list = s.list[1:]
	}
}

// drain waits for what is left, but no longer than settleTime.
func (s *settler) drain(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, settleTime)
	defer cancel()
	for {
		if _, left := s.first(); !left || !interval.Wait(ctx, settlePause/10) {
			return
		}
	}
}
