package sidecar

import (
	"time"

	"endivedeck.example/message"
	"endivedeck.example/routing"
)

const (
	firstRate  = 10_000.0 // prompt tokens a second, until some were observed
	rateTokens = 1024     // a prompt's least tokens to learn the rate from
	rateWeight = 0.2
	firstSlots = 32 // of an engine that doesn't say how many it has
)

// timing is how long an answer took.
type timing struct {
	first  time.Duration // from its arrival to the first token
	gaps   time.Duration // from the first token to the last
	tokens int
}

// count adds a whole answer to the tally, from which control's role policy
// learns the mix and whether answers miss their limits.
func (s *Sidecar) count(work message.Work, took timing) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rate == 0 {
		s.rate = firstRate
	}
	if work.Todo >= rateTokens && took.first > 0 {
		s.rate += rateWeight * (float64(work.Todo)/took.first.Seconds() - s.rate)
	}
	prompt := float64(work.Todo) / s.rate
	if work.Todo >= routing.LongPromptTokens {
		s.tally.Heavy += prompt
	} else {
		s.tally.Light += prompt
	}
	slots := s.state.Load.Capacity
	if slots == 0 {
		slots = firstSlots
	}
	s.tally.Light += took.gaps.Seconds() / float64(slots)
	s.tally.Answers++
	late := work.First > 0 && took.first > work.First
	if took.tokens > 1 && work.Between > 0 {
		late = late || took.gaps/time.Duration(took.tokens-1) > work.Between
	}
	if late {
		s.tally.Late++
	}
}
