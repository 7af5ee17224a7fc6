package quorum

import (
	"slices"
	"time"
)

// Step processes a message from another replica.
func (c *Core) Step(now time.Time, m Message) {
	if m.To != c.id {
		return // addressed to a replica that had this address before
	}
	switch m.Kind {
	case PreVote:
		c.handlePreVote(now, m)
		return
	case PreVoteReply:
		c.handlePreVoteReply(now, m)
		return
	case Vote:
		if c.hasLiveLeader(now) && m.Term > c.hardState.Term && !m.LeadershipTransfer {
			return // don't depose a working leader
		}
	}
	if m.Term > c.hardState.Term {
		c.becomeFollower(now, m.Term, "")
	}
	if m.Term < c.hardState.Term {
		c.rejectStaleLeader(m)
		return
	}
	switch m.Kind {
	case Vote:
		c.handleVote(now, m)
	case VoteReply:
		c.handleVoteReply(now, m)
	case Append:
		c.handleAppend(now, m)
	case AppendReply:
		c.handleAppendReply(now, m)
	case InstallSnapshot:
		c.handleInstallSnapshot(now, m)
	case InstallSnapshotReply:
		c.handleAppendReply(now, m)
	case TimeoutNow:
		c.handleTimeoutNow(now)
	}
}

// rejectStaleLeader replies to a leader of an earlier term so that it learns of
// the newer one.
func (c *Core) rejectStaleLeader(m Message) {
	if m.Kind == Append || m.Kind == InstallSnapshot {
		c.send(Message{Kind: AppendReply, To: m.From, Reject: true, Index: c.log.lastIndex()})
	}
}

// handlePreVote replies with the term of the proposed election if it grants the
// pre-vote, and otherwise with its own term.
func (c *Core) handlePreVote(now time.Time, m Message) {
	if m.Term > c.hardState.Term && !c.hasLiveLeader(now) && c.upToDate(m) {
		c.sendWithTerm(Message{Kind: PreVoteReply, To: m.From}, m.Term)
		return
	}
	c.send(Message{Kind: PreVoteReply, To: m.From, Reject: true})
}

func (c *Core) handlePreVoteReply(now time.Time, m Message) {
	if m.Reject {
		// A replica that has missed elections adopts their term. Otherwise its
		// pre-votes are rejected for ever, and if it alone has all committed
		// entries, no replica can be elected.
		if m.Term > c.hardState.Term {
			c.becomeFollower(now, m.Term, "")
		}
		return
	}
	if c.role != preCandidate || m.Term != c.hardState.Term+1 {
		return
	}
	c.votes[m.From] = true
	if c.isMajority(c.votes) {
		c.campaign(now, candidate, false)
	}
}

func (c *Core) handleVote(now time.Time, m Message) {
	canVote := c.hardState.Vote == "" || c.hardState.Vote == m.From
	granted := canVote && c.role == follower && c.upToDate(m)
	if granted {
		c.electionSeen = true
		c.hardState.Vote = m.From
		c.resetElectionDeadline(now)
	}
	c.send(Message{Kind: VoteReply, To: m.From, Reject: !granted})
}

// handleTimeoutNow starts an election on behalf of a leader that has stepped down.
// A delayed message is harmless: Step only passes it on in the term of the old
// leader, and no other replica can become leader in that term.
func (c *Core) handleTimeoutNow(now time.Time) {
	if c.role == follower && c.hasVoter(c.id) {
		c.campaign(now, candidate, true)
	}
}

func (c *Core) handleVoteReply(now time.Time, m Message) {
	if c.role != candidate {
		return
	}
	c.votes[m.From] = !m.Reject
	if c.isMajority(c.votes) {
		c.becomeLeader(now)
	}
}

func (c *Core) handleAppend(now time.Time, m Message) {
	c.followLeader(now, m.From)
	if m.Index < c.commit {
		// All entries committed here are also in the leader's log, so they match.
		c.send(Message{Kind: AppendReply, To: m.From, Index: c.commit, Sent: m.Sent})
		return
	}
	term, ok := c.log.term(m.Index)
	if !ok || term != m.LogTerm {
		hint := min(c.log.lastIndex(), m.Index-1)
		c.send(Message{Kind: AppendReply, To: m.From, Reject: true, Index: hint, Sent: m.Sent})
		return
	}
	c.mergeEntries(m.Entries)
	match := m.Index + uint64(len(m.Entries))
	c.commitTo(min(m.Commit, match))
	if c.commit >= m.Commit {
		c.currentAt = now
	}
	c.send(Message{Kind: AppendReply, To: m.From, Index: match, Sent: m.Sent})
}

// mergeEntries appends the entries that the log lacks, and first removes existing
// entries that conflict with them.
func (c *Core) mergeEntries(entries []Entry) {
	for i, e := range entries {
		term, ok := c.log.term(e.Index)
		if ok && term == e.Term {
			continue
		}
		c.log.truncateAndAppend(entries[i:])
		if c.firstUnstable == 0 || e.Index < c.firstUnstable {
			c.firstUnstable = e.Index
		}
		c.updateMembers()
		return
	}
}

