package entry

import (
	"context"
	"time"

	"endivedeck.example/fault"
	"endivedeck.example/fleet"
	"endivedeck.example/message"
	"endivedeck.example/order"
)

const fenceTime = 2 * time.Second // to learn whether an order was handed over

// What a sidecar says of an order that was lost on the way to it.
const (
	fenceUnreached fenceOutcome = iota // nothing yet
	fenceHanded                        // it was handed over
	fenceGone                          // another process answers now
	fenceDone                          // it wasn't and never will be
)

type fenceOutcome uint8

// proveLost reports whether it is proved that an order, whose call broke off,
// wasn't and never will be handed over. What can't be learned now is asked
// about later.
func (d *Desk) proveLost(ctx context.Context, ticket *fleet.Ticket, key order.Key, intent uint64) bool {
	finish := order.Finish{Key: key, BeginIndex: intent, NotRun: true}
	switch d.fence(ctx, ticket, intent) {
	case fenceDone:
		return true
	case fenceUnreached:
		d.settler.add(finish, ticket)
	case fenceGone:
		finish.Sidecar = ticket.Incarnation
		return d.finish(finish) == nil // it had stopped as planned
	}
	return false
}

// fence asks the sidecar that an order was lost on the way to, over another
// connection, never to hand it over.
func (d *Desk) fence(ctx context.Context, ticket *fleet.Ticket, intent uint64) fenceOutcome {
	if d.unfenced {
		return fenceHanded
	}
	ctx, cancel := context.WithTimeout(ctx, fenceTime)
	defer cancel()
	var fenced message.Fenced
	ask := message.Fence{Order: intent, Incarnation: ticket.Incarnation}
	err := d.entry.client.Ask(ctx, ticket.Address, message.MethodFence, ask, &fenced)
	if err != nil && fault.Of(err) != fault.NotFound {
		// The question itself may have gone over the connection that was lost.
		err = d.entry.client.Ask(ctx, ticket.Address, message.MethodFence, ask, &fenced)
	}
	switch {
	case fault.Of(err) == fault.NotFound:
		return fenceGone
	case err != nil:
		return fenceUnreached
	case fenced.Handed:
		return fenceHanded
	}
	return fenceDone
}
