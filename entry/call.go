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
	recordTimeout              = 10 * time.Second
	orderRetryInterval         = 100 * time.Millisecond
	earlierAttemptPollInterval = 200 * time.Millisecond
	earlierAttemptTimeout      = 3 * time.Second // for an earlier attempt to finish, and for beginning a lost order again
	maxIdempotencyKeyBytes     = 255
)

// orderAttempt identifies the recorded attempt that a forwarded call executes.
// It is zero for a read-only call.
type orderAttempt struct {
	beginIndex uint64 // log index at which the order was begun
	mayHaveRun bool   // it may have been executed already
}

// Call is a request to a plain service.
type Call struct {
	ID             string
	Caller         Caller
	Class          string
	Service        string
	Method         string // HTTP method
	Path           string // with the query string
	ContentType    string
	Body           []byte
	IdempotencyKey string // chosen by the caller; required for an order
}

// ReadOnly reports whether the call is read-only and may therefore be sent
// more than once. Any other call is an order.
func (c *Call) ReadOnly() bool {
	return c.Method == http.MethodGet || c.Method == http.MethodHead || c.Method == http.MethodOptions
}

// Call executes a call on a plain service. An order is executed at most once:
// its response is recorded before it is returned, and a caller that sends the
// order again with the same key gets the recorded response.
func (x *Executor) Call(ctx context.Context, c Call) (order.Response, error) {
	var response order.Response
	err := x.runOnWorker(func() error {
		var err error
		response, err = x.executeCall(ctx, c)
		return err
	})
	x.logCall(c, response, err)
	return response, err
}

func (x *Executor) executeCall(ctx context.Context, c Call) (order.Response, error) {
	if !c.ReadOnly() && (c.IdempotencyKey == "" || len(c.IdempotencyKey) > maxIdempotencyKeyBytes) {
		return order.Response{}, fault.New(fault.Malformed, fault.NotRun, "an order needs an Idempotency-Key of 1 to %d bytes, got %d", maxIdempotencyKeyBytes, len(c.IdempotencyKey))
	}
	accepted, reservation, err := x.admit(c.Caller, c.Class, 0, fleet.Selector{Service: c.Service})
	if err != nil {
		return order.Response{}, err
	}
	defer x.entry.admission.Release(reservation, 0)
	class := accepted.Contract.Classes[c.Class]
	ctx, cancel := context.WithTimeout(ctx, class.WholeAnswer.Std())
	defer cancel()
	if c.ReadOnly() {
		return x.executeRead(ctx, c, accepted)
	}
	return x.executeOrder(ctx, c, accepted)
}

