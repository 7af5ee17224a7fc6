// Package admission decides whether a request may begin.
//
// Every limit follows from the customer's contract. Rates and concurrency are
// split among the entries by the number of them, so that no call per request
// is needed. Under overload work is refused early, by priority and by the
// customer's share of the fleet, always with the promise that nothing ran.
package admission

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"endivedeck.example/contract"
	"endivedeck.example/fault"
	"endivedeck.example/rank"
)

const (
	shedFrom  = 0.8   // of the slots in use, from where the lowest priority is refused
	shedStep  = 0.025 // more for each level of priority
	lendUntil = 0.9   // of the engines' time asked for, from where nobody gets more than their share
	lendLeast = 0.01  // of the engines' time that others ask for

	workTime     = 5 * time.Second // over which work is averaged
	defaultRate  = 10_000.0        // prompt tokens a second, where it isn't known
	firstAnswer  = 128.0           // tokens that an answer is taken to have at first
	answerWeight = 0.05            // of the newest answer in the average
)

type (
	// Request asks to begin.
	Request struct {
		Accepted       contract.Accepted
		Class          string
		NeedsEngine    bool // it takes a slot of an engine
		UncachedTokens int  // tokens that no engine is believed to have cached
	}

	// Split says which part of each limit this entry has.
	Split struct {
		Entries int // entries that share
		Index   int // of this entry among them, from 0
	}

	// FleetLoad is how much of the fleet this entry sees in use.
	FleetLoad struct {
		Requests int // requests running or queued
		Slots    int // requests that can run at once; 0 where it isn't known

		Engines    int           // that may take the request
		PromptRate float64       // prompt tokens a second of one engine; 0 where it isn't known
		TokenTime  time.Duration // engine time for one answer token among many
	}

	// Reservation is an admitted request; give it back with Release.
	Reservation struct {
		Borrowed bool // it takes what others leave unused

		key    key
		engine bool
	}

	// Controller holds the use of each limit. Create it with New.
	Controller struct {
		mu       rank.Mutex
		split    Split
		uses     map[key]*use
		customer map[string]int   // requests in engines by customer
		works    map[string]*work // engines' time by customer
		total    work
	}

	// work is engines' time a second, averaged over workTime.
	work struct {
		at   time.Time
		rate float64
	}

	key struct{ customer, class string }

	use struct {
		revision uint64
		split    Split
		limiter  *rate.Limiter
		most     int
		running  int
		answer   float64 // tokens that an answer has on average
	}
)

// New returns an admission without any use.
func New() *Controller {
	return &Controller{
		mu:       rank.New(rank.Admission),
		split:    Split{Entries: 1},
		uses:     map[key]*use{},
		customer: map[string]int{},
		works:    map[string]*work{},
	}
}

// SetSplit changes the part of each limit that this entry has.
func (a *Controller) SetSplit(s Split) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if s.Entries > 0 {
		a.split = s
	}
}

// Split returns the part of each limit that this entry has.
func (a *Controller) Split() Split {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.split
}

