package quorum

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"endivedeck.example/fault"
)

const (
	appendBytes  = 1 << 20 // data in one Append message
	inflightMost = 64      // Append messages on the way to one follower

	installElections = 20 // election times that a snapshot may take to arrive
)

const (
	follower role = iota
	preCandidate
	candidate
	leader
)

type (
	role uint8

	// Core decides for one replica. It isn't safe for concurrent use and
	// does no input or output: Step, Tick, Propose and Reconfigure change it,
	// and Ready says what has to be done. Create it with NewCore.
	Core struct {
		id     string
		timing Timing
		random *rand.Rand
		start  time.Time // the zero of Message.Sent

		ballot       HardState
		log          log
		snapshotData []byte // of log.snapshot, to be sent to followers far behind
		members      []Member
		configIndex  uint64
		commit       uint64
		applied      uint64

		role     role
		leader   string
		heard    time.Time // when the leader was last heard
		deadline time.Time // when votes are asked for
		votes    map[string]bool

		progress    map[string]*progress
		beat        time.Time // when the next heartbeat is due
		confirmed   time.Time // a majority heard this leader at this time or later
		ledSince    time.Time // when this replica last began to lead
		ownTermFrom uint64    // index of the Empty entry of this leader's term
		self        selfProgress

		unstable uint64    // index of the first entry that isn't in Ready yet; 0 for none
		saved    HardState // the ballot as last put in Ready
		install  *Snapshot
		messages []Message
	}

	// selfProgress is how far a leader's own log is durable, in one term.
	selfProgress struct {
		term uint64
		progress
	}

	// progress is what a leader knows of one other replica.
	progress struct {
		match      uint64
		next       uint64
		acked      time.Time // the newest time of asking that it has answered
		probing    bool      // one message at a time until the logs meet
		paused     bool      // a probe or a snapshot is on its way
		installing bool      // a snapshot is on its way
		inflight   int
		sent       time.Time
	}
)

// NewCore returns a follower with the state that its journal kept. The seed,
// together with the id, spreads election times; now is the time of the call.
func NewCore(id string, timing Timing, state PersistentState, seed uint64, now time.Time) *Core {
	c := &Core{
		id:           id,
		timing:       timing,
		start:        now,
		random:       rand.New(rand.NewPCG(seed, xxhash.Sum64String(id))),
		ballot:       state.HardState,
		saved:        state.HardState,
		commit:       state.Snapshot.Index,
		applied:      state.Snapshot.Index,
		snapshotData: state.Snapshot.Data,
	}
	c.log = log{snapshot: state.Snapshot, entries: state.Entries}
	c.log.snapshot.Data = nil
	c.follow(now, state.HardState.Term, "")
	c.reconfigured()
	return c
}

// Status describes the replica. Its members are replaced by a change and never
// written to, so they may be shared.
func (c *Core) Status() Status {
	return Status{
		ID:        c.id,
		Term:      c.ballot.Term,
		Leader:    c.leader,
		Commit:    c.commit,
		LastIndex: c.log.last(),
		Members:   c.members,
	}
}

// Leading reports whether this replica leads and has committed an entry of
// its own term, which is when it knows everything that was committed before.
func (c *Core) Leading() bool {
	return c.role == leader && c.commit >= c.ownTermFrom
}

// ConfirmedAt returns a time at or after which a majority had heard this leader;
// no other replica can have been elected before it. It is the zero time for a
// replica that doesn't lead.
func (c *Core) ConfirmedAt() time.Time {
	if c.role != leader {
		return time.Time{}
	}
	return c.confirmed
}

// NextTick returns the time at which Tick has something to do.
func (c *Core) NextTick() time.Time {
	if c.role == leader {
		return c.beat
	}
	return c.deadline
}

// Tick does what is due at now.
func (c *Core) Tick(now time.Time) {
	if c.role == leader {
		c.tickLeader(now)
		return
	}
	if now.Before(c.deadline) {
		return
	}
	c.resetDeadline(now)
	c.votes = nil
	c.leader = ""
	if c.voter(c.id) {
		c.campaign(now, preCandidate, false)
	}
}

