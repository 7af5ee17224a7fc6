package placement

import (
	"math"
	"time"
)

const (
	failRest    = time.Second            // after a lost request; doubled for each in a row
	failRestMax = 4 * time.Second        // a server that is back is found this soon
	busyRest    = 50 * time.Millisecond  // after a refusal: about the work of a few requests
	waitHalf    = 150 * time.Millisecond // in which what was learnt of a queue loses half of its weight
	errorHalf   = 2 * time.Second        // the same, of failures

	learnRate = 0.2 // weight of a new sample in a moving average
)

// ticket counts a request with a server that it is given to.
func (t *Table) ticket(now time.Time, s *server, ask Request, r reading) *Ticket {
	k := &Ticket{Server: s.Server, table: t, reading: r}
	k.chat = len(ask.Prompt) > 0 && ask.isChat()
	s.active++
	*s.waiting(r.late) += r.work
	if k.chat {
		s.chats++
	}
	if s.heard.IsZero() {
		s.heard = now
	}
	return k
}

// waiting returns the work of a class that this relay has given to the server.
func (s *server) waiting(late bool) *time.Duration {
	if late {
		return &s.late
	}
	return &s.pending
}

// SilentFor returns for how long nothing has come from the ticket's server.
func (k *Ticket) SilentFor(now time.Time) time.Duration {
	k.table.mu.Lock()
	defer k.table.mu.Unlock()
	s := k.table.servers[k.Server.ID]
	if s == nil {
		return 0
	}
	return now.Sub(s.heard)
}

// ResponseBegun tells that the answer has begun; what follows is generated.
func (k *Ticket) ResponseBegun(now time.Time, first time.Duration) {
	k.table.mu.Lock()
	defer k.table.mu.Unlock()
	s := k.table.servers[k.Server.ID]
	if s != nil {
		s.heard = now
		if k.taken > 0 {
			k.table.read(s, k.chain, k.taken)
			k.taken = 0
		}
	}
	k.settle(now, s, first)
}

// settle takes the prompt's work off and learns from how long it took.
func (k *Ticket) settle(now time.Time, s *server, first time.Duration) {
	work := k.work
	k.work = 0
	if s == nil || work == 0 {
		return
	}
	waiting := s.waiting(k.late)
	*waiting = max(*waiting-work, 0)
	if first <= 0 || k.late {
		return
	}
	s.learnWait(now, max(first-work-k.queue, 0))
	if k.queue < idleQueue && !k.chat && work > firstTime {
		k.table.learnPace(s, float64(first)/float64(work))
	}
}

func (s *server) learnWait(now time.Time, sample time.Duration) {
	old := s.waitNow(now)
	s.wait = old + time.Duration(learnRate*float64(sample-old))
	s.waitAt = now
}

// waitNow returns the wait in the queue as learnt, which counts less as it
// gets older.
func (s *server) waitNow(now time.Time) time.Duration {
	return time.Duration(faded(float64(s.wait), now.Sub(s.waitAt), waitHalf))
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
	k.settle(now, s, 0)
	if s == nil {
		return
	}
	s.active = max(s.active-1, 0)
	if k.chat {
		s.chats = max(s.chats-1, 0)
	}
	s.note(now, o)
}

func (s *server) note(now time.Time, o Outcome) {
	switch o.Result {
	case Succeeded:
		s.heard = now
		s.fails = 0
		s.learnError(now, 0)
		s.learnLatency(o.FirstByte)
	case Failed:
		s.heard = now
		s.learnError(now, 1)
		s.learnLatency(o.FirstByte)
	case Refused:
		s.heard = now
		s.restFor(now, busyRest)
	case NoResponse:
		s.learnError(now, 1)
		s.fails++
		s.restFor(now, min(failRest<<min(s.fails-1, 4), failRestMax))
	}
}

func (s *server) learnError(now time.Time, sample float64) {
	old := s.errorsNow(now)
	s.errors = old + learnRate*(sample-old)
	s.errorAt = now
}

// errorsNow returns the average of failures, which counts less as it gets
// older, so that a server is tried again.
func (s *server) errorsNow(now time.Time) float64 {
	return faded(s.errors, now.Sub(s.errorAt), errorHalf)
}

// faded returns a value that loses half of its weight in each half.
func faded(value float64, age, half time.Duration) float64 {
	if value == 0 {
		return 0
	}
	return value * math.Exp2(-float64(age)/float64(half))
}

func (s *server) restFor(now time.Time, length time.Duration) {
	if until := now.Add(length); until.After(s.rest) {
		s.rest = until
	}
}

func (s *server) learnLatency(sample time.Duration) {
	switch {
	case sample <= 0:
	case s.latency == 0:
		s.latency = sample
	default:
		s.latency += time.Duration(learnRate * float64(sample-s.latency))
	}
}
