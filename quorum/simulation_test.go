package quorum_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"endivedeck.example/contract"
	"endivedeck.example/control"
	"endivedeck.example/fault"
	"endivedeck.example/quorum"
	"endivedeck.example/wal"
	"endivedeck.example/wire"
)

const (
	failurePhase  = 20 * time.Second
	recoveryPhase = 15 * time.Second // follows failurePhase, without failures
	restartDelay  = 200 * time.Millisecond
	customer      = "crews"
)

type (
	// defects selects safety mechanisms to switch off, to test that the
	// simulation detects the resulting violations.
	defects struct {
		ignoreSyncs      bool // Sync returns without making the writes durable
		unconfirmedReads bool // a leader answers reads without confirming its leadership
		reuseIdentity    bool // a replica that lost its disk rejoins under its old ID
	}

	// simulation is a discrete-event simulation of a group of replicas under a
	// random schedule of failures. It runs in one goroutine on simulated time,
	// so that a seed gives the same run every time.
	simulation struct {
		defects      defects
		rng          *rand.Rand
		now          time.Time
		start        time.Time
		events       eventQueue
		lastSeq      int
		nodes        []*node
		blockedLinks map[[2]int]bool
		applied      map[uint64]string // entry applied by any replica, by index
		history      history
		violation    string // the first one; empty if none
		recovering   bool   // no more failures are injected
		disksLost    int

		transfers int // leadership transfers started
	}

	// node is one control instance: a replica's Core, its disk and the state
	// machine.
	node struct {
		index         int
		id            string
		disk          *wal.MemoryDisk
		journal       *wal.Journal
		core          *quorum.Core
		state         *control.State
		up            bool
		pausedUntil   time.Time
		deferred      []func() // work that arrived during the pause
		proposals     map[uint64]*operation
		reads         []*operation
		snapshotIndex uint64
		starts        int // number of starts; timers of earlier ones are ignored
	}

	event struct {
		at  time.Time
		seq int
		run func()
	}

	eventQueue []event
)

func (e eventQueue) Len() int           { return len(e) }
func (e eventQueue) Less(i, j int) bool { return e[i].before(e[j]) }
func (e eventQueue) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)        { *e = append(*e, x.(event)) }

func (e *eventQueue) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

func (e event) before(other event) bool {
	if e.at.Equal(other.at) {
		return e.seq < other.seq
	}
	return e.at.Before(other.at)
}

func newSimulation(seed uint64, replicas int, d defects) *simulation {
	start := time.Unix(1_800_000_000, 0)
	s := &simulation{
		defects:      d,
		rng:          rand.New(rand.NewPCG(seed, seed)),
		now:          start,
		start:        start,
		blockedLinks: map[[2]int]bool{},
		applied:      map[uint64]string{},
	}
	var members []quorum.Member
	for i := range replicas {
		name := fmt.Sprintf("control-%d", i)
		members = append(members, quorum.Member{ID: name + "#1", Instance: name, Address: name, Voter: true})
	}
	for i := range replicas {
		n := &node{index: i, id: members[i].ID, disk: wal.NewMemoryDisk()}
		n.disk.IgnoreSyncs = d.ignoreSyncs
		s.nodes = append(s.nodes, n)
		s.bootstrap(n, members)
	}
	return s
}

// bootstrap stores the initial members on an empty disk and starts the node.
func (s *simulation) bootstrap(n *node, members []quorum.Member) {
	j, state, err := wal.Open(n.disk)
	if err == nil {
		state.Snapshot.Members = members
		ignoreSyncs := n.disk.IgnoreSyncs
		n.disk.IgnoreSyncs = false
		err = j.Install(state.Snapshot, state.HardState, nil)
		n.disk.IgnoreSyncs = ignoreSyncs
	}
	if err != nil {
		s.reportViolation("bootstrap failed: %v (node %s)", err, n.id)
		return
	}
	s.startNode(n)
}

// startNode starts a node with the state on its disk.
func (s *simulation) startNode(n *node) {
	j, state, err := wal.Open(n.disk)
	if n.disk.Crashed() {
		s.crash(n) // the disk crashed during the start
		s.kill(n, restartDelay)
		return
	}
	if err != nil {
		s.reportViolation("%s failed to open its journal: %v", n.id, err)
		return
	}
	n.starts++
	n.journal = j
	n.state = control.NewState()
	if state.Snapshot.Index > 0 {
		if err := n.state.Restore(state.Snapshot.Data); err != nil {
			s.reportViolation("%s failed to restore the snapshot on its disk: %v", n.id, err)
			return
		}
	}
	n.core = quorum.NewCore(n.id, quorum.DefaultTiming(), state, s.rng.Uint64(), s.now)
	n.proposals = map[uint64]*operation{}
	n.reads = nil
	n.deferred = nil
	n.pausedUntil = time.Time{}
	n.up = true
	s.scheduleTick(n, n.starts)
}

