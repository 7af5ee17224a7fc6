package entry

import (
	"context"
	"io"
	"strings"
	"time"

	"endivedeck.example/admission"
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

	// maxEngineEnds is the number of engines that may end under one query. The
	// first may end by chance; after the second, the query is taken for the cause.
	maxEngineEnds = 2
)

// queryExecution is the state of a running query: what has been generated, and
// on which backend servers it has been tried.
type queryExecution struct {
	executor    *Executor
	query       Query
	accepted    contract.Accepted
	class       contract.Class
	reservation admission.Reservation
	out         TokenWriter
	deadline    time.Time // by the contract that the query was admitted under
	startedAt   time.Time

	selector     fleet.Selector
	routeRequest routing.Request
	tried        map[string]bool
	usage        Usage
	generated    strings.Builder // text so far, from which another engine continues
	mayHaveRun   bool            // an engine may have started on the query
	staleRetries int             // times that a sidecar already had a newer contract
	engineEnds   int             // engines that ended under the query
}

// Query executes a query and passes the generated tokens to out. It returns
// when the answer is complete, or an error whose Ran says whether an engine
// may have worked on the query.
func (x *Executor) Query(ctx context.Context, q Query, out TokenWriter) (Usage, error) {
	var usage Usage
	err := x.runOnWorker(func() error {
		var err error
		usage, err = x.executeQuery(ctx, q, out)
		return err
	})
	x.logQuery(q, usage, err)
	return usage, err
}

func (x *Executor) executeQuery(ctx context.Context, q Query, out TokenWriter) (usage Usage, err error) {
	tokens := prompt.CountTokens(q.Prompt)
	selector := fleet.Selector{Model: q.Model, BlockHashes: blockHashes(q)}
	accepted, reservation, err := x.admit(q.Caller, q.Class, tokens, selector)
	if err != nil {
		return Usage{}, err
	}
	defer func() { x.entry.admission.Release(reservation, usage.AnswerTokens) }()
	class := accepted.Contract.Classes[q.Class]
	now := time.Now()
	execution := &queryExecution{
		executor:    x,
		query:       q,
		accepted:    accepted,
		class:       class,
		reservation: reservation,
		out:         out,
		startedAt:   now,
		deadline:    now.Add(class.WholeAnswer.Std()),
		selector:    selector,
		tried:       map[string]bool{},
		routeRequest: routing.Request{
			ID:            q.ID,
			Customer:      accepted.Contract.Customer,
			Class:         q.Class,
			Model:         q.Model,
			FailureDomain: x.entry.host.Process.FailureDomain,
			PromptTokens:  tokens,
			AnswerTokens:  q.MaxTokens,
			Priority:      reservation.Priority(class.Priority),
			Borrowed:      reservation.Borrowed,
			TTFTLimit:     class.FirstToken.Std(),
		},
	}
	ctx, cancel := context.WithDeadline(ctx, execution.deadline)
	defer cancel()
	return execution.run(ctx)
}

