package control

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"endivedeck.example/fault"
	"endivedeck.example/internal/duties/replicas"
	"endivedeck.example/internal/duties/tenure"
	"endivedeck.example/interval"
	"endivedeck.example/message"
	"endivedeck.example/rank"
)

const (
	serversInterval = time.Second
	demandTTL       = 5 * time.Second // for which the demand that a relay reported counts
)

type (
	// serverOrderer orders how many servers of a service run in each failure domain, while
	// this instance holds the duty. Only services with Service.Scaling are concerned.
	serverOrderer struct {
		manager  *dutyManager
		holder   *dutyHolder
		demand   *demandTable
		pace     *tenure.Pace
		policies map[string]*replicas.Policy // by service
		accepted map[replicas.Subject]int    // orders that the provider has accepted from this holder
	}

	// demandTable has what each relay reported last.
	demandTable struct {
		mu     rank.Mutex
		relays map[string]relayDemand
	}

	relayDemand struct {
		at   time.Time
		list []message.Demand
	}
)

func newServerOrderer(m *dutyManager, callRate float64) *serverOrderer {
	return &serverOrderer{
		manager:  m,
		holder:   newDutyHolder(m, DutyServers),
		demand:   &demandTable{mu: rank.New(rank.Admission), relays: map[string]relayDemand{}},
		pace:     tenure.NewPace(callRate),
		policies: map[string]*replicas.Policy{},
		accepted: map[replicas.Subject]int{},
	}
}

func (o *serverOrderer) run(ctx context.Context) {
	interval.Every(ctx, serversInterval, func(now time.Time) { o.step(ctx, now) })
}

// step decides on orders and sends them, if this instance holds the duty.
func (o *serverOrderer) step(ctx context.Context, now time.Time) {
	states := o.states(now)
	if len(states) == 0 {
		return // there is nothing to hold
	}
	held, ok := o.holder.hold(ctx, now)
	if !ok {
		clear(o.policies)
		clear(o.accepted)
		return
	}
	for _, state := range states {
		o.decide(ctx, now, state, held)
	}
	o.send(ctx, states, held)
}

// states returns what is known of the services whose servers are ordered.
func (o *serverOrderer) states(now time.Time) []replicas.State {
	var states []replicas.State
	table, _ := o.manager.control.state.Routes()
	for _, service := range table.Services {
		if service.Scaling != nil {
			state := o.demand.state(now, service.Name)
			state.Bounds = *service.Scaling
			states = append(states, state)
		}
	}
	return states
}

// decide commits the orders that a state calls for.
func (o *serverOrderer) decide(ctx context.Context, now time.Time, state replicas.State, held tenure.Tenure) {
	c := o.manager.control
	policy := o.policies[state.Service]
	if policy == nil {
		policy = replicas.New()
		o.policies[state.Service] = policy
	}
	orders := c.state.ServerOrders()
	for _, order := range policy.Decide(now, state, &orders) {
		result, err := c.propose(ctx, Command{Servers: &order})
		log := c.log.WithFields(logrus.Fields{"service": order.Service, "domain": order.Domain, "servers": order.Servers, "active": state.Active, "slots": state.Slots, "token": held.Token})
		if err != nil {
			log.WithField("error", err.Error()).Warn("number of servers not ordered")
			continue
		}
		log.WithField("index", result.Index).Info("number of servers ordered")
	}
}

// send sends the latest order about one subject that the provider hasn't accepted from this
// holder. Orders are numbers, so repeating one does nothing, and an overtaken one is left out.
func (o *serverOrderer) send(ctx context.Context, states []replicas.State, held tenure.Tenure) {
	orders := o.manager.control.state.ServerOrders()
	for _, r := range orders.Records {
		concerned := slices.ContainsFunc(states, func(s replicas.State) bool { return s.Service == r.Subject.Service })
		servers, accepted := o.accepted[r.Subject]
		if !concerned || accepted && servers == r.Servers {
			continue
		}
		if !o.pace.Ready(time.Now()) {
			return
		}
		order := replicas.Order{Service: r.Subject.Service, Domain: r.Subject.Domain, Servers: r.Servers}
		err := o.holder.call(ctx, held, func(ctx context.Context) (ProviderCall, error) {
			return o.manager.provider.PrepareServers(ctx, held, order)
		})
		end := time.Now()
		o.pace.Done(end, err == nil)
		o.holder.countCall(end, held, err)
		if err == nil || fault.KindOf(err) == fault.Malformed {
			o.accepted[r.Subject] = r.Servers
		}
		if err != nil {
			return
		}
	}
}

// counts returns the numbers of servers that were ordered and that take requests.
func (o *serverOrderer) counts(now time.Time) []message.ServerCount {
	orders := o.manager.control.state.ServerOrders()
	var list []message.ServerCount
	for _, state := range o.states(now) {
		for _, d := range state.Domains {
			count := message.ServerCount{Service: state.Service, Domain: d.Name, Ordered: d.Servers, Present: d.Servers}
			if r, known := orders.Find(state.Service, d.Name); known {
				count.Ordered = r.Servers
			}
			list = append(list, count)
		}
	}
	return list
}

// record records the demand that a relay reports.
func (t *demandTable) record(now time.Time, relay string, list []message.Demand) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.relays[relay] = relayDemand{at: now, list: list}
}

// state sums up the demand for a service. Relays may know of a server sooner or later, so
// of their counts the greatest is taken.
func (t *demandTable) state(now time.Time, service string) replicas.State {
	t.mu.Lock()
	defer t.mu.Unlock()
	state := replicas.State{Service: service}
	servers := map[string]int{}
	for relay, reported := range t.relays {
		if now.Sub(reported.at) > demandTTL {
			delete(t.relays, relay)
			continue
		}
		for _, d := range reported.list {
			if d.Service != service {
				continue
			}
			state.Active += float64(d.Active)
			state.Slots = max(state.Slots, d.Slots)
			servers[d.Domain] = max(servers[d.Domain], d.Servers)
		}
	}
	for _, name := range slices.SortedFunc(maps.Keys(servers), cmp.Compare) {
		state.Domains = append(state.Domains, replicas.Domain{Name: name, Servers: servers[name]})
	}
	return state
}
