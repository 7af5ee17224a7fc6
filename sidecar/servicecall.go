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
	sentOrderRetention    = 32 * 24 * time.Hour // see markSent
	maxSentOrders         = 1 << 17
	recordTimeout         = 20 * time.Second // for recording a response
	controlRetryInterval  = 100 * time.Millisecond
	shutdownReportTimeout = 3 * time.Second
	maxUnresolvedOrders   = 1000 // in a shutdown report; with more of them none is sent
)

// sentOrder is an order that was sent to the service or was fenced. In both
// cases it must not be sent from then on.
type sentOrder struct {
	sentAt   time.Time // when it was sent or fenced
	resolved bool      // its outcome is recorded, or it certainly did not run
	fenced   bool      // it was not sent and never will be
}

// serveCall serves message.MethodServiceCall.
func (s *Sidecar) serveCall(call *wire.ServerCall) {
	var request message.ServiceCall
	if err := call.Decode(&request); err != nil {
		call.Fail(err)
		return
	}
	if s.service == nil {
		call.Fail(fault.New(fault.NotFound, fault.NotRun, "this sidecar's backend server is a model engine, not a service"))
		return
	}
	if err := s.admit(request.Customer, request.Revision); err != nil {
		call.Fail(err)
		return
	}
	defer s.release()
	if request.BeginIndex != 0 && !s.maySend(request) {
		call.Fail(fault.New(fault.Conflict, fault.MaybeRun, "the order was already sent to the service, or fenced"))
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), request.TimeLeft)
	defer cancel()
	response, err := s.service.Call(ctx, request)
	if err != nil {
		if request.BeginIndex != 0 && !request.MayHaveRun && fault.FromError(err).Ran == fault.NotRun {
			s.markResolved(request.BeginIndex)
		}
		call.Fail(err)
		return
	}
	if request.BeginIndex != 0 {
		if err := s.recordResponse(request, response); err != nil {
			call.Fail(err)
			return
		}
	}
	call.Reply(message.ServiceResponse{ID: request.ID, Response: response})
}

// recordResponse records an order's response in the replicated log, before the
// response is returned to the entry. The sidecar does it because it has the
// response even if the entry has crashed or the connection to it is lost.
func (s *Sidecar) recordResponse(call message.ServiceCall, response order.Response) error {
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	finish := order.Finish{
		Key:        order.Key{Customer: call.Customer, Service: s.settings.Service.Name, Key: call.IdempotencyKey},
		BeginIndex: call.BeginIndex,
		Response:   response,
	}
	for {
		var result order.FinishResult
		err := s.member.Call(ctx, message.MethodFinish, finish, &result)
		if err == nil {
			s.markResolved(call.BeginIndex)
			return fault.WithStack(result.Error)
		}
		if !interval.Sleep(ctx, controlRetryInterval) {
			return fault.New(fault.Unavailable, fault.HasRun,
				"the order has run, but recording its response failed: %s (gave up after %v)", fault.FromError(err).Message, recordTimeout)
		}
	}
}

// maySend reports whether the order may be sent to the service: the first time
// it arrives, and as a repetition only if the service detects repeated keys.
func (s *Sidecar) maySend(call message.ServiceCall) bool {
	if call.MayHaveRun {
		return s.settings.Service.Dedupe
	}
	return s.markSent(call.BeginIndex, time.Now())
}

// markSent marks an order as sent or fenced, and reports whether it was neither
// before. This prevents a call that arrives twice from running twice. Orders
// are identified by the log index of their Begin.
//
// When the table has maxSentOrders entries, markSent removes those older than
// half of sentOrderRetention, and arbitrary others until there is room.
func (s *Sidecar) markSent(beginIndex uint64, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.sentOrders[beginIndex]; known {
		return false
	}
	if len(s.sentOrders) >= maxSentOrders {
		for index, sent := range s.sentOrders {
			if now.Sub(sent.sentAt) > sentOrderRetention/2 || len(s.sentOrders) >= maxSentOrders {
				s.forgotUnresolved = s.forgotUnresolved || !sent.resolved
				delete(s.sentOrders, index)
			}
		}
	}
	s.sentOrders[beginIndex] = sentOrder{sentAt: now}
	return true
}

// markResolved marks an order whose outcome is recorded, or which certainly did
// not run.
func (s *Sidecar) markResolved(beginIndex uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sent := s.sentOrders[beginIndex]
	sent.resolved = true
	s.sentOrders[beginIndex] = sent
}

// reportShutdown reports to control that the sidecar is stopping, and which
// orders it sent to the service without learning their outcome. Every other
// order that an entry passed to this sidecar is either recorded or did not run.
// It must be called after the last request has ended.
func (s *Sidecar) reportShutdown(ctx context.Context) {
	s.mu.Lock()
	shutdown := order.SidecarShutdown{Sidecar: s.incarnation}
	for beginIndex, sent := range s.sentOrders {
		if !sent.resolved {
			shutdown.Open = append(shutdown.Open, beginIndex)
		}
	}
	incomplete := s.forgotUnresolved || len(shutdown.Open) > maxUnresolvedOrders
	s.mu.Unlock()
	if incomplete {
		return // an incomplete list would not prove that the other orders did not run
	}
	ctx, cancel := context.WithTimeout(ctx, shutdownReportTimeout)
	defer cancel()
	for s.member.Call(ctx, message.MethodShutdown, shutdown, nil) != nil && interval.Sleep(ctx, controlRetryInterval) {
	}
}

// serveFence serves message.MethodFence: an order that has not been sent to the
// service will not be sent, even if its call arrives later. A sidecar has no
// information about orders passed to another incarnation.
func (s *Sidecar) serveFence(request message.FenceRequest) (message.FenceResponse, error) {
	if request.Incarnation != s.incarnation {
		return message.FenceResponse{}, fault.New(fault.NotFound, fault.MaybeRun,
			"the order was passed to sidecar incarnation %s, this is %s", request.Incarnation, s.incarnation)
	}
	return message.FenceResponse{Sent: !s.fence(request.BeginIndex)}, nil
}

// fence fences an order, and reports whether it was not sent and never will be.
func (s *Sidecar) fence(beginIndex uint64) bool {
	added := s.markSent(beginIndex, time.Now())
	s.mu.Lock()
	defer s.mu.Unlock()
	if added {
		sent := s.sentOrders[beginIndex]
		sent.resolved, sent.fenced = true, true
		s.sentOrders[beginIndex] = sent
	}
	return s.sentOrders[beginIndex].fenced
}