// run tries one backend server after another until the answer is complete. A
// query may be executed more than once, so each server continues where the
// previous one failed. Settings.MaxAttempts limits only consecutive attempts
// without new tokens. Once the query may have run, waiting for a backend server
// does not count either, because the time limits of the contract bound it. New
// tokens don't excuse the ends of engines: maxEngineEnds bounds all of them.
func (q *queryExecution) run(ctx context.Context) (Usage, error) {
	var lastErr error
	for attempt := 0; attempt < q.executor.entry.settings.MaxAttempts; attempt++ {
		if err := q.checkMayContinue(ctx); err != nil {
			return q.usage, err
		}
		q.selector.Exclude = q.tried
		if q.usage.AnswerTokens > 0 {
			q.routeRequest.TTFTLimit = 0 // it limits the first token, which has arrived
		}
		ticket, err := q.executor.chooseServer(q.routeRequest, q.selector)
		if err != nil {
			if lastErr == nil {
				lastErr = q.withEarlierAttempts(err)
			}
			if fault.KindOf(err) == fault.Overloaded && !q.mayHaveRun {
				return q.usage, lastErr
			}
			clear(q.tried) // all candidates were tried: try them again after a pause
			if !interval.Sleep(ctx, chooseRetryInterval) {
				return q.usage, lastErr
			}
			if q.mayAwaitServer() {
				attempt--
			}
			continue
		}
		q.tried[ticket.Name] = true
		tokensBefore := q.usage.AnswerTokens
		err = q.generateAt(ctx, &ticket)
		if err == nil {
			return q.usage, nil
		}
		if q.usage.AnswerTokens > tokensBefore {
			attempt = -1
		}
		q.mayHaveRun = q.mayHaveRun || fault.FromError(err).Ran != fault.NotRun
		lastErr = q.withEarlierAttempts(err)
		if fault.KindOf(err) == fault.Stale && q.adoptNewerContract(ctx) {
			clear(q.tried)
			continue
		}
		if !isRetryable(err) {
			return q.usage, lastErr
		}
		if fault.FromError(err).EngineEnded {
			q.engineEnds++
		}
		log := q.executor.entry.log.WithField("request", q.query.ID).WithField("backend", ticket.Name).
			WithField("given", q.usage.AnswerTokens).WithField("ends", q.engineEnds).WithField("error", err.Error())
		if q.engineEnds >= maxEngineEnds {
			log.Warn("routing: no further backend server, engines ended under the request")
			return q.usage, lastErr
		}
		log.Warn("routing: another backend server")
	}
	return q.usage, lastErr
}

// mayAwaitServer reports whether a query that may have run may still wait for a
// backend server: before the first token, until the contract's limit for it has
// passed; after that, until the deadline, which ctx enforces.
func (q *queryExecution) mayAwaitServer() bool {
	ttftLimit := q.class.FirstToken.Std()
	return q.mayHaveRun && (q.usage.AnswerTokens > 0 || ttftLimit == 0 || time.Since(q.startedAt) < ttftLimit)
}

// adoptNewerContract waits for the newer contract that a sidecar already has and
// switches the query to it, so that changing a contract does not fail a query
// that the new one still allows.
func (q *queryExecution) adoptNewerContract(ctx context.Context) bool {
	q.staleRetries++
	if q.staleRetries > maxStaleRetries {
		return false
	}
	accepted, ok := q.executor.awaitNewerContract(ctx, q.accepted)
	if !ok || !accepted.Contract.AllowsModel(q.query.Model) {
		return false
	}
	class, ok := accepted.Contract.Classes[q.query.Class]
	if !ok {
		return false
	}
	q.accepted = accepted
	q.class = class
	q.routeRequest.Priority = q.reservation.Priority(class.Priority)
	q.routeRequest.TTFTLimit = class.FirstToken.Std()
	return true
}

func (q *queryExecution) checkMayContinue(ctx context.Context) error {
	if ctx.Err() == context.Canceled {
		return q.withEarlierAttempts(fault.New(fault.Canceled, fault.NotRun, "the caller disconnected"))
	}
	if ctx.Err() != nil {
		return q.withEarlierAttempts(fault.New(fault.DeadlineExceeded, fault.NotRun, "the deadline for the complete answer has passed"))
	}
	if q.mayHaveRun {
		return nil
	}
	return q.executor.checkLease()
}

// generateAt generates the answer, or the rest of it, on one backend server.
// When the connection to the sidecar is lost, it resumes the stream there as
// long as each resumption yields new tokens. If the sidecar has no such stream,
// because the query was lost with the connection, the query is sent again, but
// not if the engine ended under it.
func (q *queryExecution) generateAt(ctx context.Context, ticket *fleet.Ticket) error {
	err := q.stream(ctx, ticket, false)
	for fault.KindOf(err) == fault.Broken && !fault.FromError(err).EngineEnded && ctx.Err() == nil {
		tokensBefore := q.usage.AnswerTokens
		resumeErr := q.stream(ctx, ticket, true)
		if fault.KindOf(resumeErr) == fault.NotFound {
			resumeErr = q.stream(ctx, ticket, false)
		}
		if endsResumption(resumeErr) {
			err = resumeErr
			break
		}
		if q.usage.AnswerTokens == tokensBefore {
			q.cancelAtSidecar(ticket)
			break
		}
		q.executor.entry.host.Metrics.GetOrCreateCounter("streams_resumed_total").Inc()
		err = resumeErr
	}
	q.executor.entry.fleet.RecordEnd(time.Now(), ticket, q.usage.AnswerTokens, isServerFailure(err))
	return err
}

