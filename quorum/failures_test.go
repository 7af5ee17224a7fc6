package quorum_test

import (
	"fmt"
	"time"

	"endivedeck.example/quorum"
	"endivedeck.example/wal"
)

// injectFailure injects one random failure and schedules its end and the next
// failure. After failurePhase it ends all failures.
func (s *simulation) injectFailure() {
	if s.now.Sub(s.start) > failurePhase {
		s.endFailures()
		return
	}
	s.scheduleAfter(time.Duration(200+s.rng.IntN(1200))*time.Millisecond, s.injectFailure)
	n := s.nodes[s.rng.IntN(len(s.nodes))]
	other := s.nodes[s.rng.IntN(len(s.nodes))]
	duration := time.Duration(100+s.rng.IntN(3000)) * time.Millisecond
	switch s.rng.IntN(8) {
	case 0, 1:
		s.kill(n, duration)
	case 2:
		// The disk crashes at one of its next six operations.
		n.disk.CrashAt = n.disk.OperationCount() + 1 + s.rng.IntN(6)
		s.scheduleAfter(duration, func() { s.kill(n, duration) })
	case 3:
		s.loseDisk(n)
	case 4:
		n.pausedUntil = s.now.Add(duration)
		s.scheduleAfter(duration, func() {})
	case 5:
		s.blockedLinks[[2]int{n.index, other.index}] = true // one way
		s.scheduleAfter(duration, func() { delete(s.blockedLinks, [2]int{n.index, other.index}) })
	default:
		s.isolate(n, duration)
	}
}

// transferLeadership starts a leadership transfer on every node that leads, at
// random intervals that let the new leader lead for a while.
func (s *simulation) transferLeadership() {
	if s.recovering {
		return
	}
	s.scheduleAfter(time.Duration(300+s.rng.IntN(1500))*time.Millisecond, s.transferLeadership)
	for _, n := range s.nodes {
		if n.up && !s.now.Before(n.pausedUntil) && n.core.TransferLeadership(s.now) {
			s.transfers++
			s.processReady(n)
		}
	}
}

func (s *simulation) kill(n *node, downtime time.Duration) {
	if s.recovering {
		downtime = restartDelay // the failure was injected before the recovery phase
	}
	if n.up {
		s.crash(n)
	}
	starts := n.starts
	s.scheduleAfter(downtime, func() {
		if !n.up && n.starts == starts {
			s.startNode(n)
		}
	})
}

// isolate drops all messages from and to a node.
func (s *simulation) isolate(n *node, duration time.Duration) {
	for _, other := range s.nodes {
		s.blockedLinks[[2]int{n.index, other.index}] = true
		s.blockedLinks[[2]int{other.index, n.index}] = true
	}
	s.scheduleAfter(duration, func() {
		for _, other := range s.nodes {
			delete(s.blockedLinks, [2]int{n.index, other.index})
			delete(s.blockedLinks, [2]int{other.index, n.index})
		}
	})
}

// loseDisk replaces a node's disk by an empty one, unless an earlier lost disk
// hasn't been replaced yet: a group of three doesn't survive the loss of two.
func (s *simulation) loseDisk(n *node) {
	if !n.up || !s.allNodesVote(n) {
		return
	}
	s.crash(n)
	n.disk = wal.NewMemoryDisk()
	n.disk.IgnoreSyncs = s.defects.ignoreSyncs
	if s.defects.reuseIdentity {
		// The node bootstraps from its settings, which list it as an initial member.
		var members []quorum.Member
		for i := range s.nodes {
			name := fmt.Sprintf("control-%d", i)
			members = append(members, quorum.Member{ID: s.nodes[i].id, Instance: name, Address: name, Voter: true})
		}
		s.bootstrap(n, members)
		return
	}
	s.disksLost++
	n.id = fmt.Sprintf("control-%d#new%d", n.index, s.disksLost)
	s.startNode(n)
}

// allNodesVote reports whether all current nodes are voters in the view of a
// leader other than the given node, so that every lost disk has been replaced. The
// other nodes may be down, partitioned or behind.
func (s *simulation) allNodesVote(lost *node) bool {
	for _, n := range s.nodes {
		if n == lost || !n.up || !n.core.Leading() {
			continue
		}
		for _, other := range s.nodes {
			if !isVoter(n.core.Status().Members, other.id) {
				return false
			}
		}
		return true
	}
	return false
}

func isVoter(members []quorum.Member, id string) bool {
	for _, m := range members {
		if m.ID == id {
			return m.Voter
		}
	}
	return false
}

// endFailures ends all failures and starts the recovery phase.
func (s *simulation) endFailures() {
	s.recovering = true
	s.blockedLinks = map[[2]int]bool{}
	for _, n := range s.nodes {
		n.pausedUntil = time.Time{}
		n.disk.CrashAt = 0
		if !n.up {
			s.startNode(n)
		}
	}
}
