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
	planTick   = time.Second
	changeCost = 4 * time.Second // that an engine is taken to be away for a change of role
	roleFloor  = 1               // engines that take chats in each failure domain
	byPolicy   = "role policy"
)

// planner asks the role policy once a second, while this instance leads, and
// announces what it decides like an operator would.
type planner struct {
	control *Control
	policy  roles.Policy
	led     bool
	at      time.Time
	last    map[string]message.Tally // by incarnation
}

func newPlanner(c *Control) *planner {
	return &planner{control: c, policy: c.roles(), last: map[string]message.Tally{}}
}

func (p *planner) run(ctx context.Context) {
	interval.Every(ctx, planTick, func(now time.Time) { p.plan(ctx, now) })
}

func (p *planner) plan(ctx context.Context, now time.Time) {
	_, _, err := p.control.leading(now)
	if err != nil {
		p.led = false
		return
	}
	if !p.led {
		// A new leader begins anew: it hasn't seen the mix.
		p.led = true
		p.policy = p.control.roles()
		p.last = map[string]message.Tally{}
		p.at = time.Time{}
	}
	state := p.observe(now)
	for _, decided := range p.policy.Decide(now, state) {
		p.announce(ctx, decided)
	}
}

// observe sums up what the sidecars have counted since the last time.
func (p *planner) observe(now time.Time) roles.State {
	state := roles.State{RoleStability: p.calm(), ChangeDuration: changeCost, MinNonPrefill: roleFloor}
	seconds := now.Sub(p.at).Seconds()
	first := p.at.IsZero()
	p.at = now
	last := p.last
	p.last = map[string]message.Tally{}
	answers, late := 0, 0
	for _, l := range p.control.holders.engines() {
		b := l.backend
		current, changing := p.control.state.LatestChange(b.Name)
		changing = changing && current.State == change.Announced
		state.Engines = append(state.Engines, roles.Engine{
			Name:          b.Name,
			FailureDomain: b.FailureDomain,
			Role:          b.Role,
			ChangePending: changing,
			Withdrawing:   b.Leaving && !changing,
		})
		p.last[b.Incarnation] = l.tally
		before, known := last[b.Incarnation]
		if first || !known {
			continue
		}
		state.Demand.LongPrompts += (l.tally.Heavy - before.Heavy) / seconds
		state.Demand.Other += (l.tally.Light - before.Light) / seconds
		answers += l.tally.Answers - before.Answers
		late += l.tally.Late - before.Late
	}
	if answers > 0 {
		state.MissedFraction = float64(late) / float64(answers)
	}
	return state
}

// calm is the contracts' weight of few role changes, by their share.
func (p *planner) calm() float64 {
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

func (p *planner) announce(ctx context.Context, decided roles.Change) {
	announcement := change.Announcement{
		BackendServer: decided.Engine,
		Kind:          change.SwitchRole,
		Role:          decided.Role,
		Author:        byPolicy,
	}
	result, err := p.control.propose(ctx, Command{Announce: &announcement})
	line := p.control.log.WithField("backend", decided.Engine).WithField("to", decided.Role).WithField("reason", decided.Reason)
	if err != nil {
		line.WithField("error", err.Error()).Warn("placement: role change not announced")
		return
	}
	outcome, ok := result.Value.(change.Outcome)
	line.WithField("refused", !ok || outcome.Error != nil).Info("placement: role change")
}