func (c *Core) tickLeader(now time.Time) {
	if now.Sub(c.confirmed) > c.timing.ElectionTimeout {
		c.follow(now, c.ballot.Term, "")
		return
	}
	if now.Before(c.beat) {
		return
	}
	c.SendHeartbeats(now)
}

// SendHeartbeats has a leader ask every other replica now, which also confirms its
// leadership once a majority has answered.
func (c *Core) SendHeartbeats(now time.Time) {
	if c.role != leader {
		return
	}
	c.beat = now.Add(c.timing.HeartbeatInterval)
	for _, m := range c.members {
		p := c.progress[m.ID]
		if p == nil {
			continue
		}
		if now.Sub(p.sent) > c.patience(p) {
			p.paused = false // what was sent is taken for lost
			p.installing = false
			p.inflight = 0
			p.probing = true
		}
		c.sendAppend(now, m.ID, p, true)
	}
	c.confirm(now)
}

func (c *Core) patience(p *progress) time.Duration {
	if p.installing {
		return installElections * c.timing.ElectionTimeout
	}
	return c.timing.ElectionTimeout
}

// Propose appends a command and returns its index and term. It fails with
// fault.Unavailable on a replica that doesn't lead.
func (c *Core) Propose(data []byte) (index, term uint64, err error) {
	if c.role != leader {
		return 0, 0, c.notLeader()
	}
	index = c.append(Entry{Kind: Command, Data: data})
	return index, c.ballot.Term, nil
}

// Reconfigure appends a change of members. It fails with fault.Conflict when
// an earlier change isn't committed yet or when more than one voter would
// change at once.
func (c *Core) Reconfigure(members []Member) (index, term uint64, err error) {
	if !c.Leading() {
		return 0, 0, c.notLeader()
	}
	if c.configIndex > c.commit {
		return 0, 0, fault.New(fault.Conflict, fault.No, "an earlier change of members isn't committed yet")
	}
	if votersChanged(c.members, members) > 1 {
		return 0, 0, fault.New(fault.Conflict, fault.No, "a change may add or remove one voter")
	}
	index = c.append(Entry{Kind: MembershipChange, Members: slices.Clone(members)})
	c.reconfigured()
	return index, c.ballot.Term, nil
}

// TransferLeadership has a leader give its place to a voter that holds all of its log.
// It reports whether there is one, and all proposals are committed; this
// replica then follows. Nobody may rely on its authority any more when the
// messages of the next Ready are sent.
func (c *Core) TransferLeadership(now time.Time) bool {
	if !c.Leading() || c.commit != c.log.last() {
		return false
	}
	to := ""
	var acked time.Time
	for _, m := range c.members {
		p := c.progress[m.ID]
		if p == nil || !m.Voter || p.match != c.commit {
			continue
		}
		if to == "" || p.acked.After(acked) {
			to = m.ID
			acked = p.acked
		}
	}
	if to == "" {
		return false
	}
	c.follow(now, c.ballot.Term, "")
	c.send(Message{Kind: TimeoutNow, To: to})
	return true
}

// TimeSinceReply returns for how long a replica hasn't answered this leader.
func (c *Core) TimeSinceReply(now time.Time, id string) time.Duration {
	p := c.progress[id]
	if p == nil {
		return 0
	}
	since := c.ledSince
	if p.acked.After(since) {
		since = p.acked
	}
	return now.Sub(since)
}

// CaughtUp reports whether a replica holds all that is committed.
func (c *Core) CaughtUp(id string) bool {
	p := c.progress[id]
	return c.Leading() && p != nil && p.match >= c.commit
}