func (s *simulation) scheduleAfter(d time.Duration, run func()) {
	s.lastSeq++
	heap.Push(&s.events, event{at: s.now.Add(d), seq: s.lastSeq, run: run})
}

func (s *simulation) scheduleTick(n *node, starts int) {
	wait := max(n.core.NextTick().Sub(s.now), time.Millisecond)
	s.scheduleAfter(wait, func() {
		if n.up && n.starts == starts {
			s.runOn(n, func() {
				n.core.Tick(s.now)
				s.processReady(n)
			})
			s.scheduleTick(n, starts)
		}
	})
}

// runOn runs a function on a node, or defers it while the node is paused. It drops
// the function if the node is down.
func (s *simulation) runOn(n *node, run func()) {
	if !n.up {
		return
	}
	if s.now.Before(n.pausedUntil) {
		n.deferred = append(n.deferred, run)
		return
	}
	run()
}

// processReady processes the core's output in the same order as quorum.Replica.
func (s *simulation) processReady(n *node) {
	for n.up {
		ready := n.core.Ready(s.now)
		if ready.HardState == nil {
			s.send(n, ready.Messages, true)
		}
		if err := s.persist(n, ready); err != nil {
			s.crash(n)
			return
		}
		if ready.HardState != nil {
			s.send(n, ready.Messages, true)
		}
		s.send(n, ready.Messages, false)
		s.apply(n, ready.Committed)
		s.completeReads(n)
		if len(ready.Entries) == 0 && len(ready.Committed) == 0 {
			return
		}
	}
}

func (s *simulation) persist(n *node, ready quorum.Ready) error {
	if snap := ready.Snapshot; snap != nil {
		if err := n.state.Restore(snap.Data); err != nil {
			s.reportViolation("%s failed to restore a received snapshot: %v", n.id, err)
		}
		if err := n.journal.Install(*snap, n.core.HardState(), n.core.EntriesAfter(snap.Index)); err != nil {
			return err
		}
	}
	if ready.HardState == nil && len(ready.Entries) == 0 {
		return nil
	}
	if err := n.journal.Append(ready.HardState, ready.Entries); err != nil {
		return err
	}
	if k := len(ready.Entries); k > 0 {
		n.core.Persisted(s.now, ready.Entries[k-1].Index)
	}
	return nil
}

// apply applies committed entries and checks that no replica has applied a
// different entry at the same index.
func (s *simulation) apply(n *node, entries []quorum.Entry) {
	for _, e := range entries {
		applied := fmt.Sprintf("%d/%d/%x", e.Term, e.Kind, e.Data)
		if earlier, ok := s.applied[e.Index]; ok && earlier != applied {
			s.reportViolation("%s applied a different entry at index %d: %s, earlier %s", n.id, e.Index, applied, earlier)
		}
		s.applied[e.Index] = applied
		var value any
		if e.Kind == quorum.Command {
			value = n.state.Apply(e.Index, e.Term, e.Data)
		}
		op := n.proposals[e.Index]
		delete(n.proposals, e.Index)
		if op == nil || op.term != e.Term {
			continue
		}
		outcome := value.(contract.Outcome)
		s.history.record(s, op, outcome.Current.Version, outcome.Error == nil)
	}
	if n.core.Applied()-n.snapshotIndex > 40 {
		s.snapshot(n)
	}
}

func (s *simulation) snapshot(n *node) {
	data, err := n.state.Save()
	if err != nil {
		s.reportViolation("%s failed to save its state: %v", n.id, err)
		return
	}
	snap := n.core.Compact(n.core.Applied(), data)
	n.snapshotIndex = snap.Index
	if err := n.journal.Install(snap, n.core.HardState(), n.core.EntriesAfter(snap.Index)); err != nil {
		s.crash(n)
	}
}

func (s *simulation) send(n *node, messages []quorum.Message, requests bool) {
	for _, m := range messages {
		if (m.Kind == quorum.Append || m.Kind == quorum.InstallSnapshot) != requests {
			continue
		}
		s.deliver(n, m)
		if !s.recovering && s.rng.IntN(50) == 0 {
			s.deliver(n, m) // duplicate
		}
	}
}

