// Package replay plays a trace against the real decisions in test time.
//
// Entries are dispatch.Dispatchers, engines are standin.Batches, and the role
// policy decides once a second, as in the live path; only what lies between
// them is a queue of events here. There is one goroutine and one random source
// for each decider, so a seed gives the same result every time.
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
	grantPause = 250 * time.Millisecond
	grantTime  = 3 * time.Second
	loadLag    = 200 * time.Millisecond
	hopTime    = time.Millisecond // between an entry and an engine
	retryPause = 100 * time.Millisecond
	mostTries  = 4
	roleTick   = time.Second
	tailTime   = 60 * time.Second // behind the trace's end, for what still runs
)

type (
	// Options says what a replay decides by.
	Options struct {
		Routing string
		Roles   string
		Seed    uint64
	}

	// Replay is one run of a trace. Create it with New.
	Replay struct {
		trace   *trace.Trace
		options Options
		now     time.Time
		start   time.Time
		queue   events
		count   int
		engines []*engine
		entries []*dispatch.Dispatcher
		policy  roles.Policy
		demand  roles.Demand
		ended   int // answers since the last role decision
		late    int // those of them that missed their limits
		accepts map[string]contract.Accepted
		report  *Report
	}

	event struct {
		at  time.Time
		seq int
		do  func()
	}

	events []event
)

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].seq < e[j].seq
	}
	return e[i].at.Before(e[j].at)
}

func (e *events) Push(x any) { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// New prepares a replay. It fails with fault.NotFound for an unknown policy.
func New(t *trace.Trace, options Options) (*Replay, error) {
	routingMaker, err := routing.Policies.Find(options.Routing)
	if err != nil {
		return nil, err
	}
	rolesMaker, err := roles.Policies.Find(options.Roles)
	if err != nil {
		return nil, err
	}
	start := time.Unix(1_800_000_000, 0)
	r := &Replay{
		trace:   t,
		options: options,
		now:     start,
		start:   start,
		policy:  rolesMaker(),
		accepts: map[string]contract.Accepted{},
		report:  newReport(t, options),
	}
	for i, c := range t.Header.Contracts {
		r.accepts[c.Customer] = contract.Accepted{Contract: c, Version: 1, Revision: uint64(i + 1)}
	}
	for i := range t.Header.Entries {
		limits := admission.New()
		limits.SetSplit(admission.Split{Entries: t.Header.Entries, Index: i})
		random := rand.New(rand.NewPCG(options.Seed, uint64(i)))
		r.entries = append(r.entries, dispatch.New(fleet.New(), limits, routingMaker(random)))
	}
	for i := range t.Header.Engines {
		r.engines = append(r.engines, newEngine(r, i))
	}
	r.announce()
	return r, nil
}

// Run plays the trace and returns the report.
func (r *Replay) Run() *Report {
	for i := range r.trace.Events {
		e := &r.trace.Events[i]
		r.after(e.Time(), func() { r.event(e) })
	}
	r.grants()
	r.after(roleTick, r.decideRoles)
	end := r.start.Add(time.Duration(r.trace.Header.Length)*time.Millisecond + tailTime)
	for len(r.queue) > 0 {
		e := heap.Pop(&r.queue).(event)
		if e.at.After(end) {
			break
		}
		r.now = e.at
		e.do()
	}
	r.report.finish(r)
	return r.report
}

func (r *Replay) after(d time.Duration, do func()) {
	r.count++
	heap.Push(&r.queue, event{at: r.now.Add(d), seq: r.count, do: do})
}

func (r *Replay) event(e *trace.Event) {
	switch e.Kind {
	case trace.Query:
		r.begin(e)
	case trace.Crash:
		r.engines[e.Engine].crash()
	case trace.Withdraw:
		r.engines[e.Engine].leaving = true
	case trace.Return:
		r.engines[e.Engine].comeBack()
	}
}

// announce tells the entries which backend servers there are, as control does.
func (r *Replay) announce() {
	var backends []message.Backend
	for _, e := range r.engines {
		backends = append(backends, message.Backend{Name: e.name, Address: e.name, FailureDomain: e.domain, Kind: message.KindEngine})
	}
	for _, entry := range r.entries {
		entry.Fleet.SetBackends(r.now, backends)
	}
}

// grants has every sidecar grant new work to every entry.
func (r *Replay) grants() {
	r.after(grantPause, r.grants)
	for _, e := range r.engines {
		if e.down {
			continue
		}
		grant := e.grant()
		for _, entry := range r.entries {
			entry.Fleet.ApplyGrant(r.now, e.name, grant)
		}
	}
}

// decideRoles asks the role policy, and announces what it decides.
func (r *Replay) decideRoles() {
	r.after(roleTick, r.decideRoles)
	state := roles.State{
		Demand:         r.demand,
		RoleStability:  r.calm(),
		ChangeDuration: time.Duration(r.trace.Header.Change) * time.Millisecond,
		MinNonPrefill:  1,
	}
	if r.ended > 0 {
		state.MissedFraction = float64(r.late) / float64(r.ended)
	}
	r.demand, r.ended, r.late = roles.Demand{}, 0, 0
	for _, e := range r.engines {
		if !e.down {
			state.Engines = append(state.Engines, roles.Engine{
				Name:          e.name,
				FailureDomain: e.domain,
				Role:          e.batch.Role,
				ChangePending: e.changing,
				Withdrawing:   e.leaving,
			})
		}
	}
	for _, c := range r.policy.Decide(r.now, state) {
		for _, e := range r.engines {
			if e.name == c.Engine && !e.changing && !e.down {
				r.report.changed(r.now.Sub(r.start), c, e.batch.Role)
				e.change(c.Role)
			}
		}
	}
}

// calm is the contracts' weight of few role changes, by their share.
func (r *Replay) calm() float64 {
	sum, shares := 0.0, 0.0
	for _, c := range r.trace.Header.Contracts {
		sum += c.RoleStability * c.Share
		shares += c.Share
	}
	if shares == 0 {
		return 0
	}
	return sum / shares
}

// name is how engines are called in reports and log lines.
func name(i int) string { return fmt.Sprintf("engine-%d", i+1) }

func kindOf(err error) string { return string(fault.Of(err)) }