func (c *Core) handleInstallSnapshot(now time.Time, m Message) {
	c.followLeader(now, m.From)
	s := m.Snapshot
	if s == nil || s.Index <= c.commit {
		c.send(Message{Kind: InstallSnapshotReply, To: m.From, Index: c.commit, Sent: m.Sent})
		return
	}
	if term, ok := c.log.term(s.Index); !ok || term != s.Term {
		c.log.entries = nil
		c.log.snapshot = Snapshot{Index: s.Index, Term: s.Term, Members: s.Members}
	} else {
		c.log.compact(*s)
	}
	if c.firstUnstable != 0 {
		c.firstUnstable = max(c.firstUnstable, s.Index+1)
	}
	c.snapshotData = s.Data
	c.commit = s.Index
	c.applied = s.Index
	c.receivedSnapshot = s
	c.updateMembers()
	c.send(Message{Kind: InstallSnapshotReply, To: m.From, Index: s.Index, Sent: m.Sent})
}

func (c *Core) handleAppendReply(now time.Time, m Message) {
	p := c.progress[m.From]
	if c.role != leader || p == nil {
		return
	}
	requestSentAt := c.start.Add(time.Duration(m.Sent))
	if m.Sent != 0 {
		c.recordReply(now, p, requestSentAt)
	}
	// A reply to a much later request without a reply to the snapshot means that the snapshot was lost.
	snapshotLost := requestSentAt.Sub(p.dataSentAt) > c.timing.ElectionTimeout
	if p.installing && m.Kind != InstallSnapshotReply && !snapshotLost {
		return // reply to a heartbeat while the snapshot is in transit
	}
	p.installing = false
	if p.inflight > 0 {
		p.inflight--
	}
	p.paused = false
	if m.Reject {
		p.probing = true
		p.next = max(min(m.Index+1, p.next-1), p.match+1, 1)
		c.sendAppend(now, m.From, p, false)
		return
	}
	if m.Index > p.match {
		p.match = m.Index
	}
	if p.probing || p.next <= p.match {
		p.next = p.match + 1
		p.probing = false
	}
	c.advanceCommit(now, 0)
	c.sendAppend(now, m.From, p, false)
}

func (c *Core) recordReply(now time.Time, p *progress, requestSentAt time.Time) {
	if requestSentAt.After(p.ackedAt) {
		p.ackedAt = requestSentAt
		c.updateConfirmedAt(now)
	}
}