// deliver sends one message, which may be lost, delayed or reordered.
func (s *simulation) deliver(from *node, m quorum.Message) {
	to := s.nodeByID(m.To)
	if to == nil || s.blockedLinks[[2]int{from.index, to.index}] {
		return
	}
	delay := time.Duration(500+s.rng.IntN(2000)) * time.Microsecond
	if !s.recovering {
		switch s.rng.IntN(40) {
		case 0:
			return
		case 1:
			delay += time.Duration(s.rng.IntN(900)) * time.Millisecond
		}
	}
	// Encode the message, as for a real network, so that the nodes share no memory.
	encoded, err := wire.Encode(m)
	if err != nil {
		s.reportViolation("encoding a message failed: %v", err)
		return
	}
	s.scheduleAfter(delay, func() {
		var decoded quorum.Message
		if err := wire.Decode(encoded, &decoded); err != nil {
			s.reportViolation("decoding a message failed: %v", err)
			return
		}
		s.runOn(to, func() {
			to.core.Step(s.now, decoded)
			s.processReady(to)
		})
	})
}

func (s *simulation) nodeByID(id string) *node {
	for _, n := range s.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

func (s *simulation) crash(n *node) {
	n.up = false
	n.disk.Crash(s.rng)
	n.deferred = nil
}

func (s *simulation) reportViolation(format string, args ...any) {
	if s.violation == "" {
		s.violation = fmt.Sprintf("at %v: ", s.now.Sub(s.start)) + fmt.Sprintf(format, args...)
	}
}

// run runs the simulation and returns the first violation, or "" if there is none.
func (s *simulation) run() string {
	s.scheduleAfter(time.Second, s.issueOperations)
	s.scheduleAfter(2*time.Second, s.injectFailure)
	s.scheduleAfter(time.Second, s.manageMembers)
	s.scheduleAfter(time.Second, s.transferLeadership)
	end := s.start.Add(failurePhase + recoveryPhase)
	for len(s.events) > 0 && s.violation == "" {
		e := heap.Pop(&s.events).(event)
		if e.at.After(end) {
			break
		}
		s.now = e.at
		e.run()
		s.runDeferred()
	}
	if s.violation == "" {
		s.checkFinalState()
	}
	return s.violation
}

// runDeferred runs the deferred work of nodes whose pause has ended.
func (s *simulation) runDeferred() {
	for _, n := range s.nodes {
		if len(n.deferred) > 0 && !s.now.Before(n.pausedUntil) && n.up {
			deferred := n.deferred
			n.deferred = nil
			for _, run := range deferred {
				s.runOn(n, run)
			}
		}
	}
}

// manageMembers adds and promotes learners on every node that leads, as package
// control does.
func (s *simulation) manageMembers() {
	s.scheduleAfter(300*time.Millisecond, s.manageMembers)
	for _, n := range s.nodes {
		if !n.up || s.now.Before(n.pausedUntil) || !n.core.Leading() {
			continue
		}
		s.addLearners(n)
		next, ok := quorum.PromoteLearner(n.core.Status().Members, n.core.CaughtUp)
		if ok {
			_, _, _ = n.core.Reconfigure(next)
			s.processReady(n)
		}
	}
}

// addLearners adds nodes with a new ID to the members, as learners.
func (s *simulation) addLearners(leader *node) {
	for _, n := range s.nodes {
		if !n.up || s.blockedLinks[[2]int{n.index, leader.index}] || s.blockedLinks[[2]int{leader.index, n.index}] {
			continue
		}
		name := fmt.Sprintf("control-%d", n.index)
		member := quorum.Member{ID: n.id, Instance: name, Address: name}
		next, ok := quorum.AddLearner(leader.core.Status().Members, member)
		if ok {
			_, _, _ = leader.core.Reconfigure(next)
			s.processReady(leader)
		}
	}
}

// checkFinalState checks that after the recovery phase there is a leader, all
// replicas have almost caught up with it, and its state has every acknowledged
// change.
func (s *simulation) checkFinalState() {
	var leader *node
	for _, n := range s.nodes {
		if n.up && n.core.Leading() {
			leader = n
		}
	}
	if leader == nil {
		s.reportViolation("no leader after a recovery phase of %v", recoveryPhase)
		return
	}
	for _, n := range s.nodes {
		if n.up && n.core.Applied() < leader.core.Applied()-5 {
			s.reportViolation("%s has applied index %d, more than 5 behind the leader at %d; leader %s: %+v; %+v", n.id, n.core.Applied(), leader.core.Applied(), leader.id, leader.core.Status(), n.core.Status())
		}
	}
	accepted, _ := leader.state.Contract(customer)
	if accepted.Version < s.history.ackedVersion {
		s.reportViolation("version %d was acknowledged, but the leader has version %d", s.history.ackedVersion, accepted.Version)
	}
	if s.history.ackedVersion == 0 {
		s.reportViolation("no change was ever acknowledged")
	}
}

func isUnavailable(err error) bool { return fault.KindOf(err) == fault.Unavailable }
