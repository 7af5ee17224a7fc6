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

	firstTerm = 1 // the term of the first leader of a new group: no earlier leases exist

	maxParkTime          = 5 * time.Second
	expireInterval       = time.Second
	inForceCheckInterval = 100 * time.Millisecond
)

var _ Watcher = (*leaseManager)(nil)

type (
	// leaseManager grants configuration leases and keeps the registry of backend
	// servers. A renewal that has no updates to return is parked as a long
	// poll, without occupying a worker, until there are some or it times out.
	leaseManager struct {
		control *Control
		table   *lease.Table

		mu           rank.Mutex
		parked       map[*parkedRenewal]bool
		registered   map[string]registration // backend servers by name
		fleetVersion message.FleetVersion
		waiters      map[*revisionWaiter]bool
		stopped      bool
		done         chan struct{}

		skipLeaseWait    bool // a new leader doesn't wait until leases of earlier leaders have expired; set by tests only
		ignoreParkedTime bool // a parked renewal doesn't extend the lease by the time it was parked; set by tests only
	}

	// parkedRenewal is a renewal held as a long poll. Run answers it.
	parkedRenewal struct {
		manager  *leaseManager
		call     *wire.ServerCall
		request  message.RenewRequest
		parkedAt time.Time
		timer    *time.Timer
		timedOut bool // the wait ended without an update
	}

	// registration is a backend server that has announced itself by its renewals.
	registration struct {
		backend   message.Backend
		totals    message.EngineTotals
		expiresAt time.Time
	}

	// revisionWaiter is an operator's request that waits for a revision to be in
	// force.
	revisionWaiter struct {
		revision uint64
		wake     chan struct{}
	}
)

func newLeaseManager(c *Control) *leaseManager {
	m := &leaseManager{
		control:    c,
		table:      lease.NewTable(lease.TTL),
		mu:         rank.New(rank.Control),
		parked:     map[*parkedRenewal]bool{},
		registered: map[string]registration{},
		waiters:    map[*revisionWaiter]bool{},
		done:       make(chan struct{}),
	}
	go m.run()
	return m
}

// stop answers all parked renewals and makes park refuse new ones.
func (m *leaseManager) stop() {
	m.mu.Lock()
	m.stopped = true
	m.mu.Unlock()
	close(m.done)
	m.StateChanged()
}

// run periodically removes backend servers that have stopped renewing, until
// stop is called.
func (m *leaseManager) run() {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-m.done:
			return
		case <-ticker.C:
			m.expire(time.Now())
		}
	}
}

func (m *leaseManager) expire(now time.Time) {
	m.mu.Lock()
	removed := false
	for name, r := range m.registered {
		if now.After(r.expiresAt) {
			delete(m.registered, name)
			removed = true
		}
	}
	if removed {
		m.fleetVersion.Version++
	}
	m.mu.Unlock()
	if removed {
		m.StateChanged()
	}
}

// handleRenew serves message.MethodRenew.
func (m *leaseManager) handleRenew(call *wire.ServerCall) {
	var request message.RenewRequest
	if err := call.Decode(&request); err != nil {
		call.Fail(err)
		return
	}
	now := time.Now()
	if _, _, err := m.control.leaderReplica(now); err != nil {
		call.Fail(err)
		return
	}
	holder := lease.Holder{ID: request.ID, Incarnation: request.Incarnation, Kind: request.Kind, Revision: request.Revision}
	if request.NeedsLease && !m.table.Renew(now, holder) {
		call.Fail(fault.New(fault.Unavailable, fault.NotRun, "this control instance doesn't grant leases yet: it has just become the leader"))
		return
	}
	m.wakeWaiters()
	if request.Backend != nil && m.register(now, *request.Backend, request.Totals) {
		m.StateChanged()
	}
	p := &parkedRenewal{manager: m, call: call, request: request, parkedAt: now}
	if m.hasUpdates(request) || !m.park(p) {
		p.Run()
		return
	}
	// Check again: p misses an update between the first check and park.
	if m.hasUpdates(request) && m.claim(p) {
		p.Run()
	}
}

