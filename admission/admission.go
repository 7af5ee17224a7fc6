// Package admission decides whether a request may start.
//
// Every limit comes from the customer's contract. Rates and concurrency limits
// are divided among the entry processes, so that admission needs no remote
// call per request. Under overload requests are rejected early, by priority
// and by the customer's share of the fleet. A rejected request has not run,
// and the error says so.
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
	shedUtilization       = 0.8   // of the slots, from which the lowest priority is rejected
	shedStepPerPriority   = 0.025 // added for each level of priority
	maxLendingUtilization = 0.9   // of the engine time, from which no customer gets more than its share
	minOthersDemand       = 0.01  // of the engine time; below it a customer counts as being alone

	averagingTime       = 5 * time.Second // time constant of the averages of engine time
	defaultPromptRate   = 10_000.0        // prompt tokens per second, if unknown
	initialAnswerTokens = 128.0           // assumed length of an answer until some were observed
	answerAverageWeight = 0.05            // of the newest answer in the average length
)

type (
	// Request is a request to be admitted.
	Request struct {
		Accepted       contract.Accepted
		Class          string
		NeedsEngine    bool // whether it needs a slot of an engine
		UncachedTokens int  // tokens that no engine is believed to have cached
	}

	// Split determines which part of each limit belongs to this entry process.
	Split struct {
		Entries int // entry processes that share the limits
		Index   int // index of this one among them, from 0
	}

	// FleetLoad is the load of the backend servers that may get a request, as
	// this entry process sees it.
	FleetLoad struct {
		Requests int // requests running or queued
		Slots    int // requests that can run at the same time; 0 if unknown

		Engines    int           // backend servers that may get the request
		PromptRate float64       // prompt tokens per second of one engine; 0 if unknown
		TokenTime  time.Duration // engine time per answer token with all slots in use
	}

	// Reservation is an admitted request. Release frees what it occupies.
	Reservation struct {
		Borrowed bool // it runs on capacity borrowed from other customers

		key    classKey
		engine bool
	}

	// Controller tracks the use of each limit. Create it with New.
	Controller struct {
		mu              rank.Mutex
		split           Split
		usage           map[classKey]*classUsage
		engineRequests  map[string]int           // admitted requests that need an engine, by customer
		engineTime      map[string]*decayingRate // by customer
		totalEngineTime decayingRate
	}

	// decayingRate is an exponentially decaying average of engine seconds per
	// second, with the time constant averagingTime.
	decayingRate struct {
		updatedAt time.Time
		rate      float64
	}

	classKey struct{ customer, class string }

	// classUsage is the use of a class's limits at this entry process.
	classUsage struct {
		revision     uint64 // of the contract that the limits come from
		split        Split
		limiter      *rate.Limiter
		maxRunning   int
		running      int
		answerTokens float64 // average length of an answer
	}
)

// New returns a Controller with no requests admitted.
func New() *Controller {
	return &Controller{
		mu:             rank.New(rank.Admission),
		split:          Split{Entries: 1},
		usage:          map[classKey]*classUsage{},
		engineRequests: map[string]int{},
		engineTime:     map[string]*decayingRate{},
	}
}

// SetSplit changes which part of each limit belongs to this entry process. It
// ignores a split without entry processes.
func (c *Controller) SetSplit(s Split) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.Entries > 0 {
		c.split = s
	}
}

// Split returns which part of each limit belongs to this entry process.
func (c *Controller) Split() Split {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.split
}

