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
		RequestID string    `cbor:"1,keyasint"` // request id, so that the operator can send it again
		Customer  string    `cbor:"2,keyasint"`
		Replaces  uint64    `cbor:"3,keyasint"`           // version that it replaces; 0 for a new customer
		Contract  *Contract `cbor:"4,keyasint,omitempty"` // nil to retire the contract
		At        time.Time `cbor:"5,keyasint"`           // wall-clock time of the leader
	}

	// Outcome is the result of a Change. With fault.Conflict, Current is the
	// contract in force.
	Outcome struct {
		Error   *fault.Error `cbor:"1,keyasint,omitempty"`
		Current Accepted     `cbor:"2,keyasint"`
	}

	// RecordedOutcome is the outcome of a change, kept in case the operator sends
	// the change again.
	RecordedOutcome struct {
		Outcome Outcome   `cbor:"1,keyasint"`
		Digest  string    `cbor:"2,keyasint"` // of the change, to detect a request id that is used for another one
		At      time.Time `cbor:"3,keyasint"`
	}

	// Store is the replicated table of contracts. It is deterministic: the
	// same changes in the same order give the same table. It is not safe for
	// concurrent use.
	Store struct {
		Revision   uint64                     `cbor:"1,keyasint"` // log index of the newest change
		Contracts  map[string]Accepted        `cbor:"2,keyasint"` // by customer
		Outcomes   map[string]RecordedOutcome `cbor:"3,keyasint"` // by request id
		LastExpiry time.Time                  `cbor:"4,keyasint"` // when old outcomes were last removed

		// Tests switch off one of the safety checks to show that it is needed.
		skipVersionCheck bool
		skipRecording    bool
	}
)

// NewStore returns an empty table.
func NewStore() *Store {
	return &Store{Contracts: map[string]Accepted{}, Outcomes: map[string]RecordedOutcome{}}
}

// Apply applies the change at the given log index. A change that was applied
// before returns its recorded outcome.
func (b *Store) Apply(index uint64, change Change) Outcome {
	b.expireOutcomes(change.At)
	digest := digestOf(change)
	if earlier, ok := b.Outcomes[change.RequestID]; ok && change.RequestID != "" {
		if earlier.Digest == digest {
			return earlier.Outcome
		}
		return refused(fault.Conflict, "the request id was used for another change", earlier.Outcome.Current)
	}
	outcome := b.execute(index, change)
	if change.RequestID != "" && !b.skipRecording {
		b.Outcomes[change.RequestID] = RecordedOutcome{Outcome: outcome, Digest: digest, At: change.At}
	}
	return outcome
}

func (b *Store) execute(index uint64, change Change) Outcome {
	current := b.Contracts[change.Customer]
	if change.Replaces != current.Version && !b.skipVersionCheck {
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
	if err := b.checkConflicts(next); err != nil {
		return refused(err.Kind, err.Message, current)
	}
	b.Contracts[change.Customer] = next
	b.Revision = index
	return Outcome{Current: next}
}

// checkConflicts checks a contract against those of the other customers: the
// shares must not add up to more than one, and no key may belong to two
// customers.
func (b *Store) checkConflicts(next Accepted) *fault.Error {
	if next.Retired {
		return nil
	}
	shares := next.Contract.Share
	for customer, other := range b.Contracts {
		if other.Retired || customer == next.Contract.Customer {
			continue
		}
		shares += other.Contract.Share
		for _, key := range next.Contract.Keys {
			if slices.Contains(other.Contract.Keys, key) {
				return &fault.Error{Kind: fault.Conflict, Ran: fault.NotRun, Message: "a key belongs to another customer"}
			}
		}
	}
	if shares > 1+shareTolerance {
		return &fault.Error{Kind: fault.Conflict, Ran: fault.NotRun, Message: "the shares of all contracts would add up to more than the fleet"}
	}
	return nil
}

// ChangedSince returns the contracts that changed after the given revision, in the
// order of their changes.
func (b *Store) ChangedSince(revision uint64) []Accepted {
	if revision >= b.Revision {
		return nil
	}
	var changed []Accepted
	for _, accepted := range b.Contracts {
		if accepted.Revision > revision {
			changed = append(changed, accepted)
		}
	}
	slices.SortFunc(changed, func(a, b Accepted) int { return int(a.Revision) - int(b.Revision) })
	return changed
}

// List returns the contracts that are not retired, sorted by customer.
func (b *Store) List() []Accepted {
	var list []Accepted
	for _, customer := range slices.Sorted(maps.Keys(b.Contracts)) {
		if accepted := b.Contracts[customer]; !accepted.Retired {
			list = append(list, accepted)
		}
	}
	return list
}

// expireOutcomes removes the outcomes that are older than outcomeRetention, at
// most once in a sixth of it. It goes by the times in the log only, so that
// all replicas remove the same ones.
func (b *Store) expireOutcomes(now time.Time) {
	if now.Sub(b.LastExpiry) < outcomeRetention/6 {
		return
	}
	b.LastExpiry = now
	maps.DeleteFunc(b.Outcomes, func(_ string, r RecordedOutcome) bool {
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
