package control

import (
	"time"

	"endivedeck.example/change"
	"endivedeck.example/contract"
	"endivedeck.example/fault"
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
	// Command is one entry of the log; one of its fields is set.
	Command struct {
		Contract *contract.Change       `cbor:"1,keyasint,omitempty"`
		Announce *change.Announcement   `cbor:"2,keyasint,omitempty"`
		Report   *change.Report         `cbor:"3,keyasint,omitempty"`
		Begin    *order.Begin           `cbor:"4,keyasint,omitempty"`
		Finish   *order.Finish          `cbor:"5,keyasint,omitempty"`
		Ending   *order.SidecarShutdown `cbor:"6,keyasint,omitempty"`
		Routes   *routes.Table          `cbor:"7,keyasint,omitempty"`
	}

	// Watcher is told of changes of the state. It is called by the
	// replica's goroutine, holds no lock, and must not wait.
	Watcher interface {
		// StateChanged tells that contracts, announced changes or routes have changed.
		StateChanged()

		// Led tells that this replica begins or ceases to lead.
		Led(leading bool, term uint64)
	}

	// State is the replicated state. Create it with NewState.
	State struct {
		mu        rank.Mutex
		contracts *contract.Store
		changes   *change.Store
		orders    *order.Store
		routes    *routes.Store
		watchers  []Watcher
	}

	savedState struct {
		Contracts *contract.Store         `cbor:"1,keyasint"`
		Changes   *change.Store           `cbor:"2,keyasint"`
		Orders    []order.Record          `cbor:"3,keyasint"`
		Endings   []order.SidecarShutdown `cbor:"4,keyasint,omitempty"`
		Routes    *routes.Store           `cbor:"5,keyasint,omitempty"`
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
	}
}

// AddWatcher adds a watcher. It is called before the state is in use.
func (s *State) AddWatcher(w Watcher) { s.watchers = append(s.watchers, w) }

// Apply implements quorum.Machine. Its result is a contract.Outcome, a
// change.Outcome, an order.Begun, an order.Finished, a routes.Outcome, or an
// error for a command that can't be read.
func (s *State) Apply(index, term uint64, text []byte) any {
	var c Command
	if err := wire.Decode(text, &c); err != nil {
		return err
	}
	result, changed := s.apply(index, term, c)
	if changed {
		s.changed()
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
	case c.Ending != nil:
		s.orders.RecordShutdown(*c.Ending)
		return nil, false
	case c.Routes != nil:
		outcome := s.routes.Apply(*c.Routes)
		return outcome, outcome.Stored
	}
	return fault.New(fault.Malformed, fault.No, "an empty command"), false
}

// Save implements quorum.Machine.
func (s *State) Save() ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return wire.Encode(savedState{Contracts: s.contracts, Changes: s.changes, Orders: s.orders.List(), Endings: s.orders.ListShutdowns(), Routes: s.routes})
}

// Restore implements quorum.Machine.
func (s *State) Restore(text []byte) error {
	saved := savedState{Contracts: contract.NewStore(), Changes: change.NewStore(), Routes: new(routes.Store)}
	if err := wire.Decode(text, &saved); err != nil {
		return err
	}
	s.mu.Lock()
	s.contracts = saved.Contracts
	s.changes = saved.Changes
	s.orders.Restore(saved.Orders, saved.Endings)
	s.routes = saved.Routes
	s.mu.Unlock()
	s.changed()
	return nil
}

func (s *State) changed() {
	for _, w := range s.watchers {
		w.StateChanged()
	}
}

// LeadershipChanged implements quorum.Observer.
func (s *State) LeadershipChanged(leading bool, term uint64) {
	for _, w := range s.watchers {
		w.Led(leading, term)
	}
}

// Revision returns the revision of the newest accepted contract change.
func (s *State) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.contracts.Revision
}

// ContractsSince returns the contracts that changed after a revision, and the revision
// up to which they are all.
func (s *State) ContractsSince(revision uint64) ([]contract.Accepted, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.contracts.ChangedSince(revision), s.contracts.Revision
}

// Contract returns the contract of a customer.
func (s *State) Contract(customer string) (contract.Accepted, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	accepted, ok := s.contracts.Contracts[customer]
	return accepted, ok && !accepted.Retired
}

// Contracts returns all contracts.
func (s *State) Contracts() []contract.Accepted {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.contracts.List()
}

// LatestChange returns the newest change of a backend server.
func (s *State) LatestChange(backend string) (change.Change, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.changes.Latest[backend]
	return c, ok
}

// Changes returns the newest change of each backend server.
func (s *State) Changes() []change.Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changes.List()
}

// Routes returns the newest table of routes. It is shared and must not be
// changed.
func (s *State) Routes() routes.Table {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.routes.Table
}

// OrderCount returns the number of orders on record.
func (s *State) OrderCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.orders.Records)
}

// stamp puts the leader's time of day into a command that needs one. Replicas
// never look at a clock of their own, so that they all decide alike.
func stamp(c *Command, now time.Time) {
	switch {
	case c.Contract != nil:
		c.Contract.At = now
	case c.Announce != nil:
		c.Announce.AnnouncedAt = now
	case c.Begin != nil:
		c.Begin.At = now
	case c.Finish != nil:
		c.Finish.At = now
	case c.Ending != nil:
		c.Ending.At = now
	}
}
