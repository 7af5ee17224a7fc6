package quorum_test

import (
	"flag"
	"slices"
	"testing"
	"time"

	"endivedeck.example/contract"
	"endivedeck.example/control"
	"endivedeck.example/settings"
	"endivedeck.example/wire"
)

var (
	seeds = flag.Uint64("seeds", 16, "schedules that TestSchedules plays for each group size")
	first = flag.Uint64("first", 0, "the first seed of TestSchedules")
)

type (
	// operation is one operator's call, a change or a read.
	operation struct {
		node  *node
		index uint64
		term  uint64
		begun time.Time
		floor uint64 // the highest version that was acknowledged before it began
		read  bool
	}

	// history checks that contract operations are linearizable. A contract's
	// versions are counted by the log, so it is enough that no operation that
	// begins after another has ended sees or makes an older version, and that
	// no version is made twice.
	history struct {
		acked   uint64
		made    map[uint64]bool
		changes int
		reads   int
	}
)

func (h *history) end(s *schedule, op *operation, version uint64, changed bool) {
	if changed && !op.read {
		if h.made == nil {
			h.made = map[uint64]bool{}
		}
		if h.made[version] {
			s.violate("version %d was acknowledged twice", version)
		}
		h.made[version] = true
		h.changes++
		if version <= op.floor {
			s.violate("a change made version %d after version %d had been acknowledged", version, op.floor)
		}
	}
	if op.read {
		h.reads++
		if version < op.floor {
			s.violate("a read gave version %d after version %d had been acknowledged", version, op.floor)
		}
	}
	h.acked = max(h.acked, version)
}

// work has operators race at every node that takes itself for the leader.
func (s *schedule) work() {
	s.after(time.Duration(10+s.random.IntN(60))*time.Millisecond, s.work)
	for _, n := range s.nodes {
		s.on(n, func() {
			s.change(n)
			s.read(n)
		})
	}
}

func (s *schedule) change(n *node) {
	accepted, _ := n.state.Contract(customer)
	wanted := &contract.Contract{
		Customer: customer,
		Models:   []string{"crew-assist"},
		Classes:  map[string]contract.Class{"chat": {WholeAnswer: settings.Duration(time.Minute), Rate: 1, Burst: 1, Concurrency: 1}},
		Share:    float64(s.random.IntN(100)) / 100,
	}
	change := &contract.Change{Customer: customer, Replaces: accepted.Version, Contract: wanted, At: s.now}
	text, err := wire.Encode(control.Command{Contract: change})
	if err != nil {
		s.violate("%v", err)
		return
	}
	op := &operation{node: n, begun: s.now, floor: s.history.acked}
	op.index, op.term, err = n.core.Propose(text)
	if err != nil {
		if !isUnavailable(err) {
			s.violate("%v", err)
		}
		return
	}
	n.waiting[op.index] = op
	s.carryOut(n)
}

func (s *schedule) read(n *node) {
	if !n.core.Leading() {
		return
	}
	n.reads = append(n.reads, &operation{
		node:  n,
		begun: s.now,
		index: n.core.Status().Commit,
		floor: s.history.acked,
		read:  true,
	})
	n.core.SendHeartbeats(s.now)
	s.carryOut(n)
}

// answerReads answers as quorum.Replica.Barrier does; with the confirmation
// switched off, at once.
func (s *schedule) answerReads(n *node) {
	if !n.core.Leading() {
		n.reads = nil
		return
	}
	n.reads = slices.DeleteFunc(n.reads, func(op *operation) bool {
		confirmed := s.options.unconfirmed || !n.core.ConfirmedAt().Before(op.begun)
		if !confirmed || n.core.Applied() < op.index {
			return false
		}
		accepted, _ := n.state.Contract(customer)
		s.history.end(s, op, accepted.Version, false)
		return true
	})
}

// TestSchedules plays random schedules of kills at every write point, lost
// disks, one-way and two-way cuts, pauses, and lost, doubled and late
// messages, and checks the log's safety and that contract operations are
// linearizable.
func TestSchedules(t *testing.T) {
	for _, replicas := range []int{3, 5} {
		changes, reads, joins, handovers := 0, 0, 0, 0
		for seed := *first; seed < *first+*seeds; seed++ {
			s := newSchedule(seed, replicas, options{})
			if got := s.run(); got != "" {
				t.Errorf("replicas %d, seed %d: got %s, want no violation", replicas, seed, got)
			}
			changes += s.history.changes
			reads += s.history.reads
			joins += s.joins
			handovers += s.handovers
		}
		t.Logf("%d replicas, %d seeds: %d changes and %d reads acknowledged, %d disks lost, %d places handed over", replicas, *seeds, changes, reads, joins, handovers)
		if joins == 0 || reads == 0 || handovers == 0 {
			t.Errorf("the schedules lost %d disks, read %d times and handed %d places over, want some", joins, reads, handovers)
		}
	}
}

// TestScheduleTwins switches one mechanism off at a time: the check must
// catch a violation under some seed.
func TestScheduleTwins(t *testing.T) {
	twins := []struct {
		name    string
		options options
	}{
		{"acknowledged before synced", options{lying: true}},
		{"reads without confirmation", options{unconfirmed: true}},
		{"a lost disk under its old identity", options{oldIdentity: true}},
	}
	for _, twin := range twins {
		t.Run(twin.name, func(t *testing.T) {
			for seed := range uint64(400) {
				s := newSchedule(seed, 3, twin.options)
				if got := s.run(); got != "" {
					t.Logf("seed %d: %s", seed, got)
					return
				}
			}
			t.Error("got no violation, want the check to catch one")
		})
	}
}
