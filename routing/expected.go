package routing

import (
	"fmt"
	"math/rand/v2"
	"time"

	"endivedeck.example/change"
)

const (
	defaultRate = 10_000.0               // prompt tokens a second of an engine that nothing is known of
	slotTime    = 250 * time.Millisecond // until a slot is free, for each request queued before
	farTime     = time.Millisecond       // cost of leaving the failure domain
	failureTime = 2 * time.Second        // added for each failure in a row
	mostTries   = 8                      // candidates that are looked at by chance
	hitTries    = 4                      // candidates that are looked at for their cache
	misfitTime  = time.Second            // against a candidate whose role doesn't suit the request
	heldPart    = 0.25                   // of the time that an answer is held up, against the candidate

	// LongPromptTokens is the number of prompt tokens, cached ones not counted,
	// from which a request is work for engines of the role prefill.
	LongPromptTokens = 2048
)

var _ Policy = (*LowestTTFT)(nil)

// LowestTTFT takes the candidate with the least expected time to the first
// token. It looks at a few candidates by chance, so that many entries at once
// don't all go to the same one, and at those with the longest cached prefix.
type LowestTTFT struct{ random *rand.Rand }

func init() {
	Policies.Register("expected", func(r *rand.Rand) Policy { return &LowestTTFT{random: r} })
}

// Choose implements Policy.
func (p *LowestTTFT) Choose(r Request, candidates []Candidate) Choice {
	if len(candidates) == 0 {
		return NoChoice("no candidates")
	}
	best := Choice{Index: -1}
	var least time.Duration
	consider := func(i int) {
		wait := ExpectedTTFT(r, &candidates[i])
		cost := wait + harm(r, &candidates[i])
		if best.Index < 0 || cost < least {
			best = Choice{Index: i, TTFT: wait}
			least = cost
		}
	}
	for _, i := range p.longestHits(candidates) {
		consider(i)
	}
	if len(candidates) <= mostTries {
		for i := range candidates {
			consider(i)
		}
	} else {
		for range mostTries {
			consider(p.random.IntN(len(candidates)))
		}
	}
	c := candidates[best.Index]
	best.Reason = fmt.Sprintf("expected %v with %d of %d prompt tokens cached, %d own and %d reported before it",
		best.TTFT.Round(time.Millisecond), c.CachedTokens, r.PromptTokens, c.InFlight, c.Running+c.Queued)
	return best
}

// longestHits returns up to hitTries candidates that have part of the prompt
// in their cache, the longest first.
func (p *LowestTTFT) longestHits(candidates []Candidate) []int {
	var top [hitTries]int
	n := 0
	for i, c := range candidates {
		if c.CachedTokens == 0 {
			continue
		}
		at := n
		for at > 0 && candidates[top[at-1]].CachedTokens < c.CachedTokens {
			at--
		}
		if at >= hitTries {
			continue
		}
		n = min(n+1, hitTries)
		copy(top[at+1:n], top[at:n-1])
		top[at] = i
	}
	return top[:n:n]
}

// ExpectedTTFT returns the expected time to the request's first token at a
// candidate: what is queued before it, and the prompt tokens that are still to
// be worked through, its own among them.
func ExpectedTTFT(r Request, c *Candidate) time.Duration {
	todo := float64(c.PendingTokens + max(0, r.PromptTokens-c.CachedTokens))
	wait := time.Duration(todo / rateOf(c) * float64(time.Second))
	if over := c.Load() - c.Slots; c.Slots > 0 && over >= 0 {
		wait += time.Duration(over+1) * slotTime
	}
	if c.FailureDomain != r.FailureDomain {
		wait += farTime
	}
	return wait
}

// harm returns what speaks against a candidate beside the request's own wait:
// failures, an engine's role that doesn't suit the request, and how long the
// prompt would hold up the answers that are on their way there.
func harm(r Request, c *Candidate) time.Duration {
	cost := time.Duration(c.ConsecutiveFailures) * failureTime
	todo := max(0, r.PromptTokens-c.CachedTokens)
	heavy := todo >= LongPromptTokens
	switch {
	case heavy && c.Role == change.RoleDecode, !heavy && c.Role == change.RolePrefill:
		cost += misfitTime
	case heavy && c.Role == change.RoleBoth:
		held := float64(todo) / rateOf(c) * float64(c.Load()) * heldPart
		cost += time.Duration(held * float64(time.Second))
	}
	return cost
}

func rateOf(c *Candidate) float64 {
	if c.PromptRate <= 0 {
		return defaultRate
	}
	return c.PromptRate
}
