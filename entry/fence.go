package entry

import (
	"context"
	"time"

	"endivedeck.example/fault"
	"endivedeck.example/fleet"
	"endivedeck.example/message"
	"endivedeck.example/order"
)

const fenceTimeout = 2 * time.Second // to learn whether an order was handed over

// What a sidecar says of an order that was lost on the way to it.
const (
	fenceUnanswered       fenceResult = iota // nothing yet
	fenceAlreadyForwarded                    // it was handed over
	fenceSidecarRestarted                    // another process answers now
	fenceInstalled                           // it wasn't and never will be
)

type fenceResult uint8

// proveNotForwarded reports whether it is proved that an order, whose call broke off,
// wasn't and never will be handed over. What can't be learned now is asked
// about later.
func (d *Desk) proveNotForwarded(ctx context.Context, ticket *fleet.Ticket, key order.Key, intent uint64) bool {
	finish := order.Finish{Key: key, Intent: intent, NotRun: true}
	switch d.fence(ctx, ticket, intent) {
	case fenceInstalled:
		return true
	case fenceUnanswered:
		d.resolver.add(finish, ticket)
	case fenceSidecarRestarted:
		finish.Sidecar = ticket.Incarnation
		return d.recordFinish(finish) == nil // it had stopped as planned
	}
	return false
}

// fence asks the sidecar that an order was lost on the way to, over another
// connection, never to hand it over.
func (d *Desk) fence(ctx context.Context, ticket *fleet.Ticket, intent uint64) fenceResult {
	if d.fencingDisabled {
		return fenceAlreadyForwarded
	}
	ctx, cancel := context.WithTimeout(ctx, fenceTimeout)
	defer cancel()
	var reply message.Fenced
	request := message.Fence{Order: intent, Incarnation: ticket.Incarnation}
	err := d.entry.client.Ask(ctx, ticket.Address, message.MethodFence, request, &reply)
	if err != nil && fault.Of(err) != fault.NotFound {
		// The question itself may have gone over the connection that was lost.
		err = d.entry.client.Ask(ctx, ticket.Address, message.MethodFence, request, &reply)
	}
	switch {
	case fault.Of(err) == fault.NotFound:
		return fenceSidecarRestarted
	case err != nil:
		return fenceUnanswered
	case reply.Handed:
		return fenceAlreadyForwarded
	}
	return fenceInstalled
}
