package quorum

import (
	"context"
	"time"

	"endivedeck.example/fault"
)

// leadershipTransfer is a pending request to transfer the leadership.
type leadershipTransfer struct {
	steppedDown bool          // this replica has stepped down and asked a voter to take over
	done        chan struct{} // closed when the call may return
}

// TransferLeadership transfers leadership to another voter and returns when this replica
// knows of a new leader. If this replica doesn't lead, it returns at once. From
// the call on, this replica rejects proposals; it is meant to be stopped next.
func (r *Replica) TransferLeadership(ctx context.Context) error {
	h := &leadershipTransfer{done: make(chan struct{})}
	if err := r.enqueue(ctx, h); err != nil {
		return err
	}
	select {
	case <-h.done:
		return nil
	case <-r.done:
		return errStopped
	case <-ctx.Done():
		return fault.New(fault.DeadlineExceeded, fault.MaybeRun, "leadership transfer from replica %s: no new leader before the deadline", r.options.ID)
	}
}

// stepDownForTransfer starts a requested leadership transfer as soon as all
// proposals are committed. It publishes that this replica no longer leads before
// the message that asks another voter to take over is sent.
func (r *Replica) stepDownForTransfer() {
	h := r.transfer
	if h == nil || h.steppedDown {
		return
	}
	if r.core.role != leader {
		h.complete()
		return
	}
	if r.core.TransferLeadership(time.Now()) {
		h.steppedDown = true
		r.publishLeadership()
	}
}

// completeTransfer completes the request once another replica is known to lead.
func (r *Replica) completeTransfer() {
	h := r.transfer
	if h == nil || !h.steppedDown || r.core.leader == "" || r.core.leader == r.options.ID {
		return
	}
	h.complete()
}

func (h *leadershipTransfer) complete() {
	select {
	case <-h.done:
	default:
		close(h.done)
	}
}
