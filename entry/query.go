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
	cancelTimeout       = time.Second
	chooseRetryInterval = 100 * time.Millisecond
	maxStaleRetries     = 8
)

// queryExecution is one queryExecution on its way: what its reader has, and where it runs.
type queryExecution struct {
	executor  *Desk
	query     Query
	accepted  contract.Accepted
	class     contract.Class
	out       Reader
	deadline  time.Time
	startedAt time.Time

	filter       fleet.Ask
	routeRequest routing.Request
	tried        map[string]bool
	usage        Usage
	generated    strings.Builder // given so far, for another engine to go on from
	mayHaveRun   bool            // some engine may have begun
	staleRetries int             // times that a sidecar knew of a newer contract
}

// Ask has a query answered and hands the answer to reader. It returns when the
// answer is whole, or with an error whose Ran says whether an engine may have
// worked on it.
func (d *Desk) Ask(ctx context.Context, q Query, reader Reader) (Usage, error) {
	var usage Usage
	err := d.runOnWorker(func() error {
		var err error
		usage, err = d.executeQuery(ctx, q, reader)
		return err
	})
	d.logQuery(q, usage, err)
	return usage, err
}

func (d *Desk) executeQuery(ctx context.Context, q Query, reader Reader) (usage Usage, err error) {
	tokens := prompt.Tokens(q.Prompt)
	filter := fleet.Ask{Model: q.Model, Prefix: prefixHashes(q)}
	accepted, ticket, err := d.admit(q.Caller, q.Class, tokens, filter)
	if err != nil {
		return Usage{}, err
	}
	defer func() { d.entry.admission.Release(ticket, usage.Answer) }()
	class := accepted.Contract.Classes[q.Class]
	now := time.Now()
	execution := &queryExecution{
		executor:  d,
		query:     q,
		accepted:  accepted,
		class:     class,
		out:       reader,
		startedAt: now,
		deadline:  now.Add(class.Whole.Std()),
		filter:    filter,
		tried:     map[string]bool{},
		routeRequest: routing.Request{
			ID:       q.ID,
			Customer: accepted.Contract.Customer,
			Class:    q.Class,
			Model:    q.Model,
			Domain:   d.entry.host.Process.FailureDomain,
			Prompt:   tokens,
			Answer:   q.Most,
			Priority: ticket.Priority(class.Priority),
			Lent:     ticket.Lent,
			Limit:    class.FirstToken.Std(),
		},
	}
	ctx, cancel := context.WithDeadline(ctx, execution.deadline)
	defer cancel()
	return execution.run(ctx)
}

// run tries one backend server after another until the answer is whole. A
// query may be run again, so each goes on from where the last one broke off.
// Tries that bring the answer on aren't counted, nor is waiting for a backend
// server once the query was sent: its contract's limits bound that.
func (r *queryExecution) run(ctx context.Context) (Usage, error) {
	var lastErr error
	for attempt := 0; attempt < r.executor.entry.settings.Tries; attempt++ {
		if err := r.checkMayContinue(ctx); err != nil {
			return r.usage, err
		}
		r.filter.Not = r.tried
		if r.usage.Answer > 0 {
			r.routeRequest.Limit = 0 // the first token was given
		}
		ticket, err := r.executor.chooseServer(r.routeRequest, r.filter)
		if err != nil {
			if lastErr == nil {
				lastErr = r.withEarlierAttempts(err)
			}
			if fault.Of(err) == fault.Overloaded && !r.mayHaveRun {
				return r.usage, lastErr
			}
			clear(r.tried) // all were tried; after a pause they may do
			if !interval.Wait(ctx, chooseRetryInterval) {
				return r.usage, lastErr
			}
			if r.mayAwaitServer() {
				attempt--
			}
			continue
		}
		r.tried[ticket.Name] = true
		tokensBefore := r.usage.Answer
		err = r.generateAt(ctx, &ticket)
		if err == nil {
			return r.usage, nil
		}
		if r.usage.Answer > tokensBefore {
			attempt = -1
		}
		r.mayHaveRun = r.mayHaveRun || fault.From(err).Ran != fault.No
		lastErr = r.withEarlierAttempts(err)
		if fault.Of(err) == fault.Stale && r.adoptNewerContract(ctx) {
			clear(r.tried)
			continue
		}
		if !isRetryable(err) {
			return r.usage, lastErr
		}
		r.executor.entry.log.WithField("request", r.query.ID).WithField("backend", ticket.Name).
			WithField("given", r.usage.Answer).WithField("error", err.Error()).Warn("routing: another backend server")
	}
	return r.usage, lastErr
}

