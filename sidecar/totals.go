package sidecar

import (
	"time"

	"endivedeck.example/message"
	"endivedeck.example/routing"
)

const (
	initialPromptRate = 10_000.0 // prompt tokens per second, until the first measurement
	minRateTokens     = 1024     // uncached tokens from which a prompt is used as a measurement
	rateAverageWeight = 0.2      // of a new measurement in the moving average
	defaultSlots      = 32       // for an engine that doesn't report its slots
)

// timing is the measured timing of a complete answer.
type timing struct {
	firstToken time.Duration // from the arrival of the request to the first token
	decoding   time.Duration // from the first token to the last
	tokens     int
}

// addToTotals adds a complete answer to the totals. Control's role policy reads
// from them the mix of prompts and decoding, and how many answers miss their
// latency limits.
func (s *Sidecar) addToTotals(request message.GenerateRequest, measured timing) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.promptRate == 0 {
		s.promptRate = initialPromptRate
	}
	if request.UncachedTokens >= minRateTokens && measured.firstToken > 0 {
		s.promptRate += rateAverageWeight * (float64(request.UncachedTokens)/measured.firstToken.Seconds() - s.promptRate)
	}
	prefillSeconds := float64(request.UncachedTokens) / s.promptRate
	if request.UncachedTokens >= routing.LongPromptTokens {
		s.totals.LongPrompts += prefillSeconds
	} else {
		s.totals.Other += prefillSeconds
	}
	slots := s.state.Load.Capacity
	if slots == 0 {
		slots = defaultSlots
	}
	s.totals.Other += measured.decoding.Seconds() / float64(slots)
	s.totals.Answers++
	missed := request.TTFTLimit > 0 && measured.firstToken > request.TTFTLimit
	if measured.tokens > 1 && request.TokenIntervalLimit > 0 {
		missed = missed || measured.decoding/time.Duration(measured.tokens-1) > request.TokenIntervalLimit
	}
	if missed {
		s.totals.Missed++
	}
}
