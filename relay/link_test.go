package relay

import (
	"testing"
	"time"
)

// TestSendCost fills the link of a small machine, of 7.5 Mbit/s, with prompts of 9,200
// bytes. A second send costs next to nothing while the link is idle, and much once the
// requests and load messages fill it.
func TestSendCost(t *testing.T) {
	const prompt = 9200
	for _, c := range []struct {
		name      string
		perSecond int
		least     time.Duration
		most      time.Duration
	}{
		{"idle", 0, 0, 0},
		{"a tenth", 10, 0, 2 * time.Millisecond},
		{"half", 50, 6 * time.Millisecond, 14 * time.Millisecond},
		{"nearly full", 90, 40 * time.Millisecond, 89 * time.Millisecond},
		{"too much", 200, 80 * time.Millisecond, 89 * time.Millisecond},
	} {
		m := newLinkMeter(7.5e6 / 8)
		start := time.Unix(1_800_000_000, 0)
		now := start
		for i := range 3 * c.perSecond {
			now = start.Add(time.Duration(i) * time.Second / time.Duration(c.perSecond))
			m.add(now, prompt)
		}
		if got := m.sendCost(now, prompt); got < c.least || got > c.most {
			t.Errorf("%s: got a cost of %v, want %v to %v", c.name, got, c.least, c.most)
		}
	}
	if got := newLinkMeter(0).sendCost(time.Unix(1_800_000_000, 0), prompt); got != 0 {
		t.Errorf("link of unknown rate: got a cost of %v, want 0", got)
	}
}

// TestLoadsInterval checks that load messages leave the link of a small machine to
// requests, and that they are as frequent as ever on others.
func TestLoadsInterval(t *testing.T) {
	for _, c := range []struct {
		name   string
		relays int64
		mbps   float64
		want   time.Duration
	}{
		{"unknown link", 31, 0, 62 * time.Millisecond},
		{"few relays", 8, 1000, 20 * time.Millisecond},
		{"middling link", 17, 25, 34 * time.Millisecond},
		{"small machine", 31, 7.5, 110 * time.Millisecond},
	} {
		r := &Relay{settings: Settings{LinkRate: c.mbps * 1e6 / 8}}
		r.relayCount.Store(c.relays)
		if got := r.loadsInterval(500).Round(time.Millisecond); got != c.want {
			t.Errorf("%s: got an interval of %v, want %v", c.name, got, c.want)
		}
	}
}
