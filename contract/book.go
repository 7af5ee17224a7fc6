package contract

import (
	"maps"
	"slices"
	"time"

	"endivedeck.example/fault"
)

const (
	rememberTime = 24 * time.Hour
	shareSlack   = 1e-9
)

type (
	// Change is an operator's wish to put or retire a contract.
	Change struct {
		RequestID string    `cbor:"1,keyasint"` // names the wish, so that it can be sent again
		Customer  string    `cbor:"2,keyasint"`
		Replaces  uint64    `cbor:"3,keyasint"` // the version that it replaces; 0 for a new customer
		Contract  *Contract `cbor:"4,keyasint,omitempty"`
		At        time.Time `cbor:"5,keyasint"` // the leader's time of day
	}

	// Outcome is what became of a Change. With fault.Conflict, Current is
	// the contract that stands.
	Outcome struct {
		Error   *fault.Error `cbor:"1,keyasint,omitempty"`
		Current Accepted     `cbor:"2,keyasint"`
	}

	// RecordedOutcome is the outcome of a change that may be sent again.
	RecordedOutcome struct {
		Outcome Outcome   `cbor:"1,keyasint"`
		Digest  string    `cbor:"2,keyasint"` // of the change, so that an id can't stand for two
		At      time.Time `cbor:"3,keyasint"`
	}

	// Store is the replicated table of contracts: the same changes in the
	// same order give the same book. It isn't safe for concurrent use.
	Store struct {
		Revision   uint64                     `cbor:"1,keyasint"` // of the newest change
		Contracts  map[string]Accepted        `cbor:"2,keyasint"` // by customer
		Outcomes   map[string]RecordedOutcome `cbor:"3,keyasint"` // by request id
		LastExpiry time.Time                  `cbor:"4,keyasint"` // when requests were last forgotten

		unversioned bool // a change may replace any version; for a twin
		forgetful   bool // requests aren't remembered; for a twin
	}
)

// NewStore returns an empty book.
func NewStore() *Store {
	return &Store{Contracts: map[string]Accepted{}, Outcomes: map[string]RecordedOutcome{}}
}

// Apply carries out the change that stands at the given index of the log.
func (b *Store) Apply(index uint64, change Change) Outcome {
	b.forget(change.At)
	digest := digestOf(change)
	if earlier, ok := b.Outcomes[change.RequestID]; ok && change.RequestID != "" {
		if earlier.Digest == digest {
			return earlier.Outcome
		}
		return refused(fault.Conflict, "the request id was used for another change", earlier.Outcome.Current)
	}
	outcome := b.change(index, change)
	if change.RequestID != "" && !b.forgetful {
		b.Outcomes[change.RequestID] = RecordedOutcome{Outcome: outcome, Digest: digest, At: change.At}
	}
	return outcome
}

func (b *Store) change(index uint64, change Change) Outcome {
	current := b.Contracts[change.Customer]
	if change.Replaces != current.Version && !b.unversioned {
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
	if err := b.fits(next); err != nil {
		return refused(err.Kind, err.Text, current)
	}
	b.Contracts[change.Customer] = next
	b.Revision = index
	return Outcome{Current: next}
}

// fits checks a contract against the others: shares add up to one at most,
// and a key belongs to one customer.
func (b *Store) fits(next Accepted) *fault.Error {
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
				return &fault.Error{Kind: fault.Conflict, Ran: fault.No, Text: "a key belongs to another customer"}
			}
		}
	}
	if shares > 1+shareSlack {
		return &fault.Error{Kind: fault.Conflict, Ran: fault.No, Text: "the shares of all contracts would add up to more than the fleet"}
	}
	return nil
}

// ChangedSince returns the contracts that changed after the given revision, the
// earliest change first.
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

// List returns all contracts that aren't retired, by customer.
func (b *Store) List() []Accepted {
	var list []Accepted
	for _, customer := range slices.Sorted(maps.Keys(b.Contracts)) {
		if accepted := b.Contracts[customer]; !accepted.Retired {
			list = append(list, accepted)
		}
	}
	return list
}

// forget drops the outcomes that are older than rememberTime. It looks at
// most once in a sixth of it, by the times in the log alone.
func (b *Store) forget(now time.Time) {
	if now.Sub(b.LastExpiry) < rememberTime/6 {
		return
	}
	b.LastExpiry = now
	maps.DeleteFunc(b.Outcomes, func(_ string, r RecordedOutcome) bool {
		return now.Sub(r.At) > rememberTime
	})
}

func refused(kind fault.Kind, text string, current Accepted) Outcome {
	return Outcome{Error: &fault.Error{Kind: kind, Ran: fault.No, Text: text}, Current: current}
}
