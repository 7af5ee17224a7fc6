package control

import (
	"context"
	"time"

	"endivedeck.example/fault"
	"endivedeck.example/message"
	"endivedeck.example/quorum"
	"endivedeck.example/wire"
)

const (
	reconcileInterval  = 500 * time.Millisecond
	reconfigureTimeout = 2 * time.Second

	// removeAfter is how long a replica may leave messages unanswered before it is
	// removed, if enough others remain. It is longer than several elections, and
	// shorter than the time after which the group must tolerate the loss of
	// another replica.
	removeAfter        = 3 * time.Second
	minAnsweringVoters = 3 // voters that answer and must remain, so that one more may fail

	// rejoinAfter is the time without a leader after which a replica asks to join
	// again, since it may have been removed from the group.
	rejoinAfter = 2 * time.Second
)

// membershipManager manages the members of the replica group. While its replica
// leads, it removes members that have stopped answering and promotes learners
// that have caught up to voters. Where an instance has lost its disk and joined
// again as a learner, its old identity is removed before the learner becomes a
// voter, so that the number of voters never grows while one of them doesn't
// answer.
type membershipManager struct {
	control      *Control
	replica      *quorum.Replica
	leaderSeenAt time.Time // when a leader was last known
	joinRequests int       // number of join requests sent; selects the next address
}

// run reconciles the members periodically, until ctx is done or the replica
// fails.
func (m *membershipManager) run(ctx context.Context) {
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	m.leaderSeenAt = time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case err := <-m.replica.Failed():
			m.control.log.WithField("error", err.Error()).Error("the replica ended")
			m.control.failed <- err
			return
		case <-ticker.C:
			m.reconcile(ctx)
			m.rejoin(ctx)
		}
	}
}

// rejoin asks to join again after rejoinAfter without a leader. It keeps the
// identity, which is safe because the replica's log under it is complete.
func (m *membershipManager) rejoin(ctx context.Context) {
	if m.replica.Leadership().Leader.ID != "" {
		m.leaderSeenAt = time.Now()
	}
	if time.Since(m.leaderSeenAt) < rejoinAfter {
		return
	}
	m.control.bootstrap.requestJoin(ctx, m.joinRequests, m.control.bootstrap.self())
	m.joinRequests++
}

func (m *membershipManager) reconcile(ctx context.Context) {
	lead := m.replica.Leadership()
	if !lead.Leading {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reconfigureTimeout)
	defer cancel()
	next, ok := quorum.RemoveUnresponsive(lead.Status.Members, minAnsweringVoters, func(id string) bool {
		return m.replica.TimeSinceReply(ctx, id) > removeAfter
	})
	if ok {
		m.reconfigure(ctx, next)
		return
	}
	next, ok = quorum.PromoteLearner(lead.Status.Members, func(id string) bool {
		return m.replica.CaughtUp(ctx, id)
	})
	if ok {
		m.reconfigure(ctx, next)
	}
}

func (m *membershipManager) reconfigure(ctx context.Context, next []quorum.Member) {
	log := m.control.log.WithField("members", memberIDs(next))
	if err := m.replica.Reconfigure(ctx, next); err != nil {
		log.WithField("error", err.Error()).Warn("membership change failed")
		return
	}
	log.Info("membership changed")
}

// handleJoin serves message.MethodJoin: it adds a replica to the group as a
// learner and removes earlier learners of the same instance.
func (c *Control) handleJoin(call *wire.ServerCall) {
	var request message.JoinRequest
	if err := call.Decode(&request); err != nil {
		call.Fail(err)
		return
	}
	replica, lead, err := c.leaderReplica(time.Now())
	if err != nil {
		call.Fail(err)
		return
	}
	member := request.Member
	if member.ID == "" || member.Instance == "" || member.Address == "" {
		call.Fail(fault.New(fault.Malformed, fault.NotRun, "join request: id, instance and address are required, got %q, %q and %q", member.ID, member.Instance, member.Address))
		return
	}
	next, ok := quorum.AddLearner(lead.Status.Members, member)
	if !ok {
		call.Reply(message.Empty{})
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), reconfigureTimeout)
	defer cancel()
	if err := replica.Reconfigure(ctx, next); err != nil {
		call.Fail(err)
		return
	}
	c.log.WithField("replica", member.ID).Info("learner added")
	call.Reply(message.Empty{})
}

// memberIDs returns the IDs of members for a log line, with learners marked.
func memberIDs(members []quorum.Member) []string {
	var ids []string
	for _, m := range members {
		id := m.ID
		if !m.Voter {
			id += " (learner)"
		}
		ids = append(ids, id)
	}
	return ids
}
