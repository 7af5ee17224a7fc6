package quorum

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"endivedeck.example/fault"
)

const (
	maxAppendBytes     = 1 << 20 // entry data in one Append message
	maxInflightAppends = 64      // unacknowledged Append messages with entries to one follower

	startupElectionParts     = 4  // startup timeouts in an election timeout, both at their minimum
	snapshotElectionTimeouts = 20 // timeout for a snapshot transfer, in election timeouts
)

const (
	follower role = iota
	preCandidate
	candidate
	leader
)

type (
	role uint8

	// Core is the consensus state machine of one replica. It does no I/O and
	// isn't safe for concurrent use: Step, Tick, Propose and Reconfigure
	// change its state, and Ready returns the output that the driver has to
	// process. Create it with NewCore.
	Core struct {
		id     string
		timing Timing
		rng    *rand.Rand
		start  time.Time // origin of Message.Sent

		hardState    HardState
		log          log
		snapshotData []byte // data of log.snapshot, for followers that need compacted entries
		members      []Member
		membersIndex uint64 // index of the entry or snapshot that defines members
		commit       uint64
		applied      uint64

		role              role
		leader            string
		lastLeaderContact time.Time // arrival of the last message of the leader
		electionDeadline  time.Time // when to start an election
		electionSeen      bool      // this replica has followed a leader, led or voted since it started
		votes             map[string]bool

		progress       map[string]*progress
		nextHeartbeat  time.Time
		confirmedAt    time.Time // a majority has acknowledged leadership at or after this time
		leaderSince    time.Time // when this replica last became leader
		termStartIndex uint64    // index of the no-op entry of this leader's term
		ownProgress    termProgress

		firstUnstable    uint64    // index of the first entry not yet returned by Ready; 0 for none
		currentAt        time.Time // when this follower last had all that its leader had committed
		savedHardState   HardState // as last returned by Ready
		receivedSnapshot *Snapshot // for the next Ready
		messages         []Message
	}

	// termProgress tracks how far a leader's own log is durable in one term.
	termProgress struct {
		term uint64
		progress
	}

	// progress tracks replication to one follower, as known to the leader.
	progress struct {
		match      uint64    // highest index known to be stored by the follower
		next       uint64    // index of the next entry to send
		ackedAt    time.Time // send time of the newest request that was answered
		probing    bool      // next is a guess; send entries in one message at a time until one matches
		paused     bool      // waits for the reply to a probe or a snapshot
		installing bool      // waits for the reply to a snapshot
		inflight   int       // unanswered Append messages with entries
		dataSentAt time.Time // when entries or a snapshot were last sent
	}
)

// NewCore returns a follower with the given persistent state. The seed and the id
// together seed the randomized election timeouts.
func NewCore(id string, timing Timing, state PersistentState, seed uint64, now time.Time) *Core {
	c := &Core{
		id:             id,
		timing:         timing,
		start:          now,
		rng:            rand.New(rand.NewPCG(seed, xxhash.Sum64String(id))),
		hardState:      state.HardState,
		savedHardState: state.HardState,
		commit:         state.Snapshot.Index,
		applied:        state.Snapshot.Index,
		snapshotData:   state.Snapshot.Data,
	}
	c.log = log{snapshot: state.Snapshot, entries: state.Entries}
	c.log.snapshot.Data = nil
	c.becomeFollower(now, state.HardState.Term, "")
	c.electionDeadline = now.Add(c.startupTimeout())
	c.updateMembers()
	return c
}

// startupTimeout returns the time until the next pre-vote of a replica that knows of
// no election since it started. It is shorter than an election timeout, so that a
// group whose replicas all restart has a leader soon. A pre-vote doesn't disturb a
// leader.
func (c *Core) startupTimeout() time.Duration {
	part := c.timing.ElectionTimeout / startupElectionParts
	return part + time.Duration(c.rng.Int64N(int64(part)))
}

// Status returns the replica's status. The member slice may be shared: a
// membership change replaces it and never writes to it.
func (c *Core) Status() Status {
	return Status{
		ID:        c.id,
		Term:      c.hardState.Term,
		Leader:    c.leader,
		Commit:    c.commit,
		LastIndex: c.log.lastIndex(),
		Members:   c.members,
	}
}

// Leading reports whether this replica leads and has committed an entry of its
// own term. Only then does it know all entries that earlier leaders committed.
func (c *Core) Leading() bool {
	return c.role == leader && c.commit >= c.termStartIndex
}

// ConfirmedAt returns the newest time for which a majority is known to have
// acknowledged this leader at that time or later. No other replica can have been
// elected before that time. It returns the zero time if this replica doesn't lead.
func (c *Core) ConfirmedAt() time.Time {
	if c.role != leader {
		return time.Time{}
	}
	return c.confirmedAt
}

