package control

import (
	"time"

	"endivedeck.example/change"
	"endivedeck.example/contract"
	"endivedeck.example/fault"
	"endivedeck.example/internal/duties/replicas"
	"endivedeck.example/internal/duties/tenure"
	"endivedeck.example/internal/usage/ledger"
	"endivedeck.example/order"
	"endivedeck.example/quorum"
	"endivedeck.example/rank"
	"endivedeck.example/routes"
	"endivedeck.example/wire"
)

var (
	_ quorum.StateMachine       = (*State)(nil)
	_ quorum.LeadershipObserver = (*State)(nil)
)

type (
	// Command is a log entry. Exactly one of its fields is set.
	Command struct {
		Contract *contract.Change       `cbor:"1,keyasint,omitempty"`
		Announce *change.Announcement   `cbor:"2,keyasint,omitempty"`
		Report   *change.Report         `cbor:"3,keyasint,omitempty"`
		Begin    *order.Begin           `cbor:"4,keyasint,omitempty"`
		Finish   *order.Finish          `cbor:"5,keyasint,omitempty"`
		Shutdown *order.SidecarShutdown `cbor:"6,keyasint,omitempty"`
		Routes   *routes.Table          `cbor:"7,keyasint,omitempty"`
		Take     *tenure.Take           `cbor:"8,keyasint,omitempty"`
		Usage    *ledger.Close          `cbor:"9,keyasint,omitempty"`
		Servers  *replicas.Order        `cbor:"10,keyasint,omitempty"`
	}

	// Watcher is notified of state changes. Its methods are called on the
	// replica's goroutine without any lock held, and must not block.
	Watcher interface {
		// StateChanged is called after contracts, announced changes or routes
		// may have changed.
		StateChanged()

		// LeadershipChanged is called when this replica gains or loses leadership.
		LeadershipChanged(leading bool, term uint64)
	}

	// State is the replicated state machine. Create it with NewState.
	State struct {
		mu        rank.Mutex
		contracts *contract.Store
		changes   *change.Store
		orders    *order.Store
		routes    *routes.Store
		tenures   *tenure.Store
		usage     *ledger.Store
		servers   *replicas.Store
		watchers  []Watcher
	}

	// stateSnapshot is the encoding of State in snapshots of the log.
	stateSnapshot struct {
		Contracts *contract.Store         `cbor:"1,keyasint"`
		Changes   *change.Store           `cbor:"2,keyasint"`
		Orders    []order.Record          `cbor:"3,keyasint"`
		Shutdowns []order.SidecarShutdown `cbor:"4,keyasint,omitempty"`
		Routes    *routes.Store           `cbor:"5,keyasint,omitempty"`
		Tenures   *tenure.Store           `cbor:"6,keyasint,omitempty"` // nil if no duty was ever held
		Usage     *ledger.Store           `cbor:"7,keyasint,omitempty"` // nil if no window was ever closed
		Servers   *replicas.Store         `cbor:"8,keyasint,omitempty"` // nil if no servers were ever ordered
	}
)

// NewState returns an empty state.
func NewState() *State {
	return &State{
		mu:        rank.New(rank.Control),
		contracts: contract.NewStore(),
		changes:   change.NewStore(),
		orders:    order.NewStore(),
		routes:    new(routes.Store),
		tenures:   new(tenure.Store),
		usage:     new(ledger.Store),
		servers:   new(replicas.Store),
	}
}

// AddWatcher adds a watcher. It must be called before the state is in use.
func (s *State) AddWatcher(w Watcher) { s.watchers = append(s.watchers, w) }

// Apply implements quorum.StateMachine. Its result is a contract.Outcome, a
// change.Outcome, an order.BeginResult, an order.FinishResult, a routes.Outcome, a
// tenure.Tenure, a ledger.Outcome, nil for a command without a result, or an error for a
// command that can't be decoded.
func (s *State) Apply(index, term uint64, data []byte) any {
	var c Command
	if err := wire.Decode(data, &c); err != nil {
		return err
	}
	result, changed := s.apply(index, term, c)
	if changed {
		s.notifyChanged()
	}
	return result
}

