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

	// Decision is the choice of a backend server for a request.
	Decision struct {
		Ticket         fleet.Ticket
		Choice         routing.Choice
		CandidateCount int // backend servers that the policy chose from
	}
)

// New returns a Dispatcher that uses the given tables and policy.
func New(table *fleet.Table, controller *admission.Controller, policy routing.Policy) *Dispatcher {
	return &Dispatcher{Fleet: table, Admission: controller, mu: rank.New(rank.Fleet), policy: policy}
}

// Admit admits or rejects a request of the given class and prompt length. A
// rejected request has not run.
func (d *Dispatcher) Admit(now time.Time, accepted contract.Accepted, class string, promptTokens int, selector fleet.Selector) (admission.Reservation, error) {
	buffer := candidateBuffers.Get().(*[]routing.Candidate)
	defer candidateBuffers.Put(buffer)
	candidates := d.Fleet.Candidates(now, selector, (*buffer)[:0])
	*buffer = candidates
	load, cached := summarize(candidates)
	request := admission.Request{
		Accepted:       accepted,
		Class:          class,
		NeedsEngine:    selector.Service == "",
		UncachedTokens: max(0, promptTokens-cached),
	}
	return d.Admission.Admit(now, request, load)
}

// Choose chooses a backend server and records that the request is sent there.
// It rejects a request whose first token is expected after its limit: the
// request would miss the limit anyway and take engine time from others.
func (d *Dispatcher) Choose(now time.Time, r routing.Request, selector fleet.Selector) (Decision, error) {
	buffer := candidateBuffers.Get().(*[]routing.Candidate)
	defer candidateBuffers.Put(buffer)
	candidates := d.Fleet.Candidates(now, selector, (*buffer)[:0])
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
	decision.Ticket = d.Fleet.RecordSent(now, chosen.Name, selector, max(0, r.PromptTokens-chosen.CachedTokens))
	return decision, nil
}

// summarize returns the total load of the candidates, and the largest number of
// prompt tokens that one of them is believed to have cached.
func summarize(candidates []routing.Candidate) (load admission.FleetLoad, cached int) {
	measured := 0
	for i := range candidates {
		c := &candidates[i]
		load.Requests += c.Load()
		load.Slots += c.Slots
		cached = max(cached, c.CachedTokens)
		load.TokenTime += c.TokenTime()
		if c.PromptRate > 0 {
			load.PromptRate += c.PromptRate
			measured++
		}
	}
	load.Engines = len(candidates)
	load.TokenTime /= time.Duration(max(1, load.Engines))
	if measured > 0 {
		load.PromptRate /= float64(measured)
	}
	return load, cached
}
