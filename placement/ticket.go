package placement

import (
	"math"
	"time"

	"endivedeck.example/roster"
)

const (
	noResponseBackoff    = time.Second           // after a request without a response; doubles with each further one in a row
	maxNoResponseBackoff = 4 * time.Second       // a server that has recovered is used again within this time
	maxPause             = 5 * time.Minute       // a server that asks for more is tried again after this time
	refusalBackoff       = 50 * time.Millisecond // after a refused request; about the time to process a few requests

	queueWaitHalfLife = 150 * time.Millisecond // of a measured queue wait
	errorRateHalfLife = 2 * time.Second        // of a measured error rate

	overestimatedBelow = 0.5 // fraction of the expected prefill time

	averageWeight = 0.2 // weight of a new sample in a moving average
)

// assign assigns a request to a server and returns its ticket.
func (t *Table) assign(now time.Time, s *server, req Request, job prefillJob) *Ticket {
	tk := &Ticket{Server: s.Server, table: t, prefillJob: job, assignedAt: now, objective: req.ObjectiveLeft}
	if req.preview != nil {
		tk.ended = true
		return tk
	}
	tk.chat = len(req.Prompt) > 0 && req.isChat()
	s.active++
	*s.pendingPrefill(job.late) += job.prefillTime
	if tk.chat {
		s.chats++
	}
	if req.PauseObjective > 0 && req.Team != "" && s.Stage != roster.Prefill && !job.handoff && !tk.chat {
		s.recent.add(now, job.prefillTime)
	}
	if tk.chat && req.resumes() {
		s.recent.add(now, time.Duration(resumePart*float64(req.PauseObjective)))
	}
	if s.lastSeen.IsZero() {
		s.lastSeen = now
	}
	return tk
}

// pendingPrefill returns the counter of pending prefill time for late requests
// or for the others.
func (s *server) pendingPrefill(late bool) *time.Duration {
	if late {
		return &s.latePending
	}
	return &s.pending
}

// SilentFor returns the time since the ticket's server last responded to any
// request of this relay.
func (tk *Ticket) SilentFor(now time.Time) time.Duration {
	tk.table.mu.Lock()
	defer tk.table.mu.Unlock()
	s := tk.table.servers[tk.Server.ID]
	if s == nil {
		return 0
	}
	return now.Sub(s.lastSeen)
}

// Silent reports whether a server that other requests of this relay run at has sent
// nothing to any of them for a time, so that one more may get no response.
func (t *Table) Silent(now time.Time, id string, length time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[id]
	return s != nil && s.active > 1 && now.Sub(s.lastSeen) > length
}

// SilentTo reports whether a server has sent nothing to any request of this relay for a time.
func (t *Table) SilentTo(now time.Time, id string, length time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[id]
	return s == nil || now.Sub(s.lastSeen) > length
}

// Full reports whether as many requests run at a server as it has slots, by the load that
// all relays put on it.
func (t *Table) Full(now time.Time, id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[id]
	return s != nil && s.Slots > 0 && t.loadOf(now, s).active > s.Slots
}

// Progress records that the server has sent a part of the response.
func (tk *Ticket) Progress(now time.Time) {
	tk.table.mu.Lock()
	defer tk.table.mu.Unlock()
	if s := tk.table.servers[tk.Server.ID]; s != nil {
		s.lastSeen = now
	}
}

// ResponseBegun records that the response has begun, so the prefill is complete.
// firstByte is the time from sending the request to the first byte of the response.
func (tk *Ticket) ResponseBegun(now time.Time, firstByte time.Duration) {
	tk.table.mu.Lock()
	defer tk.table.mu.Unlock()
	s := tk.table.servers[tk.Server.ID]
	if s != nil {
		s.lastSeen = now
		if tk.newTokens > 0 {
			tk.table.recordInsert(s, tk.prefixes, tk.newTokens)
			tk.newTokens = 0
		}
	}
	tk.finishPrefill(now, s, firstByte)
	tk.observeFirst(now, s, firstByte)
}

