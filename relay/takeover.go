package relay

import (
	"time"

	"github.com/sirupsen/logrus"

	"endivedeck.example/fault"
)

const (
	// takeoverWait is how long a server that was asked to go on with a stream may be
	// silent until it counts as having accepted: a full server refuses at once, and one
	// that is gone doesn't accept a connection within dialTimeout. Two servers may work
	// on a request for 400 ms at most.
	takeoverWait = dialTimeout + 40*time.Millisecond

	// maxTimerLag is how late a timer may fire. On a machine that is so busy that it fires
	// later, a refusal may not have been read yet.
	maxTimerLag = 40 * time.Millisecond
)

// takeover asks a server to go on with a stream. Its exchange ends when the stream
// goes on at the server before, or once the server has answered.
type takeover struct {
	*exchange
	stall *stallTimer
	done  chan struct{} // closed when run has ended

	// Guarded by stall.mu.
	limit    *time.Timer // calls assumeAccepted
	due      time.Time   // when limit fires
	answered bool
}

// run asks the server.
func (x *takeover) run() {
	defer close(x.done)
	x.wait()
	x.stall.answered(x)
	switch {
	case x.err == nil && x.class() == Succeeded && x.stall.accept(x):
		x.log("accepted")
	case x.stall.accepts(x):
		x.log("failed after it was taken to have accepted")
	default:
		x.stall.refused(x)
	}
}

// assumeAccepted gives up the attempt before for a server that hasn't refused for
// takeoverWait. One that is silent to other requests too, or whose slots are all in use as
// far as known, has to answer.
func (x *takeover) assumeAccepted() {
	now := time.Now()
	table, id := x.job.relay.placement, x.ticket.Server.ID
	if x.late(now) || table.Silent(now, id, streamStallTimeout) || table.Full(now, id) {
		x.assumeLater(now)
		return
	}
	x.stall.assume(x)
}

// late reports whether limit has fired too late.
func (x *takeover) late(now time.Time) bool {
	x.stall.mu.Lock()
	defer x.stall.mu.Unlock()
	return now.Sub(x.due) > maxTimerLag
}

// assumeLater has assumeAccepted called again, unless the takeover has ended.
func (x *takeover) assumeLater(now time.Time) {
	x.stall.mu.Lock()
	defer x.stall.mu.Unlock()
	if x.answered || x.stall.stopped || x.ctx.Err() != nil {
		return
	}
	x.due = now.Add(takeoverWait)
	x.limit.Reset(takeoverWait)
}

// log logs the outcome of asking the server.
func (x *takeover) log(outcome string) {
	fields := logrus.Fields{
		"request": x.job.info.ID, "asked": x.ticket.Server.ID, "after": x.opts.LastEventID, "outcome": outcome,
		"took": time.Since(x.sentAt).Milliseconds(),
	}
	if x.err != nil {
		fields["error"] = fault.FromError(x.err).Message
	} else {
		fields["status"] = x.resp.Status
	}
	x.job.relay.log.WithFields(fields).Info("another server was asked to go on with a silent stream")
}