// mayAwaitServer reports whether a query that was sent may still wait for a backend
// server: until its first token is due, or its whole answer.
func (r *queryExecution) mayAwaitServer() bool {
	first := r.class.FirstToken.Std()
	return r.mayHaveRun && (r.usage.Answer > 0 || first == 0 || time.Since(r.startedAt) < first)
}

// adoptNewerContract goes by the newer contract that a sidecar knew of, once it is in
// force here too: a planned change refuses nobody who is still served.
func (r *queryExecution) adoptNewerContract(ctx context.Context) bool {
	r.staleRetries++
	if r.staleRetries > maxStaleRetries {
		return false
	}
	accepted, ok := r.executor.awaitNewerContract(ctx, r.accepted)
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

func (r *queryExecution) checkMayContinue(ctx context.Context) error {
	if ctx.Err() != nil {
		return r.withEarlierAttempts(fault.New(fault.Deadline, fault.No, "the answer's time was over"))
	}
	if r.mayHaveRun {
		return nil
	}
	return r.executor.checkLease()
}

// generateAt has one backend server give the answer, or the rest of it. When the way
// to the sidecar is lost, it comes back there for the rest, as long as that
// brings the answer on. A sidecar that answers that it doesn't keep it, because
// the query was lost with the way, is asked anew.
func (r *queryExecution) generateAt(ctx context.Context, ticket *fleet.Ticket) error {
	err := r.stream(ctx, ticket, false)
	for fault.Of(err) == fault.Broken && ctx.Err() == nil {
		tokensBefore := r.usage.Answer
		resumeErr := r.stream(ctx, ticket, true)
		if fault.Of(resumeErr) == fault.NotFound {
			resumeErr = r.stream(ctx, ticket, false)
		}
		if resumeErr == nil || fault.Of(resumeErr) == fault.Canceled || fault.Of(resumeErr) == fault.Deadline {
			err = resumeErr
			break
		}
		if r.usage.Answer == tokensBefore {
			r.cancelAtSidecar(ticket)
			break
		}
		r.executor.entry.host.Metrics.GetOrCreateCounter("streams_resumed_total").Inc()
		err = resumeErr
	}
	r.executor.entry.fleet.Done(time.Now(), ticket, r.usage.Answer, isServerFailure(err))
	return err
}

// stream opens one stream to the sidecar and reads pieces until the answer ends.
func (r *queryExecution) stream(ctx context.Context, ticket *fleet.Ticket, resume bool) error {
	work := message.Work{
		ID:       r.query.ID,
		Customer: r.accepted.Contract.Customer,
		Revision: r.accepted.Revision,
		Model:    r.query.Model,
		Prompt:   r.query.Prompt,
		Given:    r.generated.String(),
		Offset:   r.usage.Answer,
		Most:     r.query.Most,
		Priority: r.routeRequest.Priority,
		Left:     time.Until(r.deadline),
		Resume:   resume,
		Todo:     ticket.Todo,
		Between:  r.class.BetweenTokens.Std(),
	}
	if r.usage.Answer == 0 {
		work.First = r.class.FirstToken.Std()
	}
	client := r.executor.entry.client
	call, err := client.Open(ctx, ticket.Address, message.MethodWork, work)
	if err != nil {
		return err
	}
	defer call.Cancel()
	stop := context.AfterFunc(ctx, call.Cancel)
	defer stop()
	silenceTimeout := r.executor.entry.settings.Silence.Std()
	silenceTimer := time.AfterFunc(silenceTimeout, func() { r.abandonConnection(ticket.Address, call) })
	defer silenceTimer.Stop()
	for {
		var piece message.Piece
		err := call.Receive(&piece)
		silenceTimer.Reset(silenceTimeout)
		if err == nil {
			err = r.acceptPiece(ticket, piece)
			if err == nil && piece.End {
				return nil
			}
		}
		if err != nil {
			return r.streamError(ctx, ticket, err)
		}
	}
}

// abandonConnection takes note that the way to a sidecar has been without a sign of life:
// this call ends, and new ones use another connection.
func (r *queryExecution) abandonConnection(address string, call *wire.Call) {
	r.executor.entry.client.Avoid(address, call)
	call.Cancel()
}

// streamError makes an error of how a call ended.
func (r *queryExecution) streamError(ctx context.Context, ticket *fleet.Ticket, err error) error {
	if ctx.Err() != nil || fault.Of(err) == fault.Canceled {
		r.cancelAtSidecar(ticket)
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

// acceptPiece hands a piece to the reader. Pieces of other answers, doubled ones and
// those after a gap aren't this answer's.
func (r *queryExecution) acceptPiece(ticket *fleet.Ticket, p message.Piece) error {
	metrics := r.executor.entry.host.Metrics
	switch {
	case p.ID != r.query.ID:
		metrics.GetOrCreateCounter("pieces_crossed_total").Inc()
		return nil
	case p.Offset < r.usage.Answer:
		metrics.GetOrCreateCounter("pieces_doubled_total").Inc()
		return nil
	case p.Tokens == 0 && !p.End:
		r.mayHaveRun = true
		return nil // a sign of life
	case p.Offset > r.usage.Answer:
		return fault.New(fault.Broken, fault.Unknown, "a piece of the answer is missing")
	}
	r.mayHaveRun = true
	if p.Tokens > 0 {
		r.executor.entry.fleet.First(time.Now(), ticket)
		r.generated.WriteString(p.Text)
		r.usage.Answer += p.Tokens
		if err := r.out.Take(p.Text, p.Tokens); err != nil {
			return fault.New(fault.Canceled, fault.Unknown, "the caller is gone")
		}
	}
	if p.End {
		r.usage.Reason = p.Reason
		r.usage.Prompt = p.Prompt
	}
	return nil
}

// cancelAtSidecar has the sidecar give up what nobody waits for. It doesn't wait, since
// the sidecar may be out of reach; then the sidecar gives up by itself.
func (r *queryExecution) cancelAtSidecar(ticket *fleet.Ticket) {
	task := &cancelTask{client: r.executor.entry.client, address: ticket.Address, id: r.query.ID}
	_ = r.executor.entry.host.Pool.Submit(task)
}

type cancelTask struct {
	client  *wire.Client
	address string
	id      string
}

// Do implements pool.Task.
func (t *cancelTask) Do() {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	_ = t.client.Ask(ctx, t.address, message.MethodCancel, message.Cancel{ID: t.id}, nil)
}

// withEarlierAttempts corrects what an error says of this try by what earlier ones may have
// done.
func (r *queryExecution) withEarlierAttempts(err error) error {
	e := *fault.From(err)
	if e.Ran == fault.No && r.mayHaveRun {
		e.Ran = fault.Unknown
	}
	return fault.Wrap(&e)
}

// isRetryable reports whether another backend server may do better.
func isRetryable(err error) bool {
	switch fault.Of(err) {
	case fault.Unavailable, fault.Overloaded, fault.Broken, fault.Lapsed, fault.NotFound:
		return true
	}
	return false
}

// isServerFailure reports whether an error speaks against the backend server.
func isServerFailure(err error) bool {
	switch fault.Of(err) {
	case fault.Unavailable, fault.Broken, fault.Lapsed:
		return true
	}
	return false
}

func prefixHashes(q Query) func(int) []uint64 {
	cache := map[int][]uint64{}
	return func(pieceTokens int) []uint64 {
		hashes, ok := cache[pieceTokens]
		if !ok {
			hashes = prompt.Prefix(q.Model, q.Prompt, pieceTokens)
			cache[pieceTokens] = hashes
		}
		return hashes
	}
}

// logQuery writes the line that tells how a query ended.
func (d *Desk) logQuery(q Query, usage Usage, err error) {
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
