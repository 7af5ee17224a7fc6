// Package dispatch is one entry's decisions on a request, from admission to
// the backend server, with the time passed in: the live path and the replay
// use the same code.
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

// buffers holds lists of candidates, which are of no use after a decision.
var buffers = sync.Pool{New: func() any { return new([]routing.Candidate) }}

type (
	// Dispatcher decides for one entry. Create it with New.
	Dispatcher struct {
		Fleet     *fleet.Table
		Admission *admission.Controller

		mu     rank.Mutex // guards policy, which isn't safe for concurrent use
		policy routing.Policy
	}

	// Decision is where a request goes, and why.
	Decision struct {
		Ticket         fleet.Ticket
		Choice         routing.Choice
		CandidateCount int
	}
)

// New returns a dispatcher over the given tables.
func New(table *fleet.Table, limits *admission.Controller, policy routing.Policy) *Dispatcher {
	return &Dispatcher{Fleet: table, Admission: limits, mu: rank.New(rank.Fleet), policy: policy}
}

// Admit admits a request of a class, with a prompt of so many tokens, or
// refuses it; nothing has run then.
func (d *Dispatcher) Admit(now time.Time, accepted contract.Accepted, class string, prompt int, ask fleet.Selector) (admission.Reservation, error) {
	buffer := buffers.Get().(*[]routing.Candidate)
	defer buffers.Put(buffer)
	candidates := d.Fleet.Candidates(now, ask, (*buffer)[:0])
	*buffer = candidates
	pressure, hit := pressureOf(candidates)
	request := admission.Request{
		Accepted:       accepted,
		Class:          class,
		NeedsEngine:    ask.Service == "",
		UncachedTokens: max(0, prompt-hit),
	}
	return d.Admission.Admit(now, request, pressure)
}

// Choose picks a backend server and notes that the request goes there. A
// request that would get its first token too late is refused at once, since
// waiting in vain would take the time from others.
func (d *Dispatcher) Choose(now time.Time, r routing.Request, ask fleet.Selector) (Decision, error) {
	buffer := buffers.Get().(*[]routing.Candidate)
	defer buffers.Put(buffer)
	candidates := d.Fleet.Candidates(now, ask, (*buffer)[:0])
	*buffer = candidates
	r.At = now
	r.EntryCount = d.Admission.Split().Entries
	d.mu.Lock()
	choice := d.policy.Choose(r, candidates)
	d.mu.Unlock()
	decision := Decision{Choice: choice, CandidateCount: len(candidates)}
	if choice.Index < 0 {
		return decision, fault.New(fault.Unavailable, fault.No, "no backend server takes this request now")
	}
	if r.TTFTLimit > 0 && choice.TTFT > r.TTFTLimit {
		return decision, fault.New(fault.Overloaded, fault.No, "the first token would come after %v, the contract's limit is %v", choice.TTFT.Round(time.Millisecond), r.TTFTLimit)
	}
	chosen := candidates[choice.Index]
	decision.Ticket = d.Fleet.RecordSent(now, chosen.Name, ask, max(0, r.PromptTokens-chosen.CachedTokens))
	return decision, nil
}

// pressureOf sums the candidates up, and returns the most tokens of the prompt
// that one of them is believed to have cached.
func pressureOf(candidates []routing.Candidate) (p admission.FleetLoad, hit int) {
	known := 0
	for i := range candidates {
		c := &candidates[i]
		p.Requests += c.Load()
		p.Slots += c.Slots
		hit = max(hit, c.CachedTokens)
		p.TokenTime += c.TokenTime()
		if c.PromptRate > 0 {
			p.PromptRate += c.PromptRate
			known++
		}
	}
	p.Engines = len(candidates)
	p.TokenTime /= time.Duration(max(1, p.Engines))
	if known > 0 {
		p.PromptRate /= float64(known)
	}
	return p, hit
}
