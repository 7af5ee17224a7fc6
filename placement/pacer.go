package placement

import (
	"time"

	"endivedeck.example/internal/engines/ramp"
	"endivedeck.example/roster"
)

const (
	initialLatency = 30 * time.Millisecond // of servers of which none has responded yet

	peerQuantile     = 0.95 // of the ratios of measured to expected times
	peerQuantileStep = 0.1  // of its estimate
)

type (
	// Pacer limits the requests that run at servers that have just started or recovered.
	Pacer interface {
		// Paced returns the IDs of these servers. The map isn't changed.
		Paced() map[string]bool
		// Pace returns what this relay may do at such a server.
		Pace(server string, peers ramp.Peers) ramp.Pace
		// Observe takes account of what a request has shown about any server.
		Observe(now time.Time, server string, sample ramp.Sample)
	}

	// room tells which servers may get one more request, for one decision.
	room struct {
		table *Table
		now   time.Time
		paced map[string]bool
		peers map[engineKind]ramp.Peers // of the kinds that have been asked for
	}
)

// SetPacer has the servers paced. It must be called before the table is in use.
func (t *Table) SetPacer(p Pacer) { t.pacer = p }

func (t *Table) newRoom(now time.Time) *room {
	r := &room{table: t, now: now}
	if t.pacer != nil {
		r.paced = t.pacer.Paced()
	}
	return r
}

// left reports whether one more request of this relay may run at a server.
func (r *room) left(s *server) bool {
	s.paced = r.paced[s.ID]
	if !s.paced {
		return true
	}
	s.pace = r.table.pacer.Pace(s.ID, r.peersOf(s))
	return s.active < s.pace.Share
}

// peersOf returns the state of the servers of the same kind as s.
func (r *room) peersOf(s *server) ramp.Peers {
	kind := engineKind{s.Service, s.Stage}
	p, known := r.peers[kind]
	if !known {
		if r.peers == nil {
			r.peers = map[engineKind]ramp.Peers{}
		}
		p = r.table.peersOf(r.now, kind, r.paced)
		r.peers[kind] = p
	}
	p.Slots = s.Slots
	return p
}

func (t *Table) peersOf(now time.Time, kind engineKind, paced map[string]bool) ramp.Peers {
	var p ramp.Peers
	for _, s := range t.byService[kind.service] {
		switch {
		case s.Stage != kind.stage || now.Before(s.pausedUntil) || now.Before(s.backoffUntil):
		case paced[s.ID]:
			p.Paced++
		default:
			p.Steady++
			p.Requests += t.loadOf(now, s).active
		}
	}
	return p
}

// defaultLatency returns the latency to expect from a server that hasn't responded yet or
// is paced. With a pacer it is that of the fastest of the others.
func (t *Table) defaultLatency(candidates []*server) time.Duration {
	var least time.Duration
	for _, s := range candidates {
		if t.pacer != nil && s.latency > 0 && (least == 0 || s.latency < least) {
			least = s.latency
		}
	}
	if least == 0 {
		return initialLatency
	}
	return least
}

// pacedLatency returns the latency to expect from a server that is paced, where latency is that
// of its fastest peer. The relay's own measurements aren't used: they grow old if it
// sends nothing, while the pacer's ratio is that of all relays.
func (s *server) pacedLatency(latency time.Duration) time.Duration {
	if s.active < s.pace.Trials {
		return latency
	}
	return time.Duration(s.pace.Ratio * float64(latency))
}

// withMissingStages returns the candidates, with the limited servers of those stages
// that no candidate has.
func withMissingStages(candidates, limited []*server) []*server {
	if len(limited) == 0 {
		return candidates
	}
	stages := map[roster.Stage]bool{}
	for _, s := range candidates {
		stages[s.Stage] = true
	}
	for _, s := range limited {
		if !stages[s.Stage] {
			candidates = append(candidates, s)
		}
	}
	return candidates
}

