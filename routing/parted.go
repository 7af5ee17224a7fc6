package routing

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"endivedeck.example/change"
)

const (
	heavyPart  = 0.24                   // of an engine's time that is planned with for long prompts
	heavyMost  = 0.6                    // while others' unused time is lent
	lightPart  = 0.70                   // and for the rest
	mixTime    = 8 * time.Second        // over which the mix is averaged
	partCost   = 700 * time.Millisecond // against a candidate of the other part
	mostLooked = 64                     // candidates that are looked at to find the parts
)

var _ Policy = (*Partitioned)(nil)

// Partitioned keeps long prompts and the rest apart without any role change: of the
// candidates, in an order that every entry computes alike, as many as the long
// prompts' work fills are left to them. The parts follow the mix that this
// entry sees, request by request; within a part the least expected time
// decides, and a part that is full spills over into the other.
type Partitioned struct {
	expected LowestTTFT
	last     time.Time
	heavy    float64 // engines' time per second that long prompts take
	light    float64 // engines' time per second that the rest takes
	lent     float64 // engines' time per second that is lent
	order    []int
}

func init() {
	Policies.Register("parted", func(r *rand.Rand) Policy { return &Partitioned{expected: LowestTTFT{random: r}} })
}

// Choose implements Policy.
func (p *Partitioned) Choose(r Request, candidates []Candidate) Choice {
	if len(candidates) == 0 {
		return NoChoice("no candidates")
	}
	looked := p.look(candidates)
	heavy := p.observe(r, &candidates[looked[0]])
	parts := p.parts(r, candidates, looked)
	best := Choice{Index: -1}
	var least time.Duration
	for place, i := range looked {
		c := &candidates[i]
		wait := ExpectedTTFT(r, c)
		cost := wait + time.Duration(c.ConsecutiveFailures)*failureTime
		if (place < parts) != heavy {
			cost += partCost
		}
		if best.Index < 0 || cost < least {
			best = Choice{Index: i, TTFT: wait}
			least = cost
		}
	}
	c := candidates[best.Index]
	best.Reason = fmt.Sprintf("expected %v with %d of %d prompt tokens cached, load %d; %d of %d for long prompts",
		best.TTFT.Round(time.Millisecond), c.CachedTokens, r.PromptTokens, c.Load(), parts, len(looked))
	return best
}

// look returns the candidates to consider, in the common order: all of a small
// fleet; of a large one a few by chance and those with a cached prefix.
func (p *Partitioned) look(candidates []Candidate) []int {
	p.order = p.order[:0]
	if len(candidates) <= mostLooked {
		for i := range candidates {
			p.order = append(p.order, i)
		}
	} else {
		p.order = append(p.order, p.expected.longestHits(candidates)...)
		for range mostTries {
			p.order = append(p.order, p.expected.random.IntN(len(candidates)))
		}
	}
	slices.SortFunc(p.order, func(a, b int) int { return inOrder(&candidates[a], &candidates[b]) })
	p.order = slices.Compact(p.order)
	return p.order
}

// inOrder puts engines that take prompts first and those that decode last,
// and the others by a hash, so that the parts mix the failure domains.
func inOrder(a, b *Candidate) int {
	if ra, rb := roleOrder(a.Role), roleOrder(b.Role); ra != rb {
		return ra - rb
	}
	return cmp.Or(cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)), cmp.Compare(a.Name, b.Name))
}

func roleOrder(role string) int {
	switch role {
	case change.RolePrefill:
		return 0
	case change.RoleDecode:
		return 2
	}
	return 1
}

// observe adds a request to the mix and reports whether its prompt is long.
func (p *Partitioned) observe(r Request, c *Candidate) bool {
	if !p.last.IsZero() {
		kept := math.Exp(-r.At.Sub(p.last).Seconds() / mixTime.Seconds())
		p.heavy *= kept
		p.light *= kept
		p.lent *= kept
	}
	p.last = r.At
	todo := max(0, r.PromptTokens-c.CachedTokens)
	work := float64(todo) / rateOf(c) / mixTime.Seconds()
	heavy := todo >= LongPromptTokens
	if r.Borrowed {
		p.lent += work + float64(r.AnswerTokens)*c.TokenTime().Seconds()/mixTime.Seconds()
		return heavy
	}
	if heavy {
		p.heavy += work
	} else {
		p.light += work
	}
	p.light += float64(r.AnswerTokens) * c.TokenTime().Seconds() / mixTime.Seconds()
	return heavy
}

// parts returns how many of the candidates that were looked at are left to
// long prompts: as their work needs, but no more than the rest can spare.
func (p *Partitioned) parts(r Request, candidates []Candidate, looked []int) int {
	entries := float64(max(1, r.EntryCount))
	scale := float64(len(looked)) / float64(len(candidates))
	need := p.heavy * entries / heavyPart
	spare := max(0, float64(len(candidates))-math.Ceil(p.light*entries/lightPart))
	left := max(0, float64(len(candidates))-math.Ceil((p.light+p.lent)*entries/lightPart))
	least := p.heavy * entries / heavyMost
	n := int(math.Ceil(min(need, spare, max(least, left)) * scale))
	return max(0, min(n, len(looked)-1))
}
