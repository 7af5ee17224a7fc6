package routing

import "math/rand/v2"

var (
	_ Policy = (*RoundRobin)(nil)
	_ Policy = (*LeastLoaded)(nil)
	_ Policy = (*Affinity)(nil)
)

type (
	// RoundRobin chooses the candidates in turn.
	RoundRobin struct{ count int }

	// LeastLoaded chooses the candidate with the lowest reported load.
	LeastLoaded struct{ random *rand.Rand }

	// Affinity chooses the candidate with the longest cached prefix of the
	// prompt.
	Affinity struct{ random *rand.Rand }
)

func init() {
	Policies.Register("roundrobin", func(*rand.Rand) Policy { return &RoundRobin{} })
	Policies.Register("leastloaded", func(random *rand.Rand) Policy { return &LeastLoaded{random: random} })
	Policies.Register("affinity", func(random *rand.Rand) Policy { return &Affinity{random: random} })
}

// Choose implements Policy.
func (p *RoundRobin) Choose(_ Request, candidates []Candidate) Choice {
	if len(candidates) == 0 {
		return NoChoice("no candidates")
	}
	p.count++
	return Choice{Index: p.count % len(candidates), Reason: "round robin"}
}

// Choose implements Policy.
func (p *LeastLoaded) Choose(_ Request, candidates []Candidate) Choice {
	return lowestScore(candidates, p.random, "lowest reported load", func(c Candidate) int {
		return c.Running + c.Queued
	})
}

// Choose implements Policy.
func (p *Affinity) Choose(_ Request, candidates []Candidate) Choice {
	return lowestScore(candidates, p.random, "longest cached prefix", func(c Candidate) int {
		return -c.CachedTokens
	})
}

// lowestScore chooses the candidate with the lowest score, at random among
// equals.
func lowestScore(candidates []Candidate, random *rand.Rand, reason string, score func(Candidate) int) Choice {
	best := -1
	bestScore := 0
	ties := 0
	for i, c := range candidates {
		s := score(c)
		switch {
		case best < 0 || s < bestScore:
			best, bestScore, ties = i, s, 1
		case s == bestScore:
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
