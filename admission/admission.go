// Package admission decides whether a request may begin.
//
// Every limit follows from the customer's contract. Rates and concurrency are
// split among the entries by the number of them, so that no call per request
// is needed. Under overload work is refused early, by priority and by the
// customer's share of the fleet, always with the promise that nothing ran.
package admission

import (
	"time"

	"golang.org/x/time/rate"

	"endivedeck.example/contract"
	"endivedeck.example/fault"
	"endivedeck.example/rank"
)

const (
	shedFrom = 0.8   // of the fleet in use, from where the lowest priority is refused
	shedStep = 0.025 // more for each level of priority
)

type (
	// Request asks to begin.
	Request struct {
		Accepted contract.Accepted
		Class    string
		Engine   bool // it takes a slot of an engine
	}

	// Split says which part of each limit this entry has.
	Split struct {
		Entries int // entries that share
		Place   int // of this entry among them, from 0
	}

	// Pressure is how much of the fleet this entry sees in use.
	Pressure struct {
		Used  int // requests running or queued
		Slots int // requests that can run at once; 0 where it isn't known
	}

	// Ticket is an admitted request; give it back with Release.
	Ticket struct {
		key    key
		engine bool
	}

	// Admission holds the use of each limit. Create it with New.
	Admission struct {
		mu       rank.Mutex
		split    Split
		uses     map[key]*use
		customer map[string]int // requests in engines by customer
	}

	key struct{ customer, class string }

	use struct {
		revision uint64
		split    Split
		limiter  *rate.Limiter
		most     int
		running  int
	}
)

// New returns an admission without any use.
func New() *Admission {
	return &Admission{
		mu:       rank.New(rank.Admission),
		split:    Split{Entries: 1},
		uses:     map[key]*use{},
		customer: map[string]int{},
	}
}

// SetSplit changes the part of each limit that this entry has.
func (a *Admission) SetSplit(s Split) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if s.Entries > 0 {
		a.split = s
	}
}

// Admit lets a request begin or refuses it with OverLimit or Overloaded.
func (a *Admission) Admit(now time.Time, r Request, p Pressure) (Ticket, error) {
	class, ok := r.Accepted.Contract.Classes[r.Class]
	if !ok {
		return Ticket{}, fault.New(fault.Forbidden, fault.No, "the contract has no class %q", r.Class)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	customer := r.Accepted.Contract.Customer
	u := a.use(now, key{customer, r.Class}, r.Accepted.Revision, class)
	if u.running >= u.most {
		return Ticket{}, fault.New(fault.OverLimit, fault.No, "%d requests of class %s run already at this entry", u.running, r.Class)
	}
	if r.Engine && a.sheds(class, r.Accepted.Contract, p) {
		return Ticket{}, fault.New(fault.Overloaded, fault.No, "the fleet is full for class %s: %d requests for %d slots", r.Class, p.Used, p.Slots)
	}
	if !u.limiter.AllowN(now, 1) {
		return Ticket{}, fault.New(fault.OverLimit, fault.No, "the rate of class %s is used up", r.Class)
	}
	u.running++
	if r.Engine {
		a.customer[customer]++
	}
	return Ticket{key: key{customer, r.Class}, engine: r.Engine}, nil
}

// Release gives back what a request used.
func (a *Admission) Release(t Ticket) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if u := a.uses[t.key]; u != nil {
		u.running--
	}
	if t.engine {
		a.customer[t.key.customer]--
		if a.customer[t.key.customer] == 0 {
			delete(a.customer, t.key.customer)
		}
	}
}

// sheds decides under overload: a class is refused from a use of the fleet
// that rises with its priority, and a customer within its share later than
// one above it.
func (a *Admission) sheds(class contract.Class, c contract.Contract, p Pressure) bool {
	if p.Slots == 0 {
		return false
	}
	used := float64(p.Used) / float64(p.Slots)
	bound := shedFrom + shedStep*float64(class.Priority)
	mine := float64(a.customer[c.Customer]*max(1, a.split.Entries)) / float64(p.Slots)
	if mine < c.Share {
		bound += 1 - shedFrom
	}
	return used >= bound
}

// use returns the use of a limit, brought up to the contract in force. What
// runs keeps counting across a change.
func (a *Admission) use(now time.Time, k key, revision uint64, class contract.Class) *use {
	u := a.uses[k]
	if u == nil {
		u = &use{}
		a.uses[k] = u
	}
	if u.limiter != nil && u.revision == revision && u.split == a.split {
		return u
	}
	limit := rate.Limit(class.Rate / float64(a.split.Entries))
	burst := max(1, part(class.Burst, a.split)) // the rate still holds over all entries
	if u.limiter == nil {
		u.limiter = rate.NewLimiter(limit, burst)
	} else {
		u.limiter.SetLimitAt(now, limit)
		u.limiter.SetBurstAt(now, burst)
	}
	u.most = part(class.Concurrency, a.split)
	u.revision = revision
	u.split = a.split
	return u
}

// part returns this entry's part of a whole number; the parts of all entries
// add up to it.
func part(whole int, s Split) int {
	n := whole / s.Entries
	if s.Place < whole%s.Entries {
		n++
	}
	return n
}
