package relay

import (
	"math"
	"time"

	"endivedeck.example/rank"
)

const (
	linkWindow   = 300 * time.Millisecond // time constant of the measured rate
	maxLinkUse   = 0.9                    // limit of the use in sendCost, which grows without bound towards 1
	requestBytes = 400                    // header of a request and of its packets
)

// linkMeter measures how much of the machine's link the relay uses for what it sends, so
// that a request isn't sent twice over a link that is nearly full. Answers count little.
type linkMeter struct {
	rate float64 // of the link, in bytes per second; 0 if unknown

	mu   rank.Mutex
	sent float64 // bytes per second, moving average as of at
	at   time.Time
}

func newLinkMeter(rate float64) *linkMeter {
	return &linkMeter{rate: rate, mu: rank.New(rank.Admission)}
}

// add counts bytes that are sent.
func (m *linkMeter) add(now time.Time, bytes int) {
	if m.rate == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sent = m.decayed(now) + float64(bytes)/linkWindow.Seconds()
	m.at = now
}

// sendCost returns the time by which sending some bytes delays what is sent after them:
// none on a link that is idle, and a multiple of the time on the link where it is nearly
// full.
func (m *linkMeter) sendCost(now time.Time, bytes int) time.Duration {
	if m.rate == 0 {
		return 0
	}
	use := min(m.use(now), maxLinkUse)
	return time.Duration(float64(bytes) / m.rate * use / (1 - use) * float64(time.Second))
}

// use returns the part of the link that is used, or 0 if its rate is unknown.
func (m *linkMeter) use(now time.Time) float64 {
	if m.rate == 0 {
		return 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.decayed(now) / m.rate
}

func (m *linkMeter) decayed(now time.Time) float64 {
	return m.sent * math.Exp(-float64(now.Sub(m.at))/float64(linkWindow))
}
