package routing

import (
	"fmt"
	"math/rand/v2"
	"time"

	"endivedeck.example/change"
)

const (
	defaultPromptRate   = 10_000.0               // prompt tokens per second of an engine that has not been measured
	queuedRequestTime   = 250 * time.Millisecond // wait for a slot, for each request queued ahead
	crossDomainCost     = time.Millisecond       // added when the candidate is in another failure domain
	failurePenalty      = 2 * time.Second        // for each consecutive failure
	randomSamples       = 8                      // candidates considered at random
	maxPrefixHits       = 4                      // candidates considered because of their prefix cache
	roleMismatchPenalty = time.Second            // for a role that does not suit the request
	delayWeight         = 0.25                   // fraction of the delay to running answers that counts as a cost

	// LongPromptTokens is the number of uncached tokens from which a prompt
	// counts as long and suits engines of the prefill role.
	LongPromptTokens = 2048
)

var _ Policy = (*LowestTTFT)(nil)

// LowestTTFT chooses the candidate with the lowest expected time to the first
// token, with penalties for failures and an unsuitable role. It considers the
// candidates with the longest cached prefixes and a random sample of the
// others, so that entry processes that decide at the same time do not all
// choose the same backend server.
type LowestTTFT struct{ random *rand.Rand }

func init() {
	Policies.Register("expected", func(random *rand.Rand) Policy { return &LowestTTFT{random: random} })
}

// Choose implements Policy.
func (p *LowestTTFT) Choose(r Request, candidates []Candidate) Choice {
	if len(candidates) == 0 {
		return NoChoice("no candidates")
	}
	best := Choice{Index: -1}
	var lowestCost time.Duration
	consider := func(i int) {
		ttft := ExpectedTTFT(r, &candidates[i])
		cost := ttft + penalty(r, &candidates[i])
		if best.Index < 0 || cost < lowestCost {
			best = Choice{Index: i, TTFT: ttft}
			lowestCost = cost
		}
	}
	for _, i := range p.longestPrefixHits(candidates) {
		consider(i)
	}
	if len(candidates) <= randomSamples {
		for i := range candidates {
			consider(i)
		}
	} else {
		for range randomSamples {
			consider(p.random.IntN(len(candidates)))
		}
	}
	c := candidates[best.Index]
	best.Reason = fmt.Sprintf("expected first token in %v: %d of %d prompt tokens cached, %d requests in flight from this entry, %d reported",
		best.TTFT.Round(time.Millisecond), c.CachedTokens, r.PromptTokens, c.InFlight, c.Running+c.Queued)
	return best
}

// longestPrefixHits returns the indexes of up to maxPrefixHits candidates that
// have a prefix of the prompt cached, the longest first.
func (p *LowestTTFT) longestPrefixHits(candidates []Candidate) []int {
	var top [maxPrefixHits]int
	n := 0
	for i, c := range candidates {
		if c.CachedTokens == 0 {
			continue
		}
		pos := n
		for pos > 0 && candidates[top[pos-1]].CachedTokens < c.CachedTokens {
			pos--
		}
		if pos >= maxPrefixHits {
			continue
		}
		n = min(n+1, maxPrefixHits)
		copy(top[pos+1:n], top[pos:n-1])
		top[pos] = i
	}
	return top[:n:n]
}

// ExpectedTTFT returns the expected time to the request's first token at a
// candidate. It is the time to process all pending prompt tokens, the
// request's own uncached ones included, plus the wait for a slot if none is
// free.
func ExpectedTTFT(r Request, c *Candidate) time.Duration {
	pending := float64(c.PendingTokens + max(0, r.PromptTokens-c.CachedTokens))
	ttft := time.Duration(pending / promptRate(c) * float64(time.Second))
	if excess := c.Load() - c.Slots; c.Slots > 0 && excess >= 0 {
		ttft += time.Duration(excess+1) * queuedRequestTime
	}
	if c.FailureDomain != r.FailureDomain {
		ttft += crossDomainCost
	}
	return ttft
}

// penalty returns the cost of a candidate beyond the expected time to the first
// token: for recent failures, for an engine role that does not suit the request,
// and for the delay that a long prompt causes to the answers that the engine is
// generating.
func penalty(r Request, c *Candidate) time.Duration {
	cost := time.Duration(c.ConsecutiveFailures) * failurePenalty
	uncached := max(0, r.PromptTokens-c.CachedTokens)
	long := uncached >= LongPromptTokens
	switch {
	case long && c.Role == change.RoleDecode, !long && c.Role == change.RolePrefill:
		cost += roleMismatchPenalty
	case long && c.Role == change.RoleBoth:
		delay := float64(uncached) / promptRate(c) * float64(c.Load()) * delayWeight
		cost += time.Duration(delay * float64(time.Second))
	}
	return cost
}

func promptRate(c *Candidate) float64 {
	if c.PromptRate <= 0 {
		return defaultPromptRate
	}
	return c.PromptRate
}
