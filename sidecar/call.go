package sidecar

import (
	"context"
	"time"

	"endivedeck.example/fault"
	"endivedeck.example/interval"
	"endivedeck.example/message"
	"endivedeck.example/order"
	"endivedeck.example/wire"
)

const (
	handedKeep  = 32 * 24 * time.Hour
	handedMost  = 1 << 17
	recordTime  = 20 * time.Second
	recordPause = 100 * time.Millisecond
	endingTime  = 3 * time.Second // to tell control of the end
	openMost    = 1000            // orders of unknown outcome that are named then
)

// handed is an order that was handed to the service, or never will be.
type handed struct {
	at      time.Time
	settled bool // it is on record, or certain, what became of it
}

// call serves message.MethodCall.
func (s *Sidecar) call(x *wire.Exchange) {
	var call message.ServiceCall
	if err := x.Decode(&call); err != nil {
		x.Fail(err)
		return
	}
	if s.service == nil {
		x.Fail(fault.New(fault.NotFound, fault.No, "no plain service stands here"))
		return
	}
	if err := s.admit(call.Customer, call.Revision); err != nil {
		x.Fail(err)
		return
	}
	defer s.done()
	if call.Order != 0 && !s.mayHand(call) {
		x.Fail(fault.New(fault.Conflict, fault.Unknown, "the order was handed over already"))
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), call.Left)
	defer cancel()
	answer, err := s.service.Call(ctx, call)
	if err != nil {
		if call.Order != 0 && fault.From(err).Ran == fault.No {
			s.settled(call.Order)
		}
		x.Fail(err)
		return
	}
	if call.Order != 0 {
		if err := s.record(call, answer); err != nil {
			x.Fail(err)
			return
		}
	}
	x.Reply(message.ServiceAnswer{ID: call.ID, Answer: answer})
}

// record makes an order's answer durable before anybody gets it. The sidecar
// does it, since it knows the answer also when the entry is gone.
func (s *Sidecar) record(call message.ServiceCall, answer order.Response) error {
	ctx, cancel := context.WithTimeout(context.Background(), recordTime)
	defer cancel()
	finish := order.Finish{
		Key:        order.Key{Customer: call.Customer, Service: s.settings.Service.Name, Key: call.Key},
		BeginIndex: call.Order,
		Response:   answer,
	}
	for {
		var finished order.FinishResult
		err := s.member.Call(ctx, message.MethodFinish, finish, &finished)
		if err == nil {
			s.settled(call.Order)
			return fault.Wrap(finished.Error)
		}
		if !interval.Sleep(ctx, recordPause) {
			return fault.New(fault.Unavailable, fault.Yes, "the order has run, but its answer isn't recorded: %s", fault.From(err).Text)
		}
	}
}

// mayHand lets an order through once, and again only to a service that
// recognises it.
func (s *Sidecar) mayHand(call message.ServiceCall) bool {
	if call.Again {
		return s.settings.Service.Dedupe
	}
	return s.hand(call.Order, time.Now())
}

// hand notes that an order is handed over and reports whether it is the first
// time. It guards against a call that arrives twice.
func (s *Sidecar) hand(intent uint64, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, twice := s.handed[intent]; twice {
		return false
	}
	if len(s.handed) >= handedMost {
		for other, h := range s.handed {
			if now.Sub(h.at) > handedKeep/2 || len(s.handed) >= handedMost {
				s.lost = s.lost || !h.settled
				delete(s.handed, other)
			}
		}
	}
	s.handed[intent] = handed{at: now}
	return true
}

// settled notes that it is on record, or certain, what became of an order.
func (s *Sidecar) settled(intent uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.handed[intent]
	h.settled = true
	s.handed[intent] = h
}

// reportEnding tells control, once nothing runs any more, which orders it
// can't know the outcome of: all others that were on their way here didn't run.
func (s *Sidecar) reportEnding(ctx context.Context) {
	s.mu.Lock()
	ending := order.SidecarShutdown{Sidecar: s.incarnation}
	for intent, h := range s.handed {
		if !h.settled {
			ending.Open = append(ending.Open, intent)
		}
	}
	lost := s.lost || len(ending.Open) > openMost
	s.mu.Unlock()
	if lost {
		return // it proves nothing
	}
	ctx, cancel := context.WithTimeout(ctx, endingTime)
	defer cancel()
	for s.member.Call(ctx, message.MethodEnding, ending, nil) != nil && interval.Sleep(ctx, recordPause) {
	}
}

// fence serves message.MethodFence: an order that wasn't handed over never
// will be, also when its call comes late. Another incarnation can't tell.
func (s *Sidecar) fence(ask message.Fence) (message.Fenced, error) {
	if ask.Incarnation != s.incarnation {
		return message.Fenced{}, fault.New(fault.NotFound, fault.Unknown, "another process was to hand the order over")
	}
	first := s.hand(ask.Order, time.Now())
	if first {
		s.settled(ask.Order)
	}
	return message.Fenced{Handed: !first}, nil
}
