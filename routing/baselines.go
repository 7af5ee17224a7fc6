package routing

import "math/rand/v2"

var (
	_ Policy = (*RoundRobin)(nil)
	_ Policy = (*LeastLoaded)(nil)
	_ Policy = (*Affinity)(nil)
)

type (
	// RoundRobin takes one candidate after another.
	RoundRobin struct{ next int }

	// LeastLoaded takes the candidate with the lowest reported load.
	LeastLoaded struct{ random *rand.Rand }

	// Affinity takes the candidate with the longest prefix in its cache.
	Affinity struct{ random *rand.Rand }
)

func init() {
	Policies.Register("roundrobin", func(*rand.Rand) Policy { return &RoundRobin{} })
	Policies.Register("leastloaded", func(r *rand.Rand) Policy { return &LeastLoaded{random: r} })
	Policies.Register("affinity", func(r *rand.Rand) Policy { return &Affinity{random: r} })
}

// Choose implements Policy.
func (p *RoundRobin) Choose(_ Request, candidates []Candidate) Choice {
	if len(candidates) == 0 {
		return NoChoice("no candidates")
	}
	p.next++
	return Choice{Index: p.next % len(candidates), Reason: "next in turn"}
}

// Choose implements Policy.
func (p *LeastLoaded) Choose(_ Request, candidates []Candidate) Choice {
	return lowest(candidates, p.random, "lowest reported load", func(c Candidate) int {
		return c.Running + c.Queued
	})
}

// Choose implements Policy.
func (p *Affinity) Choose(_ Request, candidates []Candidate) Choice {
	return lowest(candidates, p.random, "longest cached prefix", func(c Candidate) int {
		return -c.CachedTokens
	})
}

// lowest takes the candidate with the lowest score, by chance among equals.
func lowest(candidates []Candidate, random *rand.Rand, reason string, score func(Candidate) int) Choice {
	best := -1
	least := 0
	ties := 0
	for i, c := range candidates {
		s := score(c)
		switch {
		case best < 0 || s < least:
			best, least, ties = i, s, 1
		case s == least:
			ties++
			if random.IntN(ties) == 0 {
				best = i
			}
		}
	}
	if best < 0 {
		return NoChoice("no candidates")
	}
	return Choice{Index: best, Reason: reason}
}
