package relay

import (
	"context"
	"sync"
	"time"

	"endivedeck.example/fault"
	"endivedeck.example/placement"
	"endivedeck.example/upstream"
)

// exchange is one send of a job's request to a server. Besides the job it uses only
// what doesn't change while the job waits, so that it may run beside it.
type exchange struct {
	job    *job
	choice placement.Choice
	ticket *placement.Ticket // of choice.Runner
	opts   SendOptions
	ctx    context.Context // of the exchange
	cancel context.CancelFunc

	once   sync.Once
	sentAt time.Time
	resp   *upstream.Response // nil if err is set
	err    error
}

func (j *job) newExchange(choice placement.Choice, opts SendOptions) *exchange {
	ctx, cancel := context.WithCancel(j.ctx)
	opts.Server = choice.Runner.Server
	return &exchange{job: j, choice: choice, ticket: choice.Runner, opts: opts, ctx: ctx, cancel: cancel}
}

// wait sends the request unless that has been done, and waits for the header of the
// response.
func (x *exchange) wait() { x.once.Do(x.send) }

func (x *exchange) send() {
	x.sentAt = time.Now()
	x.resp, x.err = x.job.send(x.ctx, x.opts, x.choice)
}

// class returns the meaning of the response.
func (x *exchange) class() ResponseClass {
	return x.job.relay.dialect.Classify(x.resp.Status, x.resp.Header)
}

// mayHaveRun reports whether the server may have begun to process the request.
func (x *exchange) mayHaveRun() bool {
	if x.err != nil {
		return fault.FromError(x.err).Ran != fault.NotRun
	}
	return x.class() != NotRun
}

// drop ends an exchange whose response isn't used, and returns once nothing of it runs
// any more.
func (x *exchange) drop(result placement.Result) {
	x.cancel()
	x.wait()
	if x.resp != nil {
		x.resp.Close()
	}
	x.ticket.End(time.Now(), placement.Outcome{Result: result})
}