// executeRead tries one backend server after another until one responds. This is
// safe because a read-only call may be repeated.
func (x *Executor) executeRead(ctx context.Context, c Call, accepted contract.Accepted) (order.Response, error) {
	tried := map[string]bool{}
	var lastErr error
	for range x.entry.settings.MaxAttempts {
		ticket, err := x.chooseServerForCall(c, accepted, tried)
		if err != nil {
			if lastErr == nil {
				lastErr = err
			}
			return order.Response{}, lastErr
		}
		tried[ticket.Name] = true
		response, err := x.forward(ctx, &ticket, c, accepted, orderAttempt{})
		if err == nil {
			return response, nil
		}
		lastErr = err
		if fault.KindOf(err) == fault.Stale {
			next, ok := x.awaitNewerContract(ctx, accepted)
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
	return order.Response{}, lastErr
}

// executeOrder begins an order in the replicated log and forwards it once. From
// then on it continues even if the caller disconnects, so that the outcome is
// recorded. An order that was lost on the way to the service, and is proved not
// to have been executed, is begun again.
func (x *Executor) executeOrder(ctx context.Context, c Call, accepted contract.Accepted) (response order.Response, err error) {
	retryCtx, cancel := context.WithTimeout(ctx, earlierAttemptTimeout)
	defer cancel()
	for callLost := false; ; {
		var begun order.BeginResult
		begun, err = x.beginOrder(ctx, c, accepted)
		if err != nil {
			return order.Response{}, err
		}
		if !begun.MayRun {
			return x.awaitEarlierAttempt(ctx, c, accepted, begun)
		}
		response, err = x.runOrder(ctx, c, accepted, begun.Record)
		didNotRun := fault.FromError(err) != nil && fault.FromError(err).Ran == fault.NotRun
		callLost = didNotRun && (callLost || fault.KindOf(err) == fault.Broken)
		if !callLost || !interval.Sleep(retryCtx, orderRetryInterval) {
			return response, err
		}
	}
}

// runOrder forwards an order that this attempt has begun. The sidecar records
// the response before it returns it.
func (x *Executor) runOrder(ctx context.Context, c Call, accepted contract.Accepted, record order.Record) (order.Response, error) {
	deadline, _ := ctx.Deadline()
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	defer cancel()
	response, err := x.forwardOrder(ctx, c, accepted, record.BeginIndex)
	if err == nil {
		return response, nil
	}
	e := fault.FromError(err)
	if e.Ran == fault.MaybeRun && e.Kind == fault.Broken {
		// The order was sent to the service and only the response was lost: the sidecar records it.
		return x.awaitEarlierAttempt(ctx, c, accepted, order.BeginResult{Record: record})
	}
	if e.Ran != fault.NotRun {
		return response, fault.New(e.Kind, e.Ran, "%s; send the order again with the same idempotency key", e.Message)
	}
	// Once it is recorded that the order did not run, its key may be used again. Until then
	// the caller is told that the outcome is unknown.
	finish := order.Finish{Key: record.Key, BeginIndex: record.BeginIndex, NotRun: true}
	if err := x.recordFinish(finish); err != nil {
		return response, fault.New(fault.Unavailable, fault.MaybeRun, "recording that the order did not run failed: %s; send it again with the same idempotency key", fault.FromError(err).Message)
	}
	return response, err
}

// beginOrder asks control to begin the order. The random ID of the attempt makes
// the request idempotent, so it is repeated if the reply is lost.
func (x *Executor) beginOrder(ctx context.Context, c Call, accepted contract.Accepted) (order.BeginResult, error) {
	mayBeLogged := false // the replicated log may contain the attempt
	begin := order.Begin{
		Key:       orderKey(c, accepted),
		Digest:    callDigest(c),
		Attempt:   randomID(),
		Retention: accepted.Contract.EffectiveOrderRetention(),
	}
	for {
		var begun order.BeginResult
		err := x.entry.member.Call(ctx, message.MethodBegin, begin, &begun)
		if err == nil {
			return begun, fault.WithStack(begun.Error)
		}
		mayBeLogged = mayBeLogged || fault.FromError(err).Ran != fault.NotRun
		if ctx.Err() != nil || fault.FromError(err).Ran == fault.NotRun || !interval.Sleep(ctx, orderRetryInterval) {
			// Whether or not the attempt was begun, this order was not forwarded and never will be.
			if mayBeLogged {
				x.resolver.add(order.Finish{Key: begin.Key, NotRun: true, Attempt: begin.Attempt}, nil)
			}
			return begun, fault.New(fault.KindOf(err), fault.NotRun, "beginning the order failed: %s", fault.FromError(err).Message)
		}
	}
}

// awaitEarlierAttempt returns the response to an order that was sent before. If
// the earlier attempt may still be running, it waits up to
// earlierAttemptTimeout for it.
func (x *Executor) awaitEarlierAttempt(ctx context.Context, c Call, accepted contract.Accepted, begun order.BeginResult) (order.Response, error) {
	waitCtx, cancel := context.WithTimeout(ctx, earlierAttemptTimeout)
	defer cancel()
	for begun.Record.State != order.Done {
		if !interval.Sleep(waitCtx, earlierAttemptPollInterval) {
			return x.retryEarlierAttempt(ctx, c, accepted, begun.Record)
		}
		next, err := x.beginOrder(waitCtx, c, accepted)
		if err != nil {
			return x.retryEarlierAttempt(ctx, c, accepted, begun.Record)
		}
		begun = next
		if begun.MayRun {
			// The earlier attempt has meanwhile been proved not to have run, and this one began the order again.
			return x.runOrder(ctx, c, accepted, begun.Record)
		}
	}
	return begun.Record.Response, nil
}

// retryEarlierAttempt sends an order whose earlier attempt may have run again,
// but only to a service that itself deduplicates by idempotency key. With any
// other service the outcome stays unknown.
func (x *Executor) retryEarlierAttempt(ctx context.Context, c Call, accepted contract.Accepted, record order.Record) (order.Response, error) {
	pending := fault.New(fault.Pending, fault.MaybeRun, "an earlier attempt of the order may have run; send it again with the same idempotency key")
	request := routing.Request{
		ID:            c.ID,
		Customer:      accepted.Contract.Customer,
		Class:         c.Class,
		FailureDomain: x.entry.host.Process.FailureDomain,
	}
	ticket, err := x.chooseServer(request, fleet.Selector{Service: c.Service, NeedsDedupe: true})
	if err != nil {
		return order.Response{}, pending
	}
	response, err := x.forward(ctx, &ticket, c, accepted, orderAttempt{beginIndex: record.BeginIndex, mayHaveRun: true})
	if err != nil {
		return order.Response{}, pending
	}
	return response, nil
}

// forwardOrder forwards an order to one backend server, and to another only if
// it is proved that the one before did not execute it.
func (x *Executor) forwardOrder(ctx context.Context, c Call, accepted contract.Accepted, beginIndex uint64) (order.Response, error) {
	tried := map[string]bool{}
	lastErr := fault.New(fault.Unavailable, fault.NotRun, "no backend server of the service accepts the order now")
	for range x.entry.settings.MaxAttempts {
		if ctx.Err() != nil {
			return order.Response{}, lastErr
		}
		ticket, err := x.chooseServerForCall(c, accepted, tried)
		if err != nil {
			return order.Response{}, lastErr
		}
		tried[ticket.Name] = true
		response, err := x.forward(ctx, &ticket, c, accepted, orderAttempt{beginIndex: beginIndex})
		// The attempt of a lost order may already be recorded as abandoned: the order must
		// be begun again and never forwarded for this attempt.
		if err == nil || fault.FromError(err).Ran != fault.NotRun || fault.KindOf(err) == fault.Broken {
			return response, err
		}
		lastErr = err
		if fault.KindOf(err) == fault.Stale {
			next, ok := x.awaitNewerContract(ctx, accepted)
			if !ok || !next.Contract.AllowsService(c.Service) {
				break
			}
			accepted = next
			clear(tried)
		}
	}
	return order.Response{}, lastErr
}

// forward sends a call to the sidecar of the chosen backend server and waits for
// its response.
func (x *Executor) forward(ctx context.Context, ticket *fleet.Ticket, c Call, accepted contract.Accepted, attempt orderAttempt) (order.Response, error) {
	deadline, _ := ctx.Deadline()
	call := message.ServiceCall{
		ID:             c.ID,
		Customer:       accepted.Contract.Customer,
		Revision:       accepted.Revision,
		Method:         c.Method,
		Path:           c.Path,
		ContentType:    c.ContentType,
		Body:           c.Body,
		BeginIndex:     attempt.beginIndex,
		MayHaveRun:     attempt.mayHaveRun,
		IdempotencyKey: c.IdempotencyKey,
		TimeLeft:       time.Until(deadline),
	}
	var reply message.ServiceResponse
	err := x.entry.client.Call(ctx, ticket.Address, message.MethodServiceCall, call, &reply)
	if err == nil && reply.ID != c.ID {
		x.entry.host.Metrics.GetOrCreateCounter("answers_crossed_total").Inc()
		err = fault.New(fault.Broken, fault.MaybeRun, "the sidecar returned the response to call %q instead of %q", reply.ID, c.ID)
	}
	serverFailed := isServerFailure(err)
	if attempt.beginIndex != 0 && !attempt.mayHaveRun && fault.KindOf(err) == fault.Broken && x.proveNotSent(ctx, ticket, orderKey(c, accepted), attempt.beginIndex) {
		err = fault.New(fault.Broken, fault.NotRun, "the connection to the sidecar was lost before the order was sent to the service")
		serverFailed = false // the sidecar responded to the fence request
	}
	x.entry.fleet.RecordEnd(time.Now(), ticket, 0, serverFailed)
	return reply.Response, err
}

// recordFinish records the outcome of an order. The request is idempotent and
// is repeated for up to recordTimeout, even if the caller disconnects, and then
// left to the resolver.
func (x *Executor) recordFinish(finish order.Finish) error {
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	for {
		var reply order.FinishResult
		err := x.entry.member.Call(ctx, message.MethodFinish, finish, &reply)
		if err == nil {
			return fault.WithStack(reply.Error)
		}
		if !interval.Sleep(ctx, orderRetryInterval) {
			x.resolver.add(finish, nil)
			return err
		}
	}
}

func (x *Executor) chooseServerForCall(c Call, accepted contract.Accepted, tried map[string]bool) (fleet.Ticket, error) {
	if err := x.checkLease(); err != nil {
		return fleet.Ticket{}, err
	}
	request := routing.Request{
		ID:            c.ID,
		Customer:      accepted.Contract.Customer,
		Class:         c.Class,
		FailureDomain: x.entry.host.Process.FailureDomain,
	}
	return x.chooseServer(request, fleet.Selector{Service: c.Service, Exclude: tried})
}

func (x *Executor) logCall(c Call, response order.Response, err error) {
	line := x.entry.log.WithField("request", c.ID).WithField("customer", c.Caller.Accepted.Contract.Customer).
		WithField("class", c.Class).WithField("service", c.Service)
	outcome := "done"
	if e := fault.FromError(err); e != nil {
		outcome = string(e.Kind)
		line = line.WithField("ran", e.Ran).WithField("error", e.Message)
	} else {
		line = line.WithField("status", response.Status)
	}
	x.entry.host.Metrics.GetOrCreateCounter(`calls_total{outcome="` + outcome + `"}`).Inc()
	line.WithField("outcome", outcome).Info("call")
}

func orderKey(c Call, accepted contract.Accepted) order.Key {
	return order.Key{Customer: accepted.Contract.Customer, Service: c.Service, Key: c.IdempotencyKey}
}

// callDigest returns a hash by which control rejects a different order that
// reuses an idempotency key.
func callDigest(c Call) uint64 {
	hash := xxhash.New()
	for _, field := range []string{c.Method, c.Path, c.ContentType, strconv.Itoa(len(c.Body))} {
		_, _ = hash.WriteString(field + "\x00")
	}
	_, _ = hash.Write(c.Body)
	return hash.Sum64()
}
