package relay

import (
	"context"
	"maps"
	"time"

	"endivedeck.example/internal/prompts/quarantine"
	"endivedeck.example/placement"
	"endivedeck.example/rank"
	"endivedeck.example/routes"
)

const (
	// streamStallTimeout is how long a resumable stream may send no event before
	// another server is asked to go on with it. Callers wait at least 2 s before they
	// give up.
	streamStallTimeout = 900 * time.Millisecond

	// stallFactor extends streamStallTimeout for a stream that is slow all along: to
	// this multiple of its longest pause so far.
	stallFactor = 3

	// startDelayFactor limits the time until a resumable stream begins:
	// streamStallTimeout plus this multiple of the expected time. Late prompts
	// can exceed the estimate, since other prompts overtake them.
	startDelayFactor = 3

	// Streams of teams whose route bounds the pause between events. Another server is asked
	// while it can still send the next event in time, unless that has come too late before.
	minStallPart   = 0.65 // of the bound
	maxStallPart   = 0.8  // of the bound, for a stream that is slow all along
	slowStall      = 1.3  // times the longest pause so far
	startStallPart = 0.5  // of the latency objective, in addition to the expected time
	silentPart     = 0.5  // of the bound, for which the server must have sent nothing to any request: another engine reads again what a stream has so far, so streams don't leave one that is merely slow
	silenceRecheck = 20 * time.Millisecond

	// What a relay may ask for so soon. Streams that leave many servers at a time would
	// slow down those that are left.
	soonPerSecond = 4
	soonBurst     = 3

	takeoverInterval = 300 * time.Millisecond // from a refusal until a server is asked again
	sendsKept        = 1                      // not used for takeovers, but kept for a stream that breaks
)

type (
	// stallTimer watches a stream whose server may fall silent. If no event comes for
	// too long, it asks another server to go on with the stream. The running attempt is
	// given up only when that server has accepted: until then the silent server may go
	// on, and a server that is full or fails would leave the caller with nothing. Each
	// server that is asked counts against the retry budget.
	stallTimer struct {
		job          *job
		cancel       context.CancelFunc // of the running attempt
		server       string             // ID of that of the running attempt
		executions   int                // of the request, with the running attempt
		timer        *time.Timer        // nil if the attempt is never given up
		lastProgress time.Time
		longestPause time.Duration

		mu           rank.Mutex
		wait         time.Duration     // until the timer fires after an event
		request      placement.Request // of the next takeover
		position     streamPosition    // after which a server is asked to go on
		waitingSince time.Time         // latest event, or the start
		forwarding   bool              // events after position have arrived and are being forwarded
		asked        []*takeover
		accepted     *takeover // the stream is left for it
		stopped      bool
	}
)

// newStallTimer returns a running timer. executions is the number of executions of
// the request with the running attempt, which cancel ends.
func newStallTimer(j *job, executions int, wait time.Duration, cancel context.CancelFunc) *stallTimer {
	t := &stallTimer{job: j, cancel: cancel, server: j.serverID, executions: executions, lastProgress: time.Now(), waitingSince: time.Now(), wait: wait, position: j.position, mu: rank.New(rank.Request)}
	if j.route.Kind != routes.Stream || !j.route.Retryable() || !t.mayAsk(t.lastProgress) {
		return t
	}
	t.request = j.placementRequest(t.lastProgress)
	t.request.Excluded = maps.Clone(j.tried)
	t.request.SingleEngine, t.request.MustPlace = true, true
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(wait, t.fire)
	return t
}

// stallWait returns how long a stream with the given longest pause may send no event before
// another server is asked to go on with it.
func (j *job) stallWait(longestPause time.Duration) time.Duration {
	bound := j.route.PauseObjective
	if j.team == nil || bound <= 0 || longestPause > bound {
		return max(streamStallTimeout, stallFactor*longestPause)
	}
	wait := max(minStallPart*float64(bound), slowStall*float64(longestPause))
	return time.Duration(min(wait, maxStallPart*float64(bound)))
}

// startWait returns how long the answer may not have begun before another server is asked.
func (j *job) startWait() time.Duration {
	expected := startDelayFactor * j.choice.FirstByte
	if j.team == nil || j.route.PauseObjective <= 0 || j.objectiveLeft(time.Now()) <= 0 {
		return streamStallTimeout + expected
	}
	return min(streamStallTimeout, time.Duration(startStallPart*float64(j.route.LatencyObjective))) + expected
}

// mayAskSoon reports whether another server may be asked before streamStallTimeout. It counts
// the attempt.
func (t *stallTimer) mayAskSoon(now time.Time) bool {
	r := t.job.relay
	silence := time.Duration(silentPart * float64(t.job.route.PauseObjective))
	return r.placement.SilentTo(now, t.server, silence) && r.soon.AllowN(now, 1)
}

// mayAsk reports whether the route allows that another server is asked.
func (t *stallTimer) mayAsk(now time.Time) bool {
	j := t.job
	return t.executions < j.route.MaxAttempts && j.sends+len(t.asked) < j.route.MaxAttempts+extraSends-sendsKept &&
		!j.trial && !j.repeatsServerEnd(now) && j.relay.quarantine.Check(now, j.parts).State != quarantine.Quarantined
}

