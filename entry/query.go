package entry

import (
	"context"
	"io"
	"strings"
	"time"

	"endivedeck.example/contract"
	"endivedeck.example/fault"
	"endivedeck.example/fleet"
	"endivedeck.example/interval"
	"endivedeck.example/message"
	"endivedeck.example/prompt"
	"endivedeck.example/routing"
	"endivedeck.example/wire"
)

const (
	cancelTime = time.Second
	retryPause = 100 * time.Millisecond
	mostStale  = 8
)

// query is one query on its way: what its reader has, and where it runs.
type query struct {
	desk     *Desk
	query    Query
	accepted contract.Accepted
	class    contract.Class
	reader   Reader
	deadline time.Time
	begun    time.Time

	ask     fleet.Selector
	request routing.Request
	tried   map[string]bool
	usage   Usage
	text    strings.Builder // given so far, for another engine to go on from
	sent    bool            // some engine may have begun
	stale   int             // times that a sidecar knew of a newer contract
}

// Ask has a query answered and hands the answer to reader. It returns when the
// answer is whole, or with an error whose Ran says whether an engine may have
// worked on it.
func (d *Desk) Ask(ctx context.Context, q Query, reader Reader) (Usage, error) {
	var usage Usage
	err := d.onWorker(func() error {
		var err error
		usage, err = d.answer(ctx, q, reader)
		return err
	})
	d.note(q, usage, err)
	return usage, err
}

func (d *Desk) answer(ctx context.Context, q Query, reader Reader) (usage Usage, err error) {
	tokens := prompt.CountTokens(q.Prompt)
	ask := fleet.Selector{Model: q.Model, BlockHashes: prefixes(q)}
	accepted, ticket, err := d.admit(q.Caller, q.Class, tokens, ask)
	if err != nil {
		return Usage{}, err
	}
	defer func() { d.entry.limits.Release(ticket, usage.Answer) }()
	class := accepted.Contract.Classes[q.Class]
	now := time.Now()
	run := &query{
		desk:     d,
		query:    q,
		accepted: accepted,
		class:    class,
		reader:   reader,
		begun:    now,
		deadline: now.Add(class.WholeAnswer.Std()),
		ask:      ask,
		tried:    map[string]bool{},
		request: routing.Request{
			ID:            q.ID,
			Customer:      accepted.Contract.Customer,
			Class:         q.Class,
			Model:         q.Model,
			FailureDomain: d.entry.host.Process.FailureDomain,
			PromptTokens:  tokens,
			AnswerTokens:  q.Most,
			Priority:      ticket.Priority(class.Priority),
			Borrowed:      ticket.Borrowed,
			TTFTLimit:     class.FirstToken.Std(),
		},
	}
	ctx, cancel := context.WithDeadline(ctx, run.deadline)
	defer cancel()
	return run.run(ctx)
}

// run tries one backend server after another until the answer is whole. A
// query may be run again, so each goes on from where the last one broke off.
// Tries that bring the answer on aren't counted, nor is waiting for a backend
// server once the query was sent: its contract's limits bound that.
func (r *query) run(ctx context.Context) (Usage, error) {
	var last error
	for try := 0; try < r.desk.entry.settings.Tries; try++ {
		if err := r.mayGoOn(ctx); err != nil {
			return r.usage, err
		}
		r.ask.Exclude = r.tried
		if r.usage.Answer > 0 {
			r.request.TTFTLimit = 0 // the first token was given
		}
		ticket, err := r.desk.choose(r.request, r.ask)
		if err != nil {
			if last == nil {
				last = r.ran(err)
			}
			if fault.Of(err) == fault.Overloaded && !r.sent {
				return r.usage, last
			}
			clear(r.tried) // all were tried; after a pause they may do
			if !interval.Sleep(ctx, retryPause) {
				return r.usage, last
			}
			if r.inTime() {
				try--
			}
			continue
		}
		r.tried[ticket.Name] = true
		had := r.usage.Answer
		err = r.at(ctx, &ticket)
		if err == nil {
			return r.usage, nil
		}
		if r.usage.Answer > had {
			try = -1
		}
		r.sent = r.sent || fault.From(err).Ran != fault.No
		last = r.ran(err)
		if fault.Of(err) == fault.Stale && r.readmit(ctx) {
			clear(r.tried)
			continue
		}
		if !mayRetry(err) {
			return r.usage, last
		}
		r.desk.entry.log.WithField("request", r.query.ID).WithField("backend", ticket.Name).
			WithField("given", r.usage.Answer).WithField("error", err.Error()).Warn("routing: another backend server")
	}
	return r.usage, last
}