// CurrentAt returns the newest time at which this replica is known to have had all
// entries that its leader had committed. The leader may have been deposed up to an
// election timeout before without knowing it yet.
func (c *Core) CurrentAt() time.Time {
	if c.role == leader {
		return c.confirmedAt
	}
	return c.currentAt
}

// NextTick returns the time at which Tick must next be called.
func (c *Core) NextTick() time.Time {
	if c.role == leader {
		return c.nextHeartbeat
	}
	return c.electionDeadline
}

// Tick sends heartbeats, starts an election or steps down if the time for it has
// come.
func (c *Core) Tick(now time.Time) {
	if c.role == leader {
		c.tickLeader(now)
		return
	}
	if now.Before(c.electionDeadline) {
		return
	}
	c.resetElectionDeadline(now)
	if !c.electionSeen {
		c.electionDeadline = now.Add(c.startupTimeout())
	}
	c.votes = nil
	c.leader = ""
	if c.hasVoter(c.id) {
		c.campaign(now, preCandidate, false)
	}
}

func (c *Core) tickLeader(now time.Time) {
	if now.Sub(c.confirmedAt) > c.timing.ElectionTimeout {
		c.becomeFollower(now, c.hardState.Term, "")
		return
	}
	if now.Before(c.nextHeartbeat) {
		return
	}
	c.SendHeartbeats(now)
}

// SendHeartbeats sends a heartbeat to every other replica if this replica leads.
// The replies of a majority confirm its leadership as of now.
func (c *Core) SendHeartbeats(now time.Time) {
	if c.role != leader {
		return
	}
	c.nextHeartbeat = now.Add(c.timing.HeartbeatInterval)
	for _, m := range c.members {
		p := c.progress[m.ID]
		if p == nil {
			continue
		}
		if now.Sub(p.dataSentAt) > c.resendTimeout(p) {
			p.paused = false // assume that the last message was lost
			p.installing = false
			p.inflight = 0
			p.probing = true
		}
		c.sendAppend(now, m.ID, p, true)
	}
	c.updateConfirmedAt(now)
}

func (c *Core) resendTimeout(p *progress) time.Duration {
	if p.installing {
		return snapshotElectionTimeouts * c.timing.ElectionTimeout
	}
	return c.timing.ElectionTimeout
}

// Propose appends a command to the log and returns its index and term. It fails
// with fault.Unavailable if this replica doesn't lead.
func (c *Core) Propose(data []byte) (index, term uint64, err error) {
	if c.role != leader {
		return 0, 0, c.notLeaderError()
	}
	index = c.append(Entry{Kind: Command, Data: data})
	return index, c.hardState.Term, nil
}

// Reconfigure appends a membership change to the log. It fails with
// fault.Unavailable if this replica doesn't lead, and with fault.Conflict if an
// earlier change isn't committed yet or more than one voter would change.
func (c *Core) Reconfigure(members []Member) (index, term uint64, err error) {
	if !c.Leading() {
		return 0, 0, c.notLeaderError()
	}
	if c.membersIndex > c.commit {
		return 0, 0, fault.New(fault.Conflict, fault.NotRun, "membership change at index %d is not committed yet (commit index %d)", c.membersIndex, c.commit)
	}
	if changedVoters(c.members, members) > 1 {
		return 0, 0, fault.New(fault.Conflict, fault.NotRun, "membership change adds or removes more than one voter")
	}
	index = c.append(Entry{Kind: MembershipChange, Members: slices.Clone(members)})
	c.updateMembers()
	return index, c.hardState.Term, nil
}

// TransferLeadership starts a leadership transfer: this replica becomes a follower
// and asks a voter to start an election. Of the voters with a complete log it
// selects the one that answered the newest request. It returns false and does
// nothing if this replica doesn't lead, has uncommitted entries or has no such
// voter. Nothing may rely on this replica's leadership any more when the messages
// of the next Ready are sent.
func (c *Core) TransferLeadership(now time.Time) bool {
	if !c.Leading() || c.commit != c.log.lastIndex() {
		return false
	}
	target := ""
	var targetAckedAt time.Time
	for _, m := range c.members {
		p := c.progress[m.ID]
		if p == nil || !m.Voter || p.match != c.commit {
			continue
		}
		if target == "" || p.ackedAt.After(targetAckedAt) {
			target = m.ID
			targetAckedAt = p.ackedAt
		}
	}
	if target == "" {
		return false
	}
	c.becomeFollower(now, c.hardState.Term, "")
	c.send(Message{Kind: TimeoutNow, To: target})
	return true
}

