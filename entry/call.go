package entry

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"endivedeck.example/contract"
	"endivedeck.example/fault"
	"endivedeck.example/fleet"
	"endivedeck.example/interval"
	"endivedeck.example/message"
	"endivedeck.example/order"
	"endivedeck.example/routing"
)

const (
	recordTimeout          = 10 * time.Second
	orderRetryInterval     = 100 * time.Millisecond
	earlierPollInterval    = 200 * time.Millisecond
	earlierTimeout         = 3 * time.Second // to wait for an earlier attempt
	maxIdempotencyKeyBytes = 255
)

// orderAttempt says what a call of a service is to the record of orders.
type orderAttempt struct {
	intent     uint64 // of an order; 0 for what may be repeated
	mayHaveRun bool   // an earlier attempt may have run
}

// Call asks a plain service for something.
type Call struct {
	ID          string
	Caller      Caller
	Class       string
	Service     string
	Method      string // of HTTP
	Path        string // with the query
	ContentType string
	Body        []byte
	Key         string // the caller's idempotency key
}

// Repeatable reports whether a call may be repeated. Everything but reading
// is an order.
func (c *Call) Repeatable() bool {
	return c.Method == http.MethodGet || c.Method == http.MethodHead || c.Method == http.MethodOptions
}

// Do has a plain service answer a call. An order runs at most once: its answer
// is recorded before it is given, and whoever sends the order again under its
// key gets the recorded answer.
func (d *Desk) Do(ctx context.Context, c Call) (order.Answer, error) {
	var answer order.Answer
	err := d.runOnWorker(func() error {
		var err error
		answer, err = d.executeCall(ctx, c)
		return err
	})
	d.logCall(c, answer, err)
	return answer, err
}

func (d *Desk) executeCall(ctx context.Context, c Call) (order.Answer, error) {
	if !c.Repeatable() && (c.Key == "" || len(c.Key) > maxIdempotencyKeyBytes) {
		return order.Answer{}, fault.New(fault.Malformed, fault.No, "an order needs an Idempotency-Key of 1 to %d bytes", maxIdempotencyKeyBytes)
	}
	accepted, ticket, err := d.admit(c.Caller, c.Class, 0, fleet.Ask{Service: c.Service})
	if err != nil {
		return order.Answer{}, err
	}
	defer d.entry.admission.Release(ticket, 0)
	class := accepted.Contract.Classes[c.Class]
	ctx, cancel := context.WithTimeout(ctx, class.Whole.Std())
	defer cancel()
	if c.Repeatable() {
		return d.executeRead(ctx, c, accepted)
	}
	return d.executeOrder(ctx, c, accepted)
}

// executeRead tries one backend server after another, since reading may be repeated.
func (d *Desk) executeRead(ctx context.Context, c Call, accepted contract.Accepted) (order.Answer, error) {
	tried := map[string]bool{}
	var lastErr error
	for range d.entry.settings.Tries {
		ticket, err := d.chooseServerForCall(c, accepted, tried)
		if err != nil {
			if lastErr == nil {
				lastErr = err
			}
			return order.Answer{}, lastErr
		}
		tried[ticket.Name] = true
		answer, err := d.forward(ctx, &ticket, c, accepted, orderAttempt{})
		if err == nil {
			return answer, nil
		}
		lastErr = err
		if fault.Of(err) == fault.Stale {
			next, ok := d.awaitNewerContract(ctx, accepted)
			if !ok || !next.Contract.AllowsService(c.Service) {
				break
			}
			accepted = next
			clear(tried)
			continue
		}
		if !isRetryable(err) || ctx.Err() != nil {
			break
		}
	}
	return order.Answer{}, lastErr
}

// executeOrder begins the executeOrder in the log and hands it over once. From then on it
// goes on without its caller, so that its outcome is recorded. One that was
// lost on its way, and is proved not to have run, is begun anew.
func (d *Desk) executeOrder(ctx context.Context, c Call, accepted contract.Accepted) (answer order.Answer, err error) {
	retryCtx, cancel := context.WithTimeout(ctx, earlierTimeout)
	defer cancel()
	for callLost := false; ; {
		var begun order.Begun
		begun, err = d.beginOrder(ctx, c, accepted)
		if err != nil {
			return order.Answer{}, err
		}
		if !begun.Go {
			return d.awaitEarlierAttempt(ctx, c, accepted, begun)
		}
		answer, err = d.runOrder(ctx, c, accepted, begun.Record)
		didNotRun := fault.From(err) != nil && fault.From(err).Ran == fault.No
		callLost = didNotRun && (callLost || fault.Of(err) == fault.Broken)
		if !callLost || !interval.Wait(retryCtx, orderRetryInterval) {
			return answer, err
		}
	}
}

