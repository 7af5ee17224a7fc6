package relay

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"endivedeck.example/fault"
	"endivedeck.example/internal/prompts/quarantine"
	"endivedeck.example/interval"
	"endivedeck.example/placement"
	"endivedeck.example/rank"
)

const (
	evidenceDelay    = 10 * time.Millisecond  // in which evidence is collected; the end of one server breaks many requests
	evidenceInterval = 80 * time.Millisecond  // at least, until evidence is sent again
	maxRetryAfter    = time.Minute            // a caller isn't sent away for longer
	progressInterval = 100 * time.Millisecond // between two records of an answer's progress
	maxServerEnds    = 2                      // under one request; it isn't sent to another server then
)

// evidenceExchange wakes the senders of load messages when there is evidence about
// parts of prompts to send to other relays. With many relays, load messages
// alone would spread it too slowly.
type evidenceExchange struct {
	relay   *Relay
	pending chan struct{} // holds an element while evidence waits to be sent

	mu   rank.Mutex
	wake chan struct{} // closed when evidence is to be sent
}

func newEvidenceExchange(r *Relay) *evidenceExchange {
	return &evidenceExchange{relay: r, pending: make(chan struct{}, 1), mu: rank.New(rank.Admission), wake: make(chan struct{})}
}

// notify has the evidence sent soon if some has changed.
func (x *evidenceExchange) notify(changed bool) {
	if !changed {
		return
	}
	select {
	case x.pending <- struct{}{}:
	default:
	}
}

// woken returns a channel that is closed when evidence is to be sent.
func (x *evidenceExchange) woken() <-chan struct{} {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.wake
}

// run wakes the senders until ctx is done, at most once in evidenceInterval.
func (x *evidenceExchange) run(ctx context.Context) {
	defer x.relay.tasks.Done()
	for {
		select {
		case <-x.pending:
		case <-ctx.Done():
			return
		}
		interval.Sleep(ctx, evidenceDelay)
		x.wakeSenders()
		x.relay.logTransitions()
		interval.Sleep(ctx, evidenceInterval)
	}
}

func (x *evidenceExchange) wakeSenders() {
	x.mu.Lock()
	defer x.mu.Unlock()
	close(x.wake)
	x.wake = make(chan struct{})
}

// recordServerEnd records that a server may have ended under the request: the
// connection broke after err, when the relay had received a number of events of the
// answer. A failure that the relay itself or the caller caused says nothing about the
// server.
func (j *job) recordServerEnd(ticket *placement.Ticket, err error, events int) {
	e := fault.FromError(err)
	if e.Kind != fault.Broken || e.Ran != fault.MaybeRun || j.attemptCtx.Err() != nil {
		return
	}
	j.endedServerID = ticket.Server.ID
	j.endedServers++
	j.endedAfter = events
	j.relay.metrics.countServerEnd(j.service)
	r := j.relay
	r.evidence.notify(r.quarantine.RecordEnd(time.Now(), j.parts, events, ticket.Server.ID, ticket.Server.StartedAt))
}

// recordProgress records how many events of the answer have been received.
func (j *job) recordProgress(now time.Time, events int) {
	if len(j.parts) > 0 {
		j.relay.evidence.notify(j.relay.quarantine.RecordProgress(now, j.parts, events))
	}
}

// recordWhole records that the answer is whole.
func (j *job) recordWhole() {
	if len(j.parts) > 0 {
		j.relay.evidence.notify(j.relay.quarantine.RecordWhole(time.Now(), j.parts))
	}
}

// checkParts returns an error if a part of the prompt is quarantined, unless the
// request is a trial of it.
func (j *job) checkParts(now time.Time) error {
	r := j.relay
	if j.trial || r.quarantine.Len() == 0 {
		return nil
	}
	v := r.quarantine.Check(now, j.parts)
	if v.State != quarantine.Quarantined {
		return nil
	}
	log := r.log.WithFields(logrus.Fields{"request": j.info.ID, "part": partKey(v.Part), "ends": v.Ends})
	if v.Round > 0 && r.share()(trialKey(v.Part, v.Round)) && r.quarantine.BeginTrial(now, v.Part, v.Round) {
		j.trial = true
		log.WithField("round", v.Round).Info("request tries a quarantined part of a prompt")
		return nil
	}
	return j.rejectPart(v)
}

// rejectPart returns the error for a request with a quarantined part.
func (j *job) rejectPart(v quarantine.Verdict) error {
	j.quarantined = true
	j.response.retryAfter = min(max(v.Wait, defaultRetryAfter), maxRetryAfter)
	return fault.New(fault.Unavailable, fault.NotRun, "part %016x of the prompt is quarantined: %d servers have ended under requests with it; next trial in %v", v.Part, v.Ends, v.Wait)
}

// logTransitions logs which parts are quarantined or used again.
func (r *Relay) logTransitions() {
	for _, tr := range r.quarantine.Transitions() {
		log := r.log.WithFields(logrus.Fields{"part": partKey(tr.Part), "ends": tr.Ends, "trials": tr.Trials})
		if tr.Begins {
			log.Warn("part of prompts is quarantined")
		} else {
			log.Info("part of prompts is used again")
		}
	}
}

// repeatsServerEnd reports whether another send of the request might end another
// server: several have ended under it, or one has and a part of its prompt may be the
// reason.
func (j *job) repeatsServerEnd(now time.Time) bool {
	switch {
	case j.endedServers == 0 || len(j.parts) == 0:
		return false
	case j.endedServers >= maxServerEnds:
		return true
	}
	return j.trial || j.relay.quarantine.Check(now, j.parts).State != quarantine.Sound
}

// partKey returns the key by which relays share the care for a part.
func partKey(part uint64) string { return fmt.Sprintf("%016x", part) }

// trialKey returns the key of the relay that tries a part in a round of trials.
func trialKey(part uint64, round int64) string { return fmt.Sprintf("%016x/%d", part, round) }

// formatParts returns the IDs of a prompt's parts that other requests may share.
func formatParts(parts []uint64) string {
	var text strings.Builder
	for i, part := range parts {
		if i > 0 {
			text.WriteByte(',')
		}
		fmt.Fprintf(&text, "%016x", part)
	}
	return text.String()
}
