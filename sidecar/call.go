package sidecar

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"endivedeck.example/fault"
	"endivedeck.example/interval"
	"endivedeck.example/message"
	"endivedeck.example/order"
	"endivedeck.example/wire"
)

const (
	callDialTime  = time.Second
	maxAnswer     = 8 << 20
	handedKeep    = 32 * 24 * time.Hour
	handedMost    = 1 << 17
	idleCallConns = 64
	recordTime    = 20 * time.Second
	recordPause   = 100 * time.Millisecond
)

// newPlainClient is for calls that may be repeated.
func newPlainClient() *http.Client {
	dialer := &net.Dialer{Timeout: callDialTime}
	return &http.Client{
		Transport:     &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: idleCallConns},
		CheckRedirect: keepRedirect,
	}
}

// newOnceClient is for orders. Its connections aren't used twice: over a used
// connection that breaks, net/http sends a request that carries an
// Idempotency-Key again by itself.
func newOnceClient() *http.Client {
	dialer := &net.Dialer{Timeout: callDialTime}
	return &http.Client{
		Transport:     &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true},
		CheckRedirect: keepRedirect,
	}
}

func keepRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// call serves message.MethodCall.
func (s *Sidecar) call(x *wire.Exchange) {
	var call message.ServiceCall
	if err := x.Decode(&call); err != nil {
		x.Fail(err)
		return
	}
	if s.engine != nil {
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
	answer, err := s.callService(call)
	if err != nil {
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
func (s *Sidecar) record(call message.ServiceCall, answer order.Answer) error {
	ctx, cancel := context.WithTimeout(context.Background(), recordTime)
	defer cancel()
	finish := order.Finish{
		Key:    order.Key{Customer: call.Customer, Service: s.settings.Service.Name, Key: call.Key},
		Intent: call.Order,
		Answer: answer,
	}
	for {
		var finished order.Finished
		err := s.member.Ask(ctx, message.MethodFinish, finish, &finished)
		if err == nil {
			return fault.Wrap(finished.Error)
		}
		if !interval.Wait(ctx, recordPause) {
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
		for other, at := range s.handed {
			if now.Sub(at) > handedKeep/2 || len(s.handed) >= handedMost {
				delete(s.handed, other)
			}
		}
	}
	s.handed[intent] = now
	return true
}

// fence serves message.MethodFence: an order that wasn't handed over never
// will be, also when its call comes late. Another incarnation can't tell.
func (s *Sidecar) fence(x *wire.Exchange) {
	var ask message.Fence
	if err := x.Decode(&ask); err != nil {
		x.Fail(err)
		return
	}
	if ask.Incarnation != s.incarnation {
		x.Fail(fault.New(fault.NotFound, fault.Unknown, "another process was to hand the order over"))
		return
	}
	x.Reply(message.Fenced{Handed: !s.hand(ask.Order, time.Now())})
}

func (s *Sidecar) callService(call message.ServiceCall) (order.Answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), call.Left)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, call.Method, "http://"+s.settings.Service.Address+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return order.Answer{}, fault.New(fault.Malformed, fault.No, "%v", err)
	}
	if call.ContentType != "" {
		r.Header.Set("Content-Type", call.ContentType)
	}
	client := s.plain
	if call.Order != 0 {
		client = s.once
		r.Header.Set("Idempotency-Key", call.Key)
	}
	answer, err := client.Do(r)
	if err != nil {
		return order.Answer{}, callError(err)
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswer+1))
	if err != nil || len(body) > maxAnswer {
		return order.Answer{}, fault.New(fault.Broken, fault.Unknown, "the service's answer broke off or is too large")
	}
	return order.Answer{
		Status:      answer.StatusCode,
		ContentType: answer.Header.Get("Content-Type"),
		Body:        body,
	}, nil
}

// callError proves that nothing ran only where no connection was made.
func callError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fault.New(fault.Unavailable, fault.No, "no connection to the service: %v", err)
	}
	return fault.New(fault.Broken, fault.Unknown, "the service didn't answer: %v", err)
}
