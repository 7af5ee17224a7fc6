package contract

import (
	"slices"

	"endivedeck.example/rank"
)

// View is what one process has in force. Its revision only rises. Create it
// with NewView.
type View struct {
	mu        rank.Mutex
	revision  uint64
	customers map[string]Accepted
	keys      map[string]string // hash of a key -> customer
}

// NewView returns a view with nothing in force.
func NewView() *View {
	return &View{
		mu:        rank.New(rank.Contract),
		customers: map[string]Accepted{},
		keys:      map[string]string{},
	}
}

// Advance puts the changed contracts in force, which together are all changes
// up to the given revision. It ignores a revision that isn't newer and
// contracts that aren't newer than what stands.
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
	old := v.customers[customer]
	if accepted.Revision <= old.Revision {
		return
	}
	for _, key := range old.Contract.Keys {
		if v.keys[key] == customer {
			delete(v.keys, key)
		}
	}
	v.customers[customer] = accepted
	if accepted.Retired {
		return
	}
	for _, key := range accepted.Contract.Keys {
		v.keys[key] = customer
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
	customer, ok := v.keys[hash]
	if !ok {
		return Accepted{}, false
	}
	return v.customers[customer], true
}

// ByCustomer returns the contract of a customer, retired or not.
func (v *View) ByCustomer(customer string) (Accepted, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	accepted, ok := v.customers[customer]
	return accepted, ok
}

// All returns the contracts in force, by customer.
func (v *View) All() []Accepted {
	v.mu.Lock()
	defer v.mu.Unlock()
	all := make([]Accepted, 0, len(v.customers))
	for _, accepted := range v.customers {
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
