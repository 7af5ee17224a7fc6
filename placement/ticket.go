package placement

import (
	"math"
	"time"
)

const (
	lossBackoff       = time.Second            // after a lost request; doubled for each in a row
	maxLossBackoff    = 4 * time.Second        // a server that is back is found this soon
	busyBackoff       = 50 * time.Millisecond  // after a refusal: about the work of a few requests
	queueWaitHalfLife = 150 * time.Millisecond // in which what was learnt of a queue loses half of its weight
	errorRateHalfLife = 2 * time.Second        // the same, of failures

	averageWeight = 0.2 // weight of a new sample in a moving average
)

// assign counts a request with a server that it is given to.
func (t *Table) assign(now time.Time, s *server, ask Ask, r prefillJob) *Ticket {
	k := &Ticket{Server: s.Server, table: t, prefillJob: r}
	k.chat = len(ask.Prompt) > 0 && ask.isChat()
	s.active++
	*s.pendingPrefill(r.late) += r.prefillTime
	if k.chat {
		s.chats++
	}
	if s.lastSeen.IsZero() {
		s.lastSeen = now
	}
	return k
}

// pendingPrefill returns the work of a class that this relay has given to the server.
func (s *server) pendingPrefill(late bool) *time.Duration {
	if late {
		return &s.latePending
	}
	return &s.pending
}

// Silent returns for how long nothing has come from the ticket's server.
func (k *Ticket) Silent(now time.Time) time.Duration {
	k.table.mu.Lock()
	defer k.table.mu.Unlock()
	s := k.table.servers[k.Server.ID]
	if s == nil {
		return 0
	}
	return now.Sub(s.lastSeen)
}

// Begun tells that the answer has begun; what follows is generated.
func (k *Ticket) Begun(now time.Time, first time.Duration) {
	k.table.mu.Lock()
	defer k.table.mu.Unlock()
	s := k.table.servers[k.Server.ID]
	if s != nil {
		s.lastSeen = now
		if k.newTokens > 0 {
			k.table.recordInsert(s, k.prefixes, k.newTokens)
			k.newTokens = 0
		}
	}
	k.finishPrefill(now, s, first)
}

// finishPrefill takes the prompt's work off and learns from how long it took.
func (k *Ticket) finishPrefill(now time.Time, s *server, first time.Duration) {
	work := k.prefillTime
	k.prefillTime = 0
	if s == nil || work == 0 {
		return
	}
	waiting := s.pendingPrefill(k.late)
	*waiting = max(*waiting-work, 0)
	if first <= 0 || k.late {
		return
	}
	s.updateQueueWait(now, max(first-work-k.queueTime, 0))
	if k.queueTime < maxIdleQueue && !k.chat && work > prefillOverhead {
		k.table.calibrate(s, float64(first)/float64(work))
	}
}

func (s *server) updateQueueWait(now time.Time, sample time.Duration) {
	old := s.currentQueueWait(now)
	s.queueWait = old + time.Duration(averageWeight*float64(sample-old))
	s.queueWaitAt = now
}

// currentQueueWait returns the wait in the queue as learnt, which counts less as it
// gets older.
func (s *server) currentQueueWait(now time.Time) time.Duration {
	return time.Duration(decay(float64(s.queueWait), now.Sub(s.queueWaitAt), queueWaitHalfLife))
}

// End gives the place back.
func (k *Ticket) End(now time.Time, o Outcome) {
	k.table.mu.Lock()
	defer k.table.mu.Unlock()
	if k.ended {
		return
	}
	k.ended = true
	s := k.table.servers[k.Server.ID]
	k.finishPrefill(now, s, 0)
	if s == nil {
		return
	}
	s.active = max(s.active-1, 0)
	if k.chat {
		s.chats = max(s.chats-1, 0)
	}
	s.recordOutcome(now, o)
}

func (s *server) recordOutcome(now time.Time, o Outcome) {
	switch o.Result {
	case Good:
		s.lastSeen = now
		s.losses = 0
		s.updateErrorRate(now, 0)
		s.updateLatency(o.First)
	case Failed:
		s.lastSeen = now
		s.updateErrorRate(now, 1)
		s.updateLatency(o.First)
	case Busy:
		s.lastSeen = now
		s.backOff(now, busyBackoff)
	case Lost:
		s.updateErrorRate(now, 1)
		s.losses++
		s.backOff(now, min(lossBackoff<<min(s.losses-1, 4), maxLossBackoff))
	}
}

func (s *server) updateErrorRate(now time.Time, sample float64) {
	old := s.currentErrorRate(now)
	s.errorRate = old + averageWeight*(sample-old)
	s.errorRateAt = now
}

// currentErrorRate returns the average of failures, which counts less as it gets
// older, so that a server is tried again.
func (s *server) currentErrorRate(now time.Time) float64 {
	return decay(s.errorRate, now.Sub(s.errorRateAt), errorRateHalfLife)
}

// decay returns a value that loses half of its weight in each half.
func decay(value float64, age, half time.Duration) float64 {
	if value == 0 {
		return 0
	}
	return value * math.Exp2(-float64(age)/float64(half))
}

func (s *server) backOff(now time.Time, length time.Duration) {
	if until := now.Add(length); until.After(s.backoffUntil) {
		s.backoffUntil = until
	}
}

func (s *server) updateLatency(sample time.Duration) {
	switch {
	case sample <= 0:
	case s.latency == 0:
		s.latency = sample
	default:
		s.latency += time.Duration(averageWeight * float64(sample-s.latency))
	}
}
