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
	scheduleTime = 20 * time.Second
	quietTime    = 15 * time.Second // without failures, at the end
	bootAgain    = 200 * time.Millisecond
	customer     = "crews"
)

type (
	// options switches mechanisms off, for the twins.
	options struct {
		lying       bool // the disk acknowledges before it has synced
		unconfirmed bool // a leader answers reads without asking a majority
		oldIdentity bool // a replica whose disk was lost comes back under its old name
	}

	// schedule is a group of replicas under a random schedule of failures. It
	// is a single-threaded machine over a queue of events: a seed gives the
	// same run every time.
	schedule struct {
		options options
		random  *rand.Rand
		now     time.Time
		start   time.Time
		queue   events
		count   int
		nodes   []*node
		cuts    map[[2]int]bool
		applied map[uint64]string // index -> what was applied there, by any replica
		history history
		fault   string // the first violation
		calm    bool   // no more failures
		joins   int

		handovers int // places given up
	}

	// node is one instance: a replica's core, its disk and its state.
	node struct {
		place    int
		id       string
		disk     *wal.Memory
		journal  *wal.Journal
		core     *quorum.Core
		state    *control.State
		up       bool
		paused   time.Time // until when it does nothing
		held     []func()  // what comes in meanwhile
		waiting  map[uint64]*operation
		reads    []*operation
		readFrom uint64
		boot     int // counts its starts, so that old timers are ignored
	}

	event struct {
		at  time.Time
		seq int
		do  func()
	}

	events []event
)

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].before(e[j]) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
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

func newSchedule(seed uint64, replicas int, o options) *schedule {
	start := time.Unix(1_800_000_000, 0)
	s := &schedule{
		options: o,
		random:  rand.New(rand.NewPCG(seed, seed)),
		now:     start,
		start:   start,
		cuts:    map[[2]int]bool{},
		applied: map[uint64]string{},
	}
	var members []quorum.Member
	for i := range replicas {
		name := fmt.Sprintf("control-%d", i)
		members = append(members, quorum.Member{ID: name + "#1", Instance: name, Address: name, Voter: true})
	}
	for i := range replicas {
		n := &node{place: i, id: members[i].ID, disk: wal.NewMemory()}
		n.disk.Lying = o.lying
		s.nodes = append(s.nodes, n)
		s.found(n, members)
	}
	return s
}

// found gives a new disk the group's founders and starts the node.
func (s *schedule) found(n *node, members []quorum.Member) {
	j, state, err := wal.New(n.disk)
	if err == nil {
		state.Snapshot.Members = members
		lying := n.disk.Lying
		n.disk.Lying = false
		err = j.Install(state.Snapshot, state.HardState, nil)
		n.disk.Lying = lying
	}
	if err != nil {
		s.violate("founding failed: %v", err)
		return
	}
	s.boot(n)
}

// boot starts a node from its disk.
func (s *schedule) boot(n *node) {
	j, state, err := wal.New(n.disk)
	if n.disk.Crashed() {
		s.crash(n) // while it started; it is started again
		s.kill(n, bootAgain)
		return
	}
	if err != nil {
		s.violate("%s doesn't start: %v", n.id, err)
		return
	}
	n.boot++
	n.journal = j
	n.state = control.NewState()
	if state.Snapshot.Index > 0 {
		if err := n.state.Restore(state.Snapshot.Data); err != nil {
			s.violate("%s doesn't restore: %v", n.id, err)
			return
		}
	}
	n.core = quorum.NewCore(n.id, quorum.DefaultTiming(), state, s.random.Uint64(), s.now)
	n.waiting = map[uint64]*operation{}
	n.reads = nil
	n.held = nil
	n.paused = time.Time{}
	n.up = true
	s.tick(n, n.boot)
}

func (s *schedule) after(d time.Duration, do func()) {
	s.count++
	heap.Push(&s.queue, event{at: s.now.Add(d), seq: s.count, do: do})
}

