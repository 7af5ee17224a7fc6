package control

import (
	"context"
	"time"

	"endivedeck.example/change"
	"endivedeck.example/interval"
	"endivedeck.example/message"
	"endivedeck.example/roles"
)

const (
	planInterval        = time.Second
	roleChangeCost      = 4 * time.Second // assumed downtime of an engine during a role change
	minEnginesPerDomain = 1               // engines per failure domain that must keep another role than prefill, so that they accept chats
	policyAuthor        = "role policy"   // Announcement.Author of role changes
)

// planner runs the role policy periodically while this instance leads, and
// announces the role changes that it decides, as an operator would.
type planner struct {
	control    *Control
	policy     roles.Policy
	wasLeading bool
	sampledAt  time.Time
	lastTotals map[string]message.EngineTotals // at sampledAt, by incarnation
}

func newPlanner(c *Control) *planner {
	return &planner{control: c, policy: c.newRolePolicy(), lastTotals: map[string]message.EngineTotals{}}
}

func (p *planner) run(ctx context.Context) {
	interval.Every(ctx, planInterval, func(now time.Time) { p.plan(ctx, now) })
}

func (p *planner) plan(ctx context.Context, now time.Time) {
	_, _, err := p.control.leaderReplica(now)
	if err != nil {
		p.wasLeading = false
		return
	}
	if !p.wasLeading {
		// A new leader starts without history: it hasn't seen earlier totals.
		p.wasLeading = true
		p.policy = p.control.newRolePolicy()
		p.lastTotals = map[string]message.EngineTotals{}
		p.sampledAt = time.Time{}
	}
	state := p.observe(now)
	for _, decision := range p.policy.Decide(now, state) {
		p.announce(ctx, decision)
	}
}

// observe returns the policy's input: the engines, and the demand that their
// sidecars have counted since the previous call.
func (p *planner) observe(now time.Time) roles.State {
	state := roles.State{RoleStability: p.stabilityWeight(), ChangeDuration: roleChangeCost, MinNonPrefill: minEnginesPerDomain}
	seconds := now.Sub(p.sampledAt).Seconds()
	first := p.sampledAt.IsZero()
	p.sampledAt = now
	lastTotals := p.lastTotals
	p.lastTotals = map[string]message.EngineTotals{}
	answers, missed := 0, 0
	for _, r := range p.control.leases.engines() {
		b := r.backend
		current, changePending := p.control.state.LatestChange(b.Name)
		changePending = changePending && current.State == change.Announced
		state.Engines = append(state.Engines, roles.Engine{
			Name:          b.Name,
			FailureDomain: b.FailureDomain,
			Role:          b.Role,
			ChangePending: changePending,
			Withdrawing:   b.Draining && !changePending,
		})
		p.lastTotals[b.Incarnation] = r.totals
		previous, known := lastTotals[b.Incarnation]
		if first || !known {
			continue
		}
		state.Demand.LongPrompts += (r.totals.LongPrompts - previous.LongPrompts) / seconds
		state.Demand.Other += (r.totals.Other - previous.Other) / seconds
		answers += r.totals.Answers - previous.Answers
		missed += r.totals.Missed - previous.Missed
	}
	if answers > 0 {
		state.MissedFraction = float64(missed) / float64(answers)
	}
	return state
}

// stabilityWeight returns the contracts' weight of few role changes against
// goodput, averaged by their shares.
func (p *planner) stabilityWeight() float64 {
	sum, shares := 0.0, 0.0
	for _, accepted := range p.control.state.Contracts() {
		sum += accepted.Contract.RoleStability * accepted.Contract.Share
		shares += accepted.Contract.Share
	}
	if shares == 0 {
		return 0
	}
	return sum / shares
}

func (p *planner) announce(ctx context.Context, decision roles.Change) {
	announcement := change.Announcement{
		BackendServer: decision.Engine,
		Kind:          change.SwitchRole,
		Role:          decision.Role,
		Author:        policyAuthor,
	}
	result, err := p.control.propose(ctx, Command{Announce: &announcement})
	log := p.control.log.WithField("backend", decision.Engine).WithField("to", decision.Role).WithField("reason", decision.Reason)
	if err != nil {
		log.WithField("error", err.Error()).Warn("placement: role change not announced")
		return
	}
	outcome, ok := result.Value.(change.Outcome)
	log.WithField("refused", !ok || outcome.Error != nil).Info("placement: role change")
}