// observeFirst tells the pacer the time to the first byte.
func (tk *Ticket) observeFirst(now time.Time, s *server, firstByte time.Duration) {
	if tk.table.pacer == nil || s == nil || tk.firstByte > 0 {
		return
	}
	tk.firstByte = firstByte
	tk.observe(now, s, ramp.Sample{Result: ramp.Answered, First: firstByte})
}

// observeEnd tells the pacer how the request ended. The time to the first byte counts
// only once.
func (tk *Ticket) observeEnd(now time.Time, s *server, o Outcome) {
	if tk.table.pacer == nil {
		return
	}
	sample := ramp.Sample{Result: ramp.Answered, Step: o.Step}
	switch o.Result {
	case Succeeded:
		if tk.firstByte == 0 {
			sample.First = o.FirstByte
		}
	case Failed:
		sample.Result, sample.ErrorRate = ramp.Failed, s.currentErrorRate(now)
	case Refused:
		sample.Result = ramp.Refused
	case NoResponse:
		sample.Result = ramp.NoResponse
	case Canceled:
		return
	}
	tk.observe(now, s, sample)
	s.updateStep(o.Step)
}

// observe adds what was expected to a sample and passes it on. A late request yields to
// others, so its time to the first byte says nothing about the server.
func (tk *Ticket) observe(now time.Time, s *server, sample ramp.Sample) {
	t, kind := tk.table, engineKind{s.Service, s.Stage}
	sample.SentAt, sample.Objective = tk.assignedAt, tk.objective
	if paced := t.pacer.Paced(); !paced[s.ID] {
		t.observePeer(kind, s, tk.expected, sample)
	} else {
		mean := t.peerMeans(now, kind, paced)
		sample.ExpectedFirst, sample.ExpectedStep, sample.PeerErrorRate = tk.expected, mean.step, mean.errorRate
		if tk.expected == 0 {
			sample.ExpectedFirst = mean.latency
		}
		if tk.late {
			sample.ExpectedFirst = 0
		}
		sample.PeerRatio = t.peerRatios[kind]
		sample.Peers = t.peersOf(now, kind, paced)
		sample.Peers.Slots = s.Slots
	}
	t.pacer.Observe(now, s.ID, sample)
}

// observePeer updates the ratio of measured to expected times that few samples of servers
// that aren't paced exceed.
func (t *Table) observePeer(kind engineKind, s *server, expected time.Duration, sample ramp.Sample) {
	sample.ExpectedFirst = expected
	if expected == 0 {
		sample.ExpectedFirst = s.latency
	}
	if ratio := sample.Ratio(); ratio > 0 {
		t.peerRatios[kind] = updateQuantile(max(t.peerRatios[kind], 1), ratio, peerQuantile, peerQuantileStep)
	}
}

// peerMeans returns the means of the latency, the time between events and the error
// rate of the servers of a kind that aren't paced; 0 if unknown.
func (t *Table) peerMeans(now time.Time, kind engineKind, paced map[string]bool) (mean struct {
	latency, step time.Duration
	errorRate     float64
}) {
	var latencies, steps time.Duration
	var servers float64
	for _, s := range t.byService[kind.service] {
		if s.Stage != kind.stage || paced[s.ID] {
			continue
		}
		if s.latency > 0 {
			mean.latency += s.latency
			latencies++
		}
		if s.step > 0 {
			mean.step += s.step
			steps++
		}
		mean.errorRate += s.currentErrorRate(now)
		servers++
	}
	mean.latency /= max(latencies, 1)
	mean.step /= max(steps, 1)
	mean.errorRate /= max(servers, 1)
	return mean
}

func (s *server) updateStep(sample time.Duration) {
	switch {
	case sample <= 0:
	case s.step == 0:
		s.step = sample
	default:
		s.step += time.Duration(averageWeight * float64(sample-s.step))
	}
}