// updateConfirmedAt advances confirmedAt to the newest time for which a majority
// of the voters has answered a request sent at that time or later.
func (c *Core) updateConfirmedAt(now time.Time) {
	times := make([]time.Time, 0, len(c.members))
	for _, m := range c.members {
		switch {
		case !m.Voter:
		case m.ID == c.id:
			times = append(times, now)
		default:
			times = append(times, c.progress[m.ID].ackedAt)
		}
	}
	if len(times) == 0 {
		return
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	if at := times[len(times)/2]; at.After(c.confirmedAt) {
		c.confirmedAt = at
	}
}

// advanceCommit commits the entries that a majority has stored. ownMatch is the
// index up to which this replica's own log is durable, or 0 if that is unchanged.
func (c *Core) advanceCommit(now time.Time, ownMatch uint64) {
	self := c.currentOwnProgress()
	if ownMatch > self.match {
		self.match = ownMatch
	}
	matches := make([]uint64, 0, len(c.members))
	for _, m := range c.members {
		switch {
		case !m.Voter:
		case m.ID == c.id:
			matches = append(matches, self.match)
		default:
			matches = append(matches, c.progress[m.ID].match)
		}
	}
	if len(matches) == 0 {
		return
	}
	slices.SortFunc(matches, func(a, b uint64) int { return int(int64(b) - int64(a)) })
	index := matches[len(matches)/2]
	// A leader may count replicas only for entries of its own term; earlier ones are committed with them.
	if term, ok := c.log.term(index); index <= c.commit || !ok || term != c.hardState.Term {
		return
	}
	c.commitTo(index)
	c.broadcastAppend(now)
	if !c.hasVoter(c.id) && c.membersIndex <= c.commit {
		c.becomeFollower(now, c.hardState.Term, "")
	}
}

func (c *Core) commitTo(index uint64) {
	if index > c.commit {
		c.commit = index
	}
}

// hasLiveLeader reports whether a message of a leader arrived within the minimum
// election timeout, or this replica is a leader with confirmed leadership.
func (c *Core) hasLiveLeader(now time.Time) bool {
	if c.role == leader {
		return now.Sub(c.confirmedAt) <= c.timing.ElectionTimeout
	}
	return c.leader != "" && now.Sub(c.lastLeaderContact) < c.timing.ElectionTimeout
}

func (c *Core) followLeader(now time.Time, leaderID string) {
	if c.role != follower {
		c.becomeFollower(now, c.hardState.Term, leaderID)
	}
	c.leader = leaderID
	c.electionSeen = true
	c.lastLeaderContact = now
	c.resetElectionDeadline(now)
}

// upToDate reports whether the log of the candidate that sent m is at least as
// up to date as this replica's.
func (c *Core) upToDate(m Message) bool {
	if m.LogTerm != c.log.lastTerm() {
		return m.LogTerm > c.log.lastTerm()
	}
	return m.Index >= c.log.lastIndex()
}

func (c *Core) isMajority(votes map[string]bool) bool {
	count := 0
	for id, granted := range votes {
		if granted && c.hasVoter(id) {
			count++
		}
	}
	return count > c.voterCount()/2
}

func (c *Core) becomeFollower(now time.Time, term uint64, leaderID string) {
	if term > c.hardState.Term {
		c.hardState = HardState{Term: term}
	}
	c.role = follower
	c.leader = leaderID
	c.votes = nil
	c.progress = nil
	c.confirmedAt = time.Time{}
	c.resetElectionDeadline(now)
}

// campaign starts a pre-vote or, as a candidate, an election. With transfer set, it
// requests votes for a leadership transfer.
func (c *Core) campaign(now time.Time, as role, transfer bool) {
	c.role = as
	c.leader = ""
	c.votes = map[string]bool{c.id: true}
	kind := PreVote
	term := c.hardState.Term + 1
	if as == candidate {
		kind = Vote
		c.electionSeen = true
		c.hardState = HardState{Term: term, Vote: c.id}
		c.resetElectionDeadline(now)
	}
	if c.isMajority(c.votes) {
		c.electionWon(now, as)
		return
	}
	for _, m := range c.members {
		if m.Voter && m.ID != c.id {
			request := Message{Kind: kind, To: m.ID, Index: c.log.lastIndex(), LogTerm: c.log.lastTerm(), LeadershipTransfer: transfer}
			c.sendWithTerm(request, term)
		}
	}
}

// electionWon continues an election at once if this replica's own vote is a
// majority, since there are no replies to wait for.
func (c *Core) electionWon(now time.Time, as role) {
	if as == preCandidate {
		c.campaign(now, candidate, false)
		return
	}
	c.becomeLeader(now)
}

func (c *Core) becomeLeader(now time.Time) {
	c.role = leader
	c.leader = c.id
	c.votes = nil
	c.confirmedAt = now
	c.leaderSince = now
	c.progress = map[string]*progress{}
	c.termStartIndex = c.append(Entry{Kind: NoOp})
	c.updateMembers()
	c.SendHeartbeats(now)
}

func (c *Core) currentOwnProgress() *progress {
	if c.ownProgress.term != c.hardState.Term {
		c.ownProgress = termProgress{term: c.hardState.Term}
	}
	return &c.ownProgress.progress
}

// sendAppend sends a replica the entries or the snapshot that it lacks. If
// heartbeat is set, it sends a message even if there is nothing to replicate or
// flow control allows no entries.
func (c *Core) sendAppend(now time.Time, id string, p *progress, heartbeat bool) {
	if p.next <= c.log.snapshot.Index {
		c.sendSnapshot(now, id, p)
		return
	}
	blocked := p.paused || p.inflight >= maxInflightAppends
	behind := p.next <= c.log.lastIndex()
	if !heartbeat && (blocked || !behind) {
		return
	}
	m := Message{Kind: Append, To: id, Index: p.next - 1, Commit: c.commit, Sent: c.sentTimestamp(now)}
	m.LogTerm, _ = c.log.term(m.Index)
	if behind && !blocked {
		m.Entries = slices.Clone(c.log.entriesFrom(p.next, maxAppendBytes))
		p.dataSentAt = now
		p.inflight++
		if p.probing {
			p.paused = true
		} else {
			p.next += uint64(len(m.Entries))
		}
	}
	c.send(m)
}

func (c *Core) sendSnapshot(now time.Time, id string, p *progress) {
	if p.paused {
		heartbeat := Message{Kind: Append, To: id, Sent: c.sentTimestamp(now)}
		c.send(heartbeat)
		return
	}
	p.paused = true
	p.installing = true
	p.probing = true
	p.dataSentAt = now
	s := c.log.snapshot
	s.Data = c.snapshotData
	c.send(Message{Kind: InstallSnapshot, To: id, Snapshot: &s, Sent: c.sentTimestamp(now)})
}

// sentTimestamp returns now in the form of Message.Sent. It is never 0, which
// stands for "no time".
func (c *Core) sentTimestamp(now time.Time) int64 {
	return int64(now.Sub(c.start)) + 1
}

func (c *Core) send(m Message) { c.sendWithTerm(m, c.hardState.Term) }

func (c *Core) sendWithTerm(m Message, term uint64) {
	m.From = c.id
	m.Term = term
	c.messages = append(c.messages, m)
}