// TimeSinceReply returns how long ago another replica last replied to this leader:
// the time since the newest answered request was sent, or since this replica
// became leader if that is later. It returns 0 for an unknown replica.
func (c *Core) TimeSinceReply(now time.Time, id string) time.Duration {
	p := c.progress[id]
	if p == nil {
		return 0
	}
	since := c.leaderSince
	if p.ackedAt.After(since) {
		since = p.ackedAt
	}
	return now.Sub(since)
}

// CaughtUp reports whether this replica leads and the given one is known to have
// all committed entries.
func (c *Core) CaughtUp(id string) bool {
	p := c.progress[id]
	return c.Leading() && p != nil && p.match >= c.commit
}

// Ready returns the output since the last call. If the term and the vote haven't
// changed, messages that replicate entries or a snapshot may be sent before
// Entries are durable.
func (c *Core) Ready(now time.Time) Ready {
	var r Ready
	if c.role == leader && c.firstUnstable != 0 {
		c.broadcastAppend(now) // batches all proposals since the last call
	}
	r.Snapshot = c.receivedSnapshot
	c.receivedSnapshot = nil
	if c.hardState != c.savedHardState {
		hardState := c.hardState
		r.HardState = &hardState
		c.savedHardState = c.hardState
	}
	if c.firstUnstable != 0 && c.firstUnstable <= c.log.lastIndex() {
		r.Entries = slices.Clone(c.log.slice(c.firstUnstable, c.log.lastIndex()+1))
	}
	c.firstUnstable = 0
	if c.commit > c.applied {
		r.Committed = slices.Clone(c.log.slice(c.applied+1, c.commit+1))
		c.applied = c.commit
	}
	r.Messages = c.messages
	c.messages = nil
	return r
}

// Persisted records that this replica's log is durable up to index. A leader then
// counts itself towards the majority for these entries.
func (c *Core) Persisted(now time.Time, index uint64) {
	if c.role != leader {
		return
	}
	if c.hasVoter(c.id) && len(c.progress) == 0 {
		c.confirmedAt = now
	}
	c.advanceCommit(now, index)
}

// Applied returns the index of the last committed entry that Ready has returned.
func (c *Core) Applied() uint64 { return c.applied }

// HardState returns the replica's term and vote.
func (c *Core) HardState() HardState { return c.hardState }

// EntriesAfter returns the entries after index. They must not have been compacted.
func (c *Core) EntriesAfter(index uint64) []Entry {
	return slices.Clone(c.log.slice(index+1, c.log.lastIndex()+1))
}

// Compact returns a snapshot as of index that holds the given encoded state, and
// removes the entries that it covers from the log.
func (c *Core) Compact(index uint64, data []byte) Snapshot {
	term, _ := c.log.term(index)
	members, _ := c.log.membersAt(index)
	s := Snapshot{Index: index, Term: term, Members: members, Data: data}
	c.log.compact(s)
	c.snapshotData = data
	return s
}

func (c *Core) notLeaderError() error {
	return fault.New(fault.Unavailable, fault.NotRun, "replica %s is not the leader", c.id)
}

func (c *Core) append(e Entry) uint64 {
	e.Term = c.hardState.Term
	e.Index = c.log.lastIndex() + 1
	c.log.entries = append(c.log.entries, e)
	if c.firstUnstable == 0 {
		c.firstUnstable = e.Index
	}
	return e.Index
}

func (c *Core) broadcastAppend(now time.Time) {
	for _, m := range c.members {
		if p := c.progress[m.ID]; p != nil {
			c.sendAppend(now, m.ID, p, false)
		}
	}
}

// updateMembers sets the members from the newest membership change in the log,
// committed or not, and adjusts the replication progress to them.
func (c *Core) updateMembers() {
	c.members, c.membersIndex = c.log.membersAt(c.log.lastIndex())
	if c.role != leader {
		return
	}
	previous := c.progress
	c.progress = map[string]*progress{}
	for _, m := range c.members {
		if m.ID == c.id {
			continue
		}
		p := previous[m.ID]
		if p == nil {
			p = &progress{next: c.log.lastIndex() + 1, probing: true}
		}
		c.progress[m.ID] = p
	}
}

func (c *Core) hasVoter(id string) bool {
	return slices.ContainsFunc(c.members, func(m Member) bool {
		return m.ID == id && m.Voter
	})
}

func (c *Core) voterCount() int {
	count := 0
	for _, m := range c.members {
		if m.Voter {
			count++
		}
	}
	return count
}

func (c *Core) resetElectionDeadline(now time.Time) {
	jitter := time.Duration(c.rng.Int64N(int64(c.timing.ElectionTimeout)))
	c.electionDeadline = now.Add(c.timing.ElectionTimeout + jitter)
}

func changedVoters(before, after []Member) int {
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
