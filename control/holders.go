package control

import (
	"cmp"
	"context"
	"slices"
	"time"

	"endivedeck.example/fault"
	"endivedeck.example/lease"
	"endivedeck.example/message"
	"endivedeck.example/pool"
	"endivedeck.example/rank"
	"endivedeck.example/wire"
)

const (
	kindEntry   = "entry"
	kindSidecar = "sidecar"

	firstTerm = 1 // no replica has led before it

	mostWait  = 5 * time.Second
	sweepTime = time.Second
	checkTime = 100 * time.Millisecond
)

var _ Watcher = (*holders)(nil)

type (
	// holders answers renewals. One that has nothing new to be told is parked
	// in a table, without a worker, until there is or its wait is over.
	holders struct {
		control *Control
		table   *lease.Table

		mu      rank.Mutex
		parked  map[*parked]bool
		fleet   map[string]listed // backend servers by name
		version message.FleetVersion
		waiting map[*waiter]bool
		stopped bool
		ended   chan struct{}

		unsettled bool // a new leader doesn't wait for earlier leases; for a twin
		uncounted bool // the time that renewals were parked doesn't count; for a twin
	}

	// parked is a renewal that waits for news.
	parked struct {
		holders *holders
		x       *wire.Exchange
		ask     message.Renew
		since   time.Time
		timer   *time.Timer
		over    bool // its wait is over and it has had no news
	}

	// listed is a backend server that has announced itself.
	listed struct {
		backend message.Backend
		tally   message.Tally
		until   time.Time
	}

	// waiter is an operator who waits for a revision to be in force.
	waiter struct {
		revision uint64
		wake     chan struct{}
	}
)

func newHolders(c *Control) *holders {
	h := &holders{
		control: c,
		table:   lease.NewTable(lease.TTL),
		mu:      rank.New(rank.Control),
		parked:  map[*parked]bool{},
		fleet:   map[string]listed{},
		waiting: map[*waiter]bool{},
		ended:   make(chan struct{}),
	}
	go h.run()
	return h
}

// stop answers what is parked and parks nothing more.
func (h *holders) stop() {
	h.mu.Lock()
	h.stopped = true
	h.mu.Unlock()
	close(h.ended)
	h.StateChanged()
}

// run forgets backend servers that don't renew any more.
func (h *holders) run() {
	ticker := time.NewTicker(sweepTime)
	defer ticker.Stop()
	for {
		select {
		case <-h.ended:
			return
		case <-ticker.C:
			h.sweep(time.Now())
		}
	}
}

func (h *holders) sweep(now time.Time) {
	h.mu.Lock()
	gone := false
	for name, l := range h.fleet {
		if now.After(l.until) {
			delete(h.fleet, name)
			gone = true
		}
	}
	if gone {
		h.version.Version++
	}
	h.mu.Unlock()
	if gone {
		h.StateChanged()
	}
}

// renew serves message.MethodRenew.
func (h *holders) renew(x *wire.Exchange) {
	var ask message.Renew
	if err := x.Decode(&ask); err != nil {
		x.Fail(err)
		return
	}
	now := time.Now()
	if _, _, err := h.control.leading(now); err != nil {
		x.Fail(err)
		return
	}
	holder := lease.Holder{ID: ask.ID, Incarnation: ask.Incarnation, Kind: ask.Kind, Revision: ask.Revision}
	if ask.Holds && !h.table.Renew(now, holder) {
		x.Fail(fault.New(fault.Unavailable, fault.No, "this control instance has only begun to lead"))
		return
	}
	h.wake()
	if ask.Backend != nil && h.list(now, *ask.Backend, ask.Tally) {
		h.StateChanged()
	}
	p := &parked{holders: h, x: x, ask: ask, since: now}
	if h.news(ask) || !h.park(p) {
		p.Do()
		return
	}
	// What changed before p was in the table has woken nobody.
	if h.news(ask) && h.take(p) {
		p.Do()
	}
}

// release serves message.MethodRelease.
func (h *holders) release(x *wire.Exchange) {
	var ask message.Release
	if err := x.Decode(&ask); err != nil {
		x.Fail(err)
		return
	}
	h.table.Release(ask.ID, ask.Incarnation)
	h.wake()
	if h.unlist(ask) {
		h.StateChanged()
	}
	x.Reply(message.Nothing{})
}

// list notes a backend server and reports whether that is news.
func (h *holders) list(now time.Time, b message.Backend, tally message.Tally) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	old, known := h.fleet[b.Name]
	h.fleet[b.Name] = listed{backend: b, tally: tally, until: now.Add(lease.TTL)}
	if known && sameBackend(old.backend, b) {
		return false
	}
	h.version.Version++
	return true
}

func (h *holders) unlist(ask message.Release) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	l, known := h.fleet[ask.ID]
	if !known || l.backend.Incarnation != ask.Incarnation {
		return false
	}
	delete(h.fleet, ask.ID)
	h.version.Version++
	return true
}

