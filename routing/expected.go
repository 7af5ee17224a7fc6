package routing

import (
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	defaultRate = 10_000.0               // prompt tokens a second of an engine that nothing is known of
	slotTime    = 250 * time.Millisecond // until a slot is free, for each request queued before
	farTime     = time.Millisecond       // cost of leaving the failure domain
	failureTime = 2 * time.Second        // added for each failure in a row
	mostTries   = 8                      // candidates that are looked at by chance
	hitTries    = 4                      // candidates that are looked at for their cache
)

var _ Policy = (*Expected)(nil)

// Expected takes the candidate with the least expected time to the first
// token. It looks at a few candidates by chance, so that many entries at once
// don't all go to the same one, and at those with the longest cached prefix.
type Expected struct{ random *rand.Rand }

func init() {
	Policies.Register("expected", func(r *rand.Rand) Policy { return &Expected{random: r} })
}

// Choose implements Policy.
func (p *Expected) Choose(r Request, candidates []Candidate) Choice {
	if len(candidates) == 0 {
		return None("no candidates")
	}
	best := Choice{Index: -1}
	consider := func(i int) {
		wait := ExpectedWait(r, candidates[i])
		if best.Index < 0 || wait < best.Wait {
			best = Choice{Index: i, Wait: wait}
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
		best.Wait.Round(time.Millisecond), c.Hit, r.Prompt, c.Own, c.Running+c.Queued)
	return best
}

// longestHits returns up to hitTries candidates that have part of the prompt
// in their cache, the longest first.
func (p *Expected) longestHits(candidates []Candidate) []int {
	var top [hitTries]int
	n := 0
	for i, c := range candidates {
		if c.Hit == 0 {
			continue
		}
		at := n
		for at > 0 && candidates[top[at-1]].Hit < c.Hit {
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

// ExpectedWait returns the expected time to the request's first token at a
// candidate: what is queued before it, the prompt tokens that are still to be
// worked through, its own among them, and what failures and distance add.
func ExpectedWait(r Request, c Candidate) time.Duration {
	rate := c.Rate
	if rate <= 0 {
		rate = defaultRate
	}
	todo := float64(c.OwnTodo + r.Prompt - c.Hit)
	wait := time.Duration(todo / rate * float64(time.Second))
	if over := c.Load() - c.Slots; c.Slots > 0 && over >= 0 {
		wait += time.Duration(over+1) * slotTime
	}
	wait += time.Duration(c.Failures) * failureTime
	if c.Domain != r.Domain {
		wait += farTime
	}
	return wait
}
