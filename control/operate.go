package control

import (
	"cmp"
	"context"
	"slices"
	"time"

	"endivedeck.example/change"
	"endivedeck.example/contract"
	"endivedeck.example/fault"
	"endivedeck.example/lease"
	"endivedeck.example/message"
	"endivedeck.example/quorum"
	"endivedeck.example/wire"
)

// Kinds of operators' requests.
const (
	OperatePutContract   = "put"
	OperateGetContract   = "get"
	OperateListContracts = "list"
	OperateAnnounce      = "announce"
	OperateListChanges   = "changes"
	OperateStatus        = "status"
	OperatePutRoutes     = "route"  // put a table of routes
	OperateGetRoutes     = "routes" // get the newest one
)

// States of a contract change as operators see it.
const (
	StateAccepted = "accepted" // in force everywhere
	StatePending  = "pending"  // in the log, not known to be in force everywhere yet
)

const (
	mostOperatorWait = 60 * time.Second
	forwardTime      = 5 * time.Second
	readTime         = 2 * time.Second
)

// Operate carries out an operator's request here, or has the leader do it.
func (c *Control) Operate(ctx context.Context, ask message.Operate) (message.Operated, error) {
	ask.Wait = min(max(ask.Wait, 0), mostOperatorWait)
	ctx, cancel := context.WithTimeout(ctx, ask.Wait+forwardTime)
	defer cancel()
	if _, _, err := c.leading(time.Now()); err != nil {
		return c.forward(ctx, ask, err)
	}
	return c.carryOut(ctx, ask)
}

// operate serves message.MethodOperate. It doesn't forward any further.
func (c *Control) operate(x *wire.Exchange) {
	var ask message.Operate
	if err := x.Decode(&ask); err != nil {
		x.Fail(err)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), min(ask.Wait, mostOperatorWait)+forwardTime)
	defer cancel()
	operated, err := c.carryOut(ctx, ask)
	if err != nil {
		x.Fail(err)
		return
	}
	x.Reply(operated)
}

func (c *Control) forward(ctx context.Context, ask message.Operate, err error) (message.Operated, error) {
	var operated message.Operated
	leader := fault.From(err).Elsewhere
	if leader == "" || leader == c.settings.Listen {
		return operated, fault.New(fault.Unavailable, fault.No, "no control instance leads at the moment")
	}
	err = c.client.Ask(ctx, leader, message.MethodOperate, ask, &operated)
	return operated, err
}

