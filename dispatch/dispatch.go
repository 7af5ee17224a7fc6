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
		Fleet     *fleet.Table
		Admission *admission.Controller

		mu     rank.Mutex // guards policy, which is not safe for concurrent use
		policy routing.Policy
	}

	// Decision is the backend server that a request is sent to, and why.
	Decision struct {
		Ticket         fleet.Ticket
		Choice         routing.Choice
		CandidateCount int // number that the policy chose from
	}
)

// New returns a Dispatcher that uses the given tables and policy.
func New(table *fleet.Table, limits *admission.Controller, policy routing.Policy) *Dispatcher {
	return &Dispatcher{Fleet: table, Admission: limits, mu: rank.New(rank.Fleet), policy: policy}
}

// Admit admits or rejects a request of the given class, whose prompt has the
// given number of tokens. A rejected request has not run.
func (d *Dispatcher) Admit(now time.Time, accepted contract.Accepted, class string, prompt int, ask fleet.Selector) (admission.Reservation, error) {
	buffer := candidateBuffers.Get().(*[]routing.Candidate)
	defer candidateBuffers.Put(buffer)
	candidates := d.Fleet.Candidates(now, ask, (*buffer)[:0])
	*buffer = candidates
	pressure, cached := summarize(candidates)
	request := admission.Request{
		Accepted:       accepted,
		Class:          class,
		NeedsEngine:    ask.Service == "",
		UncachedTokens: max(0, prompt-cached),
	}
	return d.Admission.Admit(now, request, pressure)
}

// Choose chooses a backend server and records that the request is sent there.
// It rejects a request whose first token is expected after its limit: the
// request would miss the limit anyway and take engine time from others.
func (d *Dispatcher) Choose(now time.Time, r routing.Request, ask fleet.Selector) (Decision, error) {
	buffer := candidateBuffers.Get().(*[]routing.Candidate)
	defer candidateBuffers.Put(buffer)
	candidates := d.Fleet.Candidates(now, ask, (*buffer)[:0])
	*buffer = candidates
	r.At = now
	r.EntryCount = d.Admission.Split().Entries
	d.mu.Lock()
	choice := d.policy.Choose(r, candidates)
	d.mu.Unlock()
	decision := Decision{Choice: choice, CandidateCount: len(candidates)}
	if choice.Index < 0 {
		return decision, fault.New(fault.Unavailable, fault.NotRun, "no backend server is available for this request")
	}
	if r.TTFTLimit > 0 && choice.TTFT > r.TTFTLimit {
		return decision, fault.New(fault.Overloaded, fault.NotRun, "the first token is expected in %v, the limit of the contract is %v", choice.TTFT.Round(time.Millisecond), r.TTFTLimit)
	}
	chosen := candidates[choice.Index]
	decision.Ticket = d.Fleet.RecordSent(now, chosen.Name, ask, max(0, r.PromptTokens-chosen.CachedTokens))
	return decision, nil
}

// summarize returns the total load of the candidates, and the largest number of
// prompt tokens that one of them is believed to have cached.
func summarize(candidates []routing.Candidate) (p admission.FleetLoad, cached int) {
	measured := 0
	for i := range candidates {
		c := &candidates[i]
		p.Requests += c.Load()
		p.Slots += c.Slots
		cached = max(cached, c.CachedTokens)
		p.TokenTime += c.TokenTime()
		if c.PromptRate > 0 {
			p.PromptRate += c.PromptRate
			measured++
		}
	}
	p.Engines = len(candidates)
	p.TokenTime /= time.Duration(max(1, p.Engines))
	if measured > 0 {
		p.PromptRate /= float64(measured)
	}
	return p, cached
}