// endsResumption reports whether the result of a resumed stream replaces that of
// the connection that was lost before.
func endsResumption(err error) bool {
	e := fault.FromError(err)
	return e == nil || e.Kind == fault.Canceled || e.Kind == fault.DeadlineExceeded || e.EngineEnded
}

// stream opens one call to the sidecar and receives chunks of the answer until
// it ends. With resume it continues a stream that the sidecar still has.
func (q *queryExecution) stream(ctx context.Context, ticket *fleet.Ticket, resume bool) error {
	request := message.GenerateRequest{
		ID:                 q.query.ID,
		Customer:           q.accepted.Contract.Customer,
		Revision:           q.accepted.Revision,
		Model:              q.query.Model,
		Prompt:             q.query.Prompt,
		ReceivedText:       q.generated.String(),
		Offset:             q.usage.AnswerTokens,
		MaxTokens:          q.query.MaxTokens,
		Priority:           q.routeRequest.Priority,
		TimeLeft:           time.Until(q.deadline),
		Resume:             resume,
		UncachedTokens:     ticket.UncachedTokens,
		TokenIntervalLimit: q.class.BetweenTokens.Std(),
	}
	if q.usage.AnswerTokens == 0 {
		request.TTFTLimit = q.class.FirstToken.Std()
	}
	client := q.executor.entry.client
	call, err := client.OpenCall(ctx, ticket.Address, message.MethodGenerate, request)
	if err != nil {
		return err
	}
	defer call.Cancel()
	stop := context.AfterFunc(ctx, call.Cancel)
	defer stop()
	silenceTimeout := q.executor.entry.settings.SilenceTimeout.Std()
	silenceTimer := time.AfterFunc(silenceTimeout, func() { q.abandonConnection(ticket.Address, call) })
	defer silenceTimer.Stop()
	for {
		var chunk message.Chunk
		err := call.Receive(&chunk)
		silenceTimer.Reset(silenceTimeout)
		if err == nil {
			err = q.acceptChunk(ticket, chunk)
			if err == nil && chunk.Final {
				return nil
			}
		}
		if err != nil {
			return q.streamError(ctx, ticket, err)
		}
	}
}

// abandonConnection cancels a call whose connection has gone silent. New calls
// to the sidecar use another connection.
func (q *queryExecution) abandonConnection(address string, call *wire.Call) {
	q.executor.entry.client.RetireConn(address, call)
	call.Cancel()
}

// streamError returns the error to report for a call that failed with err. It
// cancels the generation if the caller no longer waits for the answer.
func (q *queryExecution) streamError(ctx context.Context, ticket *fleet.Ticket, err error) error {
	if ctx.Err() != nil || fault.KindOf(err) == fault.Canceled {
		q.cancelAtSidecar(ticket)
		if ctx.Err() == context.DeadlineExceeded {
			return fault.New(fault.DeadlineExceeded, fault.MaybeRun, "no complete answer within %v", q.deadline.Sub(q.startedAt))
		}
		return fault.New(fault.Canceled, fault.MaybeRun, "the caller disconnected")
	}
	if err == io.EOF {
		return fault.New(fault.Broken, fault.MaybeRun, "the sidecar closed the stream before the end of the answer")
	}
	return err
}

