package quorum

import (
	"slices"
	"time"
)

// Step takes in a message from another replica.
func (c *Core) Step(now time.Time, m Message) {
	if m.To != c.id {
		return // meant for an earlier identity at this address
	}
	switch m.Kind {
	case PreVote:
		c.stepPreVote(now, m)
		return
	case PreVoteReply:
		c.stepPreVoteReply(now, m)
		return
	case Vote:
		if c.hears(now) && m.Term > c.ballot.Term && !m.LeadershipTransfer {
			return // a working leader isn't deposed
		}
	}
	if m.Term > c.ballot.Term {
		c.follow(now, m.Term, "")
	}
	if m.Term < c.ballot.Term {
		c.answerStale(m)
		return
	}
	switch m.Kind {
	case Vote:
		c.stepVote(now, m)
	case VoteReply:
		c.stepVoteReply(now, m)
	case Append:
		c.stepAppend(now, m)
	case AppendReply:
		c.stepAppendReply(now, m)
	case InstallSnapshot:
		c.stepInstall(now, m)
	case InstallSnapshotReply:
		c.stepAppendReply(now, m)
	case TimeoutNow:
		c.stepHandover(now)
	}
}

// answerStale lets a deposed leader learn of the newer term.
func (c *Core) answerStale(m Message) {
	if m.Kind == Append || m.Kind == InstallSnapshot {
		c.send(Message{Kind: AppendReply, To: m.From, Reject: true, Index: c.log.last()})
	}
}

func (c *Core) stepPreVote(now time.Time, m Message) {
	granted := m.Term > c.ballot.Term && !c.hears(now) && c.upToDate(m)
	c.sendAs(Message{Kind: PreVoteReply, To: m.From, Reject: !granted}, m.Term)
}

func (c *Core) stepPreVoteReply(now time.Time, m Message) {
	if c.role != preCandidate || m.Term != c.ballot.Term+1 {
		return
	}
	c.votes[m.From] = !m.Reject
	if c.majority(c.votes) {
		c.campaign(now, candidate, false)
	}
}

func (c *Core) stepVote(now time.Time, m Message) {
	free := c.ballot.Vote == "" || c.ballot.Vote == m.From
	granted := free && c.role == follower && c.upToDate(m)
	if granted {
		c.ballot.Vote = m.From
		c.resetDeadline(now)
	}
	c.send(Message{Kind: VoteReply, To: m.From, Reject: !granted})
}

// stepHandover asks for votes in the place of the leader that gave it up. A
// late message does no harm: in its term nobody else can lead any more.
func (c *Core) stepHandover(now time.Time) {
	if c.role == follower && c.voter(c.id) {
		c.campaign(now, candidate, true)
	}
}

func (c *Core) stepVoteReply(now time.Time, m Message) {
	if c.role != candidate {
		return
	}
	c.votes[m.From] = !m.Reject
	if c.majority(c.votes) {
		c.lead(now)
	}
}

func (c *Core) stepAppend(now time.Time, m Message) {
	c.hear(now, m.From)
	if m.Index < c.commit {
		// What is committed here is the leader's too; answer where we stand.
		c.send(Message{Kind: AppendReply, To: m.From, Index: c.commit, Sent: m.Sent})
		return
	}
	term, ok := c.log.term(m.Index)
	if !ok || term != m.LogTerm {
		hint := min(c.log.last(), m.Index-1)
		c.send(Message{Kind: AppendReply, To: m.From, Reject: true, Index: hint, Sent: m.Sent})
		return
	}
	c.takeEntries(m.Entries)
	match := m.Index + uint64(len(m.Entries))
	c.commitTo(min(m.Commit, match))
	c.send(Message{Kind: AppendReply, To: m.From, Index: match, Sent: m.Sent})
}

// takeEntries adds those that aren't there, and drops what contradicts them.
func (c *Core) takeEntries(entries []Entry) {
	for i, e := range entries {
		term, ok := c.log.term(e.Index)
		if ok && term == e.Term {
			continue
		}
		c.log.replace(entries[i:])
		if c.unstable == 0 || e.Index < c.unstable {
			c.unstable = e.Index
		}
		c.reconfigured()
		return
	}
}

func (c *Core) stepInstall(now time.Time, m Message) {
	c.hear(now, m.From)
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
	if c.unstable != 0 {
		c.unstable = max(c.unstable, s.Index+1)
	}
	c.snapshotData = s.Data
	c.commit = s.Index
	c.applied = s.Index
	c.install = s
	c.reconfigured()
	c.send(Message{Kind: InstallSnapshotReply, To: m.From, Index: s.Index, Sent: m.Sent})
}

