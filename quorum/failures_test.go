package quorum_test

import (
	"fmt"
	"time"

	"endivedeck.example/quorum"
	"endivedeck.example/wal"
)

// fail brings one failure about, and sets when it ends and when the next comes.
func (s *schedule) fail() {
	if s.now.Sub(s.start) > scheduleTime {
		s.heal()
		return
	}
	s.after(time.Duration(200+s.random.IntN(1200))*time.Millisecond, s.fail)
	n := s.nodes[s.random.IntN(len(s.nodes))]
	other := s.nodes[s.random.IntN(len(s.nodes))]
	length := time.Duration(100+s.random.IntN(3000)) * time.Millisecond
	switch s.random.IntN(8) {
	case 0, 1:
		s.kill(n, length)
	case 2:
		// The next operation but a few of the disk is its last.
		n.disk.CrashAt = n.disk.Operations() + 1 + s.random.IntN(6)
		s.after(length, func() { s.kill(n, length) })
	case 3:
		s.loseDisk(n)
	case 4:
		n.paused = s.now.Add(length)
		s.after(length, func() {})
	case 5:
		s.cuts[[2]int{n.place, other.place}] = true // one way
		s.after(length, func() { delete(s.cuts, [2]int{n.place, other.place}) })
	default:
		s.isolate(n, length)
	}
}

// handover has whichever node leads give its place up now and then, and does
// it again once the others have had time to lead.
func (s *schedule) handover() {
	if s.calm {
		return
	}
	s.after(time.Duration(300+s.random.IntN(1500))*time.Millisecond, s.handover)
	for _, n := range s.nodes {
		if n.up && !s.now.Before(n.paused) && n.core.TransferLeadership(s.now) {
			s.handovers++
			s.carryOut(n)
		}
	}
}

func (s *schedule) kill(n *node, length time.Duration) {
	if s.calm {
		length = bootAgain // of a failure that was on its way
	}
	if n.up {
		s.crash(n)
	}
	boot := n.boot
	s.after(length, func() {
		if !n.up && n.boot == boot {
			s.boot(n)
		}
	})
}

// isolate cuts a node off silently, both ways.
func (s *schedule) isolate(n *node, length time.Duration) {
	for _, other := range s.nodes {
		s.cuts[[2]int{n.place, other.place}] = true
		s.cuts[[2]int{other.place, n.place}] = true
	}
	s.after(length, func() {
		for _, other := range s.nodes {
			delete(s.cuts, [2]int{n.place, other.place})
			delete(s.cuts, [2]int{other.place, n.place})
		}
	})
}

// loseDisk replaces a node's disk by an empty one. Two disks lost before the
// first is replaced are more than a group of three promises to stand.
func (s *schedule) loseDisk(n *node) {
	if !n.up || !s.settled(n) {
		return
	}
	s.crash(n)
	n.disk = wal.NewMemory()
	n.disk.Lying = s.options.lying
	if s.options.oldIdentity {
		// The founders' settings still name it, so nothing seems amiss.
		var founders []quorum.Member
		for i := range s.nodes {
			name := fmt.Sprintf("control-%d", i)
			founders = append(founders, quorum.Member{ID: s.nodes[i].id, Instance: name, Address: name, Voter: true})
		}
		s.found(n, founders)
		return
	}
	s.joins++
	n.id = fmt.Sprintf("control-%d#new%d", n.place, s.joins)
	s.boot(n)
}

// settled reports whether some leader's members are this schedule's nodes,
// all of them voters, so that no disk that was lost is still to be replaced.
// The other nodes may be down, cut off or behind.
func (s *schedule) settled(lost *node) bool {
	for _, n := range s.nodes {
		if n == lost || !n.up || !n.core.Leading() {
			continue
		}
		for _, other := range s.nodes {
			if !voterIn(n.core.Status().Members, other.id) {
				return false
			}
		}
		return true
	}
	return false
}

func voterIn(members []quorum.Member, id string) bool {
	for _, m := range members {
		if m.ID == id {
			return m.Voter
		}
	}
	return false
}

// heal ends all failures.
func (s *schedule) heal() {
	s.calm = true
	s.cuts = map[[2]int]bool{}
	for _, n := range s.nodes {
		n.paused = time.Time{}
		n.disk.CrashAt = 0
		if !n.up {
			s.boot(n)
		}
	}
}
