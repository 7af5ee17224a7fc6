package placement

import "time"

const (
	// What a request is worth against the mean of its class: a fixed part, and
	// a part by its size, in which a token of the answer counts as ten.
	worthFixed  = 0.3
	answerCount = 10

	meanRate = 0.02 // weight of a new request in the means of its class

	// The bounds of how much longer, or less long, than others a request may
	// wait that is worth more, or less, for the time that its prompt takes.
	stretchMost  = 1.3
	stretchLeast = 0.5

	// The largest tenth of a class, and the fifth below it, have to be served
	// at least half as often as the whole class. fairShare is where each of
	// these begins to wait as long as what is worth most.
	fairShare   = 0.75
	largeFrom   = 0.7  // quantiles of size, from which requests are large
	largestFrom = 0.9  // and among the largest
	sizeStep    = 0.02 // of the mean size, by which an estimate of a quantile moves
	servedRate  = 0.05 // weight of a new request in what share of its size is served
	servedLate  = 0.5  // how much of a request counts as served whose answer will be late
)

type (
	// class holds what is known of requests that are alike.
	class struct {
		size    float64 // moving average, tokens
		rate    float64 // the same, of the worth for a second of an engine's time
		large   float64 // estimates of the quantiles of size
		largest float64
		served  [groups]float64 // share that is served
	}

	// group is the requests of a class that are about equally large.
	group int
)

// Groups by size. Every request counts among all too.
const (
	allSizes group = iota
	largeSize
	largestSize
	groups
)

// class returns what is known of the requests that are like this one.
func (t *Table) class(ask Request) *class {
	c := t.classes[ask.Class]
	if c == nil {
		size := ask.size()
		c = &class{size: size, large: size, largest: size, served: [groups]float64{1, 1, 1}}
		t.classes[ask.Class] = c
	}
	return c
}

func (a *Request) size() float64 { return float64(a.PromptTokens + answerCount*a.MaxTokens) }

// stretch takes a request into the class's means, and returns how much longer
// than their average it may wait, by what it is worth for the time that reading
// its prompt takes.
func (c *class) stretch(ask Request, work time.Duration) float64 {
	size := ask.size()
	c.size += meanRate * (size - c.size)
	c.large = quantile(c.large, size, largeFrom, sizeStep*c.size)
	c.largest = quantile(c.largest, size, largestFrom, sizeStep*c.size)
	rate := (worthFixed + (1-worthFixed)*size/c.size) / work.Seconds()
	if c.rate == 0 {
		c.rate = rate
	}
	c.rate += meanRate * (rate - c.rate)
	if c.served[c.groupOf(ask)] < fairShare*c.served[allSizes] {
		return stretchMost
	}
	return min(max(rate/c.rate, stretchLeast), stretchMost)
}

// quantile moves the estimate of a quantile by a new sample.
func quantile(estimate, sample, share, step float64) float64 {
	if sample > estimate {
		return estimate + share*step
	}
	return estimate - (1-share)*step
}

func (c *class) groupOf(ask Request) group {
	switch size := ask.size(); {
	case size > c.largest:
		return largestSize
	case size > c.large:
		return largeSize
	}
	return allSizes
}

// note counts how much of a request is served: 1, servedLate or 0.
func (c *class) note(ask Request, served float64) {
	c.served[allSizes] += servedRate * (served - c.served[allSizes])
	if g := c.groupOf(ask); g != allSizes {
		c.served[g] += servedRate * (served - c.served[g])
	}
}
