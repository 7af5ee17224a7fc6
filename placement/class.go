package placement

import "time"

const (
	// The value of a request, relative to the mean of its class, has a fixed
	// part and a part in proportion to its size in tokens, where each token of
	// the response counts as responseTokenWeight tokens.
	fixedValue          = 0.3
	responseTokenWeight = 10

	classAverageWeight = 0.02 // weight of a new request in the averages of its class

	// Limits of the factor by which a request's value per prefill time
	// lengthens or shortens the wait that is allowed for it.
	maxWaitFactor = 1.3
	minWaitFactor = 0.5

	// The largest 10% of the requests of a class, and the 20% below them, must
	// each be served at least half as often as the whole class. A group whose
	// served fraction drops below minServedRatio of that of the class gets
	// maxWaitFactor.
	minServedRatio      = 0.75
	largeQuantile       = 0.7  // quantile of size above which a request is in largeGroup
	largestQuantile     = 0.9  // the same for largestGroup
	quantileStep        = 0.02 // step of the quantile estimates, as a fraction of the mean size
	servedAverageWeight = 0.05 // weight of a new request in the served fraction of its group
	lateServedCredit    = 0.5  // a request whose response will be late counts as half served
)

type (
	// class holds statistics of similar requests.
	class struct {
		meanSize         float64             // moving average, in tokens
		meanValueRate    float64             // moving average of the value per second of prefill
		largeThreshold   float64             // estimate of largeQuantile of the sizes
		largestThreshold float64             // estimate of largestQuantile of the sizes
		servedFraction   [groupCount]float64 // moving average per size group
	}

	// sizeGroup is a group of requests of a class by size.
	sizeGroup int
)

// Size groups. allSizes covers every request, whatever its size.
const (
	allSizes sizeGroup = iota
	largeGroup
	largestGroup
	groupCount
)

// class returns the statistics of the request's class, or a copy for a preview.
func (t *Table) class(req Request) *class {
	c := t.classes[req.Class]
	if c == nil {
		size := req.size()
		c = &class{meanSize: size, largeThreshold: size, largestThreshold: size, servedFraction: [groupCount]float64{1, 1, 1}}
		if req.preview == nil {
			t.classes[req.Class] = c
		}
	}
	if req.preview != nil {
		kept := *c
		return &kept
	}
	return c
}

// size returns the weighted number of tokens of the prompt and the response.
func (r *Request) size() float64 { return float64(r.PromptTokens + responseTokenWeight*r.MaxTokens) }

// waitFactor adds a request to the averages of the class, and returns the
// factor by which the allowed wait is longer for it than for an average request.
// The factor is the request's value per prefill time relative to the class,
// within limits.
func (c *class) waitFactor(req Request, prefill time.Duration) float64 {
	size := req.size()
	c.meanSize += classAverageWeight * (size - c.meanSize)
	c.largeThreshold = updateQuantile(c.largeThreshold, size, largeQuantile, quantileStep*c.meanSize)
	c.largestThreshold = updateQuantile(c.largestThreshold, size, largestQuantile, quantileStep*c.meanSize)
	valueRate := (fixedValue + (1-fixedValue)*size/c.meanSize) / prefill.Seconds()
	if c.meanValueRate == 0 {
		c.meanValueRate = valueRate
	}
	c.meanValueRate += classAverageWeight * (valueRate - c.meanValueRate)
	if c.servedFraction[c.groupOf(req)] < minServedRatio*c.servedFraction[allSizes] {
		return maxWaitFactor
	}
	return min(max(valueRate/c.meanValueRate, minWaitFactor), maxWaitFactor)
}

// updateQuantile returns the estimate of a quantile after a new sample.
func updateQuantile(estimate, sample, quantile, step float64) float64 {
	if sample > estimate {
		return estimate + quantile*step
	}
	return estimate - (1-quantile)*step
}

// groupOf returns the smallest group that the request belongs to.
func (c *class) groupOf(req Request) sizeGroup {
	switch size := req.size(); {
	case size > c.largestThreshold:
		return largestGroup
	case size > c.largeThreshold:
		return largeGroup
	}
	return allSizes
}

// recordServed adds the outcome of a request to the served fractions. served is
// 1, lateServedCredit or 0.
func (c *class) recordServed(req Request, served float64) {
	c.servedFraction[allSizes] += servedAverageWeight * (served - c.servedFraction[allSizes])
	if g := c.groupOf(req); g != allSizes {
		c.servedFraction[g] += servedAverageWeight * (served - c.servedFraction[g])
	}
}