// runOrder hands over an order that this attempt has begun. The sidecar records
// the answer before it gives it.
func (d *Desk) runOrder(ctx context.Context, c Call, accepted contract.Accepted, record order.Record) (order.Answer, error) {
	deadline, _ := ctx.Deadline()
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	defer cancel()
	answer, err := d.forwardOrder(ctx, c, accepted, record.Intent)
	if err == nil {
		return answer, nil
	}
	e := fault.From(err)
	if e.Ran == fault.Unknown && e.Kind == fault.Broken {
		// It was handed over, and the answer lost with the connection: the sidecar records it.
		return d.awaitEarlierAttempt(ctx, c, accepted, order.Begun{Record: record})
	}
	if e.Ran != fault.No {
		return answer, fault.New(e.Kind, e.Ran, "%s; ask again with the same key", e.Text)
	}
	// The proof that nothing ran frees the key; until that is recorded the caller is told that it isn't known.
	finish := order.Finish{Key: record.Key, Intent: record.Intent, NotRun: true}
	if err := d.recordFinish(finish); err != nil {
		d.resolver.add(finish, nil)
		return answer, fault.New(fault.Unavailable, fault.Unknown, "it isn't recorded that the order didn't run; ask again with the same key")
	}
	return answer, err
}

// beginOrder asks control to beginOrder the order. The attempt's name lets it ask again
// when the answer is lost.
func (d *Desk) beginOrder(ctx context.Context, c Call, accepted contract.Accepted) (order.Begun, error) {
	mayBeLogged := false // whether the log may hold the attempt
	begin := order.Begin{
		Key:     orderKey(c, accepted),
		Digest:  callDigest(c),
		Attempt: randomID(),
		Keep:    accepted.Contract.KeepTime(),
	}
	for {
		var begun order.Begun
		err := d.entry.member.Ask(ctx, message.MethodBegin, begin, &begun)
		if err == nil {
			return begun, fault.Wrap(begun.Error)
		}
		mayBeLogged = mayBeLogged || fault.From(err).Ran != fault.No
		if ctx.Err() != nil || fault.From(err).Ran == fault.No || !interval.Wait(ctx, orderRetryInterval) {
			// Begun or not, nothing was handed over, and nothing will be.
			if mayBeLogged {
				d.resolver.add(order.Finish{Key: begin.Key, NotRun: true, Attempt: begin.Attempt}, nil)
			}
			return begun, fault.New(fault.Of(err), fault.No, "the order couldn't be recorded: %s", fault.From(err).Text)
		}
	}
}

// awaitEarlierAttempt answers an order that was sent before. One that may still run is
// waited for.
func (d *Desk) awaitEarlierAttempt(ctx context.Context, c Call, accepted contract.Accepted, begun order.Begun) (order.Answer, error) {
	waitCtx, cancel := context.WithTimeout(ctx, earlierTimeout)
	defer cancel()
	for begun.Record.State != order.Done {
		if !interval.Wait(waitCtx, earlierPollInterval) {
			return d.retryEarlierAttempt(ctx, c, accepted, begun.Record)
		}
		next, err := d.beginOrder(waitCtx, c, accepted)
		if err != nil {
			return d.retryEarlierAttempt(ctx, c, accepted, begun.Record)
		}
		begun = next
		if begun.Go {
			// It was proved since that the earlier attempt didn't run, and this one has begun it anew.
			return d.runOrder(ctx, c, accepted, begun.Record)
		}
	}
	return begun.Record.Answer, nil
}

// retryEarlierAttempt settles an order whose earlier attempt may have run, where the service
// itself answers a repeated key from memory. Elsewhere nobody can know.
func (d *Desk) retryEarlierAttempt(ctx context.Context, c Call, accepted contract.Accepted, record order.Record) (order.Answer, error) {
	pending := fault.New(fault.Pending, fault.Unknown, "the order was begun earlier and may have run; ask again with the same key")
	request := routing.Request{
		ID:       c.ID,
		Customer: accepted.Contract.Customer,
		Class:    c.Class,
		Domain:   d.entry.host.Process.FailureDomain,
	}
	ticket, err := d.chooseServer(request, fleet.Ask{Service: c.Service, Dedupe: true})
	if err != nil {
		return order.Answer{}, pending
	}
	answer, err := d.forward(ctx, &ticket, c, accepted, orderAttempt{intent: record.Intent, mayHaveRun: true})
	if err != nil {
		return order.Answer{}, pending
	}
	return answer, nil
}

