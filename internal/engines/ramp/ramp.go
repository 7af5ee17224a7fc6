// Package ramp finds how many requests may run at a server that has just started or
// recovered.
//
// Such a server is empty, so to every relay it has the shortest queue. The load
// pattern that this answers is a flood: all relays send to it before their messages
// tell of each other, its caches are cold, and the queue becomes known only from the
// requests that wait in it. The opposite must not happen either: while many servers
// return at once, the others can't carry the load for long.
//
// A limit on the requests of all relays that run at the server begins low and grows by one
// with each answer that holds, so that it doubles with each round of answers. It is
// halved as soon as one doesn't hold. What a server can do is found from its answers
// alone; time only tells which of them belong to requests sent since the last change.
// Relays exchange reports and come to the same limit, of which each uses its share.
//
// The package performs no I/O, and callers pass in the current time.
package ramp

import (
	"math"
	"time"
)

const (
	firstLimit = 2 // requests

	// An answer holds if its times are at most tolerance times the expected ones, and
	// a little more, relative to the floor of the server.
	tolerance  = 2.0
	firstSlack = 10 * time.Millisecond // for the first event
	stepSlack  = 2 * time.Millisecond  // between events

	errorMargin = 0.25 // of a server's error rate above that of its peers, up to which failures are no reason to step back

	ratioWeight = 0.3 // of a new sample in the moving average of the ratio

	natureAnswers = 4 // answers in a row that don't hold at firstLimit, by which a server is slow by nature
	lostAnswers   = 2 // requests without a response in a row, after which a server recovers

	// A ramp ends at busyFactor times the mean number of requests at its peers, but not
	// below leastEnd.
	busyFactor = 2
	leastEnd   = 8 // requests
)

type (
	// Ramp is the pace of one server.
	Ramp struct {
		Start int64          // of the server, to tell its starts apart
		Round int            // number of ramps since then; each recovery begins one
		Epoch int            // increases in a round when the limit is reduced
		Base  int            // limit at the begin of the epoch
		Held  map[string]int // answers that held in this epoch, by relay
		Floor float64        // ratio of measured to expected time that is the server's nature; at least 1
		Ratio float64        // of measured to expected time, moving average over all relays; 0 if unknown
		Last  float64        // latest ratio that this relay has measured
		Seen  map[string]int // ratios measured, by relay
		Ended bool           // the server is like its peers; the round doesn't go on

		changed   uint64    // sequence number of the latest change by what this relay has seen
		steppedAt time.Time // when this relay learned of the epoch
		lost      int       // requests without a response in a row
		slow      int       // answers in a row that didn't hold at firstLimit
		slowFloor float64   // least ratio among them
	}

	// Sample is what one request has shown about a server.
	Sample struct {
		SentAt        time.Time
		Result        Result
		First         time.Duration // from sending to the first event; 0 if not measured
		ExpectedFirst time.Duration // 0 if unknown
		Objective     time.Duration // for First; 0 or less if there is none or it was already missed
		Step          time.Duration // between events; 0 if not measured
		ExpectedStep  time.Duration // 0 if unknown
		ErrorRate     float64       // of the server, if the request failed
		PeerErrorRate float64       // mean of its peers
		PeerRatio     float64       // that few samples of its peers exceed; 0 if unknown
		Peers         Peers
	}

	// Result tells how a server handled a request.
	Result string

	// Pace is what a relay may do at a server.
	Pace struct {
		Share  int     // requests of this relay that may run there
		Trials int     // of them, those that are sent as if the server were like its peers, so that it gets warm
		Ratio  float64 // of measured to expected time; at least 1
	}

	// Peers describes the servers of a service and stage.
	Peers struct {
		Slots    int // of the server in question; 0 if unknown
		Steady   int // number of servers in use that aren't paced
		Paced    int // number of servers that are paced
		Requests int // that run at the steady ones
	}
)

// Results.
const (
	Answered   Result = "answered"
	Failed     Result = "failed" // answered with an error
	Refused    Result = "refused"
	NoResponse Result = "silent"
)

// Limit returns the number of requests of all relays that may run at the server. Its
// peers must not be left alone with the load, so what they bear, times the fraction of
// the servers that are paced, is always allowed. What waits for a slot there doesn't
// count: a queue that no peer can bear isn't for a cold server. If most servers are
// paced, they are what there is, and none is limited.
func (r *Ramp) Limit(p Peers) int {
	if p.Steady <= p.Paced {
		return math.MaxInt
	}
	mean := float64(p.Requests) / float64(p.Steady)
	if p.Slots > 0 {
		mean = min(mean, float64(p.Slots))
	}
	return max(r.found(), int(math.Ceil(mean*float64(p.Paced)/float64(p.Steady+p.Paced))))
}

// found returns the limit that the answers allow.
func (r *Ramp) found() int {
	limit := r.Base
	for _, n := range r.Held {
		limit += n
	}
	return limit
}

// begin begins a round at the lowest limit.
func (r *Ramp) begin(now time.Time, round int) {
	r.enter(now, 1, firstLimit)
	r.Round, r.Floor, r.Ratio, r.Ended, r.slow, r.Seen = round, 1, 0, false, 0, map[string]int{}
}

