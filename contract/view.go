package contract

import (
	"slices"

	"endivedeck.example/rank"
)

// View holds the contracts in force at one process, with an index of their
// keys. Its revision never decreases. Create it with NewView.
type View struct {
	mu        rank.Mutex
	revision  uint64
	contracts map[string]Accepted // by customer
	keys      map[string]string   // customer by the hash of a key
}

// NewView returns an empty view.
func NewView() *View {
	return &View{
		mu:        rank.New(rank.Contract),
		contracts: map[string]Accepted{},
		keys:      map[string]string{},
	}
}

// Advance puts contracts in force and advances the view to the given revision.
// The contracts must include all that changed between the two revisions.
// Advance does nothing unless the revision is newer than that of the view, and
// skips contracts that are not newer than the one in force.
func (v *View) Advance(revision uint64, changed []Accepted) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if revision <= v.revision {
		return
	}
	for _, accepted := range changed {
		v.put(accepted)
	}
	v.revision = revision
}

func (v *View) put(accepted Accepted) {
	customer := accepted.Contract.Customer
	old := v.contracts[customer]
	if accepted.Revision <= old.Revision {
		return
	}
	for _, key := range old.Contract.Keys {
		if hash := canonicalHash(key); v.keys[hash] == customer {
			delete(v.keys, hash)
		}
	}
	v.contracts[customer] = accepted
	if accepted.Retired {
		return
	}
	for _, key := range accepted.Contract.Keys {
		v.keys[canonicalHash(key)] = customer
	}
}

// Revision returns the revision up to which changes are in force here.
func (v *View) Revision() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.revision
}

// ByKey returns the contract of the customer whose key has the given hash.
func (v *View) ByKey(hash string) (Accepted, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	customer, ok := v.keys[canonicalHash(hash)]
	if !ok {
		return Accepted{}, false
	}
	return v.contracts[customer], true
}

// ByCustomer returns the contract of a customer, including a retired one.
func (v *View) ByCustomer(customer string) (Accepted, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	accepted, ok := v.contracts[customer]
	return accepted, ok
}

// All returns the contracts that are not retired, sorted by customer.
func (v *View) All() []Accepted {
	v.mu.Lock()
	defer v.mu.Unlock()
	all := make([]Accepted, 0, len(v.contracts))
	for _, accepted := range v.contracts {
		if !accepted.Retired {
			all = append(all, accepted)
		}
	}
	slices.SortFunc(all, func(a, b Accepted) int {
		if a.Contract.Customer < b.Contract.Customer {
			return -1
		}
		return 1
	})
	return all
}