func (c *Control) carryOut(ctx context.Context, ask message.Operate) (message.Operated, error) {
	switch ask.Kind {
	case OperatePutContract:
		return c.putContract(ctx, ask)
	case OperateAnnounce:
		return c.announce(ctx, ask)
	case OperatePutRoutes:
		return c.putRoutes(ctx, ask)
	}
	replica, lead, err := c.leading(time.Now())
	if err != nil {
		return message.Operated{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, readTime)
	defer cancel()
	if err := replica.Barrier(ctx); err != nil {
		return message.Operated{}, err
	}
	return c.read(ask, lead)
}

// read answers from a state that was proved to be the newest.
func (c *Control) read(ask message.Operate, lead quorum.Leadership) (message.Operated, error) {
	var operated message.Operated
	switch ask.Kind {
	case OperateGetContract:
		accepted, ok := c.state.Contract(ask.Customer)
		if !ok {
			return operated, fault.New(fault.NotFound, fault.No, "customer %q has no contract", ask.Customer)
		}
		operated.Contract = &accepted
		operated.State = StatePending
		if c.holders.table.InForce(time.Now(), accepted.Revision) {
			operated.State = StateAccepted
		}
	case OperateListContracts:
		operated.Contracts = c.state.Contracts()
	case OperateListChanges:
		operated.Changes = c.state.Changes()
	case OperateStatus:
		operated.Status = c.status(lead)
	case OperateGetRoutes:
		table := c.state.Routes()
		operated.Routes = &table
	default:
		return operated, fault.New(fault.Malformed, fault.No, "no such request: %q", ask.Kind)
	}
	return operated, nil
}

func (c *Control) status(lead quorum.Leadership) *message.Status {
	now := time.Now()
	backends := c.holders.backends()
	slices.SortFunc(backends, func(a, b message.Backend) int { return cmp.Compare(a.Name, b.Name) })
	return &message.Status{
		Quorum:   lead.Status,
		Revision: c.state.Revision(),
		Entries:  c.holders.table.Count(now, kindEntry),
		Sidecars: c.holders.table.Count(now, kindSidecar),
		Backends: backends,
		Changes:  c.state.Changes(),
		Orders:   c.state.OrderCount(),
	}
}

// putContract puts or retires a contract. It answers accepted once the change
// is in force everywhere, and pending when that isn't so within ask.Wait.
func (c *Control) putContract(ctx context.Context, ask message.Operate) (message.Operated, error) {
	var operated message.Operated
	if ask.Contract == nil {
		return operated, fault.New(fault.Malformed, fault.No, "the request holds no contract change")
	}
	if wanted := ask.Contract.Contract; wanted != nil {
		if err := wanted.Check(); err != nil {
			return operated, err
		}
		if wanted.Customer != ask.Contract.Customer {
			return operated, fault.New(fault.Malformed, fault.No, "customer: the contract is for another customer")
		}
	}
	result, err := c.propose(ctx, Command{Contract: ask.Contract})
	if err != nil {
		return operated, err
	}
	outcome, ok := result.Value.(contract.Outcome)
	if !ok {
		return operated, fault.New(fault.Internal, fault.Unknown, "the log gave no outcome")
	}
	operated.Contract = &outcome.Current
	if outcome.Error != nil {
		operated.Error = outcome.Error
		return operated, nil
	}
	revision := outcome.Current.Revision
	waiting, cancel := context.WithTimeout(ctx, ask.Wait)
	defer cancel()
	operated.State = StatePending
	if c.holders.awaitInForce(waiting, revision) {
		operated.State = StateAccepted
	} else {
		operated.Behind = names(c.holders.table.Outdated(time.Now(), revision))
	}
	c.log.WithField("customer", ask.Contract.Customer).WithField("version", outcome.Current.Version).
		WithField("revision", revision).WithField("state", operated.State).Info("contract changed")
	return operated, nil
}

func (c *Control) announce(ctx context.Context, ask message.Operate) (message.Operated, error) {
	var operated message.Operated
	if ask.Announcement == nil {
		return operated, fault.New(fault.Malformed, fault.No, "the request holds no announcement")
	}
	if err := ask.Announcement.Check(); err != nil {
		return operated, err
	}
	result, err := c.propose(ctx, Command{Announce: ask.Announcement})
	if err != nil {
		return operated, err
	}
	outcome, ok := result.Value.(change.Outcome)
	if !ok {
		return operated, fault.New(fault.Internal, fault.Unknown, "the log gave no outcome")
	}
	operated.Change = &outcome.Change
	operated.Error = outcome.Error
	c.log.WithField("backend", ask.Announcement.BackendServer).WithField("kind", ask.Announcement.Kind).
		WithField("number", outcome.Change.FencingToken).WithField("refused", outcome.Error != nil).Info("change announced")
	return operated, nil
}

// proposal returns the handler of a method whose request goes into the log as
// it is, and is answered with what came of it there.
func proposal[In any](c *Control, command func(*In) Command) wire.Handler {
	return wire.Answer(func(in In) (any, error) {
		result, err := c.propose(context.Background(), command(&in))
		if err != nil {
			return nil, err
		}
		if err, ok := result.Value.(error); ok {
			return nil, err
		}
		if result.Value == nil {
			return message.Nothing{}, nil
		}
		return result.Value, nil
	})
}

func names(holders []lease.Holder) []string {
	var list []string
	for _, h := range holders {
		list = append(list, h.ID)
	}
	slices.Sort(list)
	return list
}
