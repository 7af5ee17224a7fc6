// Package replay runs a trace through the production routing, admission and
// role policies in a discrete-event simulation.
//
// Each entry process is a dispatch.Dispatcher, each engine is a standin.Batch,
// and the role policy decides once a second, as in production. An event queue
// with simulated time replaces the network and the clock. Everything runs in one
// goroutine, and each dispatcher and engine has its own random source, so the
// same trace, policies and seed give the same result.
package replay

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"endivedeck.example/admission"
	"endivedeck.example/contract"
	"endivedeck.example/dispatch"
	"endivedeck.example/fault"
	"endivedeck.example/fleet"
	"endivedeck.example/message"
	"endivedeck.example/roles"
	"endivedeck.example/routing"
	"endivedeck.example/trace"
)

const (
	grantInterval = 250 * time.Millisecond
	grantDuration = 3 * time.Second
	loadReportLag = 200 * time.Millisecond // least age of the load in a grant
	networkDelay  = time.Millisecond       // between an entry process and an engine
	retryDelay    = 100 * time.Millisecond // when no backend server was chosen
	maxAttempts   = 4                      // per query, including those without a backend server
	roleInterval  = time.Second            // between decisions of the role policy
	drainTime     = 60 * time.Second       // after the trace's end, for the requests in flight
)

type (
	// Options configures a replay.
	Options struct {
		Routing string // name of the routing policy
		Roles   string // name of the role policy
		Seed    uint64 // of the random sources
	}

	// Replay simulates the serving of a trace. Create it with New.
	Replay struct {
		trace       *trace.Trace
		options     Options
		now         time.Time
		start       time.Time
		pending     eventQueue
		lastSeq     int // of the events scheduled
		engines     []*engine
		dispatchers []*dispatch.Dispatcher
		rolePolicy  roles.Policy
		demand      roles.Demand // since the last role decision
		answered    int          // queries answered since the last role decision
		missed      int          // of these, outside the contract's limits
		contracts   map[string]contract.Accepted
		report      *Report
	}

	scheduledEvent struct {
		at     time.Time
		seq    int // order of events at the same time
		action func()
	}

	// eventQueue implements heap.Interface; the earliest event is at the root.
	eventQueue []scheduledEvent
)

func (q eventQueue) Len() int      { return len(q) }
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].seq < q[j].seq
	}
	return q[i].at.Before(q[j].at)
}

func (q *eventQueue) Push(x any) { *q = append(*q, x.(scheduledEvent)) }

func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// New returns a replay of a trace. It fails with fault.NotFound for an unknown
// policy.
func New(t *trace.Trace, options Options) (*Replay, error) {
	newRoutingPolicy, err := routing.Policies.Lookup(options.Routing)
	if err != nil {
		return nil, err
	}
	newRolePolicy, err := roles.Policies.Lookup(options.Roles)
	if err != nil {
		return nil, err
	}
	start := time.Unix(1_800_000_000, 0)
	r := &Replay{
		trace:      t,
		options:    options,
		now:        start,
		start:      start,
		rolePolicy: newRolePolicy(),
		contracts:  map[string]contract.Accepted{},
		report:     newReport(t, options),
	}
	for i, c := range t.Header.Contracts {
		r.contracts[c.Customer] = contract.Accepted{Contract: c, Version: 1, Revision: uint64(i + 1)}
	}
	for i := range t.Header.EntryCount {
		controller := admission.New()
		controller.SetSplit(admission.Split{Entries: t.Header.EntryCount, Index: i})
		rng := rand.New(rand.NewPCG(options.Seed, uint64(i)))
		r.dispatchers = append(r.dispatchers, dispatch.New(fleet.New(), controller, newRoutingPolicy(rng)))
	}
	for i := range t.Header.EngineCount {
		r.engines = append(r.engines, newEngine(r, i))
	}
	r.setBackends()
	return r, nil
}

