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
	wardenPause = 500 * time.Millisecond
	wardenTime  = 2 * time.Second

	// quietTime is the silence after which a replica that can be spared is
	// removed: some elections, and less than the time in which the loss of
	// another one has to be borne again.
	quietTime   = 3 * time.Second
	sparedLeast = 3 // voters that answer and stay, so that the loss of one is borne

	// rejoinTime is the time without a leader after which a replica asks to be
	// taken in, since it may have been removed.
	rejoinTime = 2 * time.Second
)

// warden removes replicas that are gone and makes voters of the learners that
// have caught up, while its replica leads. A learner takes the place of the voter that its instance was before
// it lost its disk: that voter is removed first, so the number of voters never
// grows by one that doesn't answer.
type warden struct {
	control *Control
	replica *quorum.Replica
	led     time.Time // when this replica last knew a leader
	asked   int       // how often it has asked to be taken in
}

// run ends with ctx, or with the replica's failure.
func (w *warden) run(ctx context.Context) {
	ticker := time.NewTicker(wardenPause)
	defer ticker.Stop()
	w.led = time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case err := <-w.replica.Failed():
			w.control.log.WithField("error", err.Error()).Error("the replica ended")
			w.control.failed <- err
			return
		case <-ticker.C:
			w.promote(ctx)
			w.rejoin(ctx)
		}
	}
}

// rejoin asks to be taken in again, under the same identity, which this
// replica's log is whole for, when it has known no leader for a while.
func (w *warden) rejoin(ctx context.Context) {
	if w.replica.Leadership().Leader.ID != "" {
		w.led = time.Now()
	}
	if time.Since(w.led) < rejoinTime {
		return
	}
	w.control.founding.askToJoin(ctx, w.asked, w.control.founding.member())
	w.asked++
}

func (w *warden) promote(ctx context.Context) {
	lead := w.replica.Leadership()
	if !lead.Leading {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, wardenTime)
	defer cancel()
	next, ok := quorum.RemoveUnresponsive(lead.Status.Members, sparedLeast, func(id string) bool {
		return w.replica.TimeSinceReply(ctx, id) > quietTime
	})
	if ok {
		w.reconfigure(ctx, next)
		return
	}
	next, ok = quorum.PromoteLearner(lead.Status.Members, func(id string) bool {
		return w.replica.CaughtUp(ctx, id)
	})
	if ok {
		w.reconfigure(ctx, next)
	}
}

func (w *warden) reconfigure(ctx context.Context, next []quorum.Member) {
	entry := w.control.log.WithField("members", memberIDs(next))
	if err := w.replica.Reconfigure(ctx, next); err != nil {
		entry.WithField("error", err.Error()).Warn("change of members failed")
		return
	}
	entry.Info("members changed")
}

// join takes a replica with a new identity in as a learner. Learners of the
// same instance that came before it are dropped.
func (c *Control) join(x *wire.Exchange) {
	var join message.Join
	if err := x.Decode(&join); err != nil {
		x.Fail(err)
		return
	}
	replica, lead, err := c.leading(time.Now())
	if err != nil {
		x.Fail(err)
		return
	}
	joining := join.Member
	if joining.ID == "" || joining.Instance == "" || joining.Address == "" {
		x.Fail(fault.New(fault.Malformed, fault.No, "a member needs an identity, an instance and an address"))
		return
	}
	next, ok := quorum.AddLearner(lead.Status.Members, joining)
	if !ok {
		x.Reply(message.Nothing{})
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), wardenTime)
	defer cancel()
	if err := replica.Reconfigure(ctx, next); err != nil {
		x.Fail(err)
		return
	}
	c.log.WithField("replica", joining.ID).Info("learner joined")
	x.Reply(message.Nothing{})
}

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