// Admit admits a request or rejects it with fault.Forbidden,
// fault.LimitExceeded or fault.Overloaded.
func (c *Controller) Admit(now time.Time, r Request, load FleetLoad) (Reservation, error) {
	class, ok := r.Accepted.Contract.Classes[r.Class]
	if !ok {
		return Reservation{}, fault.New(fault.Forbidden, fault.NotRun, "the contract has no class %q", r.Class)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	customer := r.Accepted.Contract.Customer
	u := c.usageOf(now, classKey{customer, r.Class}, r.Accepted.Revision, class)
	if u.running >= u.maxRunning {
		return Reservation{}, fault.New(fault.LimitExceeded, fault.NotRun, "concurrency limit reached: %d requests running, class %q allows %d at this entry", u.running, r.Class, u.maxRunning)
	}
	if r.NeedsEngine && c.shouldShed(class, r.Accepted.Contract, load) {
		return Reservation{}, fault.New(fault.Overloaded, fault.NotRun, "the fleet has no capacity left for class %q: %d requests on %d slots", r.Class, load.Requests, load.Slots)
	}
	allowed, borrowed := c.checkShare(now, r, load)
	if r.NeedsEngine && !allowed {
		return Reservation{}, fault.New(fault.Overloaded, fault.NotRun, "the customer uses its share of the fleet (%v) and no unused capacity is left to borrow", r.Accepted.Contract.Share)
	}
	if !u.limiter.AllowN(now, 1) {
		return Reservation{}, fault.New(fault.LimitExceeded, fault.NotRun, "rate limit of class %q exceeded: %v requests per second over all entries", r.Class, class.Rate)
	}
	u.running++
	if r.NeedsEngine {
		c.engineRequests[customer]++
		expected := u.expectedEngineTime(r, load)
		c.engineTimeOf(customer).add(now, expected)
		c.totalEngineTime.add(now, expected)
	}
	return Reservation{Borrowed: r.NeedsEngine && borrowed, key: classKey{customer, r.Class}, engine: r.NeedsEngine}, nil
}

// Priority returns the priority of the request in engines: that of its class,
// or the lowest for a request on borrowed capacity.
func (r Reservation) Priority(classPriority int) int {
	if r.Borrowed {
		return 0
	}
	return classPriority
}

// Release frees what a request occupied. answerTokens, the length of its answer,
// goes into the estimate for later requests of its class.
func (c *Controller) Release(r Reservation, answerTokens int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if u := c.usage[r.key]; u != nil {
		u.running--
		if answerTokens > 0 {
			u.answerTokens += answerAverageWeight * (float64(answerTokens) - u.answerTokens)
		}
	}
	if r.engine {
		c.engineRequests[r.key.customer]--
		if c.engineRequests[r.key.customer] == 0 {
			delete(c.engineRequests, r.key.customer)
		}
	}
}

// checkShare decides by the demand for engine time whether a customer may get
// more than its share. It may borrow what others leave unused until the fleet
// is used to maxLendingUtilization; from there on it gets its share only. A
// request on borrowed capacity yields to all others, in engines and in
// routing, so borrowing takes nothing from another customer's share. While no
// other customer has any demand, nothing counts as borrowed.
func (c *Controller) checkShare(now time.Time, r Request, load FleetLoad) (allowed, borrowed bool) {
	if load.Engines == 0 {
		return true, false
	}
	capacity := float64(load.Engines) / float64(max(1, c.split.Entries))
	total := c.totalEngineTime.valueAt(now) / capacity
	own := c.engineTimeOf(r.Accepted.Contract.Customer).valueAt(now) / capacity
	above := own >= r.Accepted.Contract.Share
	return total < maxLendingUtilization || !above, above && total-own > minOthersDemand
}

func (c *Controller) engineTimeOf(customer string) *decayingRate {
	r := c.engineTime[customer]
	if r == nil {
		r = &decayingRate{}
		c.engineTime[customer] = r
	}
	return r
}

// expectedEngineTime returns the engine time that a request is expected to
// take, in seconds.
func (u *classUsage) expectedEngineTime(r Request, load FleetLoad) float64 {
	promptRate := load.PromptRate
	if promptRate <= 0 {
		promptRate = defaultPromptRate
	}
	return float64(r.UncachedTokens)/promptRate + u.answerTokens*load.TokenTime.Seconds()
}

func (d *decayingRate) valueAt(now time.Time) float64 {
	if d.updatedAt.IsZero() {
		return 0
	}
	return d.rate * math.Exp(-now.Sub(d.updatedAt).Seconds()/averagingTime.Seconds())
}

func (d *decayingRate) add(now time.Time, seconds float64) {
	d.rate = d.valueAt(now) + seconds/averagingTime.Seconds()
	d.updatedAt = now
}

// shouldShed reports whether a request is rejected because of overload. The
// utilization from which that happens rises with the priority of the class,
// and is higher for a customer that uses less than its share.
func (c *Controller) shouldShed(class contract.Class, terms contract.Contract, load FleetLoad) bool {
	if load.Slots == 0 {
		return false
	}
	utilization := float64(load.Requests) / float64(load.Slots)
	threshold := shedUtilization + shedStepPerPriority*float64(class.Priority)
	own := float64(c.engineRequests[terms.Customer]*max(1, c.split.Entries)) / float64(load.Slots)
	if own < terms.Share {
		threshold += 1 - shedUtilization
	}
	return utilization >= threshold
}

// usageOf returns the usage of a class, with its limits set from the contract
// in force. Running requests still count after the contract has changed.
func (c *Controller) usageOf(now time.Time, k classKey, revision uint64, class contract.Class) *classUsage {
	u := c.usage[k]
	if u == nil {
		u = &classUsage{answerTokens: initialAnswerTokens}
		c.usage[k] = u
	}
	if u.limiter != nil && u.revision == revision && u.split == c.split {
		return u
	}
	limit := rate.Limit(class.Rate / float64(c.split.Entries))
	burst := max(1, entryPart(class.Burst, c.split)) // a minimum of 1 may raise the total burst, but not the total rate
	if u.limiter == nil {
		u.limiter = rate.NewLimiter(limit, burst)
	} else {
		u.limiter.SetLimitAt(now, limit)
		u.limiter.SetBurstAt(now, burst)
	}
	u.maxRunning = entryPart(class.Concurrency, c.split)
	u.revision = revision
	u.split = c.split
	return u
}

// entryPart returns this entry process's part of an integer limit. The parts
// of all entry processes add up to the limit.
func entryPart(limit int, s Split) int {
	n := limit / s.Entries
	if s.Index < limit%s.Entries {
		n++
	}
	return n
}