// end ends the round.
func (r *Ramp) end(now time.Time) {
	r.Ended, r.lost, r.steppedAt = true, 0, now
}

// enter enters an epoch.
func (r *Ramp) enter(now time.Time, epoch, base int) {
	r.Epoch, r.Base, r.Held, r.steppedAt = epoch, base, map[string]int{}, now
}

// observe takes account of a sample of the relay named, and returns how that has changed
// the pace.
func (r *Ramp) observe(now time.Time, relay string, s Sample) ChangeKind {
	if s.SentAt.Before(r.steppedAt) {
		return none
	}
	if s.Result == NoResponse {
		r.lost++
	} else {
		r.lost = 0
	}
	switch {
	case r.Ended && r.lost < lostAnswers:
		return none
	case r.Ended:
		r.begin(now, r.Round+1)
		return Begun
	case s.Result == NoResponse && r.found() > firstLimit:
		r.enter(now, r.Epoch+1, firstLimit)
		return Reduced
	case s.Result == NoResponse:
		return none
	}
	if ratio := s.Ratio(); s.Result == Answered && ratio > 0 {
		r.Last = ratio
		r.Seen[relay]++
		r.updateRatio(ratio)
	}
	switch {
	case s.Result == Failed && s.ErrorRate <= s.PeerErrorRate+errorMargin:
		return none
	case s.Result != Answered || !r.holds(s):
		return r.stepBack(now, s)
	}
	r.slow = 0
	if s.First > 0 {
		r.Held[relay]++
	}
	if r.found() < s.Peers.end() || r.Ratio > tolerance {
		return none
	}
	r.end(now)
	return Ended
}

func (r *Ramp) updateRatio(ratio float64) {
	if r.Ratio == 0 {
		r.Ratio = ratio
	}
	r.Ratio += ratioWeight * (ratio - r.Ratio)
}

// holds reports whether the times of an answer are those of a server that isn't
// overloaded, or short enough that the caller doesn't mind if twice as many requests
// make it twice as slow.
func (r *Ramp) holds(s Sample) bool {
	first := s.First <= s.Objective/2 || within(s.First, s.ExpectedFirst, r.Floor*max(tolerance, s.PeerRatio), firstSlack)
	return first && within(s.Step, s.ExpectedStep, r.Floor*tolerance, stepSlack)
}

func within(took, expected time.Duration, ratio float64, slack time.Duration) bool {
	return took == 0 || expected == 0 || took <= time.Duration(ratio*float64(expected))+slack
}

// stepBack halves the limit. At the lowest limit it learns the server's nature instead.
func (r *Ramp) stepBack(now time.Time, s Sample) ChangeKind {
	if limit := r.found(); limit > firstLimit {
		r.enter(now, r.Epoch+1, max(limit/2, firstLimit))
		return Reduced
	}
	if s.Result != Answered {
		return none
	}
	ratio := s.Ratio()
	if r.slow == 0 || ratio < r.slowFloor {
		r.slowFloor = ratio
	}
	r.slow++
	if r.slow < natureAnswers {
		return none
	}
	r.Floor, r.slow = max(r.slowFloor, 1), 0
	return Slow
}

// Ratio returns the larger ratio of measured to expected times; 0 if unknown. Times
// shorter than the slack aren't told apart.
func (s *Sample) Ratio() float64 {
	ratio := 0.0
	if s.ExpectedFirst > 0 {
		ratio = float64(s.First) / float64(max(s.ExpectedFirst, firstSlack))
	}
	if s.ExpectedStep > 0 {
		ratio = max(ratio, float64(s.Step)/float64(max(s.ExpectedStep, stepSlack)))
	}
	return ratio
}

// end returns the limit at which a ramp ends because it doesn't bind any more.
func (p Peers) end() int {
	end := leastEnd
	if p.Steady > 0 {
		end = max(busyFactor*p.Requests/p.Steady, leastEnd)
	}
	if p.Slots > 0 {
		end = min(end, p.Slots)
	}
	return end
}

// merge takes account of another relay's report, and returns how that has changed the
// pace.
func (r *Ramp) merge(now time.Time, relay string, p Report) ChangeKind {
	change := none
	switch {
	case p.Start != r.Start || p.Round < r.Round:
		return none
	case p.Round > r.Round:
		r.begin(now, p.Round)
		r.enter(now, p.Epoch, p.Base)
		change = Adopted
	case r.Ended || !p.Ended && p.Epoch < r.Epoch:
		return none
	case p.Epoch > r.Epoch:
		r.enter(now, p.Epoch, p.Base)
		change = Adopted
	}
	if p.Ended {
		r.end(now)
		return Ended
	}
	r.Base = min(r.Base, p.Base)
	r.Floor = max(r.Floor, p.Floor)
	if p.Seen > r.Seen[relay] {
		r.Seen[relay] = p.Seen
		r.updateRatio(p.Last)
	}
	r.Held[relay] = max(r.Held[relay], p.Held)
	return change
}
