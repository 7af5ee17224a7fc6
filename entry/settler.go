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
	resolveInterval  = 500 * time.Millisecond
	resolveTimeout   = 2 * time.Second // for one answer of control or of a sidecar
	maxUnresolved    = 10_000          // attempts that wait to be settled
	maxUnresolvedAge = 10 * time.Minute
)

type (
	// resolver settles attempts of orders whose callers wait no more: until it
	// is on record that an attempt didn't run, its key isn't free.
	resolver struct {
		entry   *Entry
		mu      rank.Mutex
		pending []*unresolvedAttempt
		wake    chan struct{}
		done    chan struct{}

		disabled bool // nothing is settled; for a twin
	}

	// unresolvedAttempt is an unresolvedAttempt to be settled. One that was handed to a sidecar
	// is asked about first.
	unresolvedAttempt struct {
		finish  order.Finish
		ticket  *fleet.Ticket
		addedAt time.Time
	}
)

func newResolver(e *Entry) *resolver {
	return &resolver{
		entry: e,
		mu:    rank.New(rank.Order),
		wake:  make(chan struct{}, 1),
		done:  make(chan struct{}),
	}
}

// add has it recorded that an attempt didn't run; with a ticket, once its
// sidecar has said so. The oldest is given up when there are too many.
func (r *resolver) add(finish order.Finish, ticket *fleet.Ticket) {
	if r.disabled {
		return
	}
	r.mu.Lock()
	r.pending = append(r.pending, &unresolvedAttempt{finish: finish, ticket: ticket, addedAt: time.Now()})
	if len(r.pending) > maxUnresolved {
		r.pending = r.pending[1:]
	}
	r.mu.Unlock()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// run settles what was added until ctx is done.
func (r *resolver) run(ctx context.Context) {
	defer close(r.done)
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
		}
		for r.resolveAll(ctx) && interval.Wait(ctx, resolveInterval) {
		}
	}
}

// resolveAll settles what it can and reports whether something is left.
func (r *resolver) resolveAll(ctx context.Context) bool {
	r.mu.Lock()
	attempts := r.pending
	r.pending = nil
	r.mu.Unlock()
	var unresolved []*unresolvedAttempt
	for _, a := range attempts {
		if !r.resolve(ctx, a) && time.Since(a.addedAt) < maxUnresolvedAge {
			unresolved = append(unresolved, a)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pending = append(unresolved, r.pending...)
	return len(r.pending) > 0
}

// resolve reports whether nothing is left to be done about an attempt.
func (r *resolver) resolve(ctx context.Context, a *unresolvedAttempt) bool {
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	if a.ticket != nil {
		switch r.entry.desk.fence(ctx, a.ticket, a.finish.Intent) {
		case fenceUnanswered:
			return false
		case fenceAlreadyForwarded:
			return true // its sidecar records it
		case fenceSidecarRestarted:
			a.finish.Sidecar = a.ticket.Incarnation
		}
		a.ticket = nil
	}
	var reply order.Finished
	if err := r.entry.member.Ask(ctx, message.MethodFinish, a.finish, &reply); err != nil {
		return false
	}
	if err := fault.Wrap(reply.Error); err != nil {
		r.entry.log.WithField("customer", a.finish.Key.Customer).WithField("error", err.Error()).Warn("an attempt couldn't be given up")
	}
	return true
}

// drain waits for what is left, but no longer than settleTime.
func (r *resolver) drain(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	for r.hasPending() && interval.Wait(ctx, resolveInterval/10) {
	}
}

func (r *resolver) hasPending() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.pending) > 0
}
