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
	OperatePutRoutes     = "route"  // store a route table
	OperateGetRoutes     = "routes" // get the current route table
)

// States of a contract change as operators see it.
const (
	StateAccepted = "accepted" // in force at every lease holder
	StatePending  = "pending"  // committed, but not known to be in force at every lease holder yet
)

const (
	maxOperatorWait = 60 * time.Second
	forwardTimeout  = 5 * time.Second
	readTimeout     = 2 * time.Second
)

// Operate executes an operator's request, or forwards it to the leader.
func (c *Control) Operate(ctx context.Context, request message.OperateRequest) (message.OperateResponse, error) {
	request.MaxWait = min(max(request.MaxWait, 0), maxOperatorWait)
	ctx, cancel := context.WithTimeout(ctx, request.MaxWait+forwardTimeout)
	defer cancel()
	if _, _, err := c.leaderReplica(time.Now()); err != nil {
		return c.forward(ctx, request, err)
	}
	return c.execute(ctx, request)
}

// handleOperate serves message.MethodOperate. Unlike Operate it doesn't
// forward the request, so that a request is forwarded at most once.
func (c *Control) handleOperate(call *wire.ServerCall) {
	var request message.OperateRequest
	if err := call.Decode(&request); err != nil {
		call.Fail(err)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), min(request.MaxWait, maxOperatorWait)+forwardTimeout)
	defer cancel()
	response, err := c.execute(ctx, request)
	if err != nil {
		call.Fail(err)
		return
	}
	call.Reply(response)
}

func (c *Control) forward(ctx context.Context, request message.OperateRequest, err error) (message.OperateResponse, error) {
	var response message.OperateResponse
	leader := fault.FromError(err).RedirectAddress
	if leader == "" || leader == c.settings.Listen {
		return response, fault.New(fault.Unavailable, fault.NotRun, "no leader is known at the moment")
	}
	err = c.client.Call(ctx, leader, message.MethodOperate, request, &response)
	return response, err
}

