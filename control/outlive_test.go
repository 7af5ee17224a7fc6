package control

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"endivedeck.example/golden"
	"endivedeck.example/interval"
)

const (
	phaseStep  = 500 * time.Millisecond
	phases     = 6 // cover one poll of a member
	watchTime  = 9 * time.Second
	watchPause = 20 * time.Millisecond
)

// TestLeasesOutliveLeaders loses leaders at each phase of the members' polls:
// no member's lease lapses, so nobody is refused. In the twins the time that a
// renewal was parked isn't counted.
func TestLeasesOutliveLeaders(t *testing.T) {
	failures := []struct {
		name string
		fail func(b *bed)
	}{
		{"the leader stopped", func(b *bed) { b.stop(b.leader()) }},
		{"the leader killed", func(b *bed) { b.kill(b.leader()) }},
		{"the leader silently cut off", cutLeader},
		{"the leader stopped, then its successor", func(b *bed) {
			b.restart(b.leader())
			interval.Sleep(b.t.Context(), 2*time.Second)
			b.restart(b.leader())
		}},
		{"all restarted one by one", func(b *bed) {
			for _, name := range b.names() {
				b.restart(name)
				interval.Sleep(b.t.Context(), 700*time.Millisecond)
			}
		}},
	}
	var text strings.Builder
	for _, f := range failures {
		fmt.Fprintf(&text, "%s: leases lapsed at %d of %d phases\n", f.name, lapses(t, false, f.fail), phases)
	}
	fmt.Fprintf(&text, "twin: the leader silently cut off: a lapse was seen: %v\n", lapses(t, true, cutLeader) > 0)
	golden.Check(t, "outlive.golden", text.String())
}

// lapses returns the number of phases at which some member's lease lapsed
// after the failure.
func lapses(t *testing.T, twin bool, fail func(b *bed)) int {
	count := 0
	for phase := range phases {
		if lapsed(t, time.Duration(phase)*phaseStep, twin, fail) {
			count++
		}
	}
	return count
}

func lapsed(t *testing.T, phase time.Duration, twin bool, fail func(b *bed)) bool {
	lapsed := false
	inBed(t, 3, func(b *bed) {
		for _, in := range b.controls {
			in.control.holders.uncounted = twin
		}
		for i := range 3 {
			b.hold(fmt.Sprintf("entry-%d", i+1), kindEntry)
			b.hold(fmt.Sprintf("crew-assist-%d", i+1), kindSidecar)
		}
		b.awaitHeld()
		interval.Sleep(b.t.Context(), 10*time.Second+phase)
		ended := make(chan struct{})
		w := &lapseWatch{bed: b, ended: ended}
		go w.run()
		fail(b)
		<-ended
		lapsed = w.lapsed
	})
	return lapsed
}

// lapseWatch looks at the members' leases for a while.
type lapseWatch struct {
	bed    *bed
	ended  chan struct{}
	lapsed bool
}

func (w *lapseWatch) run() {
	defer close(w.ended)
	for end := time.Now().Add(watchTime); time.Now().Before(end); {
		for _, h := range w.bed.holders {
			if !h.member.HasLease() {
				w.lapsed = true
				return
			}
		}
		interval.Sleep(w.bed.t.Context(), watchPause)
	}
}

// cutLeader cuts the leader off from everybody, without a word.
func cutLeader(b *bed) {
	leader := b.leader()
	for _, name := range b.names() {
		if name != leader {
			b.network.Isolate(leader, name)
		}
	}
	for _, h := range b.holders {
		b.network.Isolate(leader, h.name)
	}
}

// restart stops an instance and starts it again on its disk.
func (b *bed) restart(name string) {
	disk := b.controls[name].disk
	b.stop(name)
	b.start(name, disk)
}
