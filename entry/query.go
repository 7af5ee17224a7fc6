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

// queryExecution is the state of a running query: what has been generated, and
// on which backend servers it has been tried.
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
	generated    strings.Builder // text so far, from which another engine continues
	mayHaveRun   bool            // an engine may have started on the query
	staleRetries int             // times that a sidecar already had a newer contract
}

// Ask executes a query and passes the generated tokens to reader. It returns
// when the response is complete, or an error whose Ran says whether an engine
// may have worked on the query.
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

// run tries one backend server after another until the response is complete. A
// query may be executed more than once, so each server continues where the
// previous one failed. Settings.Tries limits only consecutive attempts without
// new tokens. Once the query may have run, waiting for a backend server does not
// count either, because the time limits of the contract bound it.
func (r *queryExecution) run(ctx context.Context) (Usage, error) {
	var lastErr error
	for attempt := 0; attempt < r.executor.entry.settings.Tries; attempt++ {
		if err := r.checkMayContinue(ctx); err != nil {
			return r.usage, err
		}
		r.filter.Not = r.tried
		if r.usage.Answer > 0 {
			r.routeRequest.Limit = 0 // it limits the first token, which has arrived
		}
		ticket, err := r.executor.chooseServer(r.routeRequest, r.filter)
		if err != nil {
			if lastErr == nil {
				lastErr = r.withEarlierAttempts(err)
			}
			if fault.Of(err) == fault.Overloaded && !r.mayHaveRun {
				return r.usage, lastErr
			}
			clear(r.tried) // all candidates were tried: try them again after a pause
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

// mayAwaitServer reports whether a query that may have run may still wait for a
// backend server: before the first token, until the contract's limit for it has
// passed; after that, until the deadline, which ctx enforces.
func (r *queryExecution) mayAwaitServer() bool {
	first := r.class.FirstToken.Std()
	return r.mayHaveRun && (r.usage.Answer > 0 || first == 0 || time.Since(r.startedAt) < first)
}

// adoptNewerContract waits for the newer contract that a sidecar already has and
// switches the query to it, so that changing a contract does not fail a query
// that the new one still allows.
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
		return r.withEarlierAttempts(fault.New(fault.Deadline, fault.No, "the deadline for the complete response has passed"))
	}
	if r.mayHaveRun {
		return nil
	}
	return r.executor.checkLease()
}

// generateAt generates the response, or the rest of it, on one backend server.
// When the connection to the sidecar is lost, it resumes the stream there as
// long as each resumption yields new tokens. If the sidecar has no such stream,
// because the query was lost with the connection, the query is sent again.
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

// stream opens one call to the sidecar and reads pieces of the response until it
// ends. With resume it continues a stream that the sidecar still has.
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

// abandonConnection cancels a call whose connection has gone silent. New calls to
// the sidecar use another connection.
func (r *queryExecution) abandonConnection(address string, call *wire.Call) {
	r.executor.entry.client.Avoid(address, call)
	call.Cancel()
}

// streamError returns the error to report for a call that failed with err. It
// cancels the generation if the caller no longer waits for the response.
func (r *queryExecution) streamError(ctx context.Context, ticket *fleet.Ticket, err error) error {
	if ctx.Err() != nil || fault.Of(err) == fault.Canceled {
		r.cancelAtSidecar(ticket)
		if ctx.Err() == context.DeadlineExceeded {
			return fault.New(fault.Deadline, fault.Unknown, "no complete response within %v", r.deadline.Sub(r.startedAt))
		}
		return fault.New(fault.Canceled, fault.Unknown, "the caller disconnected")
	}
	if err == io.EOF {
		return fault.New(fault.Broken, fault.Unknown, "the sidecar closed the stream before the end of the response")
	}
	return err
}

// acceptPiece passes a piece to the reader. Pieces of other responses and
// duplicates are dropped and counted; a gap is an error.
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
		return nil // keep-alive
	case p.Offset > r.usage.Answer:
		return fault.New(fault.Broken, fault.Unknown, "missing tokens in the response: got offset %d, want %d", p.Offset, r.usage.Answer)
	}
	r.mayHaveRun = true
	if p.Tokens > 0 {
		r.executor.entry.fleet.First(time.Now(), ticket)
		r.generated.WriteString(p.Text)
		r.usage.Answer += p.Tokens
		if err := r.out.Take(p.Text, p.Tokens); err != nil {
			return fault.New(fault.Canceled, fault.Unknown, "writing to the caller failed: %v", err)
		}
	}
	if p.End {
		r.usage.Reason = p.Reason
		r.usage.Prompt = p.Prompt
	}
	return nil
}

// cancelAtSidecar asks the sidecar to stop generating a response that nobody waits
// for. It does not wait for the reply: a sidecar that can't be reached stops the
// generation by itself after a time without a reader.
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

// withEarlierAttempts returns err with Ran set to Unknown if it is No but an
// earlier attempt may have run.
func (r *queryExecution) withEarlierAttempts(err error) error {
	e := *fault.From(err)
	if e.Ran == fault.No && r.mayHaveRun {
		e.Ran = fault.Unknown
	}
	return fault.Wrap(&e)
}

// isRetryable reports whether another backend server may succeed.
func isRetryable(err error) bool {
	switch fault.Of(err) {
	case fault.Unavailable, fault.Overloaded, fault.Broken, fault.Lapsed, fault.NotFound:
		return true
	}
	return false
}

// isServerFailure reports whether an error counts as a failure of the backend
// server, which then gets no new requests for a while.
func isServerFailure(err error) bool {
	switch fault.Of(err) {
	case fault.Unavailable, fault.Broken, fault.Lapsed:
		return true
	}
	return false
}

// prefixHashes returns a function that computes the prefix hashes of the prompt
// for a given piece size, each only once.
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

// logQuery logs and counts the outcome of a query.
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