func (c *Control) execute(ctx context.Context, request message.OperateRequest) (message.OperateResponse, error) {
	switch request.Kind {
	case OperatePutContract:
		return c.putContract(ctx, request)
	case OperateAnnounce:
		return c.announce(ctx, request)
	case OperatePutRoutes:
		return c.putRoutes(ctx, request)
	}
	replica, lead, err := c.leaderReplica(time.Now())
	if err != nil {
		return message.OperateResponse{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	if err := replica.Barrier(ctx); err != nil {
		return message.OperateResponse{}, err
	}
	return c.read(request, lead)
}

// read serves a read request from the local state, which the caller has brought
// up to date with a barrier.
func (c *Control) read(request message.OperateRequest, lead quorum.Leadership) (message.OperateResponse, error) {
	var response message.OperateResponse
	switch request.Kind {
	case OperateGetContract:
		accepted, ok := c.state.Contract(request.Customer)
		if !ok {
			return response, fault.New(fault.NotFound, fault.NotRun, "customer %q has no contract", request.Customer)
		}
		response.Contract = &accepted
		response.State = StatePending
		if c.leases.table.InForce(time.Now(), accepted.Revision) {
			response.State = StateAccepted
		}
	case OperateListContracts:
		response.Contracts = c.state.Contracts()
	case OperateListChanges:
		response.Changes = c.state.Changes()
	case OperateStatus:
		response.Status = c.status(lead)
	case OperateGetRoutes:
		table, known := c.state.Routes()
		if !known {
			return response, fault.New(fault.NotFound, fault.NotRun, "no route table has been stored yet")
		}
		response.Routes = &table
	default:
		return response, fault.New(fault.Malformed, fault.NotRun, "unknown operator request kind %q", request.Kind)
	}
	return response, nil
}

func (c *Control) status(lead quorum.Leadership) *message.Status {
	now := time.Now()
	backends := c.leases.backends()
	slices.SortFunc(backends, func(a, b message.Backend) int { return cmp.Compare(a.Name, b.Name) })
	status := &message.Status{
		Quorum:       lead.Status,
		Revision:     c.state.Revision(),
		EntryCount:   c.leases.table.Count(now, kindEntry),
		SidecarCount: c.leases.table.Count(now, kindSidecar),
		Backends:     backends,
		Changes:      c.state.Changes(),
		OrderCount:   c.state.OrderCount(),
	}
	table, _ := c.state.Routes()
	for _, team := range table.Teams {
		status.Teams = append(status.Teams, message.Team{Name: team.Name, Keys: len(team.KeyHashes)})
	}
	c.duties.status(now, status)
	return status
}

// putContract stores or retires a contract. The state in the response is
// accepted if the change is in force at every lease holder within
// request.MaxWait, and pending otherwise.
func (c *Control) putContract(ctx context.Context, request message.OperateRequest) (message.OperateResponse, error) {
	var response message.OperateResponse
	if request.Contract == nil {
		return response, fault.New(fault.Malformed, fault.NotRun, "the request contains no contract change")
	}
	if wanted := request.Contract.Contract; wanted != nil {
		if err := wanted.Check(); err != nil {
			return response, err
		}
		if wanted.Customer != request.Contract.Customer {
			return response, fault.New(fault.Malformed, fault.NotRun, "customer: the contract is for %q, the request for %q", wanted.Customer, request.Contract.Customer)
		}
	}
	result, err := c.propose(ctx, Command{Contract: request.Contract})
	if err != nil {
		return response, err
	}
	outcome, ok := result.Value.(contract.Outcome)
	if !ok {
		return response, fault.New(fault.Internal, fault.MaybeRun, "unexpected result of the contract command: %v", result.Value)
	}
	response.Contract = &outcome.Current
	if outcome.Error != nil {
		response.Error = outcome.Error
		return response, nil
	}
	revision := outcome.Current.Revision
	waitCtx, cancel := context.WithTimeout(ctx, request.MaxWait)
	defer cancel()
	response.State = StatePending
	if c.leases.awaitInForce(waitCtx, revision) {
		response.State = StateAccepted
	} else {
		response.OutdatedHolders = holderIDs(c.leases.table.Outdated(time.Now(), revision))
	}
	c.log.WithField("customer", request.Contract.Customer).WithField("version", outcome.Current.Version).
		WithField("revision", revision).WithField("state", response.State).Info("contract changed")
	return response, nil
}

func (c *Control) announce(ctx context.Context, request message.OperateRequest) (message.OperateResponse, error) {
	var response message.OperateResponse
	if request.Announcement == nil {
		return response, fault.New(fault.Malformed, fault.NotRun, "the request contains no announcement")
	}
	if err := request.Announcement.Check(); err != nil {
		return response, err
	}
	result, err := c.propose(ctx, Command{Announce: request.Announcement})
	if err != nil {
		return response, err
	}
	outcome, ok := result.Value.(change.Outcome)
	if !ok {
		return response, fault.New(fault.Internal, fault.MaybeRun, "unexpected result of the change command: %v", result.Value)
	}
	response.Change = &outcome.Change
	response.Error = outcome.Error
	c.log.WithField("backend", request.Announcement.BackendServer).WithField("kind", request.Announcement.Kind).
		WithField("number", outcome.Change.FencingToken).WithField("refused", outcome.Error != nil).Info("change announced")
	return response, nil
}

// proposeHandler returns the handler of a method that proposes its request as a
// log command and replies with the result of applying it.
func proposeHandler[In any](c *Control, command func(*In) Command) wire.Handler {
	return wire.Unary(func(in In) (any, error) {
		result, err := c.propose(context.Background(), command(&in))
		if err != nil {
			return nil, err
		}
		if err, ok := result.Value.(error); ok {
			return nil, err
		}
		if result.Value == nil {
			return message.Empty{}, nil
		}
		return result.Value, nil
	})
}

// holderIDs returns the sorted IDs of lease holders.
func holderIDs(holders []lease.Holder) []string {
	var list []string
	for _, h := range holders {
		list = append(list, h.ID)
	}
	slices.Sort(list)
	return list
}
