package quorum

import (
	"context"
	"time"

	"endivedeck.example/fault"
)

// leadershipTransfer is a pending call of TransferLeadership.
type leadershipTransfer struct {
	steppedDown bool          // this replica has stepped down and asked a voter to start an election
	done        chan struct{} // closed when the call may return
}

// TransferLeadership transfers leadership to another voter and returns when this
// replica knows of a new leader. If this replica doesn't lead, it returns at once.
// From the call on, this replica rejects proposals; it is meant to be stopped
// next.
func (r *Replica) TransferLeadership(ctx context.Context) error {
	t := &leadershipTransfer{done: make(chan struct{})}
	if err := r.enqueue(ctx, t); err != nil {
		return err
	}
	select {
	case <-t.done:
		return nil
	case <-r.done:
		return errStopped
	case <-ctx.Done():
		return fault.New(fault.DeadlineExceeded, fault.MaybeRun, "leadership transfer from replica %s: no new leader before the deadline", r.options.ID)
	}
}

// stepDownForTransfer starts a requested leadership transfer as soon as all
// proposals are committed. It publishes that this replica no longer leads before
// the message that asks another voter to start an election is sent.
func (r *Replica) stepDownForTransfer() {
	t := r.transfer
	if t == nil || t.steppedDown {
		return
	}
	if r.core.role != leader {
		t.complete()
		return
	}
	if r.core.TransferLeadership(time.Now()) {
		t.steppedDown = true
		r.publishLeadership()
	}
}

// completeTransfer completes the call once another replica is known to lead.
func (r *Replica) completeTransfer() {
	t := r.transfer
	if t == nil || !t.steppedDown || r.core.leader == "" || r.core.leader == r.options.ID {
		return
	}
	t.complete()
}

func (t *leadershipTransfer) complete() {
	select {
	case <-t.done:
	default:
		close(t.done)
	}
}
