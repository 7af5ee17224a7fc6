package tenure

import "time"

const (
	minRetryDelay = 250 * time.Millisecond
	maxRetryDelay = 2 * time.Second
	paceShare     = 0.5 // of the permitted rate that is used
)

// Pace decides when the next call may be made. It answers a provider that takes so many calls a
// second, and one that is busy, slow, silent or down.
type Pace struct {
	interval time.Duration // between two calls
	delay    time.Duration // after the last call, if it failed
	next     time.Time     // of the next call
}

// NewPace returns a pace for at most rate calls a second; 0 means no limit.
func NewPace(rate float64) *Pace {
	p := &Pace{}
	if rate > 0 {
		p.interval = time.Duration(float64(time.Second) / (rate * paceShare))
	}
	return p
}

// Ready reports whether a call may be made.
func (p *Pace) Ready(now time.Time) bool { return !now.Before(p.next) }

// Done records the end of a call. After each failure in a row the pause is twice as long.
func (p *Pace) Done(now time.Time, succeeded bool) {
	if succeeded {
		p.delay = 0
	} else {
		p.delay = min(max(2*p.delay, minRetryDelay), maxRetryDelay)
	}
	p.next = now.Add(max(p.interval, p.delay))
}