func (c *Core) stepAppendReply(now time.Time, m Message) {
	p := c.progress[m.From]
	if c.role != leader || p == nil {
		return
	}
	asked := c.start.Add(time.Duration(m.Sent))
	if m.Sent != 0 {
		c.answered(now, p, asked)
	}
	// An answer to what was asked long after a snapshot was sent, without one to the snapshot: it was lost.
	lost := asked.Sub(p.sent) > c.timing.ElectionTimeout
	if p.installing && m.Kind != InstallSnapshotReply && !lost {
		return // the answer to a heartbeat; the snapshot is still on its way
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
	c.advance(now, 0)
	c.sendAppend(now, m.From, p, false)
}

func (c *Core) answered(now time.Time, p *progress, sent time.Time) {
	if sent.After(p.acked) {
		p.acked = sent
		c.confirm(now)
	}
}

// confirm sets confirmed to the newest time that a majority has answered for.
func (c *Core) confirm(now time.Time) {
	times := make([]time.Time, 0, len(c.members))
	for _, m := range c.members {
		switch {
		case !m.Voter:
		case m.ID == c.id:
			times = append(times, now)
		default:
			times = append(times, c.progress[m.ID].acked)
		}
	}
	if len(times) == 0 {
		return
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	if at := times[len(times)/2]; at.After(c.confirmed) {
		c.confirmed = at
	}
}

// advance commits what a majority holds. own is how far this replica's own
// log is durable, or 0 when that hasn't changed.
func (c *Core) advance(now time.Time, own uint64) {
	self := c.progressSelf()
	if own > self.match {
		self.match = own
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
	// Only an entry of its own term proves to a leader that the earlier ones are committed.
	if term, ok := c.log.term(index); index <= c.commit || !ok || term != c.ballot.Term {
		return
	}
	c.commitTo(index)
	c.replicate(now)
	if !c.voter(c.id) && c.configIndex <= c.commit {
		c.follow(now, c.ballot.Term, "")
	}
}

func (c *Core) commitTo(index uint64) {
	if index > c.commit {
		c.commit = index
	}
}

// hears reports whether a leader was heard within the least election time, or
// is this replica itself.
func (c *Core) hears(now time.Time) bool {
	if c.role == leader {
		return now.Sub(c.confirmed) <= c.timing.ElectionTimeout
	}
	return c.leader != "" && now.Sub(c.heard) < c.timing.ElectionTimeout
}

func (c *Core) hear(now time.Time, from string) {
	if c.role != follower {
		c.follow(now, c.ballot.Term, from)
	}
	c.leader = from
	c.heard = now
	c.resetDeadline(now)
}

func (c *Core) upToDate(m Message) bool {
	if m.LogTerm != c.log.lastTerm() {
		return m.LogTerm > c.log.lastTerm()
	}
	return m.Index >= c.log.last()
}

func (c *Core) majority(votes map[string]bool) bool {
	count := 0
	for id, granted := range votes {
		if granted && c.voter(id) {
			count++
		}
	}
	return count > c.voters()/2
}

func (c *Core) follow(now time.Time, term uint64, from string) {
	if term > c.ballot.Term {
		c.ballot = HardState{Term: term}
	}
	c.role = follower
	c.leader = from
	c.votes = nil
	c.progress = nil
	c.confirmed = time.Time{}
	c.resetDeadline(now)
}

func (c *Core) campaign(now time.Time, as role, forced bool) {
	c.role = as
	c.leader = ""
	c.votes = map[string]bool{c.id: true}
	kind := PreVote
	term := c.ballot.Term + 1
	if as == candidate {
		kind = Vote
		c.ballot = HardState{Term: term, Vote: c.id}
		c.resetDeadline(now)
	}
	if c.majority(c.votes) {
		c.won(now, as)
		return
	}
	for _, m := range c.members {
		if m.Voter && m.ID != c.id {
			ask := Message{Kind: kind, To: m.ID, Index: c.log.last(), LogTerm: c.log.lastTerm(), LeadershipTransfer: forced}
			c.sendAs(ask, term)
		}
	}
}

// won goes on at once where this replica is the only voter.
func (c *Core) won(now time.Time, as role) {
	if as == preCandidate {
		c.campaign(now, candidate, false)
		return
	}
	c.lead(now)
}

func (c *Core) lead(now time.Time) {
	c.role = leader
	c.leader = c.id
	c.votes = nil
	c.confirmed = now
	c.ledSince = now
	c.progress = map[string]*progress{}
	c.ownTermFrom = c.append(Entry{Kind: NoOp})
	c.reconfigured()
	c.SendHeartbeats(now)
}

func (c *Core) progressSelf() *progress {
	if c.self.term != c.ballot.Term {
		c.self = selfProgress{term: c.ballot.Term}
	}
	return &c.self.progress
}

// sendAppend sends what a replica lacks; with beat also when it lacks nothing.
func (c *Core) sendAppend(now time.Time, id string, p *progress, beat bool) {
	if p.next <= c.log.snapshot.Index {
		c.sendSnapshot(now, id, p)
		return
	}
	blocked := p.paused || p.inflight >= inflightMost
	behind := p.next <= c.log.last()
	if !beat && (blocked || !behind) {
		return
	}
	m := Message{Kind: Append, To: id, Index: p.next - 1, Commit: c.commit, Sent: c.clock(now)}
	m.LogTerm, _ = c.log.term(m.Index)
	if behind && !blocked {
		m.Entries = slices.Clone(c.log.from(p.next, appendBytes))
		p.sent = now
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
		beat := Message{Kind: Append, To: id, Sent: c.clock(now)}
		c.send(beat)
		return
	}
	p.paused = true
	p.installing = true
	p.probing = true
	p.sent = now
	s := c.log.snapshot
	s.Data = c.snapshotData
	c.send(Message{Kind: InstallSnapshot, To: id, Snapshot: &s, Sent: c.clock(now)})
}

// clock returns now as Message.Sent has it; 0 stays free for "no time".
func (c *Core) clock(now time.Time) int64 {
	return int64(now.Sub(c.start)) + 1
}

func (c *Core) send(m Message) { c.sendAs(m, c.ballot.Term) }

func (c *Core) sendAs(m Message, term uint64) {
	m.From = c.id
	m.Term = term
	c.messages = append(c.messages, m)
}
