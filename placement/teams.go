package placement

import (
	"time"

	"endivedeck.example/internal/teams/refusal"
	"endivedeck.example/internal/teams/share"
)

// equalWeights implements share.Weights for teams whose contracts say nothing else.
type equalWeights struct{}

// Weight implements share.Weights.
func (equalWeights) Weight(string) float64 { return 1 }

// allowedWait counts what a prompt asks for and returns the part of the usual wait that it
// may have, by the share of its team and by its class, whose factor is given. p is the plan
// for a request that goes with the others.
func (t *Table) allowedWait(now time.Time, req Request, work time.Duration, p plan, classFactor float64) float64 {
	if req.Team == "" {
		return classFactor
	}
	t.press(now, req, p)
	allow := t.shares.Allow
	if req.preview != nil {
		allow = t.shares.Expect
	}
	switch part := allow(now, share.Ask{Service: req.Service, Team: req.Team, Rank: req.Rank, Work: work}); {
	case part > 1:
		return part * max(classFactor, 1) // the queue keeps room for these, whatever their class
	case part < 1:
		return 0
	case t.pressed(now, req):
		return min(classFactor, 1)
	}
	return classFactor
}

// press records that there is too little room, if the request would wait for long.
func (t *Table) press(now time.Time, req Request, p plan) {
	if req.Team == "" || req.ObjectiveLeft <= 0 || p.queueTime <= time.Duration(share.PressedWait*maxWaitFraction*float64(req.ObjectiveLeft)) {
		return
	}
	if req.preview != nil {
		req.preview.pressed = true
		return
	}
	t.shares.Press(now, req.Service)
}

// pressed reports whether there is too little room for the requests of the service.
func (t *Table) pressed(now time.Time, req Request) bool {
	return req.preview != nil && req.preview.pressed || t.shares.Pressed(now, req.Service)
}

// recordGiven counts a prompt that is placed.
func (t *Table) recordGiven(now time.Time, req Request, work time.Duration) {
	if req.preview == nil && req.Team != "" {
		t.shares.Given(now, req.Service, work)
	}
}

// lateFraction returns the fraction of the caller's remaining time in which a late
// response must begin. Where teams share engines, first attempts leave room for callers
// that come back.
func (r *Request) lateFraction() float64 {
	if r.Team == "" || r.ObjectiveLeft <= 0 {
		return maxLateFraction
	}
	return refusal.FirstPart * maxLateFraction
}

// returnChoice returns the choice for a prompt that is refused because the response would
// begin too late by plan p.
func (r *Request) returnChoice(p plan, work time.Duration, engines int) Choice {
	fraction := r.lateFraction()
	excess := p.firstByte - time.Duration(fraction*float64(r.TimeLeft))
	return Choice{QueueTime: p.queueTime, FirstByte: p.firstByte, Room: time.Duration(float64(excess) / (1 - fraction)), Spacing: work / time.Duration(engines)}
}

// ShareReports returns what the other relays need to know to divide the engines among
// teams.
func (t *Table) ShareReports(now time.Time) []share.Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.shares.Reports(now)
}

// UpdateShares records the share reports of another relay.
func (t *Table) UpdateShares(now time.Time, relay string, reports []share.Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.shares.UpdatePeer(now, relay, reports)
}
