// Package dispatch makes an entry process's decisions on a request: admission
// and the choice of the backend server. The time is a parameter, so that
// production and the replay of a trace run the same code.
package dispatch

import (
	"sync"
	"time"

	"endivedeck.example/admission"
	"endivedeck.example/contract"
	"endivedeck.example/fault"
	"endivedeck.example/fleet"
	"endivedeck.example/rank"
	"endivedeck.example/routing"
)

// candidateBuffers recycles the lists of candidates, which nothing refers to
// after a decision.
var candidateBuffers = sync.Pool{New: func() any { return new([]routing.Candidate) }}

type (
	// Dispatcher decides for one entry process. Create it with New.
	Dispatcher struct {
		Fleet  *fleet.Table
		Limits *admission.Admission

		mu     rank.Mutex // guards policy, which is not safe for concurrent use
		policy routing.Policy
	}

	// Decision is the backend server that a request is sent to, and why.
	Decision struct {
		Ticket     fleet.Ticket
		Choice     routing.Choice
		Candidates int // number that the policy chose from
	}
)

// New returns a Dispatcher that uses the given tables and policy.
func New(table *fleet.Table, limits *admission.Admission, policy routing.Policy) *Dispatcher {
	return &Dispatcher{Fleet: table, Limits: limits, mu: rank.New(rank.Fleet), policy: policy}
}

// Admit admits or rejects a request of the given class, whose prompt has the
// given number of tokens. A rejected request has not run.
func (d *Dispatcher) Admit(now time.Time, accepted contract.Accepted, class string, prompt int, ask fleet.Ask) (admission.Ticket, error) {
	buffer := candidateBuffers.Get().(*[]routing.Candidate)
	defer candidateBuffers.Put(buffer)
	candidates := d.Fleet.Candidates(now, ask, (*buffer)[:0])
	*buffer = candidates
	pressure, cached := summarize(candidates)
	request := admission.Request{
		Accepted: accepted,
		Class:    class,
		Engine:   ask.Service == "",
		Prompt:   max(0, prompt-cached),
	}
	return d.Limits.Admit(now, request, pressure)
}

// Choose chooses a backend server and records that the request is sent there.
// It rejects a request whose first token is expected after its limit: the
// request would miss the limit anyway and take engine time from others.
func (d *Dispatcher) Choose(now time.Time, r routing.Request, ask fleet.Ask) (Decision, error) {
	buffer := candidateBuffers.Get().(*[]routing.Candidate)
	defer candidateBuffers.Put(buffer)
	candidates := d.Fleet.Candidates(now, ask, (*buffer)[:0])
	*buffer = candidates
	r.At = now
	r.Entries = d.Limits.Split().Entries
	d.mu.Lock()
	choice := d.policy.Choose(r, candidates)
	d.mu.Unlock()
	decision := Decision{Choice: choice, Candidates: len(candidates)}
	if choice.Index < 0 {
		return decision, fault.New(fault.Unavailable, fault.No, "no backend server is available for this request")
	}
	if r.Limit > 0 && choice.Wait > r.Limit {
		return decision, fault.New(fault.Overloaded, fault.No, "the first token is expected in %v, the limit of the contract is %v", choice.Wait.Round(time.Millisecond), r.Limit)
	}
	chosen := candidates[choice.Index]
	decision.Ticket = d.Fleet.Send(now, chosen.Name, ask, max(0, r.Prompt-chosen.Hit))
	return decision, nil
}

// summarize returns the total load of the candidates, and the largest number of
// prompt tokens that one of them is believed to have cached.
func summarize(candidates []routing.Candidate) (p admission.Pressure, cached int) {
	measured := 0
	for i := range candidates {
		c := &candidates[i]
		p.Used += c.Load()
		p.Slots += c.Slots
		cached = max(cached, c.Hit)
		p.Token += c.TokenTime()
		if c.Rate > 0 {
			p.Rate += c.Rate
			measured++
		}
	}
	p.Engines = len(candidates)
	p.Token /= time.Duration(max(1, p.Engines))
	if measured > 0 {
		p.Rate /= float64(measured)
	}
	return p, cached
}