// forwardOrder hands an order to one backend server, to another only where it is
// proved that the one before didn't run it.
func (d *Desk) forwardOrder(ctx context.Context, c Call, accepted contract.Accepted, intent uint64) (order.Answer, error) {
	tried := map[string]bool{}
	lastErr := fault.New(fault.Unavailable, fault.No, "no backend server takes this order now")
	for range d.entry.settings.Tries {
		if ctx.Err() != nil {
			return order.Answer{}, lastErr
		}
		ticket, err := d.chooseServerForCall(c, accepted, tried)
		if err != nil {
			return order.Answer{}, lastErr
		}
		tried[ticket.Name] = true
		answer, err := d.forward(ctx, &ticket, c, accepted, orderAttempt{intent: intent})
		// One that was lost may be void on record by now: it is begun anew, never handed over under this intent.
		if err == nil || fault.From(err).Ran != fault.No || fault.Of(err) == fault.Broken {
			return answer, err
		}
		lastErr = err
		if fault.Of(err) == fault.Stale {
			next, ok := d.awaitNewerContract(ctx, accepted)
			if !ok || !next.Contract.AllowsService(c.Service) {
				break
			}
			accepted = next
			clear(tried)
		}
	}
	return order.Answer{}, lastErr
}

func (d *Desk) forward(ctx context.Context, ticket *fleet.Ticket, c Call, accepted contract.Accepted, attempt orderAttempt) (order.Answer, error) {
	deadline, _ := ctx.Deadline()
	call := message.ServiceCall{
		ID:          c.ID,
		Customer:    accepted.Contract.Customer,
		Revision:    accepted.Revision,
		Method:      c.Method,
		Path:        c.Path,
		ContentType: c.ContentType,
		Body:        c.Body,
		Order:       attempt.intent,
		Again:       attempt.mayHaveRun,
		Key:         c.Key,
		Left:        time.Until(deadline),
	}
	var answer message.ServiceAnswer
	err := d.entry.client.Ask(ctx, ticket.Address, message.MethodCall, call, &answer)
	if err == nil && answer.ID != c.ID {
		d.entry.host.Metrics.GetOrCreateCounter("answers_crossed_total").Inc()
		err = fault.New(fault.Broken, fault.Unknown, "the sidecar gave the answer to another call")
	}
	serverFailed := isServerFailure(err)
	if attempt.intent != 0 && !attempt.mayHaveRun && fault.Of(err) == fault.Broken && d.proveNotForwarded(ctx, ticket, orderKey(c, accepted), attempt.intent) {
		err = fault.New(fault.Broken, fault.No, "the order was lost on its way to the service")
		serverFailed = false // the sidecar could be asked
	}
	d.entry.fleet.Done(time.Now(), ticket, 0, serverFailed)
	return answer.Answer, err
}

// recordFinish records an outcome. It may be repeated, and outlasts the caller.
func (d *Desk) recordFinish(finish order.Finish) error {
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	for {
		var reply order.Finished
		err := d.entry.member.Ask(ctx, message.MethodFinish, finish, &reply)
		if err == nil {
			return fault.Wrap(reply.Error)
		}
		if !interval.Wait(ctx, orderRetryInterval) {
			return err
		}
	}
}

func (d *Desk) chooseServerForCall(c Call, accepted contract.Accepted, tried map[string]bool) (fleet.Ticket, error) {
	if err := d.checkLease(); err != nil {
		return fleet.Ticket{}, err
	}
	request := routing.Request{
		ID:       c.ID,
		Customer: accepted.Contract.Customer,
		Class:    c.Class,
		Domain:   d.entry.host.Process.FailureDomain,
	}
	return d.chooseServer(request, fleet.Ask{Service: c.Service, Not: tried})
}

func (d *Desk) logCall(c Call, answer order.Answer, err error) {
	line := d.entry.log.WithField("request", c.ID).WithField("customer", c.Caller.Accepted.Contract.Customer).
		WithField("class", c.Class).WithField("service", c.Service)
	outcome := "done"
	if e := fault.From(err); e != nil {
		outcome = string(e.Kind)
		line = line.WithField("ran", e.Ran).WithField("error", e.Text)
	} else {
		line = line.WithField("status", answer.Status)
	}
	d.entry.host.Metrics.GetOrCreateCounter(`calls_total{outcome="` + outcome + `"}`).Inc()
	line.WithField("outcome", outcome).Info("call")
}

func orderKey(c Call, accepted contract.Accepted) order.Key {
	return order.Key{Customer: accepted.Contract.Customer, Service: c.Service, Key: c.Key}
}

// callDigest tells orders under one key apart.
func callDigest(c Call) uint64 {
	digest := xxhash.New()
	for _, part := range []string{c.Method, c.Path, c.ContentType, strconv.Itoa(len(c.Body))} {
		_, _ = digest.WriteString(part + "\x00")
	}
	_, _ = digest.Write(c.Body)
	return digest.Sum64()
}
