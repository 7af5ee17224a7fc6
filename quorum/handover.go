package quorum

import (
	"context"
	"time"

	"endivedeck.example/fault"
)

// handover is the request to give the leader's place up.
type handover struct {
	given  bool // the place is given up
	answer chan struct{}
}

// TransferLeadership has a leader give its place up, and returns once another leads,
// with a replica that doesn't lead at once. From then on this replica takes no
// proposals; Stop is to follow.
func (r *Replica) TransferLeadership(ctx context.Context) error {
	h := &handover{answer: make(chan struct{})}
	if err := r.post(ctx, h); err != nil {
		return err
	}
	select {
	case <-h.answer:
		return nil
	case <-r.ended:
		return errStopped
	case <-ctx.Done():
		return fault.New(fault.Deadline, fault.Unknown, "nobody took the leader's place in time")
	}
}

// handOver gives the leader's place up as soon as all proposals are committed.
// What this replica publishes must say so before another is asked to lead.
func (r *Replica) handOver() {
	h := r.leaving
	if h == nil || h.given {
		return
	}
	if r.core.role != leader {
		h.end()
		return
	}
	if r.core.TransferLeadership(time.Now()) {
		h.given = true
		r.publish()
	}
}

// handedOver answers the caller of Handover once another replica leads.
func (r *Replica) handedOver() {
	h := r.leaving
	if h == nil || !h.given || r.core.leader == "" || r.core.leader == r.options.ID {
		return
	}
	h.end()
}

func (h *handover) end() {
	select {
	case <-h.answer:
	default:
		close(h.answer)
	}
}