// fire asks another server to go on with the stream, if one might and a retry is
// allowed. Otherwise it waits again.
func (t *stallTimer) fire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped || t.forwarding {
		return
	}
	j := t.job
	now := time.Now()
	if idle := now.Sub(t.waitingSince); t.wait < streamStallTimeout && idle < streamStallTimeout && !t.mayAskSoon(now) {
		t.timer.Reset(min(silenceRecheck, streamStallTimeout-idle))
		return
	}
	if !t.position.resumable() || !t.mayAsk(now) || j.deadline.Sub(now) < minTimeLeft || !j.relay.placement.HasAlternative(now, t.request) || !j.countRetry() {
		t.timer.Reset(t.wait)
		return
	}
	t.request.Resumed = t.position.lastID != ""
	t.request.ObjectiveLeft, t.request.TimeLeft = j.objectiveLeft(now), j.deadline.Sub(now)
	choice, err := j.relay.placement.Choose(now, t.request)
	if err != nil {
		t.timer.Reset(t.wait)
		return
	}
	opts := SendOptions{TimeLeft: j.deadline.Sub(now), LastEventID: t.position.lastID, PrefixSource: choice.PrefixSource}
	next := &takeover{exchange: j.newExchange(choice, opts), stall: t, done: make(chan struct{})}
	next.due = now.Add(takeoverWait)
	next.limit = time.AfterFunc(takeoverWait, next.assumeAccepted)
	t.asked = append(t.asked, next)
	go next.run()
}

// accept gives up the running attempt for a server that has accepted, and reports
// whether it has. The stream may have gone on meanwhile.
func (t *stallTimer) accept(x *takeover) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped || x.ctx.Err() != nil {
		return t.accepted == x
	}
	t.giveUpFor(x)
	return true
}

// assume is accept for a server that hasn't answered yet.
func (t *stallTimer) assume(x *takeover) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !x.answered && !t.stopped && x.ctx.Err() == nil {
		t.giveUpFor(x)
	}
}

// giveUpFor ends the running attempt. The caller must hold mu.
func (t *stallTimer) giveUpFor(x *takeover) {
	t.stopped = true
	t.accepted = x
	t.job.relay.metrics.countRetry("silent")
	t.cancel()
}

// answered records that a server has answered, or can't.
func (t *stallTimer) answered(x *takeover) {
	t.mu.Lock()
	defer t.mu.Unlock()
	x.answered = true
	x.limit.Stop()
}

// accepts reports whether the running attempt was given up for the server.
func (t *stallTimer) accepts(x *takeover) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.accepted == x
}

// refused ends a takeover that the server hasn't accepted, and waits again.
func (t *stallTimer) refused(x *takeover) {
	outcome, result := "not accepted", placement.Refused
	switch {
	case x.ctx.Err() != nil:
		outcome, result = "not needed any more", placement.Canceled
	case x.err != nil:
		result = t.job.failureResult(x.ticket, x.err)
	case x.class() == Failed:
		result = placement.Failed
	}
	x.log(outcome)
	x.drop(result)
	t.mu.Lock()
	defer t.mu.Unlock()
	if x.mayHaveRun() {
		t.executions++
		t.request.Excluded[x.ticket.Server.ID] = true
	}
	if !t.stopped && !t.forwarding && result != placement.Canceled {
		t.timer.Reset(takeoverInterval)
	}
}

// received records that events have arrived and stops the timer until they are
// forwarded, which may take long if the caller reads slowly. It reports false if the
// stream was left for another server, which goes on before these events.
func (t *stallTimer) received(now time.Time) bool {
	t.longestPause = max(t.longestPause, now.Sub(t.lastProgress))
	if t.timer == nil {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.accepted != nil {
		return false
	}
	t.forwarding = true
	t.timer.Stop()
	t.cancelAsked()
	return true
}

// progress records that events were forwarded up to a position, and starts the timer.
func (t *stallTimer) progress(now time.Time, position streamPosition) {
	t.lastProgress = now
	if t.timer == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.position, t.waitingSince = position, now
	t.forwarding = false
	if !t.stopped {
		t.wait = t.job.stallWait(t.longestPause)
		t.timer.Reset(t.wait)
	}
}

// cancelAsked ends the takeover that runs, if there is one.
func (t *stallTimer) cancelAsked() {
	if n := len(t.asked); n > 0 {
		t.asked[n-1].cancel()
	}
}

// stop ends the timer and returns the takeover that the attempt was given up for, or nil
// if there is none. If the attempt has failed, it goes on with a server that has been
// asked and hasn't refused. The job records the servers that were asked in vain.
func (t *stallTimer) stop(failed bool) *takeover {
	if t.timer == nil {
		return nil
	}
	accepted := t.end(failed)
	j := t.job
	for _, x := range t.asked {
		j.sends++
		if x == accepted {
			continue
		}
		<-x.done
		if x.mayHaveRun() {
			j.executions++
			j.tried[x.ticket.Server.ID] = true
		}
	}
	t.asked = nil
	return accepted
}

// end keeps the timer from asking further servers.
func (t *stallTimer) end(failed bool) *takeover {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	t.timer.Stop()
	if n := len(t.asked); t.accepted == nil && failed && n > 0 && !t.asked[n-1].answered && t.asked[n-1].ctx.Err() == nil {
		t.accepted = t.asked[n-1]
	}
	if t.accepted == nil {
		t.cancelAsked()
	}
	return t.accepted
}
