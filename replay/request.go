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

// request is one query on its way.
type request struct {
	replay   *Replay
	event    *trace.Event
	entry    *dispatch.Dispatcher
	accepted contract.Accepted
	class    contract.Class
	admitted admission.Reservation
	begun    time.Time
	ask      fleet.Selector
	route    routing.Request
	tried    map[string]bool
	tries    int

	ticket   fleet.Ticket
	engine   *engine
	sequence *standin.Sequence
	given    int
	last     time.Time // of the last token
	first    time.Duration
	gaps     []time.Duration
	over     bool
}

// begin takes a query in at one of the entries.
func (r *Replay) begin(e *trace.Event) {
	accepted, ok := r.accepts[e.Customer]
	if !ok {
		r.report.refused(e, string(fault.Unauthenticated))
		return
	}
	place := int(xxhash.Sum64String(e.ID) % uint64(len(r.entries)))
	q := &request{
		replay:   r,
		event:    e,
		entry:    r.entries[place],
		accepted: accepted,
		class:    accepted.Contract.Classes[e.Class],
		begun:    r.now,
		tried:    map[string]bool{},
		ask:      fleet.Selector{Model: r.trace.Header.Model, BlockHashes: e.Prefix},
	}
	q.route = routing.Request{
		ID:            e.ID,
		Customer:      e.Customer,
		Class:         e.Class,
		Model:         r.trace.Header.Model,
		FailureDomain: r.trace.Header.Domains[place%len(r.trace.Header.Domains)],
		PromptTokens:  e.Tokens(),
		AnswerTokens:  e.Answer,
		Priority:      q.class.Priority,
		TTFTLimit:     q.class.FirstToken.Std(),
	}
	r.observe(e)
	ticket, err := q.entry.Admit(r.now, accepted, e.Class, e.Tokens(), q.ask)
	if err != nil {
		r.report.refused(e, kindOf(err))
		return
	}
	q.admitted = ticket
	q.route.Borrowed = ticket.Borrowed
	q.route.Priority = ticket.Priority(q.route.Priority)
	r.after(q.class.WholeAnswer.Std(), q.late)
	q.try()
}

// observe adds a query's work to the demand of this second, with the part of
// its prompt that is common to many left out.
func (r *Replay) observe(e *trace.Event) {
	shape := r.trace.Header.Shape
	prompt := 0
	if n := len(e.Prompt); n > 0 {
		prompt = e.Prompt[n-1].Tokens
	}
	seconds := float64(prompt) / shape.PrefillRate
	if prompt >= routing.LongPromptTokens {
		r.demand.LongPrompts += seconds
	} else {
		r.demand.Other += seconds
	}
	step := shape.StepTime + time.Duration(shape.Slots-1)*shape.SequenceTime
	r.demand.Other += float64(e.Answer) * step.Seconds() / float64(shape.Slots)
}

// try sends the query, or the rest of it, to a backend server.
func (q *request) try() {
	if q.over {
		return
	}
	if q.tries++; q.tries > mostTries {
		q.fail(string(fault.Unavailable))
		return
	}
	q.ask.Exclude = q.tried
	if q.given > 0 {
		q.route.TTFTLimit = 0
	}
	decision, err := q.entry.Choose(q.replay.now, q.route, q.ask)
	if fault.Of(err) == fault.Overloaded && q.given == 0 {
		q.fail(string(fault.Overloaded))
		return
	}
	if err != nil {
		clear(q.tried)
		q.replay.after(retryPause, q.try)
		return
	}
	q.replay.report.routed(q, decision)
	q.ticket = decision.Ticket
	q.tried[q.ticket.Name] = true
	q.replay.after(hopTime, q.arrive)
}

// arrive is the query at the chosen engine's sidecar.
func (q *request) arrive() {
	if q.over {
		return
	}
	for _, e := range q.replay.engines {
		if e.name == q.ticket.Name {
			q.engine = e
		}
	}
	if !q.engine.takesWork() {
		q.entry.Fleet.RecordEnd(q.replay.now, &q.ticket, 0, true)
		q.engine = nil
		q.try()
		return
	}
	q.sequence = &standin.Sequence{
		ID:       fmt.Sprintf("%s/%d", q.event.ID, q.tries),
		Prefix:   q.event.Prefix(q.engine.batch.Shape.PieceTokens),
		Prompt:   q.event.Tokens(),
		Given:    q.given,
		Answer:   q.event.Answer,
		Priority: q.route.Priority,
	}
	q.engine.add(q, q.sequence)
}

// token is one more token of the answer at the caller.
func (q *request) token(end bool) {
	now := q.replay.now
	q.entry.Fleet.RecordFirstToken(now, &q.ticket)
	if q.given == 0 {
		q.first = now.Sub(q.begun)
	} else {
		q.gaps = append(q.gaps, now.Sub(q.last))
	}
	q.given++
	q.last = now
	if end {
		q.end("")
	}
}

// lost is a crash of the engine under the query.
func (q *request) lost() {
	q.entry.Fleet.RecordEnd(q.replay.now, &q.ticket, 0, true)
	q.engine = nil
	q.replay.after(hopTime, q.try)
}

// late ends a query whose time for the whole answer is over.
func (q *request) late() {
	if !q.over {
		q.fail(string(fault.Deadline))
	}
}

func (q *request) fail(kind string) {
	if q.engine != nil {
		q.engine.cancel(q.sequence)
	}
	q.end(kind)
}

func (q *request) end(kind string) {
	q.over = true
	if q.engine != nil {
		q.entry.Fleet.RecordEnd(q.replay.now, &q.ticket, q.given, false)
	}
	q.entry.Admission.Release(q.admitted, q.given)
	q.replay.report.ended(q, kind)
}
