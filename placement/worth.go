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
)

// class holds moving averages of requests that are alike.
type class struct {
	size float64 // tokens
	rate float64 // worth for a second of an engine's time
}

// stretch returns how much longer than the average request of its class this
// one may wait, by what it is worth for the time that reading its prompt takes.
func (t *Table) stretch(ask Ask, work time.Duration) float64 {
	size := float64(ask.Tokens + answerCount*ask.Answer)
	c := t.classes[ask.Class]
	if c == nil {
		c = &class{size: size}
		t.classes[ask.Class] = c
	}
	c.size += meanRate * (size - c.size)
	rate := (worthFixed + (1-worthFixed)*size/c.size) / work.Seconds()
	if c.rate == 0 {
		c.rate = rate
	}
	c.rate += meanRate * (rate - c.rate)
	return min(max(rate/c.rate, stretchLeast), stretchMost)
}