// finishPrefill removes the prefill from the server's pending time, and updates
// the queue wait and the learned prefill time from the time to the first byte. first is 0
// if no response has begun.
func (tk *Ticket) finishPrefill(now time.Time, s *server, firstByte time.Duration) {
	prefill := tk.prefillTime
	tk.prefillTime = 0
	if s == nil || prefill == 0 {
		return
	}
	pending := s.pendingPrefill(tk.late)
	*pending = max(*pending-prefill, 0)
	if firstByte <= 0 {
		return
	}
	// A response that begins in a fraction of the expected prefill time shows that this is
	// wrong, whatever the queue was. Without such samples, an estimate that exceeds the
	// objectives would make every request late and never be corrected.
	tooLong := !tk.handoff && firstByte < time.Duration(overestimatedBelow*float64(prefill))
	if tk.late && !tooLong {
		return // others may have overtaken it
	}
	slowness := tk.table.slowness(now, s)
	tk.table.observeSpeed(now, s, answering, tk.usualTime, firstByte)
	usual := time.Duration(float64(firstByte) / slowness) // on an engine that is as fast as usual
	if tk.handoff {
		tk.table.handoffPace(s).Observe(tk.transferTime, usual)
		return
	}
	s.updateQueueWait(now, max(firstByte-prefill-tk.queueTime, 0))
	if (tk.queueTime < maxIdleQueue || tooLong) && tk.nominalPrefill > 0 {
		tk.table.prefillPace(s).Observe(tk.nominalPrefill, usual)
	}
}

// updateQueueWait adds a sample to the average of the time that requests waited
// longer than expected.
func (s *server) updateQueueWait(now time.Time, sample time.Duration) {
	old := s.currentQueueWait(now)
	s.queueWait = old + time.Duration(averageWeight*float64(sample-old))
	s.queueWaitAt = now
}

// currentQueueWait returns the average of the queue wait, decayed by its age.
func (s *server) currentQueueWait(now time.Time) time.Duration {
	return time.Duration(decay(float64(s.queueWait), now.Sub(s.queueWaitAt), queueWaitHalfLife))
}

// End ends the assignment and records its outcome.
func (tk *Ticket) End(now time.Time, o Outcome) {
	tk.table.mu.Lock()
	defer tk.table.mu.Unlock()
	if tk.ended {
		return
	}
	tk.ended = true
	s := tk.table.servers[tk.Server.ID]
	tk.finishPrefill(now, s, 0)
	if s == nil {
		return
	}
	s.active = max(s.active-1, 0)
	if tk.chat {
		s.chats = max(s.chats-1, 0)
	}
	s.recordOutcome(now, o)
	tk.observeEnd(now, s, o)
}

func (s *server) recordOutcome(now time.Time, o Outcome) {
	switch o.Result {
	case Succeeded:
		s.lastSeen = now
		s.noResponseCount = 0
		s.updateErrorRate(now, 0)
		s.updateLatency(o.FirstByte)
	case Failed:
		s.lastSeen = now
		s.updateErrorRate(now, 1)
		s.updateLatency(o.FirstByte)
	case Refused:
		s.lastSeen = now
		s.backOff(now, refusalBackoff)
	case NoResponse:
		s.updateErrorRate(now, 1)
		s.noResponseCount++
		s.backOff(now, min(noResponseBackoff<<min(s.noResponseCount-1, 4), maxNoResponseBackoff))
	}
}

func (s *server) updateErrorRate(now time.Time, sample float64) {
	old := s.currentErrorRate(now)
	s.errorRate = old + averageWeight*(sample-old)
	s.errorRateAt = now
}

// currentErrorRate returns the error rate, decayed by its age so that a failing
// server is tried again.
func (s *server) currentErrorRate(now time.Time) float64 {
	return decay(s.errorRate, now.Sub(s.errorRateAt), errorRateHalfLife)
}

// decay returns value after exponential decay with the given half-life.
func decay(value float64, age, halfLife time.Duration) float64 {
	if value == 0 {
		return 0
	}
	return value * math.Exp2(-float64(age)/float64(halfLife))
}

// backOff excludes the server for the given time, unless it is already excluded
// for longer.
func (s *server) backOff(now time.Time, length time.Duration) {
	if until := now.Add(length); until.After(s.backoffUntil) {
		s.backoffUntil = until
	}
}

func (s *server) updateLatency(sample time.Duration) {
	switch {
	case sample <= 0 || s.paced:
	case s.latency == 0:
		s.latency = sample
	default:
		s.latency += time.Duration(averageWeight * float64(sample-s.latency))
	}
}
