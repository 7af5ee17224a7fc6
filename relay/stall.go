package relay

import (
	"context"
	"maps"
	"time"

	"endivedeck.example/placement"
	"endivedeck.example/rank"
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
	request      placement.Request // of the retry
	timer        *time.Timer       // nil if the attempt is never canceled
	lastProgress time.Time
	longestPause time.Duration

	mu      rank.Mutex
	wait    time.Duration // until the timer fires
	stopped bool
}

// newStallTimer returns a running timer. executions is the number of executions of
// the request if the attempt is canceled.
func newStallTimer(j *job, executions int, wait time.Duration, cancel context.CancelFunc) *stallTimer {
	t := &stallTimer{job: j, cancel: cancel, lastProgress: time.Now(), wait: wait, mu: rank.New(rank.Request)}
	if j.route.Kind != routes.Stream || !j.route.Retryable() || executions >= j.route.MaxAttempts || j.sends >= j.route.MaxAttempts+extraSends {
		return t
	}
	t.request = j.placementRequest(t.lastProgress)
	t.request.Excluded = maps.Clone(j.tried)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(wait, t.fire)
	return t
}

// fire cancels the attempt if a retry is possible and allowed. Otherwise it waits
// again.
func (t *stallTimer) fire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped {
		return
	}
	j := t.job
	now := time.Now()
	if j.deadline.Sub(now) < minTimeLeft || !j.relay.placement.HasAlternative(now, t.request) || !j.countRetry() {
		t.timer.Reset(t.wait)
		return
	}
	t.stopped = true
	j.retryCounted.Store(true)
	t.cancel()
}

// progress records that the stream has sent an event.
func (t *stallTimer) progress(now time.Time) {
	t.longestPause = max(t.longestPause, now.Sub(t.lastProgress))
	t.lastProgress = now
	if t.timer == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.stopped {
		t.wait = max(streamStallTimeout, stallFactor*t.longestPause)
		t.timer.Reset(t.wait)
	}
}

// stop ends the timer. No retry is counted after it has returned.
func (t *stallTimer) stop() {
	if t.timer == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	t.timer.Stop()
}
