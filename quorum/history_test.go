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
	seeds = flag.Uint64("seeds", 16, "number of failure schedules that TestSchedules runs for each group size")
	first = flag.Uint64("first", 0, "first seed of TestSchedules")
)

type (
	// operation is one call of an operator: a contract change or a read.
	operation struct {
		node       *node
		index      uint64
		term       uint64
		startedAt  time.Time
		minVersion uint64 // highest version that was acknowledged before the call
		read       bool
	}

	// history checks that operations on the contract are linearizable. The log
	// assigns ascending version numbers, so two conditions are sufficient: an
	// operation that starts after another has ended doesn't return or create
	// an older version, and no version is created twice.
	history struct {
		ackedVersion    uint64
		createdVersions map[uint64]bool
		changes         int
		reads           int
	}
)

func (h *history) record(s *simulation, op *operation, version uint64, changed bool) {
	if changed && !op.read {
		if h.createdVersions == nil {
			h.createdVersions = map[uint64]bool{}
		}
		if h.createdVersions[version] {
			s.reportViolation("version %d was acknowledged for two changes", version)
		}
		h.createdVersions[version] = true
		h.changes++
		if version <= op.minVersion {
			s.reportViolation("a change created version %d after version %d had been acknowledged", version, op.minVersion)
		}
	}
	if op.read {
		h.reads++
		if version < op.minVersion {
			s.reportViolation("a read returned version %d after version %d had been acknowledged", version, op.minVersion)
		}
	}
	h.ackedVersion = max(h.ackedVersion, version)
}

// issueOperations issues a change and a read on every node, also on leaders that
// don't know yet that they were deposed. All other nodes reject them.
func (s *simulation) issueOperations() {
	s.scheduleAfter(time.Duration(10+s.rng.IntN(60))*time.Millisecond, s.issueOperations)
	for _, n := range s.nodes {
		s.runOn(n, func() {
			s.proposeChange(n)
			s.startRead(n)
		})
	}
}

func (s *simulation) proposeChange(n *node) {
	accepted, _ := n.state.Contract(customer)
	newContract := &contract.Contract{
		Customer: customer,
		Models:   []string{"crew-assist"},
		Classes:  map[string]contract.Class{"chat": {WholeAnswer: settings.Duration(time.Minute), Rate: 1, Burst: 1, Concurrency: 1}},
		Share:    float64(s.rng.IntN(100)) / 100,
	}
	change := &contract.Change{Customer: customer, Replaces: accepted.Version, Contract: newContract, At: s.now}
	command, err := wire.Encode(control.Command{Contract: change})
	if err != nil {
		s.reportViolation("encoding a change failed: %v", err)
		return
	}
	op := &operation{node: n, startedAt: s.now, minVersion: s.history.ackedVersion}
	op.index, op.term, err = n.core.Propose(command)
	if err != nil {
		if !isUnavailable(err) {
			s.reportViolation("proposing a change failed: %v (node %s)", err, n.id)
		}
		return
	}
	n.proposals[op.index] = op
	s.processReady(n)
}

func (s *simulation) startRead(n *node) {
	if !n.core.Leading() {
		return
	}
	n.reads = append(n.reads, &operation{
		node:       n,
		startedAt:  s.now,
		index:      n.core.Status().Commit,
		minVersion: s.history.ackedVersion,
		read:       true,
	})
	n.core.SendHeartbeats(s.now)
	s.processReady(n)
}

// completeReads completes reads on the same conditions as quorum.Replica.Barrier.
// The unconfirmedReads defect skips the confirmation of leadership.
func (s *simulation) completeReads(n *node) {
	if !n.core.Leading() {
		n.reads = nil
		return
	}
	n.reads = slices.DeleteFunc(n.reads, func(op *operation) bool {
		confirmed := s.defects.unconfirmedReads || !n.core.ConfirmedAt().Before(op.startedAt)
		if !confirmed || n.core.Applied() < op.index {
			return false
		}
		accepted, _ := n.state.Contract(customer)
		s.history.record(s, op, accepted.Version, false)
		return true
	})
}

// TestSchedules runs random schedules of crashes, also in the middle of disk
// writes, lost disks, one-way and two-way network partitions, pauses, leadership
// transfers, and lost, duplicated and delayed messages. It checks that all
// replicas apply the same log and that operations on the contract are linearizable.
func TestSchedules(t *testing.T) {
	for _, replicas := range []int{3, 5} {
		changes, reads, disksLost, transfers := 0, 0, 0, 0
		for seed := *first; seed < *first+*seeds; seed++ {
			s := newSimulation(seed, replicas, defects{})
			if got := s.run(); got != "" {
				t.Errorf("replicas %d, seed %d: got %s, want no violation", replicas, seed, got)
			}
			changes += s.history.changes
			reads += s.history.reads
			disksLost += s.disksLost
			transfers += s.transfers
		}
		t.Logf("%d replicas, %d seeds: %d changes and %d reads acknowledged, %d disks lost, %d leadership transfers", replicas, *seeds, changes, reads, disksLost, transfers)
		if disksLost == 0 || reads == 0 || transfers == 0 {
			t.Errorf("got %d lost disks, %d reads and %d leadership transfers, want at least one of each", disksLost, reads, transfers)
		}
	}
}

// TestSchedulesDetectDefects switches off one safety mechanism at a time and checks
// that the simulation detects a violation under some seed.
func TestSchedulesDetectDefects(t *testing.T) {
	tests := []struct {
		name    string
		defects defects
	}{
		{"acknowledged before synced", defects{ignoreSyncs: true}},
		{"reads without confirmation", defects{unconfirmedReads: true}},
		{"a lost disk under its old identity", defects{reuseIdentity: true}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for seed := range uint64(400) {
				s := newSimulation(seed, 3, test.defects)
				if got := s.run(); got != "" {
					t.Logf("seed %d: %s", seed, got)
					return
				}
			}
			t.Error("got no violation under any seed, want one")
		})
	}
}
