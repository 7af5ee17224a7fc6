package placement

import "time"

const (
	// What a request is worth against the mean of its class: a fixed part, and
	// a part by its size, in which a token of the answer counts as ten.
	fixedValue        = 0.3
	answerTokenWeight = 10

	classAverageWeight = 0.02 // weight of a new request in the means of its class

	// The bounds of how much longer, or less long, than others a request may
	// wait that is worth more, or less, for the time that its prompt takes.
	maxWaitFactor = 1.3
	minWaitFactor = 0.5

	// The largest tenth of a class, and the fifth below it, have to be served
	// at least half as often as the whole class. minServedRatio is where each of
	// these begins to wait as long as what is worth most.
	minServedRatio      = 0.75
	largeQuantile       = 0.7  // quantiles of size, from which requests are large
	largestQuantile     = 0.9  // and among the largest
	quantileStep        = 0.02 // of the mean size, by which an estimate of a quantile moves
	servedAverageWeight = 0.05 // weight of a new request in what share of its size is served
	lateServedCredit    = 0.5  // how much of a request counts as served whose answer will be late
)

type (
	// class holds what is known of requests that are alike.
	class struct {
		meanSize         float64 // moving average, tokens
		meanValueRate    float64 // the same, of the worth for a second of an engine's time
		largeThreshold   float64 // estimates of the quantiles of size
		largestThreshold float64
		servedFraction   [groupCount]float64 // share that is served
	}

	// sizeGroup is the requests of a class that are about equally large.
	sizeGroup int
)

// Groups by size. Every request counts among all too.
const (
	allSizes sizeGroup = iota
	largeGroup
	largestGroup
	groupCount
)

// class returns what is known of the requests that are like this one.
func (t *Table) class(ask Ask) *class {
	c := t.classes[ask.Class]
	if c == nil {
		size := ask.size()
		c = &class{meanSize: size, largeThreshold: size, largestThreshold: size, servedFraction: [groupCount]float64{1, 1, 1}}
		t.classes[ask.Class] = c
	}
	return c
}

func (a *Ask) size() float64 { return float64(a.Tokens + answerTokenWeight*a.Answer) }

// waitFactor takes a request into the class's means, and returns how much longer
// than their average it may wait, by what it is worth for the time that reading
// its prompt takes.
func (c *class) waitFactor(ask Ask, work time.Duration) float64 {
	size := ask.size()
	c.meanSize += classAverageWeight * (size - c.meanSize)
	c.largeThreshold = moveQuantile(c.largeThreshold, size, largeQuantile, quantileStep*c.meanSize)
	c.largestThreshold = moveQuantile(c.largestThreshold, size, largestQuantile, quantileStep*c.meanSize)
	rate := (fixedValue + (1-fixedValue)*size/c.meanSize) / work.Seconds()
	if c.meanValueRate == 0 {
		c.meanValueRate = rate
	}
	c.meanValueRate += classAverageWeight * (rate - c.meanValueRate)
	if c.servedFraction[c.groupOf(ask)] < minServedRatio*c.servedFraction[allSizes] {
		return maxWaitFactor
	}
	return min(max(rate/c.meanValueRate, minWaitFactor), maxWaitFactor)
}

// moveQuantile moves the estimate of a moveQuantile by a new sample.
func moveQuantile(estimate, sample, share, step float64) float64 {
	if sample > estimate {
		return estimate + share*step
	}
	return estimate - (1-share)*step
}

func (c *class) groupOf(ask Ask) sizeGroup {
	switch size := ask.size(); {
	case size > c.largestThreshold:
		return largestGroup
	case size > c.largeThreshold:
		return largeGroup
	}
	return allSizes
}

// recordServed counts how much of a request is served: 1, servedLate or 0.
func (c *class) recordServed(ask Ask, served float64) {
	c.servedFraction[allSizes] += servedAverageWeight * (served - c.servedFraction[allSizes])
	if g := c.groupOf(ask); g != allSizes {
		c.servedFraction[g] += servedAverageWeight * (served - c.servedFraction[g])
	}
}
