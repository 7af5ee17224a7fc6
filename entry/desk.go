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
	newerTime  = 2 * time.Second
	newerPause = 5 * time.Millisecond
)

type (
	// Desk serves callers' requests, whatever front they came through.
	Desk struct {
		entry *Entry
		left  atomic.Bool

		dispatcher *dispatch.Dispatcher
		settler    *settler

		unfenced bool // lost orders aren't asked about; for a twin
	}

	// Caller is a customer who has shown a key.
	Caller struct {
		Accepted contract.Accepted
	}

	// Query asks a model for an answer.
	Query struct {
		ID     string
		Caller Caller
		Class  string
		Model  string
		Prompt string
		Most   int // tokens of the answer
	}

	// Usage counts the tokens of an answer.
	Usage struct {
		Prompt int
		Answer int
		Reason string // why the answer ended
	}

	// Reader takes in an answer as it comes.
	Reader interface {
		// Take takes the next tokens. An error means that the caller is gone.
		Take(text string, tokens int) error
	}
)

func newDesk(e *Entry, policy routing.Policy) *Desk {
	return &Desk{entry: e, dispatcher: dispatch.New(e.fleet, e.limits, policy), settler: newSettler(e)}
}

func (d *Desk) leave() { d.left.Store(true) }

func (d *Desk) leaving() bool { return d.left.Load() }

// Identify returns the caller that a key belongs to.
func (d *Desk) Identify(key string) (Caller, error) {
	if err := d.mayServe(); err != nil {
		return Caller{}, err
	}
	if key == "" {
		return Caller{}, fault.New(fault.Unauthenticated, fault.No, "a customer's key is needed as bearer token")
	}
	accepted, ok := d.entry.view.ByKey(contract.HashKey(key))
	if !ok {
		return Caller{}, fault.New(fault.Unauthenticated, fault.No, "the key belongs to no customer")
	}
	return Caller{Accepted: accepted}, nil
}

// Models returns the models that the caller's contract names and that some
// backend server holds.
func (d *Desk) Models(c Caller) []string {
	held := d.entry.fleet.Models()
	var models []string
	for _, model := range c.Accepted.Contract.Models {
		if held[model] {
			models = append(models, model)
		}
	}
	return models
}

// mayServe is asked again after everything that may have taken time, because
// a process that was paused for longer than its lease serves by nothing.
func (d *Desk) mayServe() error {
	if !d.entry.member.HasLease() {
		return fault.New(fault.Lapsed, fault.No, "the entry's configuration lease has run out")
	}
	return nil
}

// admit admits a request by the contract in force now, which may be newer
// than the one that the caller was identified by.
func (d *Desk) admit(caller Caller, class string, tokens int, ask fleet.Selector) (contract.Accepted, admission.Reservation, error) {
	if err := d.mayServe(); err != nil {
		return contract.Accepted{}, admission.Reservation{}, err
	}
	accepted, ok := d.entry.view.ByCustomer(caller.Accepted.Contract.Customer)
	if !ok || accepted.Retired {
		return accepted, admission.Reservation{}, fault.New(fault.Forbidden, fault.No, "the contract is retired")
	}
	if ask.Service == "" && !accepted.Contract.AllowsModel(ask.Model) {
		return accepted, admission.Reservation{}, fault.New(fault.NotFound, fault.No, "the contract has no model %q", ask.Model)
	}
	if ask.Service != "" && !accepted.Contract.AllowsService(ask.Service) {
		return accepted, admission.Reservation{}, fault.New(fault.NotFound, fault.No, "the contract has no service %q", ask.Service)
	}
	ticket, err := d.dispatcher.Admit(time.Now(), accepted, class, tokens, ask)
	return accepted, ticket, err
}

// newer waits until a contract newer than old is in force here and returns it,
// or false when there is none soon or the contract is retired.
func (d *Desk) newer(ctx context.Context, old contract.Accepted) (contract.Accepted, bool) {
	ctx, cancel := context.WithTimeout(ctx, newerTime)
	defer cancel()
	for {
		accepted, ok := d.entry.view.ByCustomer(old.Contract.Customer)
		if ok && accepted.Revision > old.Revision {
			return accepted, !accepted.Retired
		}
		if !interval.Sleep(ctx, newerPause) {
			return accepted, false
		}
	}
}

// choose picks a backend server and writes the line that tells why.
func (d *Desk) choose(r routing.Request, ask fleet.Selector) (fleet.Ticket, error) {
	decision, err := d.dispatcher.Choose(time.Now(), r, ask)
	line := d.entry.log.WithField("request", r.ID).WithField("customer", r.Customer).WithField("class", r.Class).
		WithField("candidates", decision.CandidateCount).WithField("reason", decision.Choice.Reason)
	if err != nil {
		line.WithField("error", fault.From(err).Text).Info("routing: none")
		return fleet.Ticket{}, err
	}
	line.WithField("backend", decision.Ticket.Name).Info("routing")
	return decision.Ticket, nil
}

// onWorker runs work on the pool and waits for it, so that the number of
// requests that run at once is bounded and more are refused early.
func (d *Desk) onWorker(work func() error) error {
	t := &deskTask{work: work, done: make(chan error, 1)}
	if err := d.entry.host.Pool.Submit(pool.Task(t)); err != nil {
		return err
	}
	return <-t.done
}

type deskTask struct {
	work func() error
	done chan error
}

// Do implements pool.Task.
func (t *deskTask) Do() { t.done <- t.work() }