// inTime reports whether a query that was sent may still wait for a backend
// server: until its first token is due, or its whole answer.
func (r *query) inTime() bool {
	first := r.class.FirstToken.Std()
	return r.sent && (r.usage.Answer > 0 || first == 0 || time.Since(r.begun) < first)
}

// readmit goes by the newer contract that a sidecar knew of, once it is in
// force here too: a planned change refuses nobody who is still served.
func (r *query) readmit(ctx context.Context) bool {
	r.stale++
	if r.stale > mostStale {
		return false
	}
	accepted, ok := r.desk.newer(ctx, r.accepted)
	if !ok || !accepted.Contract.AllowsModel(r.query.Model) {
		return false
	}
	class, ok := accepted.Contract.Classes[r.query.Class]
	if !ok {
		return false
	}
	r.accepted = accepted
	r.class = class
	return true
}

func (r *query) mayGoOn(ctx context.Context) error {
	if ctx.Err() != nil {
		return r.ran(fault.New(fault.Deadline, fault.No, "the answer's time was over"))
	}
	if r.sent {
		return nil
	}
	return r.desk.mayServe()
}

// at has one backend server give the answer, or the rest of it. When the way
// to the sidecar is lost, it comes back there for the rest, as long as that
// brings the answer on. A sidecar that answers that it doesn't keep it, because
// the query was lost with the way, is asked anew.
func (r *query) at(ctx context.Context, ticket *fleet.Ticket) error {
	err := r.call(ctx, ticket, false)
	for fault.Of(err) == fault.Broken && ctx.Err() == nil {
		had := r.usage.Answer
		again := r.call(ctx, ticket, true)
		if fault.Of(again) == fault.NotFound {
			again = r.call(ctx, ticket, false)
		}
		if again == nil || fault.Of(again) == fault.Canceled || fault.Of(again) == fault.Deadline {
			err = again
			break
		}
		if r.usage.Answer == had {
			r.giveUp(ticket)
			break
		}
		r.desk.entry.host.Metrics.GetOrCreateCounter("streams_resumed_total").Inc()
		err = again
	}
	r.desk.entry.fleet.RecordEnd(time.Now(), ticket, r.usage.Answer, blames(err))
	return err
}

// call opens one call to the sidecar and reads pieces until the answer ends.
func (r *query) call(ctx context.Context, ticket *fleet.Ticket, resume bool) error {
	work := message.Work{
		ID:       r.query.ID,
		Customer: r.accepted.Contract.Customer,
		Revision: r.accepted.Revision,
		Model:    r.query.Model,
		Prompt:   r.query.Prompt,
		Given:    r.text.String(),
		Offset:   r.usage.Answer,
		Most:     r.query.Most,
		Priority: r.request.Priority,
		Left:     time.Until(r.deadline),
		Resume:   resume,
		Todo:     ticket.UncachedTokens,
		Between:  r.class.BetweenTokens.Std(),
	}
	if r.usage.Answer == 0 {
		work.First = r.class.FirstToken.Std()
	}
	client := r.desk.entry.client
	call, err := client.Open(ctx, ticket.Address, message.MethodWork, work)
	if err != nil {
		return err
	}
	defer call.Cancel()
	stop := context.AfterFunc(ctx, call.Cancel)
	defer stop()
	silence := r.desk.entry.settings.Silence.Std()
	watch := time.AfterFunc(silence, func() { r.lost(ticket.Address, call) })
	defer watch.Stop()
	for {
		var piece message.Piece
		err := call.Receive(&piece)
		watch.Reset(silence)
		if err == nil {
			err = r.take(ticket, piece)
			if err == nil && piece.End {
				return nil
			}
		}
		if err != nil {
			return r.broke(ctx, ticket, err)
		}
	}
}

// lost takes note that the way to a sidecar has been without a sign of life:
// this call ends, and new ones use another connection.
func (r *query) lost(address string, call *wire.Call) {
	r.desk.entry.client.Avoid(address, call)
	call.Cancel()
}

