package entry

import (
	"context"
	"time"

	"endivedeck.example/fault"
	"endivedeck.example/fleet"
	"endivedeck.example/interval"
	"endivedeck.example/message"
	"endivedeck.example/order"
	"endivedeck.example/rank"
)

const (
	settlePause = 500 * time.Millisecond
	settleTime  = 2 * time.Second // for one answer of control or of a sidecar
	settleMost  = 10_000          // attempts that wait to be settled
	settleKeep  = 10 * time.Minute
)

type (
	// settler settles attempts of orders whose callers wait no more: until it
	// is on record that an attempt didn't run, its key isn't free.
	settler struct {
		entry *Entry
		mu    rank.Mutex
		list  []*attempt
		kick  chan struct{}
		ended chan struct{}

		off bool // nothing is settled; for a twin
	}

	// attempt is an attempt to be settled. One that was handed to a sidecar
	// is asked about first.
	attempt struct {
		finish order.Finish
		ticket *fleet.Ticket
		since  time.Time
	}
)

func newSettler(e *Entry) *settler {
	return &settler{
		entry: e,
		mu:    rank.New(rank.Order),
		kick:  make(chan struct{}, 1),
		ended: make(chan struct{}),
	}
}

// add has it recorded that an attempt didn't run; with a ticket, once its
// sidecar has said so. The oldest is given up when there are too many.
func (s *settler) add(f order.Finish, ticket *fleet.Ticket) {
	if s.off {
		return
	}
	s.mu.Lock()
	s.list = append(s.list, &attempt{finish: f, ticket: ticket, since: time.Now()})
	if len(s.list) > settleMost {
		s.list = s.list[1:]
	}
	s.mu.Unlock()
	select {
	case s.kick <- struct{}{}:
	default:
	}
}

// run settles what was added until ctx is done.
func (s *settler) run(ctx context.Context) {
	defer close(s.ended)
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.kick:
		}
		for s.settle(ctx) && interval.Sleep(ctx, settlePause) {
		}
	}
}

// settle settles what it can and reports whether something is left.
func (s *settler) settle(ctx context.Context) bool {
	s.mu.Lock()
	list := s.list
	s.list = nil
	s.mu.Unlock()
	var left []*attempt
	for _, a := range list {
		if !s.settleOne(ctx, a) && time.Since(a.since) < settleKeep {
			left = append(left, a)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list = append(left, s.list...)
	return len(s.list) > 0
}

// settleOne reports whether nothing is left to be done about an attempt.
func (s *settler) settleOne(ctx context.Context, a *attempt) bool {
	ctx, cancel := context.WithTimeout(ctx, settleTime)
	defer cancel()
	if a.ticket != nil {
		switch s.entry.desk.fence(ctx, a.ticket, a.finish.BeginIndex) {
		case fenceUnreached:
			return false
		case fenceHanded:
			return true // its sidecar records it
		case fenceGone:
			a.finish.Sidecar = a.ticket.Incarnation
		}
		a.ticket = nil
	}
	var finished order.FinishResult
	if err := s.entry.member.Call(ctx, message.MethodFinish, a.finish, &finished); err != nil {
		return false
	}
	if err := fault.Wrap(finished.Error); err != nil {
		s.entry.log.WithField("customer", a.finish.Key.Customer).WithField("error", err.Error()).Warn("an attempt couldn't be given up")
	}
	return true
}

// drain waits for what is left, but no longer than settleTime.
func (s *settler) drain(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, settleTime)
	defer cancel()
	for s.waits() && interval.Sleep(ctx, settlePause/10) {
	}
}

func (s *settler) waits() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.list) > 0
}
