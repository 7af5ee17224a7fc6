package relay

import (
	"context"
	"sync/atomic"
	"time"

	"endivedeck.example/routes"
)

const (
	// streamStallTimeout is how long a resumable stream may send no event before it
	// is resumed on another server. Callers wait at least 2 s before they give up.
	streamStallTimeout = 900 * time.Millisecond

	// stallFactor extends streamStallTimeout for a stream that is slow all along: to
	// this multiple of its longest pause so far.
	stallFactor = 3

	// startDelayFactor limits the time until a resumable stream begins:
	// streamStallTimeout plus this multiple of the expected time. Late prompts
	// can exceed the estimate, since other prompts overtake them.
	startDelayFactor = 3
)

// stallTimer cancels an attempt whose server sends no event for too long, if the
// request can be sent to another server. The retry is counted against the budget
// first. A server that no other one can take over from is waited for: it may only
// be slow, and giving up would end the response for certain.
type stallTimer struct {
	job          *job
	cancel       context.CancelFunc
	tried        int          // servers that the request was sent to
	wait         atomic.Int64 // until the timer fires, in nanoseconds
	timer        *time.Timer  // nil if the attempt is never canceled
	lastProgress time.Time
	longestPause time.Duration
}

// newStallTimer returns a running timer. executions is the number of executions of
// the request if the attempt is canceled.
func newStallTimer(j *job, executions int, wait time.Duration, cancel context.CancelFunc) *stallTimer {
	t := &stallTimer{job: j, cancel: cancel, tried: len(j.tried), lastProgress: time.Now()}
	if j.route.Kind != routes.Stream || !j.route.Retryable() || executions >= j.route.MaxAttempts || j.sends >= j.route.MaxAttempts+extraSends {
		return t
	}
	t.timer = time.AfterFunc(time.Hour, t.fire)
	t.reset(wait)
	return t
}

func (t *stallTimer) reset(wait time.Duration) {
	t.wait.Store(int64(wait))
	t.timer.Reset(wait)
}

// fire cancels the attempt if a retry is allowed. Otherwise it waits again.
func (t *stallTimer) fire() {
	j := t.job
	if j.relay.placement.ServerCount(j.service) <= t.tried || !j.countRetry() {
		t.timer.Reset(time.Duration(t.wait.Load()))
		return
	}
	j.retryCounted.Store(true)
	t.cancel()
}

// progress records that the stream has sent an event.
func (t *stallTimer) progress(now time.Time) {
	t.longestPause = max(t.longestPause, now.Sub(t.lastProgress))
	t.lastProgress = now
	if t.timer != nil {
		t.reset(max(streamStallTimeout, stallFactor*t.longestPause))
	}
}

func (t *stallTimer) stop() {
	if t.timer != nil {
		t.timer.Stop()
	}
}