// acceptChunk writes a chunk to the caller. Chunks of other answers and
// duplicates are dropped and counted; a gap is an error.
func (q *queryExecution) acceptChunk(ticket *fleet.Ticket, chunk message.Chunk) error {
	metrics := q.executor.entry.host.Metrics
	switch {
	case chunk.ID != q.query.ID:
		metrics.GetOrCreateCounter("pieces_crossed_total").Inc()
		return nil
	case chunk.Offset < q.usage.AnswerTokens:
		metrics.GetOrCreateCounter("pieces_doubled_total").Inc()
		return nil
	case chunk.Tokens == 0 && !chunk.Final:
		q.mayHaveRun = true
		return nil // keep-alive
	case chunk.Offset > q.usage.AnswerTokens:
		return fault.New(fault.Broken, fault.MaybeRun, "missing tokens in the answer: got offset %d, want %d", chunk.Offset, q.usage.AnswerTokens)
	}
	q.mayHaveRun = true
	if chunk.Tokens > 0 {
		q.executor.entry.fleet.RecordFirstToken(time.Now(), ticket)
		q.generated.WriteString(chunk.Text)
		q.usage.AnswerTokens += chunk.Tokens
		if err := q.out.WriteTokens(chunk.Text, chunk.Tokens); err != nil {
			return fault.New(fault.Canceled, fault.MaybeRun, "writing to the caller failed: %v", err)
		}
	}
	if chunk.Final {
		q.usage.FinishReason = chunk.FinishReason
		q.usage.PromptTokens = chunk.PromptTokens
	}
	return nil
}

// cancelAtSidecar asks the sidecar to stop generating an answer that nobody
// waits for. It does not wait for the reply: a sidecar that can't be reached
// stops the generation by itself after a time without a reader.
func (q *queryExecution) cancelAtSidecar(ticket *fleet.Ticket) {
	task := &cancelTask{client: q.executor.entry.client, address: ticket.Address, id: q.query.ID}
	if err := q.executor.entry.host.Pool.Submit(task); err != nil {
		go task.run() // a busy fleet must not generate what nobody waits for
	}
}

type cancelTask struct {
	client  *wire.Client
	address string
	id      string
}

// Run implements pool.Task.
func (t *cancelTask) Run() { t.run() }

// run sends the request. It takes cancelTimeout at most.
func (t *cancelTask) run() {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	_ = t.client.Call(ctx, t.address, message.MethodCancel, message.CancelRequest{ID: t.id}, nil)
}

// withEarlierAttempts returns err with Ran changed from NotRun to MaybeRun if an
// earlier attempt may have run.
func (q *queryExecution) withEarlierAttempts(err error) error {
	e := *fault.FromError(err)
	if e.Ran == fault.NotRun && q.mayHaveRun {
		e.Ran = fault.MaybeRun
	}
	return fault.WithStack(&e)
}

// isRetryable reports whether another backend server may succeed.
func isRetryable(err error) bool {
	switch fault.KindOf(err) {
	case fault.Unavailable, fault.Overloaded, fault.Broken, fault.LeaseExpired, fault.NotFound:
		return true
	}
	return false
}

// isServerFailure reports whether an error counts as a failure of the backend
// server, which then gets no new requests for a while.
func isServerFailure(err error) bool {
	switch fault.KindOf(err) {
	case fault.Unavailable, fault.Broken, fault.LeaseExpired:
		return true
	}
	return false
}

// blockHashes returns a function that computes the hashes of the prompt's KV
// cache blocks for a given block size, once for each size.
func blockHashes(q Query) func(int) []uint64 {
	cache := map[int][]uint64{}
	return func(blockTokens int) []uint64 {
		hashes, ok := cache[blockTokens]
		if !ok {
			hashes = prompt.BlockHashes(q.Model, q.Prompt, blockTokens)
			cache[blockTokens] = hashes
		}
		return hashes
	}
}

// logQuery logs and counts the outcome of a query.
func (x *Executor) logQuery(q Query, usage Usage, err error) {
	line := x.entry.log.WithField("request", q.ID).WithField("customer", q.Caller.Accepted.Contract.Customer).
		WithField("class", q.Class).WithField("model", q.Model).WithField("tokens", usage.AnswerTokens)
	outcome := "whole"
	if e := fault.FromError(err); e != nil {
		outcome = string(e.Kind)
		line = line.WithField("ran", e.Ran).WithField("error", e.Message)
	}
	x.entry.host.Metrics.GetOrCreateCounter(`queries_total{outcome="` + outcome + `"}`).Inc()
	line.WithField("outcome", outcome).Info("query")
}