func (s *State) apply(index, term uint64, c Command) (result any, changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case c.Contract != nil:
		return s.contracts.Apply(index, *c.Contract), true
	case c.Announce != nil:
		return s.changes.Announce(index, term, *c.Announce), true
	case c.Report != nil:
		s.changes.Report(*c.Report)
		return nil, true
	case c.Begin != nil:
		return s.orders.Begin(index, *c.Begin), false
	case c.Finish != nil:
		return s.orders.Finish(*c.Finish), false
	case c.Shutdown != nil:
		s.orders.RecordShutdown(*c.Shutdown)
		return nil, false
	case c.Routes != nil:
		outcome := s.routes.Apply(*c.Routes)
		return outcome, outcome.Stored
	case c.Take != nil:
		return s.tenures.Apply(index, *c.Take), false
	case c.Usage != nil:
		return s.usage.Apply(*c.Usage), false
	case c.Servers != nil:
		s.servers.Apply(*c.Servers)
		return nil, false
	}
	return fault.New(fault.Malformed, fault.NotRun, "log command has no content"), false
}

// Save implements quorum.StateMachine.
func (s *State) Save() ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	saved := stateSnapshot{Contracts: s.contracts, Changes: s.changes, Orders: s.orders.List(), Shutdowns: s.orders.ListShutdowns(), Routes: s.routes}
	if len(s.tenures.Tenures) > 0 {
		saved.Tenures = s.tenures
	}
	if s.usage.Next > 0 {
		saved.Usage = s.usage
	}
	if len(s.servers.Records) > 0 {
		saved.Servers = s.servers
	}
	return wire.Encode(saved)
}

// Restore implements quorum.StateMachine.
func (s *State) Restore(data []byte) error {
	saved := stateSnapshot{Contracts: contract.NewStore(), Changes: change.NewStore(), Routes: new(routes.Store), Tenures: new(tenure.Store), Usage: new(ledger.Store), Servers: new(replicas.Store)}
	if err := wire.Decode(data, &saved); err != nil {
		return err
	}
	s.mu.Lock()
	s.contracts = saved.Contracts
	s.changes = saved.Changes
	s.orders.Restore(saved.Orders, saved.Shutdowns)
	s.routes = saved.Routes
	s.tenures = saved.Tenures
	s.usage = saved.Usage
	s.servers = saved.Servers
	s.mu.Unlock()
	s.notifyChanged()
	return nil
}

func (s *State) notifyChanged() {
	for _, w := range s.watchers {
		w.StateChanged()
	}
}

// LeadershipChanged implements quorum.LeadershipObserver.
func (s *State) LeadershipChanged(leading bool, term uint64) {
	for _, w := range s.watchers {
		w.LeadershipChanged(leading, term)
	}
}

// Revision returns the revision of the newest accepted contract change.
func (s *State) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.contracts.Revision
}

// ContractsSince returns the contracts that changed after the given revision,
// and the current revision.
func (s *State) ContractsSince(revision uint64) ([]contract.Accepted, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.contracts.ChangedSince(revision), s.contracts.Revision
}

// Contract returns the contract of a customer, and false if there is none or it
// is retired.
func (s *State) Contract(customer string) (contract.Accepted, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	accepted, ok := s.contracts.Contracts[customer]
	return accepted, ok && !accepted.Retired
}

func (s *State) Contracts() []contract.Accepted {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.contracts.List()
}

// LatestChange returns the latest change of a backend server.
func (s *State) LatestChange(backend string) (change.Change, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.changes.Latest[backend]
	return c, ok
}

// Changes returns the latest change of each backend server.
func (s *State) Changes() []change.Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changes.List()
}

// Routes returns the current route table, or false if none has been stored. The
// table is shared and must not be modified.
func (s *State) Routes() (t routes.Table, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.routes.Newest()
}

// Tenure returns the latest tenure of a duty.
func (s *State) Tenure(duty string) tenure.Tenure {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tenures.Tenures[duty]
}

// Usage returns the closed usage windows that aren't known to be reported, and the number of
// the first one that isn't closed. The records must not be modified.
func (s *State) Usage() ledger.Store {
	s.mu.Lock()
	defer s.mu.Unlock()
	return *s.usage
}

// ServerOrders returns the latest orders about the number of servers. They must not be modified.
func (s *State) ServerOrders() replicas.Store {
	s.mu.Lock()
	defer s.mu.Unlock()
	return *s.servers
}

// OrderCount returns the number of order records.
func (s *State) OrderCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.orders.Records)
}

// setTime sets the leader's wall-clock time in commands that need one. Replicas
// never read their own clocks when they apply a command, so that they all reach
// the same state.
func setTime(c *Command, now time.Time) {
	switch {
	case c.Contract != nil:
		c.Contract.At = now
	case c.Announce != nil:
		c.Announce.AnnouncedAt = now
	case c.Begin != nil:
		c.Begin.At = now
	case c.Finish != nil:
		c.Finish.At = now
	case c.Shutdown != nil:
		c.Shutdown.At = now
	case c.Servers != nil:
		c.Servers.At = now
	}
}