func (s *schedule) tick(n *node, boot int) {
	wait := max(n.core.NextTick().Sub(s.now), time.Millisecond)
	s.after(wait, func() {
		if n.up && n.boot == boot {
			s.on(n, func() {
				n.core.Tick(s.now)
				s.carryOut(n)
			})
			s.tick(n, boot)
		}
	})
}

// on runs something at a node, or holds it back while the node is paused.
func (s *schedule) on(n *node, do func()) {
	if !n.up {
		return
	}
	if s.now.Before(n.paused) {
		n.held = append(n.held, do)
		return
	}
	do()
}

// carryOut does what the core decided, as quorum.Replica does.
func (s *schedule) carryOut(n *node) {
	for n.up {
		ready := n.core.Ready(s.now)
		if ready.HardState == nil {
			s.send(n, ready.Messages, true)
		}
		if err := s.keep(n, ready); err != nil {
			s.crash(n)
			return
		}
		if ready.HardState != nil {
			s.send(n, ready.Messages, true)
		}
		s.send(n, ready.Messages, false)
		s.apply(n, ready.Committed)
		s.answerReads(n)
		if len(ready.Entries) == 0 && len(ready.Committed) == 0 {
			return
		}
	}
}

func (s *schedule) keep(n *node, ready quorum.Ready) error {
	if snap := ready.Snapshot; snap != nil {
		if err := n.state.Restore(snap.Data); err != nil {
			s.violate("%s: a snapshot can't be restored: %v", n.id, err)
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

// apply applies entries and checks that no replica ever applied another one
// at the same place.
func (s *schedule) apply(n *node, entries []quorum.Entry) {
	for _, e := range entries {
		text := fmt.Sprintf("%d/%d/%x", e.Term, e.Kind, e.Data)
		if earlier, ok := s.applied[e.Index]; ok && earlier != text {
			s.violate("%s applied another entry at %d", n.id, e.Index)
		}
		s.applied[e.Index] = text
		var value any
		if e.Kind == quorum.Command {
			value = n.state.Apply(e.Index, e.Term, e.Data)
		}
		op := n.waiting[e.Index]
		delete(n.waiting, e.Index)
		if op == nil || op.term != e.Term {
			continue
		}
		outcome := value.(contract.Outcome)
		s.history.end(s, op, outcome.Current.Version, outcome.Error == nil)
	}
	if n.core.Applied()-n.readFrom > 40 {
		s.snapshot(n)
	}
}

func (s *schedule) snapshot(n *node) {
	data, err := n.state.Save()
	if err != nil {
		s.violate("%s can't save: %v", n.id, err)
		return
	}
	snap := n.core.Compact(n.core.Applied(), data)
	n.readFrom = snap.Index
	if err := n.journal.Install(snap, n.core.HardState(), n.core.EntriesAfter(snap.Index)); err != nil {
		s.crash(n)
	}
}

func (s *schedule) send(n *node, messages []quorum.Message, asking bool) {
	for _, m := range messages {
		if (m.Kind == quorum.Append || m.Kind == quorum.InstallSnapshot) != asking {
			continue
		}
		s.deliver(n, m)
		if !s.calm && s.random.IntN(50) == 0 {
			s.deliver(n, m) // doubled
		}
	}
}

// deliver sends one message, which may be lost, delayed and overtaken.
func (s *schedule) deliver(from *node, m quorum.Message) {
	to := s.byID(m.To)
	if to == nil || s.cuts[[2]int{from.place, to.place}] {
		return
	}
	delay := time.Duration(500+s.random.IntN(2000)) * time.Microsecond
	if !s.calm {
		switch s.random.IntN(40) {
		case 0:
			return
		case 1:
			delay += time.Duration(s.random.IntN(900)) * time.Millisecond
		}
	}
	// The message is encoded, as on a real wire, so that nothing is shared.
	text, err := wire.Encode(m)
	if err != nil {
		s.violate("%v", err)
		return
	}
	s.after(delay, func() {
		var copied quorum.Message
		if err := wire.Decode(text, &copied); err != nil {
			s.violate("%v", err)
			return
		}
		s.on(to, func() {
			to.core.Step(s.now, copied)
			s.carryOut(to)
		})
	})
}

func (s *schedule) byID(id string) *node {
	for _, n := range s.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

func (s *schedule) crash(n *node) {
	n.up = false
	n.disk.Crash(s.random)
	n.held = nil
}

func (s *schedule) violate(format string, args ...any) {
	if s.fault == "" {
		s.fault = fmt.Sprintf("at %v: ", s.now.Sub(s.start)) + fmt.Sprintf(format, args...)
	}
}

// run plays the schedule and returns the first violation, or "".
func (s *schedule) run() string {
	s.after(time.Second, s.work)
	s.after(2*time.Second, s.fail)
	s.after(time.Second, s.warden)
	s.after(time.Second, s.handover)
	end := s.start.Add(scheduleTime + quietTime)
	for len(s.queue) > 0 && s.fault == "" {
		e := heap.Pop(&s.queue).(event)
		if e.at.After(end) {
			break
		}
		s.now = e.at
		e.do()
		s.wake()
	}
	if s.fault == "" {
		s.checkEnd()
	}
	return s.fault
}

// wake lets the nodes whose pause is over do what was held back.
func (s *schedule) wake() {
	for _, n := range s.nodes {
		if len(n.held) > 0 && !s.now.Before(n.paused) && n.up {
			held := n.held
			n.held = nil
			for _, do := range held {
				s.on(n, do)
			}
		}
	}
}

// warden does what control's warden does at whichever node leads.
func (s *schedule) warden() {
	s.after(300*time.Millisecond, s.warden)
	for _, n := range s.nodes {
		if !n.up || s.now.Before(n.paused) || !n.core.Leading() {
			continue
		}
		s.join(n)
		next, ok := quorum.PromoteLearner(n.core.Status().Members, n.core.CaughtUp)
		if ok {
			_, _, _ = n.core.Reconfigure(next)
			s.carryOut(n)
		}
	}
}

// join takes in the nodes that have a new identity.
func (s *schedule) join(leader *node) {
	for _, n := range s.nodes {
		if !n.up || s.cuts[[2]int{n.place, leader.place}] || s.cuts[[2]int{leader.place, n.place}] {
			continue
		}
		name := fmt.Sprintf("control-%d", n.place)
		member := quorum.Member{ID: n.id, Instance: name, Address: name}
		next, ok := quorum.AddLearner(leader.core.Status().Members, member)
		if ok {
			_, _, _ = leader.core.Reconfigure(next)
			s.carryOut(leader)
		}
	}
}

// checkEnd checks that after the quiet time one leader has brought all
// replicas to the same state, with every acknowledged change in it.
func (s *schedule) checkEnd() {
	var leader *node
	for _, n := range s.nodes {
		if n.up && n.core.Leading() {
			leader = n
		}
	}
	if leader == nil {
		s.violate("no leader after the quiet time")
		return
	}
	for _, n := range s.nodes {
		if n.up && n.core.Applied() < leader.core.Applied()-5 {
			s.violate("%s is behind: %d of %d; leader %s: %+v; %+v", n.id, n.core.Applied(), leader.core.Applied(), leader.id, leader.core.Status(), n.core.Status())
		}
	}
	accepted, _ := leader.state.Contract(customer)
	if accepted.Version < s.history.acked {
		s.violate("version %d was acknowledged, version %d stands", s.history.acked, accepted.Version)
	}
	if s.history.acked == 0 {
		s.violate("no change was ever acknowledged")
	}
}

func isUnavailable(err error) bool { return fault.Of(err) == fault.Unavailable }