// broke makes an error of how a call ended.
func (r *query) broke(ctx context.Context, ticket *fleet.Ticket, err error) error {
	if ctx.Err() != nil || fault.Of(err) == fault.Canceled {
		r.giveUp(ticket)
		if ctx.Err() == context.DeadlineExceeded {
			return fault.New(fault.Deadline, fault.Unknown, "the answer's time was over")
		}
		return fault.New(fault.Canceled, fault.Unknown, "the caller is gone")
	}
	if err == io.EOF {
		return fault.New(fault.Broken, fault.Unknown, "the sidecar ended the answer before its end")
	}
	return err
}

// take hands a piece to the reader. Pieces of other answers, doubled ones and
// those after a gap aren't this answer's.
func (r *query) take(ticket *fleet.Ticket, p message.Piece) error {
	metrics := r.desk.entry.host.Metrics
	switch {
	case p.ID != r.query.ID:
		metrics.GetOrCreateCounter("pieces_crossed_total").Inc()
		return nil
	case p.Offset < r.usage.Answer:
		metrics.GetOrCreateCounter("pieces_doubled_total").Inc()
		return nil
	case p.Tokens == 0 && !p.End:
		r.sent = true
		return nil // a sign of life
	case p.Offset > r.usage.Answer:
		return fault.New(fault.Broken, fault.Unknown, "a piece of the answer is missing")
	}
	r.sent = true
	if p.Tokens > 0 {
		r.desk.entry.fleet.RecordFirstToken(time.Now(), ticket)
		r.text.WriteString(p.Text)
		r.usage.Answer += p.Tokens
		if err := r.reader.Take(p.Text, p.Tokens); err != nil {
			return fault.New(fault.Canceled, fault.Unknown, "the caller is gone")
		}
	}
	if p.End {
		r.usage.Reason = p.Reason
		r.usage.Prompt = p.Prompt
	}
	return nil
}

// giveUp has the sidecar give up what nobody waits for. It doesn't wait, since
// the sidecar may be out of reach; then the sidecar gives up by itself.
func (r *query) giveUp(ticket *fleet.Ticket) {
	task := &cancelTask{client: r.desk.entry.client, address: ticket.Address, id: r.query.ID}
	_ = r.desk.entry.host.Pool.Submit(task)
}

type cancelTask struct {
	client  *wire.Client
	address string
	id      string
}

// Do implements pool.Task.
func (t *cancelTask) Do() {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTime)
	defer cancel()
	_ = t.client.Ask(ctx, t.address, message.MethodCancel, message.Cancel{ID: t.id}, nil)
}

// ran corrects what an error says of this try by what earlier ones may have
// done.
func (r *query) ran(err error) error {
	e := *fault.From(err)
	if e.Ran == fault.No && r.sent {
		e.Ran = fault.Unknown
	}
	return fault.Wrap(&e)
}

// mayRetry reports whether another backend server may do better.
func mayRetry(err error) bool {
	switch fault.Of(err) {
	case fault.Unavailable, fault.Overloaded, fault.Broken, fault.Lapsed, fault.NotFound:
		return true
	}
	return false
}

// blames reports whether an error speaks against the backend server.
func blames(err error) bool {
	switch fault.Of(err) {
	case fault.Unavailable, fault.Broken, fault.Lapsed:
		return true
	}
	return false
}

func prefixes(q Query) func(int) []uint64 {
	known := map[int][]uint64{}
	return func(pieceTokens int) []uint64 {
		hashes, ok := known[pieceTokens]
		if !ok {
			hashes = prompt.BlockHashes(q.Model, q.Prompt, pieceTokens)
			known[pieceTokens] = hashes
		}
		return hashes
	}
}

// note writes the line that tells how a query ended.
func (d *Desk) note(q Query, usage Usage, err error) {
	line := d.entry.log.WithField("request", q.ID).WithField("customer", q.Caller.Accepted.Contract.Customer).
		WithField("class", q.Class).WithField("model", q.Model).WithField("tokens", usage.Answer)
	outcome := "whole"
	if e := fault.From(err); e != nil {
		outcome = string(e.Kind)
		line = line.WithField("ran", e.Ran).WithField("error", e.Text)
	}
	d.entry.host.Metrics.GetOrCreateCounter(`queries_total{outcome="` + outcome + `"}`).Inc()
	line.WithField("outcome", outcome).Info("query")
}
