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
	resolveTimeout   = 2 * time.Second // for one attempt, and for draining at a stop
	maxUnresolved    = 10_000
	maxUnresolvedAge = 10 * time.Minute
)

type (
	// resolver records in the background that order attempts did not run, after
	// their callers have received an error. Until that is recorded, the
	// idempotency key of such an attempt can't be used again.
	resolver struct {
		entry     *Entry
		mu        rank.Mutex
		pending   []*unresolvedAttempt
		resolving bool // attempts that were pending
		wake      chan struct{}
		done      chan struct{}

		disabled bool // set by tests that check that the resolver is needed
	}

	// unresolvedAttempt is an attempt to be recorded as not run. If ticket is
	// set, that is not proved yet: it must be fenced off at its sidecar first.
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

// add schedules recording that an attempt did not run. With a ticket, the
// attempt is first fenced off at that sidecar. When more than maxUnresolved are
// pending, the oldest is dropped.
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

// run resolves added attempts until ctx is done.
func (r *resolver) run(ctx context.Context) {
	defer close(r.done)
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
		}
		for r.resolveAll(ctx) && interval.Sleep(ctx, resolveInterval) {
		}
	}
}

// resolveAll tries to resolve each pending attempt once and reports whether any
// are left. Attempts older than maxUnresolvedAge are dropped.
func (r *resolver) resolveAll(ctx context.Context) bool {
	r.mu.Lock()
	attempts := r.pending
	r.pending = nil
	r.resolving = true
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
	r.resolving = false
	return len(r.pending) > 0
}

// resolve tries to resolve an attempt and reports whether it needs no further
// try.
func (r *resolver) resolve(ctx context.Context, a *unresolvedAttempt) bool {
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	if a.ticket != nil {
		switch r.entry.executor.fence(ctx, a.ticket, a.finish.BeginIndex) {
		case fenceUnanswered:
			return false
		case fenceAlreadySent:
			return true // the sidecar records the outcome
		case fenceSidecarRestarted:
			a.finish.Sidecar = a.ticket.Incarnation
		}
		a.ticket = nil
	}
	var reply order.FinishResult
	if err := r.entry.member.Call(ctx, message.MethodFinish, a.finish, &reply); err != nil {
		return false
	}
	if err := fault.WithStack(reply.Error); err != nil {
		r.entry.log.WithField("customer", a.finish.Key.Customer).WithField("error", err.Error()).Warn("an attempt couldn't be given up")
	}
	return true
}

// drain waits until all attempts are resolved, for at most resolveTimeout.
func (r *resolver) drain(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	for r.hasPending() && interval.Sleep(ctx, resolveInterval/10) {
	}
}

func (r *resolver) hasPending() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.resolving || len(r.pending) > 0
}