// handleRelease serves message.MethodRelease.
func (m *leaseManager) handleRelease(call *wire.ServerCall) {
	var request message.ReleaseRequest
	if err := call.Decode(&request); err != nil {
		call.Fail(err)
		return
	}
	m.table.Release(request.ID, request.Incarnation)
	m.wakeWaiters()
	if m.unregister(request) {
		m.StateChanged()
	}
	call.Reply(message.Empty{})
}

// register adds or refreshes a backend server and reports whether other
// processes must be notified of a change.
func (m *leaseManager) register(now time.Time, b message.Backend, totals message.EngineTotals) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	old, known := m.registered[b.Name]
	m.registered[b.Name] = registration{backend: b, totals: totals, expiresAt: now.Add(lease.TTL)}
	if known && sameBackend(old.backend, b) {
		return false
	}
	m.fleetVersion.Version++
	return true
}

func (m *leaseManager) unregister(request message.ReleaseRequest) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, known := m.registered[request.ID]
	if !known || r.backend.Incarnation != request.Incarnation {
		return false
	}
	delete(m.registered, request.ID)
	m.fleetVersion.Version++
	return true
}

// hasUpdates reports whether there is anything newer than what the process has
// according to the renewal.
func (m *leaseManager) hasUpdates(request message.RenewRequest) bool {
	if m.control.state.Revision() > request.Revision {
		return true
	}
	if request.Kind == kindSidecar {
		c, ok := m.control.state.LatestChange(request.ID)
		return ok && c.FencingToken > request.ChangeToken
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return request.FleetVersion != m.fleetVersion
}

// park holds a renewal until there are updates or its wait ends. It returns
// false if the renewal must be answered at once.
func (m *leaseManager) park(p *parkedRenewal) bool {
	wait := min(p.request.MaxWait, maxParkTime)
	if wait <= 0 {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped {
		return false
	}
	m.parked[p] = true
	p.timer = time.AfterFunc(wait, p.onTimeout)
	return true
}

// claim removes p from the parked renewals and reports whether it was still one
// of them. The caller for which it returns true answers p.
func (m *leaseManager) claim(p *parkedRenewal) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.parked[p] {
		return false
	}
	delete(m.parked, p)
	p.timer.Stop()
	return true
}

// onTimeout answers a renewal whose wait has ended.
func (p *parkedRenewal) onTimeout() {
	if p.manager.claim(p) {
		p.timedOut = true
		p.manager.submit(p)
	}
}

// Run implements pool.Task. It answers a renewal.
func (p *parkedRenewal) Run() {
	m := p.manager
	now := time.Now()
	_, lead, err := m.control.leaderReplica(now)
	if err != nil {
		p.call.Fail(err)
		return
	}
	response := message.RenewResponse{Term: lead.Term, LeaseTTL: lease.TTL}
	if p.timedOut && !m.ignoreParkedTime && m.table.KeepAlive(now, p.request.ID, p.request.Incarnation) {
		response.LeaseDelay = now.Sub(p.parkedAt)
	}
	contracts, revision := m.control.state.ContractsSince(p.request.Revision)
	response.Revision = revision
	if p.request.Kind == kindSidecar {
		for _, accepted := range contracts {
			response.ContractRevisions = append(response.ContractRevisions, message.ContractRevision{Customer: accepted.Contract.Customer, Revision: accepted.Revision})
		}
		if c, ok := m.control.state.LatestChange(p.request.ID); ok {
			response.Change = &c
		}
	} else {
		response.Contracts = contracts
		response.Fleet = m.fleetSince(p.request.FleetVersion)
		response.EntryIndex, response.EntryCount = m.table.Ordinal(time.Now(), p.request.ID, kindEntry)
	}
	p.call.Reply(response)
}

// fleetSince returns the current fleet, or nil if known is its version.
func (m *leaseManager) fleetSince(known message.FleetVersion) *message.Fleet {
	m.mu.Lock()
	defer m.mu.Unlock()
	if known == m.fleetVersion {
		return nil
	}
	fleet := &message.Fleet{Version: m.fleetVersion}
	for _, r := range m.registered {
		fleet.Backends = append(fleet.Backends, r.backend)
	}
	return fleet
}

// StateChanged implements Watcher. It answers every parked renewal that there
// are updates for.
func (m *leaseManager) StateChanged() {
	m.mu.Lock()
	candidates := make([]*parkedRenewal, 0, len(m.parked))
	for p := range m.parked {
		candidates = append(candidates, p)
	}
	stopped := m.stopped
	m.mu.Unlock()
	for _, p := range candidates {
		if (stopped || m.hasUpdates(p.request)) && m.claim(p) {
			m.submit(p)
		}
	}
}

// LeadershipChanged implements Watcher.
func (m *leaseManager) LeadershipChanged(leading bool, term uint64) {
	switch {
	case leading && (term == firstTerm || m.skipLeaseWait):
		m.table.BecomeFirstLeader(time.Now())
	case leading:
		m.table.BecomeLeader(time.Now(), m.control.timing.ElectionTimeout)
	default:
		m.table.StepDown()
	}
	m.mu.Lock()
	m.registered = map[string]registration{}
	m.fleetVersion = message.FleetVersion{Term: term}
	m.mu.Unlock()
	m.StateChanged()
	m.control.log.WithField("term", term).WithField("leading", leading).Info("leadership changed")
}

// submit has a worker answer p. If the pool's queue is full, the renewal fails
// and the process retries it.
func (m *leaseManager) submit(p *parkedRenewal) {
	if err := m.control.host.Pool.Submit(pool.Task(p)); err != nil {
		p.call.Fail(err)
	}
}

// awaitInForce waits until a revision is in force at every lease holder and
// returns true, or false when ctx is done first. An instance that has lost
// leadership never sees a revision in force.
func (m *leaseManager) awaitInForce(ctx context.Context, revision uint64) bool {
	w := &revisionWaiter{revision: revision, wake: make(chan struct{}, 1)}
	m.mu.Lock()
	m.waiters[w] = true
	m.mu.Unlock()
	defer m.removeWaiter(w)
	ticker := time.NewTicker(inForceCheckInterval) // the expiry of a lease wakes no waiter
	defer ticker.Stop()
	for {
		if m.table.InForce(time.Now(), revision) {
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

func (m *leaseManager) removeWaiter(w *revisionWaiter) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.waiters, w)
}

// wakeWaiters makes the waiting operator requests check again whether their
// revision is in force.
func (m *leaseManager) wakeWaiters() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for w := range m.waiters {
		select {
		case w.wake <- struct{}{}:
		default:
		}
	}
}

// engines returns the registered model engines, sorted by name.
func (m *leaseManager) engines() []registration {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []registration
	for _, r := range m.registered {
		if r.backend.Kind == message.KindEngine {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b registration) int { return cmp.Compare(a.backend.Name, b.backend.Name) })
	return list
}

// backends returns the registered backend servers in any order.
func (m *leaseManager) backends() []message.Backend {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []message.Backend
	for _, r := range m.registered {
		list = append(list, r.backend)
	}
	return list
}

// sameBackend reports whether two announcements of one backend server are equal
// in everything that other processes act on.
func sameBackend(a, b message.Backend) bool {
	same := a.Incarnation == b.Incarnation && a.Address == b.Address && a.Draining == b.Draining && a.Dedupe == b.Dedupe
	return same && a.Role == b.Role && a.Service == b.Service && slices.Equal(a.Models, b.Models)
}
