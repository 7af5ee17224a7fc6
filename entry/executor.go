package entry

import (
	"context"
	"sync/atomic"
	"time"

	"endivedeck.example/admission"
	"endivedeck.example/contract"
	"endivedeck.example/dispatch"
	"endivedeck.example/fault"
	"endivedeck.example/fleet"
	"endivedeck.example/interval"
	"endivedeck.example/pool"
	"endivedeck.example/routing"
)

const (
	newContractTimeout   = 2 * time.Second
	contractPollInterval = 5 * time.Millisecond
	stopMargin           = 500 * time.Millisecond // from the last response to the end of the process
)

type (
	// Executor executes callers' requests, independent of the frontend that
	// decoded them.
	Executor struct {
		entry    *Entry
		draining atomic.Bool
		stopBy   atomic.Pointer[time.Time] // when running requests are cut; nil before the stop

		dispatcher *dispatch.Dispatcher
		resolver   *resolver

		fencingDisabled bool // set by tests that check that fencing is needed
	}

	// Caller is a customer authenticated by a key, with the contract that
	// lists the key.
	Caller struct {
		Accepted contract.Accepted
	}

	// Query is a request for a completion by a model.
	Query struct {
		ID        string
		Caller    Caller
		Class     string
		Model     string
		Prompt    string
		MaxTokens int // most tokens to generate
	}

	// Usage holds the token counts of an answer.
	Usage struct {
		PromptTokens int
		AnswerTokens int
		FinishReason string // why generation ended: stop or length
	}

	// TokenWriter receives the tokens of an answer as they are generated.
	TokenWriter interface {
		// WriteTokens writes the next tokens. An error means that the caller has
		// disconnected.
		WriteTokens(text string, tokens int) error
	}
)

func newExecutor(e *Entry, policy routing.Policy) *Executor {
	return &Executor{entry: e, dispatcher: dispatch.New(e.fleet, e.admission, policy), resolver: newResolver(e)}
}

// startDraining begins a stop in which requests that still run at a time are cut.
func (x *Executor) startDraining(stopBy time.Time) {
	x.stopBy.Store(&stopBy)
	x.draining.Store(true)
}

// checkStop returns an error if a request that may take for a time must not be begun,
// because it might still run when the entry exits.
func (x *Executor) checkStop(whole time.Duration) error {
	stopBy := x.stopBy.Load()
	if stopBy == nil || time.Until(*stopBy) >= whole+stopMargin {
		return nil
	}
	return fault.New(fault.Unavailable, fault.NotRun, "the entry is stopping; the request might not finish within the %v that it may take", whole)
}

func (x *Executor) isDraining() bool { return x.draining.Load() }

// Authenticate returns the caller to whom a customer key belongs.
func (x *Executor) Authenticate(key string) (Caller, error) {
	if err := x.checkLease(); err != nil {
		return Caller{}, err
	}
	if key == "" {
		return Caller{}, fault.New(fault.Unauthenticated, fault.NotRun, "no customer key: it is expected as a bearer token in the Authorization header")
	}
	accepted, ok := x.entry.contracts.ByKey(contract.HashKey(key))
	if !ok {
		return Caller{}, fault.New(fault.Unauthenticated, fault.NotRun, "unknown customer key")
	}
	return Caller{Accepted: accepted}, nil
}

// ListModels returns the models of the caller's contract that at least one
// backend server serves.
func (x *Executor) ListModels(c Caller) []string {
	available := x.entry.fleet.Models()
	var models []string
	for _, model := range c.Accepted.Contract.Models {
		if available[model] {
			models = append(models, model)
		}
	}
	return models
}

// checkLease returns an error unless the configuration lease is held. It is
// called again after each step that may have taken long: a process that was
// paused for longer than its lease may have an outdated configuration.
func (x *Executor) checkLease() error {
	if !x.entry.member.HasLease() {
		return fault.New(fault.LeaseExpired, fault.NotRun, "the entry's configuration lease has expired")
	}
	return nil
}

// admit admits a request under the contract in force now, which may be newer
// than the one that the caller was authenticated by.
func (x *Executor) admit(caller Caller, class string, promptTokens int, selector fleet.Selector) (contract.Accepted, admission.Reservation, error) {
	if err := x.checkLease(); err != nil {
		return contract.Accepted{}, admission.Reservation{}, err
	}
	accepted, ok := x.entry.contracts.ByCustomer(caller.Accepted.Contract.Customer)
	if !ok || accepted.Retired {
		return accepted, admission.Reservation{}, fault.New(fault.Forbidden, fault.NotRun, "the contract of customer %q is retired", caller.Accepted.Contract.Customer)
	}
	if selector.Service == "" && !accepted.Contract.AllowsModel(selector.Model) {
		return accepted, admission.Reservation{}, fault.New(fault.NotFound, fault.NotRun, "the contract does not include model %q", selector.Model)
	}
	if selector.Service != "" && !accepted.Contract.AllowsService(selector.Service) {
		return accepted, admission.Reservation{}, fault.New(fault.NotFound, fault.NotRun, "the contract does not include service %q", selector.Service)
	}
	if err := x.checkStop(accepted.Contract.Classes[class].WholeAnswer.Std()); err != nil {
		return accepted, admission.Reservation{}, err
	}
	reservation, err := x.dispatcher.Admit(time.Now(), accepted, class, promptTokens, selector)
	return accepted, reservation, err
}

// awaitNewerContract waits until a contract newer than old is in force here.
// It returns false if none arrives within newContractTimeout or the newer one
// is retired.
func (x *Executor) awaitNewerContract(ctx context.Context, old contract.Accepted) (contract.Accepted, bool) {
	ctx, cancel := context.WithTimeout(ctx, newContractTimeout)
	defer cancel()
	for {
		accepted, ok := x.entry.contracts.ByCustomer(old.Contract.Customer)
		if ok && accepted.Revision > old.Revision {
			return accepted, !accepted.Retired
		}
		if !interval.Sleep(ctx, contractPollInterval) {
			return accepted, false
		}
	}
}

// chooseServer chooses a backend server and logs the decision with its reason.
func (x *Executor) chooseServer(request routing.Request, selector fleet.Selector) (fleet.Ticket, error) {
	decision, err := x.dispatcher.Choose(time.Now(), request, selector)
	line := x.entry.log.WithField("request", request.ID).WithField("customer", request.Customer).WithField("class", request.Class).
		WithField("candidates", decision.CandidateCount).WithField("reason", decision.Choice.Reason)
	if err != nil {
		line.WithField("error", fault.FromError(err).Message).Info("routing: none")
		return fleet.Ticket{}, err
	}
	line.WithField("backend", decision.Ticket.Name).Info("routing")
	return decision.Ticket, nil
}

// runOnWorker runs work on the worker pool and waits for it. The pool bounds
// the number of concurrent requests and rejects further ones early.
func (x *Executor) runOnWorker(work func() error) error {
	t := &workerTask{work: work, done: make(chan error, 1)}
	if err := x.entry.host.Pool.Submit(pool.Task(t)); err != nil {
		return err
	}
	return <-t.done
}

type workerTask struct {
	work func() error
	done chan error
}

// Run implements pool.Task.
func (t *workerTask) Run() { t.done <- t.work() }