// Ready returns what has to be done since the last call. Append and Install
// messages of a Ready without a Ballot may leave before its Entries are durable.
func (c *Core) Ready(now time.Time) Ready {
	var r Ready
	if c.role == leader && c.unstable != 0 {
		c.replicate(now) // one message for all that was proposed since the last call
	}
	r.Snapshot = c.install
	c.install = nil
	if c.ballot != c.saved {
		ballot := c.ballot
		r.HardState = &ballot
		c.saved = c.ballot
	}
	if c.unstable != 0 && c.unstable <= c.log.last() {
		r.Entries = slices.Clone(c.log.slice(c.unstable, c.log.last()+1))
	}
	c.unstable = 0
	if c.commit > c.applied {
		r.Committed = slices.Clone(c.log.slice(c.applied+1, c.commit+1))
		c.applied = c.commit
	}
	r.Messages = c.messages
	c.messages = nil
	return r
}

// Persisted tells a leader that its own log is durable up to index, which
// then counts as one replica's.
func (c *Core) Persisted(now time.Time, index uint64) {
	if c.role != leader {
		return
	}
	if c.voter(c.id) && len(c.progress) == 0 {
		c.confirmed = now
	}
	c.advance(now, index)
}

// Applied returns the index up to which Ready has given committed entries.
func (c *Core) Applied() uint64 { return c.applied }

// HardState returns the replica's term and vote.
func (c *Core) HardState() HardState { return c.ballot }

// EntriesAfter returns the entries behind index, which the log must still hold.
func (c *Core) EntriesAfter(index uint64) []Entry {
	return slices.Clone(c.log.slice(index+1, c.log.last()+1))
}

// Compact tells that the machine's state at index is kept as a snapshot.
func (c *Core) Compact(index uint64, data []byte) Snapshot {
	term, _ := c.log.term(index)
	members, _ := c.log.members(index)
	s := Snapshot{Index: index, Term: term, Members: members, Data: data}
	c.log.compact(s)
	c.snapshotData = data
	return s
}

func (c *Core) notLeader() error {
	return fault.New(fault.Unavailable, fault.No, "this replica doesn't lead")
}

func (c *Core) append(e Entry) uint64 {
	e.Term = c.ballot.Term
	e.Index = c.log.last() + 1
	c.log.entries = append(c.log.entries, e)
	if c.unstable == 0 {
		c.unstable = e.Index
	}
	return e.Index
}

func (c *Core) replicate(now time.Time) {
	for _, m := range c.members {
		if p := c.progress[m.ID]; p != nil {
			c.sendAppend(now, m.ID, p, false)
		}
	}
}

// reconfigured takes the members from the newest Config entry, committed or
// not.
func (c *Core) reconfigured() {
	c.members, c.configIndex = c.log.members(c.log.last())
	if c.role != leader {
		return
	}
	known := c.progress
	c.progress = map[string]*progress{}
	for _, m := range c.members {
		if m.ID == c.id {
			continue
		}
		p := known[m.ID]
		if p == nil {
			p = &progress{next: c.log.last() + 1, probing: true}
		}
		c.progress[m.ID] = p
	}
}

func (c *Core) voter(id string) bool {
	return slices.ContainsFunc(c.members, func(m Member) bool {
		return m.ID == id && m.Voter
	})
}

func (c *Core) voters() int {
	count := 0
	for _, m := range c.members {
		if m.Voter {
			count++
		}
	}
	return count
}

func (c *Core) resetDeadline(now time.Time) {
	spread := time.Duration(c.random.Int64N(int64(c.timing.ElectionTimeout)))
	c.deadline = now.Add(c.timing.ElectionTimeout + spread)
}

func votersChanged(before, after []Member) int {
	changed := 0
	for _, m := range before {
		if m.Voter && !isVoter(after, m.ID) {
			changed++
		}
	}
	for _, m := range after {
		if m.Voter && !isVoter(before, m.ID) {
			changed++
		}
	}
	return changed
}

func isVoter(members []Member, id string) bool {
	return slices.ContainsFunc(members, func(m Member) bool {
		return m.ID == id && m.Voter
	})
}
