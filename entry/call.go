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
	finishTime  = 10 * time.Second
	finishPause = 100 * time.Millisecond
	openPause   = 200 * time.Millisecond
	openTime    = 3 * time.Second // to wait for an earlier attempt
	maxKeyBytes = 255
)

// handing says what a call of a service is to the record of orders.
type handing struct {
	intent uint64 // of an order; 0 for what may be repeated
	again  bool   // an earlier attempt may have run
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
func (d *Desk) Do(ctx context.Context, c Call) (order.Response, error) {
	var answer order.Response
	err := d.onWorker(func() error {
		var err error
		answer, err = d.do(ctx, c)
		return err
	})
	d.noteCall(c, answer, err)
	return answer, err
}

func (d *Desk) do(ctx context.Context, c Call) (order.Response, error) {
	if !c.Repeatable() && (c.Key == "" || len(c.Key) > maxKeyBytes) {
		return order.Response{}, fault.New(fault.Malformed, fault.No, "an order needs an Idempotency-Key of 1 to %d bytes", maxKeyBytes)
	}
	accepted, ticket, err := d.admit(c.Caller, c.Class, 0, fleet.Selector{Service: c.Service})
	if err != nil {
		return order.Response{}, err
	}
	defer d.entry.limits.Release(ticket, 0)
	class := accepted.Contract.Classes[c.Class]
	ctx, cancel := context.WithTimeout(ctx, class.WholeAnswer.Std())
	defer cancel()
	if c.Repeatable() {
		return d.read(ctx, c, accepted)
	}
	return d.order(ctx, c, accepted)
}

// read tries one backend server after another, since reading may be repeated.
func (d *Desk) read(ctx context.Context, c Call, accepted contract.Accepted) (order.Response, error) {
	tried := map[string]bool{}
	var last error
	for range d.entry.settings.Tries {
		ticket, err := d.chooseService(c, accepted, tried)
		if err != nil {
			if last == nil {
				last = err
			}
			return order.Response{}, last
		}
		tried[ticket.Name] = true
		answer, err := d.hand(ctx, &ticket, c, accepted, handing{})
		if err == nil {
			return answer, nil
		}
		last = err
		if fault.Of(err) == fault.Stale {
			next, ok := d.newer(ctx, accepted)
			if !ok || !next.Contract.AllowsService(c.Service) {
				break
			}
			accepted = next
			clear(tried)
			continue
		}
		if !mayRetry(err) || ctx.Err() != nil {
			break
		}
	}
	return order.Response{}, last
}

// order begins the order in the log and hands it over once. From then on it
// goes on without its caller, so that its outcome is recorded. One that was
// lost on its way, and is proved not to have run, is begun anew.
func (d *Desk) order(ctx context.Context, c Call, accepted contract.Accepted) (answer order.Response, err error) {
	again, cancel := context.WithTimeout(ctx, openTime)
	defer cancel()
	for lost := false; ; {
		var begun order.BeginResult
		begun, err = d.begin(ctx, c, accepted)
		if err != nil {
			return order.Response{}, err
		}
		if !begun.MayRun {
			return d.earlier(ctx, c, accepted, begun)
		}
		answer, err = d.run(ctx, c, accepted, begun.Record)
		proved := fault.From(err) != nil && fault.From(err).Ran == fault.No
		lost = proved && (lost || fault.Of(err) == fault.Broken)
		if !lost || !interval.Sleep(again, finishPause) {
			return answer, err
		}
	}
}

// run hands over an order that this attempt has begun. The sidecar records
// the answer before it gives it.
func (d *Desk) run(ctx context.Context, c Call, accepted contract.Accepted, record order.Record) (order.Response, error) {
	deadline, _ := ctx.Deadline()
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	defer cancel()
	answer, err := d.handOnce(ctx, c, accepted, record.BeginIndex)
	if err == nil {
		return answer, nil
	}
	e := fault.From(err)
	if e.Ran == fault.Unknown && e.Kind == fault.Broken {
		// It was handed over, and the answer lost with the connection: the sidecar records it.
		return d.earlier(ctx, c, accepted, order.BeginResult{Record: record})
	}
	if e.Ran != fault.No {
		return answer, fault.New(e.Kind, e.Ran, "%s; ask again with the same key", e.Text)
	}
	// The proof that nothing ran frees the key; until that is recorded the caller is told that it isn't known.
	finish := order.Finish{Key: record.Key, BeginIndex: record.BeginIndex, NotRun: true}
	if err := d.finish(finish); err != nil {
		d.settler.add(finish, nil)
		return answer, fault.New(fault.Unavailable, fault.Unknown, "it isn't recorded that the order didn't run; ask again with the same key")
	}
	return answer, err
}

// begin asks control to begin the order. The attempt's name lets it ask again
// when the answer is lost.
func (d *Desk) begin(ctx context.Context, c Call, accepted contract.Accepted) (order.BeginResult, error) {
	unknown := false // whether the log may hold the attempt
	begin := order.Begin{
		Key:       keyOf(c, accepted),
		Digest:    digestOf(c),
		Attempt:   nonce(),
		Retention: accepted.Contract.EffectiveOrderRetention(),
	}
	for {
		var begun order.BeginResult
		err := d.entry.member.Call(ctx, message.MethodBegin, begin, &begun)
		if err == nil {
			return begun, fault.Wrap(begun.Error)
		}
		unknown = unknown || fault.From(err).Ran != fault.No
		if ctx.Err() != nil || fault.From(err).Ran == fault.No || !interval.Sleep(ctx, finishPause) {
			// Begun or not, nothing was handed over, and nothing will be.
			if unknown {
				d.settler.add(order.Finish{Key: begin.Key, NotRun: true, Attempt: begin.Attempt}, nil)
			}
			return begun, fault.New(fault.Of(err), fault.No, "the order couldn't be recorded: %s", fault.From(err).Text)
		}
	}
}

// earlier answers an order that was sent before. One that may still run is
// waited for.
func (d *Desk) earlier(ctx context.Context, c Call, accepted contract.Accepted, begun order.BeginResult) (order.Response, error) {
	waiting, cancel := context.WithTimeout(ctx, openTime)
	defer cancel()
	for begun.Record.State != order.Done {
		if !interval.Sleep(waiting, openPause) {
			return d.again(ctx, c, accepted, begun.Record)
		}
		next, err := d.begin(waiting, c, accepted)
		if err != nil {
			return d.again(ctx, c, accepted, begun.Record)
		}
		begun = next
		if begun.MayRun {
			// It was proved since that the earlier attempt didn't run, and this one has begun it anew.
			return d.run(ctx, c, accepted, begun.Record)
		}
	}
	return begun.Record.Response, nil
}

// again settles an order whose earlier attempt may have run, where the service
// itself answers a repeated key from memory. Elsewhere nobody can know.
func (d *Desk) again(ctx context.Context, c Call, accepted contract.Accepted, record order.Record) (order.Response, error) {
	pending := fault.New(fault.Pending, fault.Unknown, "the order was begun earlier and may have run; ask again with the same key")
	request := routing.Request{
		ID:            c.ID,
		Customer:      accepted.Contract.Customer,
		Class:         c.Class,
		FailureDomain: d.entry.host.Process.FailureDomain,
	}
	ticket, err := d.choose(request, fleet.Selector{Service: c.Service, NeedsDedupe: true})
	if err != nil {
		return order.Response{}, pending
	}
	answer, err := d.hand(ctx, &ticket, c, accepted, handing{intent: record.BeginIndex, again: true})
	if err != nil {
		return order.Response{}, pending
	}
	return answer, nil
}

// handOnce hands an order to one backend server, to another only where it is
// proved that the one before didn't run it.
func (d *Desk) handOnce(ctx context.Context, c Call, accepted contract.Accepted, intent uint64) (order.Response, error) {
	tried := map[string]bool{}
	last := fault.New(fault.Unavailable, fault.No, "no backend server takes this order now")
	for range d.entry.settings.Tries {
		if ctx.Err() != nil {
			return order.Response{}, last
		}
		ticket, err := d.chooseService(c, accepted, tried)
		if err != nil {
			return order.Response{}, last
		}
		tried[ticket.Name] = true
		answer, err := d.hand(ctx, &ticket, c, accepted, handing{intent: intent})
		// One that was lost may be void on record by now: it is begun anew, never handed over under this intent.
		if err == nil || fault.From(err).Ran != fault.No || fault.Of(err) == fault.Broken {
			return answer, err
		}
		last = err
		if fault.Of(err) == fault.Stale {
			next, ok := d.newer(ctx, accepted)
			if !ok || !next.Contract.AllowsService(c.Service) {
				break
			}
			accepted = next
			clear(tried)
		}
	}
	return order.Response{}, last
}

func (d *Desk) hand(ctx context.Context, ticket *fleet.Ticket, c Call, accepted contract.Accepted, h handing) (order.Response, error) {
	left, _ := ctx.Deadline()
	call := message.ServiceCall{
		ID:          c.ID,
		Customer:    accepted.Contract.Customer,
		Revision:    accepted.Revision,
		Method:      c.Method,
		Path:        c.Path,
		ContentType: c.ContentType,
		Body:        c.Body,
		Order:       h.intent,
		Again:       h.again,
		Key:         c.Key,
		Left:        time.Until(left),
	}
	var answer message.ServiceAnswer
	err := d.entry.client.Ask(ctx, ticket.Address, message.MethodCall, call, &answer)
	if err == nil && answer.ID != c.ID {
		d.entry.host.Metrics.GetOrCreateCounter("answers_crossed_total").Inc()
		err = fault.New(fault.Broken, fault.Unknown, "the sidecar gave the answer to another call")
	}
	blame := blames(err)
	if h.intent != 0 && !h.again && fault.Of(err) == fault.Broken && d.proveLost(ctx, ticket, keyOf(c, accepted), h.intent) {
		err = fault.New(fault.Broken, fault.No, "the order was lost on its way to the service")
		blame = false // the sidecar could be asked
	}
	d.entry.fleet.RecordEnd(time.Now(), ticket, 0, blame)
	return answer.Answer, err
}

// finish records an outcome. It may be repeated, and outlasts the caller.
func (d *Desk) finish(finish order.Finish) error {
	ctx, cancel := context.WithTimeout(context.Background(), finishTime)
	defer cancel()
	for {
		var finished order.FinishResult
		err := d.entry.member.Call(ctx, message.MethodFinish, finish, &finished)
		if err == nil {
			return fault.Wrap(finished.Error)
		}
		if !interval.Sleep(ctx, finishPause) {
			return err
		}
	}
}

func (d *Desk) chooseService(c Call, accepted contract.Accepted, tried map[string]bool) (fleet.Ticket, error) {
	if err := d.mayServe(); err != nil {
		return fleet.Ticket{}, err
	}
	request := routing.Request{
		ID:            c.ID,
		Customer:      accepted.Contract.Customer,
		Class:         c.Class,
		FailureDomain: d.entry.host.Process.FailureDomain,
	}
	return d.choose(request, fleet.Selector{Service: c.Service, Exclude: tried})
}

func (d *Desk) noteCall(c Call, answer order.Response, err error) {
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

func keyOf(c Call, accepted contract.Accepted) order.Key {
	return order.Key{Customer: accepted.Contract.Customer, Service: c.Service, Key: c.Key}
}

// digestOf tells orders under one key apart.
func digestOf(c Call) uint64 {
	digest := xxhash.New()
	for _, part := range []string{c.Method, c.Path, c.ContentType, strconv.Itoa(len(c.Body))} {
		_, _ = digest.WriteString(part + "\x00")
	}
	_, _ = digest.Write(c.Body)
	return digest.Sum64()
}
