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
	longUtilization       = 0.24                   // planned utilization of the engines reserved for long prompts
	maxLongUtilization    = 0.6                    // the same while borrowed capacity needs the other engines
	otherUtilization      = 0.70                   // planned utilization of the other engines
	averagingTime         = 8 * time.Second        // time constant of the load averages
	otherPartitionPenalty = 700 * time.Millisecond // for a candidate of the other partition
	maxFullScan           = 64                     // candidates; above this number only a sample is considered
)

var _ Policy = (*Partitioned)(nil)

// Partitioned keeps long prompts apart from other requests without changing
// engine roles. It sorts the candidates in an order that is the same at every
// entry process and reserves the first of them for long prompts, as many as
// those need. The size of this partition depends on the load that the entry
// process sees and is computed for each request. Within a partition, the lowest
// expected time to the first token decides; when a partition is overloaded,
// requests overflow into the other.
type Partitioned struct {
	sampler      LowestTTFT
	updatedAt    time.Time
	longLoad     float64 // engine seconds per second, for the prompts of long requests
	otherLoad    float64 // engine seconds per second, for short prompts and all answers
	borrowedLoad float64 // engine seconds per second, for requests on borrowed capacity
	considered   []int   // buffer of selectCandidates
}

func init() {
	Policies.Register("parted", func(random *rand.Rand) Policy { return &Partitioned{sampler: LowestTTFT{random: random}} })
}

// Choose implements Policy.
func (p *Partitioned) Choose(r Request, candidates []Candidate) Choice {
	if len(candidates) == 0 {
		return NoChoice("no candidates")
	}
	considered := p.selectCandidates(candidates)
	long := p.updateLoad(r, &candidates[considered[0]])
	reserved := p.longPartitionSize(r, candidates, considered)
	best := Choice{Index: -1}
	var lowestCost time.Duration
	for rank, i := range considered {
		c := &candidates[i]
		ttft := ExpectedTTFT(r, c)
		cost := ttft + time.Duration(c.ConsecutiveFailures)*failurePenalty
		if (rank < reserved) != long {
			cost += otherPartitionPenalty
		}
		if best.Index < 0 || cost < lowestCost {
			best = Choice{Index: i, TTFT: ttft}
			lowestCost = cost
		}
	}
	c := candidates[best.Index]
	best.Reason = fmt.Sprintf("expected first token in %v: %d of %d prompt tokens cached, load of %d requests; %d of %d candidates reserved for long prompts",
		best.TTFT.Round(time.Millisecond), c.CachedTokens, r.PromptTokens, c.Load(), reserved, len(considered))
	return best
}

// selectCandidates returns the indexes of the candidates to consider, in
// partition order: all of a small fleet; of a large one a random sample and
// the candidates with the longest cached prefixes. The result is valid until
// the next call.
func (p *Partitioned) selectCandidates(candidates []Candidate) []int {
	p.considered = p.considered[:0]
	if len(candidates) <= maxFullScan {
		for i := range candidates {
			p.considered = append(p.considered, i)
		}
	} else {
		p.considered = append(p.considered, p.sampler.longestPrefixHits(candidates)...)
		for range randomSamples {
			p.considered = append(p.considered, p.sampler.random.IntN(len(candidates)))
		}
	}
	slices.SortFunc(p.considered, func(a, b int) int { return comparePartitionOrder(&candidates[a], &candidates[b]) })
	p.considered = slices.Compact(p.considered)
	return p.considered
}

// comparePartitionOrder sorts engines of the prefill role first and those of
// the decode role last. Within a role a hash of the name decides, so that both
// partitions have engines of all failure domains.
func comparePartitionOrder(a, b *Candidate) int {
	if ra, rb := roleRank(a.Role), roleRank(b.Role); ra != rb {
		return ra - rb
	}
	return cmp.Or(cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)), cmp.Compare(a.Name, b.Name))
}

func roleRank(role string) int {
	switch role {
	case change.RolePrefill:
		return 0
	case change.RoleDecode:
		return 2
	}
	return 1
}

// updateLoad adds a request to the load averages and reports whether its
// prompt is long.
func (p *Partitioned) updateLoad(r Request, c *Candidate) bool {
	if !p.updatedAt.IsZero() {
		decay := math.Exp(-r.At.Sub(p.updatedAt).Seconds() / averagingTime.Seconds())
		p.longLoad *= decay
		p.otherLoad *= decay
		p.borrowedLoad *= decay
	}
	p.updatedAt = r.At
	uncached := max(0, r.PromptTokens-c.CachedTokens)
	promptLoad := float64(uncached) / promptRate(c) / averagingTime.Seconds()
	long := uncached >= LongPromptTokens
	if r.Borrowed {
		p.borrowedLoad += promptLoad + float64(r.AnswerTokens)*c.TokenTime().Seconds()/averagingTime.Seconds()
		return long
	}
	if long {
		p.longLoad += promptLoad
	} else {
		p.otherLoad += promptLoad
	}
	p.otherLoad += float64(r.AnswerTokens) * c.TokenTime().Seconds() / averagingTime.Seconds()
	return long
}

// longPartitionSize returns how many of the considered candidates are reserved
// for long prompts: as many as run them at longUtilization, but no more than
// the other requests leave free. Requests on borrowed capacity may reduce the
// number further, down to what runs the long prompts at maxLongUtilization.
// One candidate at least stays unreserved.
func (p *Partitioned) longPartitionSize(r Request, candidates []Candidate, considered []int) int {
	entries := float64(max(1, r.EntryCount))
	scale := float64(len(considered)) / float64(len(candidates))
	wanted := p.longLoad * entries / longUtilization
	free := max(0, float64(len(candidates))-math.Ceil(p.otherLoad*entries/otherUtilization))
	freeWithBorrowed := max(0, float64(len(candidates))-math.Ceil((p.otherLoad+p.borrowedLoad)*entries/otherUtilization))
	minimum := p.longLoad * entries / maxLongUtilization
	n := int(math.Ceil(min(wanted, free, max(minimum, freeWithBorrowed)) * scale))
	return max(0, min(n, len(considered)-1))
}
