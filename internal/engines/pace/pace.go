// Package pace learns how long a kind of work takes on the engines of a service.
//
// Engines differ by deployment: one prefills 400 tokens in a millisecond and
// another 110, and one takes 3 ms until the first token and another 30. The load
// pattern that this answers is a burst on engines that aren't known yet: a model
// must be usable from the first samples, or placement underestimates each queue by
// a multiple. A sample can be far too long, because of a queue that the relay
// doesn't know of or a prefix that was no longer cached, so single samples have a
// limited effect.
package pace

import (
	"math"
	"time"
)

const (
	forgetting = 0.99 // weight of a sample relative to the next one

	// Standard deviations before the first sample.
	initialFixedMs = 20.0
	initialScale   = 2.0
	noiseMs        = 10.0 // of one sample

	// A sample counts as at most this much longer or shorter than estimated.
	maxDeviation   = 0.5 // of the estimate
	minDeviationMs = 5.0 // but at least this much

	maxFixedMs = 1000.0
	minScale   = 0.1
	maxScale   = 20.0
)

// Model estimates the duration of a piece of work as Fixed + Scale * nominal,
// where nominal is its duration at the nominal rates. Create it with New.
type Model struct {
	Fixed time.Duration
	Scale float64

	variance covariance
}

// covariance is the symmetric covariance matrix of the two parameters, in units of
// the variance of one sample.
type covariance struct {
	fixed, both, scale float64
}

// New returns a model that estimates the nominal duration plus fixed until it has
// samples.
func New(fixed time.Duration) *Model {
	const unit = noiseMs * noiseMs
	return &Model{
		Fixed:    fixed,
		Scale:    1,
		variance: covariance{fixed: initialFixedMs * initialFixedMs / unit, scale: initialScale * initialScale / unit},
	}
}

// Estimate returns the expected duration of work with the given nominal duration.
func (m *Model) Estimate(nominal time.Duration) time.Duration {
	return m.Fixed + time.Duration(m.Scale*float64(nominal))
}

// Observe updates the model with the duration of one piece of work, by recursive
// least squares with exponential forgetting.
func (m *Model) Observe(nominal, took time.Duration) {
	x := milliseconds(nominal)
	estimate := milliseconds(m.Estimate(nominal))
	limit := max(maxDeviation*estimate, minDeviationMs)
	deviation := min(max(milliseconds(took)-estimate, -limit), limit)

	v := m.variance
	rowFixed := v.fixed + v.both*x
	rowScale := v.both + v.scale*x
	denominator := forgetting + rowFixed + rowScale*x
	gainFixed := rowFixed / denominator
	gainScale := rowScale / denominator

	fixed := milliseconds(m.Fixed) + gainFixed*deviation
	m.Fixed = time.Duration(min(max(fixed, 0), maxFixedMs) * float64(time.Millisecond))
	m.Scale = min(max(m.Scale+gainScale*deviation, minScale), maxScale)

	// Forgetting lets the variance of a parameter grow while samples don't
	// depend on it, at most up to the initial one.
	initial := New(0).variance
	v.fixed = min(max(v.fixed-gainFixed*rowFixed, 0)/forgetting, initial.fixed)
	v.scale = min(max(v.scale-gainScale*rowScale, 0)/forgetting, initial.scale)
	bound := math.Sqrt(v.fixed * v.scale)
	v.both = min(max((v.both-gainFixed*rowScale)/forgetting, -bound), bound)
	m.variance = v
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
