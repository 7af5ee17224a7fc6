package entry

import (
	"context"
	"time"

	"endivedeck.example/fault"
	"endivedeck.example/fleet"
	"endivedeck.example/message"
	"endivedeck.example/order"
)

const fenceTimeout = 2 * time.Second

// Results of fencing off an order whose call to a sidecar failed.
const (
	fenceUnanswered       fenceResult = iota // the sidecar did not respond
	fenceAlreadySent                         // the order was sent to the service
	fenceSidecarRestarted                    // another incarnation of the sidecar responded
	fenceInstalled                           // the order was not sent to the service and never will be
)

type fenceResult uint8

// proveNotSent reports whether it is proved that an order, whose call to the
// sidecar failed, was not sent to the service and never will be. If the sidecar
// does not respond now, the resolver repeats the request later.
func (x *Executor) proveNotSent(ctx context.Context, ticket *fleet.Ticket, key order.Key, beginIndex uint64) bool {
	finish := order.Finish{Key: key, BeginIndex: beginIndex, NotRun: true}
	switch x.fence(ctx, ticket, beginIndex) {
	case fenceInstalled:
		return true
	case fenceUnanswered:
		x.resolver.add(finish, ticket)
	case fenceSidecarRestarted:
		finish.Sidecar = ticket.Incarnation
		err := x.recordFinish(finish) // control accepts it only after an orderly shutdown of that sidecar
		if err != nil {
			x.entry.log.WithField("customer", key.Customer).WithField("error", err.Error()).Warn("an attempt couldn't be given up")
		}
		return err == nil
	}
	return false
}

// fence makes the sidecar never send the order that was begun at the given log
// index to the service, so that a delayed call cannot execute it.
func (x *Executor) fence(ctx context.Context, ticket *fleet.Ticket, beginIndex uint64) fenceResult {
	if x.fencingDisabled {
		return fenceAlreadySent
	}
	ctx, cancel := context.WithTimeout(ctx, fenceTimeout)
	defer cancel()
	var reply message.FenceResponse
	request := message.FenceRequest{BeginIndex: beginIndex, Incarnation: ticket.Incarnation}
	err := x.entry.client.Call(ctx, ticket.Address, message.MethodFence, request, &reply)
	if err != nil && fault.KindOf(err) != fault.NotFound {
		// The fence request itself may have been sent over the lost connection: repeat it.
		err = x.entry.client.Call(ctx, ticket.Address, message.MethodFence, request, &reply)
	}
	switch {
	case fault.KindOf(err) == fault.NotFound:
		return fenceSidecarRestarted
	case err != nil:
		return fenceUnanswered
	case reply.Sent:
		return fenceAlreadySent
	}
	return fenceInstalled
}
