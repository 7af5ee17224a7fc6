package allowance

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"endivedeck.example/golden"
)

type (
	// scene is a budget and the callers that use it.
	scene struct {
		budget *Budget
		now    time.Time
		names  map[Holder]string
		text   strings.Builder
	}

	// caller is a holder that lets go when it is told to give way, unless it is stuck.
	caller struct {
		account *Account
		stuck   bool
	}
)

// GiveWay implements Holder.
func (c *caller) GiveWay() {
	if !c.stuck {
		c.account.Close()
	}
}

// Refused implements Watcher.
func (s *scene) Refused(address string, limit Limit, gaveWay bool) {
	fmt.Fprintf(&s.text, "  %s met the limit of %s, gave way %v\n", address, limit, gaveWay)
}

func newScene(bytes int64) *scene {
	s := &scene{now: time.Unix(1_000_000, 0), names: map[Holder]string{}}
	s.budget = New(Limits{Bytes: bytes, Reserve: bytes / 4, Address: 3 * bytes / 4}, s)
	return s
}

func (s *scene) open(name, address string) *caller {
	c := &caller{}
	c.account = s.budget.Open(address, c)
	c.account.Await(s.now)
	s.names[c] = name
	return c
}

func (s *scene) pass(d time.Duration) { s.now = s.now.Add(d) }

func (s *scene) grow(c *caller, kb int64) {
	answer := c.account.Grow(s.now, kb<<10)
	var names []string
	for _, holder := range answer.GiveWay {
		names = append(names, s.names[holder])
	}
	fmt.Fprintf(&s.text, "  %s asks for %d KB: granted %v %s, to give way %v; %d KB held\n", s.names[c], kb, answer.Granted, answer.Limit, names, s.budget.Held()>>10)
}

// TestGiveWay plays callers that hold memory, and shows who is served and who gives way.
func TestGiveWay(t *testing.T) {
	var got strings.Builder
	for _, test := range []struct {
		name string
		play func(s *scene)
	}{
		{"callers that send are not disturbed", func(s *scene) {
			a, b := s.open("a", "10.0.0.1"), s.open("b", "10.0.0.2")
			s.grow(a, 400)
			s.grow(b, 300)
			s.pass(50 * time.Millisecond)
			s.grow(s.open("c", "10.0.0.3"), 200)
		}},
		{"the one that has kept the most memory waiting gives way, not the newcomer", func(s *scene) {
			a, b, c := s.open("large", "10.0.0.1"), s.open("small", "10.0.0.2"), s.open("served", "10.0.0.3")
			s.grow(a, 400)
			s.grow(b, 40)
			s.grow(c, 300)
			c.account.Rest(s.now)
			s.pass(5 * time.Second)
			s.grow(s.open("newcomer", "10.0.0.4"), 100)
		}},
		{"one that drips lags like one that is silent", func(s *scene) {
			a, b := s.open("drips", "10.0.0.1"), s.open("sends", "10.0.0.2")
			s.grow(a, 400)
			s.grow(b, 340)
			for range 20 {
				s.pass(100 * time.Millisecond)
				a.account.Moved(s.now, 1)
				b.account.Moved(s.now, 16<<10)
			}
			s.grow(s.open("newcomer", "10.0.0.3"), 100)
		}},
		{"one that lags itself displaces nobody who lags less", func(s *scene) {
			a, b := s.open("drips", "10.0.0.1"), s.open("idle", "10.0.0.2")
			s.grow(a, 400)
			s.grow(b, 340)
			s.pass(time.Second)
			s.grow(a, 100)
			s.grow(b, 100)
		}},
		{"one address doesn't take what the others need", func(s *scene) {
			a := s.open("first", "10.0.0.1")
			s.grow(a, 700)
			s.pass(time.Second)
			s.grow(s.open("second", "10.0.0.1"), 90)
			s.grow(s.open("other", "10.0.0.2"), 90)
		}},
		{"one team doesn't take what the others need", func(s *scene) {
			a, b := s.open("first", "10.0.0.1"), s.open("second", "10.0.0.2")
			a.account.Join("crews")
			s.grow(a, 700)
			s.pass(time.Second)
			s.grow(b, 90)
			b.account.Join("crews")
			s.grow(b, 1)
			b.account.Join("")
			s.grow(b, 1)
		}},
		{"small accounts have a reserve", func(s *scene) {
			a, b := s.open("a", "10.0.0.1"), s.open("b", "10.0.0.2")
			s.grow(a, 400)
			s.grow(b, 360)
			s.grow(s.open("large", "10.0.0.3"), 100)
			s.grow(s.open("small", "10.0.0.4"), 30)
		}},
		{"what leaves already isn't asked for twice", func(s *scene) {
			a := s.open("a", "10.0.0.1")
			a.stuck = true
			s.grow(a, 700)
			s.pass(time.Second)
			s.grow(s.open("b", "10.0.0.2"), 200)
			s.grow(s.open("c", "10.0.0.3"), 200)
			s.grow(a, 1)
			a.account.Close()
			s.grow(s.open("d", "10.0.0.4"), 200)
		}},
	} {
		s := newScene(1 << 20)
		fmt.Fprintln(&s.text, test.name)
		test.play(s)
		got.WriteString(s.text.String())
	}
	golden.Check(t, "giveway.golden", got.String())
}

// TestAcquire checks that an account waits for those who give way, and not for ever.
func TestAcquire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, stuck := range []bool{false, true} {
			s := newScene(1 << 20)
			s.now = time.Now()
			slow, next := s.open("slow", "10.0.0.1"), s.open("next", "10.0.0.2")
			slow.stuck = stuck
			if !slow.account.Acquire(700 << 10) {
				t.Fatal("got nothing of an empty budget, want it granted")
			}
			time.Sleep(time.Second)
			start := time.Now()
			if got, want := next.account.Acquire(300<<10), !stuck; got != want {
				t.Errorf("stuck %v: got granted %v, want %v", stuck, got, want)
			}
			if got, want := time.Since(start), patience+retry; got > want {
				t.Errorf("stuck %v: got an answer after %v, want at most %v", stuck, got, want)
			}
		}
	})
}

// TestClosed checks that nothing stays charged.
func TestClosed(t *testing.T) {
	s := newScene(1 << 20)
	a := s.open("a", "10.0.0.1")
	s.grow(a, 100)
	a.account.Join("crews")
	a.account.Shrink(40 << 10)
	a.account.Close()
	a.account.Close()
	a.account.Shrink(1)
	if got := s.budget.Held(); got != 0 {
		t.Errorf("got %d bytes held, want none", got)
	}
	if got := a.account.Grow(s.now, 1); got.Granted {
		t.Error("got memory for a closed account, want none")
	}
	if got := len(s.budget.accounts) + len(s.budget.byAddr) + len(s.budget.byTeam); got != 0 {
		t.Errorf("got %d entries left, want none", got)
	}
}