// news reports whether there is something the asking process doesn't know.
func (h *holders) news(ask message.Renew) bool {
	if h.control.state.Revision() > ask.Revision {
		return true
	}
	if ask.Kind == kindSidecar {
		c, ok := h.control.state.LatestChange(ask.ID)
		return ok && c.FencingToken > ask.Change
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return ask.Fleet != h.version
}

// park keeps a renewal until there is news or its wait is over.
func (h *holders) park(p *parked) bool {
	wait := min(p.ask.Wait, mostWait)
	if wait <= 0 {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopped {
		return false
	}
	h.parked[p] = true
	p.timer = time.AfterFunc(wait, p.loop)
	return true
}

// take reports whether p was still parked; whoever takes it answers it.
func (h *holders) take(p *parked) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.parked[p] {
		return false
	}
	delete(h.parked, p)
	p.timer.Stop()
	return true
}

// loop answers a renewal whose wait is over.
func (p *parked) loop() {
	if p.holders.take(p) {
		p.over = true
		p.holders.submit(p)
	}
}

// Do answers a renewal, and implements pool.Task.
func (p *parked) Do() {
	h := p.holders
	now := time.Now()
	_, lead, err := h.control.leading(now)
	if err != nil {
		p.x.Fail(err)
		return
	}
	answer := message.Renewed{Term: lead.Term, Lease: lease.TTL}
	if p.over && !h.uncounted && h.table.KeepAlive(now, p.ask.ID, p.ask.Incarnation) {
		answer.Parked = now.Sub(p.since)
	}
	contracts, revision := h.control.state.ContractsSince(p.ask.Revision)
	answer.Revision = revision
	if p.ask.Kind == kindSidecar {
		for _, accepted := range contracts {
			answer.Marks = append(answer.Marks, message.Mark{Customer: accepted.Contract.Customer, Revision: accepted.Revision})
		}
		if c, ok := h.control.state.LatestChange(p.ask.ID); ok {
			answer.Change = &c
		}
	} else {
		answer.Contracts = contracts
		answer.Fleet = h.fleetFor(p.ask.Fleet)
		answer.Place, answer.Entries = h.table.Ordinal(time.Now(), p.ask.ID, kindEntry)
	}
	p.x.Reply(answer)
}

// fleetFor returns the fleet for a process that knows the given version, or
// nil when it knows this one.
func (h *holders) fleetFor(known message.FleetVersion) *message.Fleet {
	h.mu.Lock()
	defer h.mu.Unlock()
	if known == h.version {
		return nil
	}
	fleet := &message.Fleet{Version: h.version}
	for _, l := range h.fleet {
		fleet.Backends = append(fleet.Backends, l.backend)
	}
	return fleet
}

// StateChanged implements Watcher: every parked renewal that there is news for is
// answered.
func (h *holders) StateChanged() {
	h.mu.Lock()
	candidates := make([]*parked, 0, len(h.parked))
	for p := range h.parked {
		candidates = append(candidates, p)
	}
	stopped := h.stopped
	h.mu.Unlock()
	for _, p := range candidates {
		if (stopped || h.news(p.ask)) && h.take(p) {
			h.submit(p)
		}
	}
}

// Led implements Watcher.
func (h *holders) Led(leading bool, term uint64) {
	switch {
	case leading && (term == firstTerm || h.unsettled):
		h.table.BecomeFirstLeader(time.Now())
	case leading:
		h.table.BecomeLeader(time.Now(), h.control.timing.ElectionTimeout)
	default:
		h.table.StepDown()
	}
	h.mu.Lock()
	h.fleet = map[string]listed{}
	h.version = message.FleetVersion{Term: term}
	h.mu.Unlock()
	h.StateChanged()
	h.control.log.WithField("term", term).WithField("leading", leading).Info("leadership changed")
}

// submit answers p on a worker; with all workers busy the asking process is
// told so and asks again.
func (h *holders) submit(p *parked) {
	if err := h.control.host.Pool.Submit(pool.Task(p)); err != nil {
		p.x.Fail(err)
	}
}

// awaitInForce waits until a revision is in force everywhere, ctx is done or
// this instance doesn't lead any more, and reports the first.
func (h *holders) awaitInForce(ctx context.Context, revision uint64) bool {
	w := &waiter{revision: revision, wake: make(chan struct{}, 1)}
	h.mu.Lock()
	h.waiting[w] = true
	h.mu.Unlock()
	defer h.forget(w)
	ticker := time.NewTicker(checkTime) // leases that run out wake nobody
	defer ticker.Stop()
	for {
		if h.table.InForce(time.Now(), revision) {
			return true
		}
		select {
		case <-w.wake:
		case <-ticker.C:
		case <-ctx.Done():
			return false
		}
	}
}

func (h *holders) forget(w *waiter) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.waiting, w)
}

// wake has the waiting operators' calls look again.
func (h *holders) wake() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for w := range h.waiting {
		select {
		case w.wake <- struct{}{}:
		default:
		}
	}
}

// engines returns the model engines that have announced themselves.
func (h *holders) engines() []listed {
	h.mu.Lock()
	defer h.mu.Unlock()
	var list []listed
	for _, l := range h.fleet {
		if l.backend.Kind == message.KindEngine {
			list = append(list, l)
		}
	}
	slices.SortFunc(list, func(a, b listed) int { return cmp.Compare(a.backend.Name, b.backend.Name) })
	return list
}

func (h *holders) backends() []message.Backend {
	h.mu.Lock()
	defer h.mu.Unlock()
	var list []message.Backend
	for _, l := range h.fleet {
		list = append(list, l.backend)
	}
	return list
}

func sameBackend(a, b message.Backend) bool {
	same := a.Incarnation == b.Incarnation && a.Address == b.Address && a.Leaving == b.Leaving && a.Dedupe == b.Dedupe
	return same && a.Role == b.Role && a.Service == b.Service && slices.Equal(a.Models, b.Models)
}
