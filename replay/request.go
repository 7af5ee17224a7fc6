package replay

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"endivedeck.example/admission"
	"endivedeck.example/contract"
	"endivedeck.example/dispatch"
	"endivedeck.example/fault"
	"endivedeck.example/fleet"
	"endivedeck.example/routing"
	"endivedeck.example/standin"
	"endivedeck.example/trace"
)

// request is the state of one query in the simulation. The sequences of its
// attempts share the answer: one after a crash resumes after the last token
// received.
type request struct {
	replay      *Replay
	query       *trace.Event
	dispatcher  *dispatch.Dispatcher
	contract    contract.Accepted
	class       contract.Class
	reservation admission.Reservation
	startedAt   time.Time
	selector    fleet.Selector
	routing     routing.Request
	excluded    map[string]bool // backend servers to exclude from the next attempt
	attempts    int

	ticket         fleet.Ticket
	engine         *engine
	sequence       *standin.Sequence
	receivedTokens int
	lastTokenAt    time.Time
	firstTokenTime time.Duration // from the query's arrival
	tokenIntervals []time.Duration
	done           bool // answered, refused or timed out
}

// startQuery admits or refuses a query at one of the entry processes, which is
// chosen by a hash of the query's ID.
func (r *Replay) startQuery(e *trace.Event) {
	accepted, ok := r.contracts[e.Customer]
	if !ok {
		r.report.recordRefusal(e, string(fault.Unauthenticated))
		return
	}
	index := int(xxhash.Sum64String(e.ID) % uint64(len(r.dispatchers)))
	q := &request{
		replay:     r,
		query:      e,
		dispatcher: r.dispatchers[index],
		contract:   accepted,
		class:      accepted.Contract.Classes[e.Class],
		startedAt:  r.now,
		excluded:   map[string]bool{},
		selector:   fleet.Selector{Model: r.trace.Header.Model, BlockHashes: e.BlockHashes},
	}
	q.routing = routing.Request{
		ID:            e.ID,
		Customer:      e.Customer,
		Class:         e.Class,
		Model:         r.trace.Header.Model,
		FailureDomain: r.trace.Header.FailureDomains[index%len(r.trace.Header.FailureDomains)],
		PromptTokens:  e.PromptTokens(),
		AnswerTokens:  e.AnswerTokens,
		Priority:      q.class.Priority,
		TTFTLimit:     q.class.FirstToken.Std(),
	}
	r.recordDemand(e)
	reservation, err := q.dispatcher.Admit(r.now, accepted, e.Class, e.PromptTokens(), q.selector)
	if err != nil {
		r.report.recordRefusal(e, faultKind(err))
		return
	}
	q.reservation = reservation
	q.routing.Borrowed = reservation.Borrowed
	q.routing.Priority = reservation.Priority(q.routing.Priority)
	r.schedule(q.class.WholeAnswer.Std(), q.expire)
	q.attempt()
}

// recordDemand adds a query's engine time to the demand for the next role
// decision. Of the prompt it counts the last segment only, since other queries
// share the earlier ones, which are usually cached.
func (r *Replay) recordDemand(e *trace.Event) {
	spec := r.trace.Header.EngineSpec
	uncachedTokens := 0
	if n := len(e.Prompt); n > 0 {
		uncachedTokens = e.Prompt[n-1].Tokens
	}
	seconds := float64(uncachedTokens) / spec.PrefillRate
	if uncachedTokens >= routing.LongPromptTokens {
		r.demand.LongPrompts += seconds
	} else {
		r.demand.Other += seconds
	}
	step := spec.StepTime + time.Duration(spec.Slots-1)*spec.SequenceTime
	r.demand.Other += float64(e.AnswerTokens) * step.Seconds() / float64(spec.Slots)
}

// attempt sends the query to a backend server, to resume the answer if a part
// of it was received. Without a backend server it retries after retryDelay with
// none excluded.
func (q *request) attempt() {
	if q.done {
		return
	}
	if q.attempts++; q.attempts > maxAttempts {
		q.fail(string(fault.Unavailable))
		return
	}
	q.selector.Exclude = q.excluded
	if q.receivedTokens > 0 {
		q.routing.TTFTLimit = 0
	}
	decision, err := q.dispatcher.Choose(q.replay.now, q.routing, q.selector)
	if fault.KindOf(err) == fault.Overloaded && q.receivedTokens == 0 {
		q.fail(string(fault.Overloaded))
		return
	}
	if err != nil {
		clear(q.excluded)
		q.replay.schedule(retryDelay, q.attempt)
		return
	}
	q.replay.report.logDecision(q, decision)
	q.ticket = decision.Ticket
	q.excluded[q.ticket.Name] = true
	q.replay.schedule(networkDelay, q.arrive)
}

// arrive handles the query's arrival at the sidecar of the chosen engine. If the
// engine accepts no requests by now, it starts another attempt. A query that expired
// on the way only ends its ticket.
func (q *request) arrive() {
	if q.done {
		q.dispatcher.Fleet.RecordEnd(q.replay.now, &q.ticket, 0, false)
		return
	}
	for _, e := range q.replay.engines {
		if e.name == q.ticket.Name {
			q.engine = e
		}
	}
	if !q.engine.acceptsRequests() {
		q.dispatcher.Fleet.RecordEnd(q.replay.now, &q.ticket, 0, true)
		q.engine = nil
		q.attempt()
		return
	}
	q.sequence = &standin.Sequence{
		ID:             fmt.Sprintf("%s/%d", q.query.ID, q.attempts),
		BlockHashes:    q.query.BlockHashes(q.engine.batch.Spec.PieceTokens),
		PromptTokens:   q.query.PromptTokens(),
		ReceivedTokens: q.receivedTokens,
		AnswerTokens:   q.query.AnswerTokens,
		Priority:       q.routing.Priority,
	}
	q.engine.add(q, q.sequence)
}

// receiveToken records the arrival of the next answer token at the caller.
func (q *request) receiveToken(last bool) {
	now := q.replay.now
	q.dispatcher.Fleet.RecordFirstToken(now, &q.ticket)
	if q.receivedTokens == 0 {
		q.firstTokenTime = now.Sub(q.startedAt)
	} else {
		q.tokenIntervals = append(q.tokenIntervals, now.Sub(q.lastTokenAt))
	}
	q.receivedTokens++
	q.lastTokenAt = now
	if last {
		q.finish("")
	}
}

// handleCrash starts another attempt after the engine of the query crashed.
func (q *request) handleCrash() {
	q.dispatcher.Fleet.RecordEnd(q.replay.now, &q.ticket, 0, true)
	q.engine = nil
	q.replay.schedule(networkDelay, q.attempt)
}

// expire fails a query at the limit for its whole answer.
func (q *request) expire() {
	if !q.done {
		q.fail(string(fault.DeadlineExceeded))
	}
}

// fail ends the query with an error of the given kind.
func (q *request) fail(kind string) {
	if q.engine != nil {
		q.engine.cancel(q.sequence)
	}
	q.finish(kind)
}

// finish releases what the query occupies and records its end. The kind is that
// of its error, or empty for a complete answer.
func (q *request) finish(kind string) {
	q.done = true
	if q.engine != nil {
		q.dispatcher.Fleet.RecordEnd(q.replay.now, &q.ticket, q.receivedTokens, false)
	}
	q.dispatcher.Admission.Release(q.reservation, q.receivedTokens)
	q.replay.report.recordEnd(q, kind)
}
