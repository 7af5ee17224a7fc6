package clock

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestTime checks that the clocks of a minority have no effect, that time passes by the
// steady clock without observations, and that old observations don't count.
func TestTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		c := New(start)
		for _, step := range []struct {
			name   string
			after  time.Duration
			source string
			ahead  time.Duration // of the clock of source
			want   time.Duration // of the estimate, ahead of this instance
		}{
			{"one of two others is wrong", 0, "a", 2 * time.Second, 2 * time.Second},
			{"the majority is right", 0, "b", 0, 0},
			{"two of three others are wrong", 0, "c", -3 * time.Second, 0},
			{"half of four are wrong", time.Second, "a", -3 * time.Second, 0},
			{"this clock is the one that is wrong", 0, "b", -3 * time.Second, -3 * time.Second},
			{"the others are silent", 11 * time.Second, "b", time.Millisecond, time.Millisecond},
		} {
			<-time.After(step.after)
			now := time.Now()
			c.Observe(now, step.source, now.Add(step.ahead))
			if got := c.Time(now).Sub(now); got != step.want {
				t.Errorf("%s: got %v ahead, want %v", step.name, got, step.want)
			}
		}
		now := time.Now().Add(time.Minute)
		if got := c.Time(now).Sub(now); got != time.Millisecond {
			t.Errorf("a minute later: got %v ahead, want %v", got, time.Millisecond)
		}
	})
}