// Admit lets a request begin or refuses it with OverLimit or Overloaded.
func (a *Controller) Admit(now time.Time, r Request, p FleetLoad) (Reservation, error) {
	class, ok := r.Accepted.Contract.Classes[r.Class]
	if !ok {
		return Reservation{}, fault.New(fault.Forbidden, fault.No, "the contract has no class %q", r.Class)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	customer := r.Accepted.Contract.Customer
	u := a.use(now, key{customer, r.Class}, r.Accepted.Revision, class)
	if u.running >= u.most {
		return Reservation{}, fault.New(fault.OverLimit, fault.No, "%d requests of class %s run already at this entry", u.running, r.Class)
	}
	if r.NeedsEngine && a.sheds(class, r.Accepted.Contract, p) {
		return Reservation{}, fault.New(fault.Overloaded, fault.No, "the fleet is full for class %s: %d requests for %d slots", r.Class, p.Requests, p.Slots)
	}
	lends, lent := a.lends(now, r, p)
	if r.NeedsEngine && !lends {
		return Reservation{}, fault.New(fault.Overloaded, fault.No, "the customer is above its share and the fleet has no more to lend")
	}
	if !u.limiter.AllowN(now, 1) {
		return Reservation{}, fault.New(fault.OverLimit, fault.No, "the rate of class %s is used up", r.Class)
	}
	u.running++
	if r.NeedsEngine {
		a.customer[customer]++
		spent := u.work(r, p)
		a.workOf(customer).add(now, spent)
		a.total.add(now, spent)
	}
	return Reservation{Borrowed: r.NeedsEngine && lent, key: key{customer, r.Class}, engine: r.NeedsEngine}, nil
}

// Priority returns the priority that a request of a class with the given one
// has in engines: what is lent gives way to everything else.
func (t Reservation) Priority(own int) int {
	if t.Borrowed {
		return 0
	}
	return own
}

// Release gives back what a request used. Its answer had the given number of
// tokens, from which the work of later ones is estimated.
func (a *Controller) Release(t Reservation, answer int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if u := a.uses[t.key]; u != nil {
		u.running--
		if answer > 0 {
			u.answer += answerWeight * (float64(answer) - u.answer)
		}
	}
	if t.engine {
		a.customer[t.key.customer]--
		if a.customer[t.key.customer] == 0 {
			delete(a.customer, t.key.customer)
		}
	}
}

// lends decides by the engines' time that is asked for: what others leave
// unused is lent, until the fleet is nearly in use; from there a customer gets
// its share and no more. What is lent gives way to everything else, in engines
// and in routing, so that nobody takes from another's share. While nobody else
// asks for anything, nothing is lent.
func (a *Controller) lends(now time.Time, r Request, p FleetLoad) (lends, lent bool) {
	if p.Engines == 0 {
		return true, false
	}
	fleet := float64(p.Engines) / float64(max(1, a.split.Entries))
	total := a.total.now(now) / fleet
	mine := a.workOf(r.Accepted.Contract.Customer).now(now) / fleet
	above := mine >= r.Accepted.Contract.Share
	return total < lendUntil || !above, above && total-mine > lendLeast
}

func (a *Controller) workOf(customer string) *work {
	w := a.works[customer]
	if w == nil {
		w = &work{}
		a.works[customer] = w
	}
	return w
}

// work returns the engine time in seconds that a request is expected to take.
func (u *use) work(r Request, p FleetLoad) float64 {
	rate := p.PromptRate
	if rate <= 0 {
		rate = defaultRate
	}
	return float64(r.UncachedTokens)/rate + u.answer*p.TokenTime.Seconds()
}

func (w *work) now(now time.Time) float64 {
	if w.at.IsZero() {
		return 0
	}
	return w.rate * math.Exp(-now.Sub(w.at).Seconds()/workTime.Seconds())
}

func (w *work) add(now time.Time, seconds float64) {
	w.rate = w.now(now) + seconds/workTime.Seconds()
	w.at = now
}

// sheds decides under overload: a class is refused from a use of the fleet
// that rises with its priority, and a customer within its share later than
// one above it.
func (a *Controller) sheds(class contract.Class, c contract.Contract, p FleetLoad) bool {
	if p.Slots == 0 {
		return false
	}
	used := float64(p.Requests) / float64(p.Slots)
	bound := shedFrom + shedStep*float64(class.Priority)
	mine := float64(a.customer[c.Customer]*max(1, a.split.Entries)) / float64(p.Slots)
	if mine < c.Share {
		bound += 1 - shedFrom
	}
	return used >= bound
}

// use returns the use of a limit, brought up to the contract in force. What
// runs keeps counting across a change.
func (a *Controller) use(now time.Time, k key, revision uint64, class contract.Class) *use {
	u := a.uses[k]
	if u == nil {
		u = &use{answer: firstAnswer}
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
	if s.Index < whole%s.Entries {
		n++
	}
	return n
}
