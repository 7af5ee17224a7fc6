package contract

import (
	"maps"
	"slices"
	"time"

	"endivedeck.example/fault"
)

const (
	outcomeRetention = 24 * time.Hour
	shareTolerance   = 1e-9 // for rounding errors in the sum of the shares
)

type (
	// Change is an operator's request to put or retire a contract.
	Change struct {
		RequestID string    `cbor:"1,keyasint"` // to recognise a change that is sent again; may be empty
		Customer  string    `cbor:"2,keyasint"`
		Replaces  uint64    `cbor:"3,keyasint"`           // version that it replaces; 0 for a new customer
		Contract  *Contract `cbor:"4,keyasint,omitempty"` // nil to retire the contract
		At        time.Time `cbor:"5,keyasint"`           // wall-clock time of the leader
	}

	// Outcome is the result of a Change. If Error is set, the change was not
	// applied, and Current is the contract that stands, or for a request ID that
	// was used for another change the contract in the outcome of that one.
	Outcome struct {
		Error   *fault.Error `cbor:"1,keyasint,omitempty"`
		Current Accepted     `cbor:"2,keyasint"`
	}

	// RecordedOutcome is the outcome of a change, kept in case the operator sends
	// the change again.
	RecordedOutcome struct {
		Outcome Outcome   `cbor:"1,keyasint"`
		Digest  string    `cbor:"2,keyasint"` // of the change, to detect a request ID that is used for another one
		At      time.Time `cbor:"3,keyasint"`
	}

	// Store is the replicated table of contracts. It is deterministic: the
	// same changes in the same order give the same table. It is not safe for
	// concurrent use.
	Store struct {
		Revision   uint64                     `cbor:"1,keyasint"` // log index of the newest change
		Contracts  map[string]Accepted        `cbor:"2,keyasint"` // by customer
		Outcomes   map[string]RecordedOutcome `cbor:"3,keyasint"` // by request ID
		LastExpiry time.Time                  `cbor:"4,keyasint"` // when old outcomes were last removed

		// Tests switch off one of the safety checks to show that it is needed.
		skipVersionCheck bool
		skipRecording    bool
	}
)

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{Contracts: map[string]Accepted{}, Outcomes: map[string]RecordedOutcome{}}
}

// Apply applies the change at the given log index. A change that was applied
// before returns its recorded outcome.
func (s *Store) Apply(index uint64, change Change) Outcome {
	s.expireOutcomes(change.At)
	digest := digestOf(change)
	if earlier, ok := s.Outcomes[change.RequestID]; ok && change.RequestID != "" {
		if earlier.Digest == digest {
			return earlier.Outcome
		}
		return refused(fault.Conflict, "the request id was used for another change", earlier.Outcome.Current)
	}
	outcome := s.execute(index, change)
	if change.RequestID != "" && !s.skipRecording {
		s.Outcomes[change.RequestID] = RecordedOutcome{Outcome: outcome, Digest: digest, At: change.At}
	}
	return outcome
}

func (s *Store) execute(index uint64, change Change) Outcome {
	current := s.Contracts[change.Customer]
	if change.Replaces != current.Version && !s.skipVersionCheck {
		return refused(fault.Conflict, "the change doesn't replace the version that stands", current)
	}
	next := Accepted{Contract: current.Contract, Version: current.Version + 1, Revision: index, Retired: true}
	if change.Contract != nil {
		next.Contract = *change.Contract
		next.Retired = false
	}
	if change.Contract == nil && (current.Retired || current.Version == 0) {
		return refused(fault.NotFound, "there is no contract to retire", current)
	}
	if err := s.checkConflicts(next); err != nil {
		return refused(err.Kind, err.Message, current)
	}
	s.Contracts[change.Customer] = next
	s.Revision = index
	return Outcome{Current: next}
}

// checkConflicts checks a contract against those of the other customers: the
// shares must not add up to more than one, and no key may belong to two
// customers.
func (s *Store) checkConflicts(next Accepted) *fault.Error {
	if next.Retired {
		return nil
	}
	shares := next.Contract.Share
	for customer, other := range s.Contracts {
		if other.Retired || customer == next.Contract.Customer {
			continue
		}
		shares += other.Contract.Share
		for _, key := range next.Contract.Keys {
			if other.Contract.holdsKey(key) {
				return &fault.Error{Kind: fault.Conflict, Ran: fault.NotRun, Message: "a key belongs to another customer"}
			}
		}
	}
	if shares > 1+shareTolerance {
		return &fault.Error{Kind: fault.Conflict, Ran: fault.NotRun, Message: "the shares of all contracts would add up to more than the fleet"}
	}
	return nil
}

// ChangedSince returns the contracts that changed after the given revision, in
// the order of their changes.
func (s *Store) ChangedSince(revision uint64) []Accepted {
	if revision >= s.Revision {
		return nil
	}
	var changed []Accepted
	for _, accepted := range s.Contracts {
		if accepted.Revision > revision {
			changed = append(changed, accepted)
		}
	}
	slices.SortFunc(changed, func(a, b Accepted) int { return int(a.Revision) - int(b.Revision) })
	return changed
}

// List returns the contracts that are not retired, sorted by customer.
func (s *Store) List() []Accepted {
	var list []Accepted
	for _, customer := range slices.Sorted(maps.Keys(s.Contracts)) {
		if accepted := s.Contracts[customer]; !accepted.Retired {
			list = append(list, accepted)
		}
	}
	return list
}

// expireOutcomes removes the outcomes that are older than outcomeRetention, at
// most once in a sixth of that time. The age is measured by the times in the
// log, so that all replicas remove the same ones.
func (s *Store) expireOutcomes(now time.Time) {
	if now.Sub(s.LastExpiry) < outcomeRetention/6 {
		return
	}
	s.LastExpiry = now
	maps.DeleteFunc(s.Outcomes, func(_ string, r RecordedOutcome) bool {
		return now.Sub(r.At) > outcomeRetention
	})
}

// refused returns the outcome of a change that is not applied. The text is
// stored with the outcome in the replicated state, so the texts, including those
// of checkConflicts, must not change between releases: replicas of two releases
// would hold different states.
func refused(kind fault.Kind, text string, current Accepted) Outcome {
	return Outcome{Error: &fault.Error{Kind: kind, Ran: fault.NotRun, Message: text}, Current: current}
}
