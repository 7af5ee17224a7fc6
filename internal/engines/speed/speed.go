// Package speed learns how fast each engine of a kind is compared with the others, at two
// time scales.
//
// The load pattern that this answers: a quarter of the engines run at half the speed of
// the others all day, and each engine is two to three times slower than usual for an
// eighth of the time, in stretches of about half a second. With one pace for all, the slow
// engines get as much work as the fast ones and everything on them is late; with one
// average for each engine, a stretch is either taken for what the engine is, long after it
// has ended, or isn't noticed.
//
// A Model therefore keeps a low quantile over time, which neither such stretches nor
// queues move, and beside it a deviation from that which is forgotten within a stretch's
// length. Differences within a dead band count as none, so that engines that are alike are
// treated alike.
//
// The package performs no I/O, and callers pass in the current time.
package speed

import (
	"math"
	"time"
)

const (
	// typicalQuantile is the quantile of the samples that counts as typical. Above it are
	// queues that the one who took the sample didn't know of.
	typicalQuantile = 0.3

	// typicalRate limits how fast what is typical moves, in natural logarithms per second: a
	// stretch of 600 ms moves it by 9%, and the time after it moves it back.
	typicalRate = 0.25

	// learningRate is the same at an engine's first sample. It falls to typicalRate within
	// learningTime of samples. After knownTime of samples the engine is compared with
	// others.
	learningRate = 3.0
	learningTime = 3 * time.Second
	knownTime    = 700 * time.Millisecond

	maxSampleTime = 100 * time.Millisecond // time that one sample stands for at most

	deviationHalfLife = 120 * time.Millisecond // without samples
	deviationWeight   = 0.35                   // of one sample

	maxLogRatio = 1.6 // a sample counts as at most five times slower or faster than what is typical

	// Dead bands. Below minLasting times the usual duration an engine counts as usual, and
	// below minPassing times its own it counts as in no stretch.
	minLasting = 1.6
	minPassing = 1.5
)

// Model is what is known about one engine. The zero value knows nothing and estimates that
// the engine is as fast as usual.
type Model struct {
	Typical   float64       // logarithm of the ratio of actual and expected durations, over time
	Deviation float64       // recent deviation of that logarithm from Typical, as of At
	At        time.Time     // of the last sample
	Learned   time.Duration // time covered by samples
}

// Observe adds the mean of samples taken just before now: the logarithm of the ratio of
// the actual and the expected duration of a piece of work. What is expected must be the
// same for all engines that are compared, but needn't be right.
func (m *Model) Observe(now time.Time, logRatio float64) {
	if m.Learned == 0 {
		m.Typical, m.At = logRatio, now
	}
	logRatio = min(max(logRatio, m.Typical-maxLogRatio), m.Typical+maxLogRatio)
	covered := min(max(now.Sub(m.At), time.Millisecond), maxSampleTime)
	rate := max(learningRate*(1-m.Learned.Seconds()/learningTime.Seconds()), typicalRate)
	m.Deviation = m.currentDeviation(now)
	m.Deviation += deviationWeight * (logRatio - m.Typical - m.Deviation)
	// A sample above counts less than one below by as much as makes the quantile the point
	// of balance.
	step := 2 * rate * covered.Seconds()
	m.Typical += min(max(logRatio-m.Typical, -(1-typicalQuantile)*step), typicalQuantile*step)
	m.Learned += covered
	m.At = now
}

// Known reports whether there were enough samples to say how fast the engine is.
func (m *Model) Known() bool { return m.Learned >= knownTime }

// Lasting returns by which factor the engine is slower than usual all along. usual is
// Typical of an engine of its kind that counts as usual. It is 1 within the dead band.
func (m *Model) Lasting(usual float64) float64 {
	factor := math.Exp(m.Typical - usual)
	if !m.Known() || factor < minLasting && factor > 1/minLasting {
		return 1
	}
	return factor
}

// Passing returns by which factor the engine is slower just now than it is all along. It
// is 1 unless the engine is in a slow stretch.
func (m *Model) Passing(now time.Time) float64 {
	factor := math.Exp(m.currentDeviation(now))
	if !m.Known() || factor < minPassing {
		return 1
	}
	return factor
}

func (m *Model) currentDeviation(now time.Time) float64 {
	return m.Deviation * math.Exp2(-float64(now.Sub(m.At))/float64(deviationHalfLife))
}