// Run runs the simulation until drainTime after the trace's end and returns the
// report. It can be called once.
func (r *Replay) Run() *Report {
	for i := range r.trace.Events {
		e := &r.trace.Events[i]
		r.schedule(e.SinceStart(), func() { r.handle(e) })
	}
	r.sendGrants()
	r.schedule(roleInterval, r.decideRoles)
	end := r.start.Add(time.Duration(r.trace.Header.LengthMS)*time.Millisecond + drainTime)
	for len(r.pending) > 0 {
		e := heap.Pop(&r.pending).(scheduledEvent)
		if e.at.After(end) {
			break
		}
		r.now = e.at
		e.action()
	}
	r.report.finish(r)
	return r.report
}

func (r *Replay) schedule(delay time.Duration, action func()) {
	r.lastSeq++
	heap.Push(&r.pending, scheduledEvent{at: r.now.Add(delay), seq: r.lastSeq, action: action})
}

func (r *Replay) handle(e *trace.Event) {
	switch e.Kind {
	case trace.Query:
		r.startQuery(e)
	case trace.Crash:
		r.engines[e.EngineIndex].crash()
	case trace.Withdraw:
		r.engines[e.EngineIndex].withdrawing = true
	case trace.Return:
		r.engines[e.EngineIndex].rejoin()
	}
}

// setBackends sets the list of backend servers at the dispatchers. In production
// they get it from the control instances.
func (r *Replay) setBackends() {
	var backends []message.Backend
	for _, e := range r.engines {
		backends = append(backends, message.Backend{Name: e.name, Address: e.name, FailureDomain: e.failureDomain, Kind: message.KindEngine})
	}
	for _, dispatcher := range r.dispatchers {
		dispatcher.Fleet.SetBackends(r.now, backends)
	}
}

// sendGrants sends a grant from every sidecar to every entry process.
func (r *Replay) sendGrants() {
	r.schedule(grantInterval, r.sendGrants)
	for _, e := range r.engines {
		if e.down {
			continue
		}
		grant := e.newGrant()
		for _, dispatcher := range r.dispatchers {
			dispatcher.Fleet.ApplyGrant(r.now, e.name, grant)
		}
	}
}

// decideRoles runs the role policy on the engines and the demand since its last
// decision, and starts the role changes that it returns.
func (r *Replay) decideRoles() {
	r.schedule(roleInterval, r.decideRoles)
	state := roles.State{
		Demand:         r.demand,
		RoleStability:  r.roleStability(),
		ChangeDuration: time.Duration(r.trace.Header.RoleChangeMS) * time.Millisecond,
		MinNonPrefill:  1,
	}
	if r.answered > 0 {
		state.MissedFraction = float64(r.missed) / float64(r.answered)
	}
	r.demand, r.answered, r.missed = roles.Demand{}, 0, 0
	for _, e := range r.engines {
		if !e.down {
			state.Engines = append(state.Engines, roles.Engine{
				Name:          e.name,
				FailureDomain: e.failureDomain,
				Role:          e.batch.Role,
				ChangePending: e.changingRole,
				Withdrawing:   e.withdrawing,
			})
		}
	}
	for _, change := range r.rolePolicy.Decide(r.now, state) {
		for _, e := range r.engines {
			if e.name == change.Engine && !e.changingRole && !e.down {
				r.report.recordRoleChange(r.now.Sub(r.start), change, e.batch.Role)
				e.changeRole(change.Role)
			}
		}
	}
}

// roleStability returns the mean of the contracts' preference for few role
// changes, weighted by their shares.
func (r *Replay) roleStability() float64 {
	weighted, shares := 0.0, 0.0
	for _, c := range r.trace.Header.Contracts {
		weighted += c.RoleStability * c.Share
		shares += c.Share
	}
	if shares == 0 {
		return 0
	}
	return weighted / shares
}

// engineName returns the name of an engine in reports.
func engineName(index int) string { return fmt.Sprintf("engine-%d", index+1) }

// faultKind returns an error's kind as text, the key of Report.Refused.
func faultKind(err error) string { return string(fault.KindOf(err)) }
