package demo

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"endivedeck.example/change"
	"endivedeck.example/contract"
	"endivedeck.example/control"
	"endivedeck.example/deployment"
	"endivedeck.example/fault"
	"endivedeck.example/interval"
	"endivedeck.example/message"
	"endivedeck.example/settings"
	"endivedeck.example/standin"
)

const (
	customerKey  = "key-of-the-crews"
	visitorKey   = "key-of-a-visitor"
	pollInterval = 100 * time.Millisecond
	noteWords    = 400
)

type (
	// scenario sends requests to a deployment and records the results.
	scenario struct {
		deployment *deployment.Deployment
		out        io.Writer
		failures   int
		results    []result
	}

	// result is a line of the printed report.
	result struct {
		name     string
		answered int
		refused  int
		detail   string
	}

	// task is a request that runs in its own goroutine.
	task struct {
		call func() error
		err  error
		done *sync.WaitGroup
	}
)

func newScenario(d *deployment.Deployment, out io.Writer) *scenario {
	return &scenario{deployment: d, out: out}
}

func (s *scenario) run(ctx context.Context) error {
	steps := []func(context.Context) error{
		s.putContracts, s.sendQueries, s.checkRefusals, s.drainDuringChats, s.replaceSameVersion, s.sendOrders, s.exceedLimit,
	}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	s.printResults()
	return nil
}

func (s *scenario) crewsContract() contract.Contract {
	class := func(whole time.Duration, priority int) contract.Class {
		return contract.Class{
			FirstToken:    settings.Duration(900 * time.Millisecond),
			BetweenTokens: settings.Duration(200 * time.Millisecond),
			WholeAnswer:   settings.Duration(whole),
			Rate:          1000,
			Burst:         1000,
			Concurrency:   1000,
			Priority:      priority,
		}
	}
	return contract.Contract{
		Customer: "crews",
		Models:   []string{s.deployment.Plan.Model},
		Services: []string{s.deployment.Plan.ServiceName},
		Classes: map[string]contract.Class{
			"urgent": class(20*time.Second, 9),
			"chat":   class(30*time.Second, 5),
			"notes":  class(60*time.Second, 1),
			"orders": class(20*time.Second, 7),
		},
		Share: 0.9,
		Keys:  []string{contract.HashKey(customerKey)},
	}
}

func (s *scenario) visitorsContract() contract.Contract {
	c := s.crewsContract()
	c.Customer = "visitors"
	c.Share = 0.1
	c.Keys = []string{contract.HashKey(visitorKey)}
	class := c.Classes["chat"]
	class.Rate = 0.001
	class.Burst = 2
	c.Classes = map[string]contract.Class{"chat": class}
	return c
}

func (s *scenario) putContracts(ctx context.Context) error {
	for _, c := range []contract.Contract{s.crewsContract(), s.visitorsContract()} {
		response, err := s.deployment.PutContract(ctx, c, 0)
		if err != nil {
			return err
		}
		if response.State != control.StateAccepted {
			return fault.New(fault.Internal, fault.MaybeRun, "contract of %s is %s, want it in force everywhere", c.Customer, response.State)
		}
	}
	s.addResult(result{name: "contracts put", answered: 2})
	return nil
}

func (s *scenario) sendQueries(ctx context.Context) error {
	note := strings.Repeat("bank soil loam cutting stake ", noteWords/5)
	var tasks []*task
	for i := range 12 {
		tasks = append(tasks, s.queryTask(ctx, i, "notes", fmt.Sprintf("%s note %d", note, i), false))
	}
	for i := range 8 {
		tasks = append(tasks, s.queryTask(ctx, i, "urgent", fmt.Sprintf("the bank at marker %d is sliding, what now", i), true))
	}
	for i := range 8 {
		tasks = append(tasks, s.queryTask(ctx, i, "chat", fmt.Sprintf("which cuttings for plot %d", i), true))
	}
	s.runTasks("notes, urgent queries and chats", tasks)
	return nil
}

// queryTask returns a task that sends a query to an entry and checks the answer.
func (s *scenario) queryTask(ctx context.Context, i int, class, text string, stream bool) *task {
	d := s.deployment
	address := d.EntryAddresses[i%len(d.EntryAddresses)]
	return &task{call: func() error {
		answer, err := SendChat(ctx, ChatCall{Address: address, Key: customerKey, Class: class, Model: d.Plan.Model, Prompt: text, Stream: stream, MaxTokens: 64})
		if err != nil {
			return err
		}
		want := standin.Answer(d.Plan.Model, "<user> "+text+" ", 64)
		if answer != want {
			return fault.New(fault.Broken, fault.HasRun, "got an answer of %d bytes that differs from the expected %d bytes", len(answer), len(want))
		}
		return nil
	}}
}

// checkRefusals sends queries with an invalid key, model or class. Each must be
// refused without running.
func (s *scenario) checkRefusals(ctx context.Context) error {
	d := s.deployment
	calls := []ChatCall{
		{Key: "no such key", Class: "chat", Model: d.Plan.Model},
		{Key: customerKey, Class: "chat", Model: "no-such-model"},
		{Key: customerKey, Class: "no-such-class", Model: d.Plan.Model},
	}
	refused := 0
	var kinds []string
	for _, call := range calls {
		call.Address = d.EntryAddresses[0]
		call.Prompt = "hello"
		call.MaxTokens = 8
		_, err := SendChat(ctx, call)
		if err == nil || fault.FromError(err).Ran != fault.NotRun {
			s.failures++
			continue
		}
		refused++
		kinds = append(kinds, string(fault.KindOf(err)))
	}
	s.addResult(result{name: "wrong key, model, class", refused: refused, detail: strings.Join(kinds, ", ")})
	return nil
}

// drainDuringChats drains an engine while chats run; none may fail.
func (s *scenario) drainDuringChats(ctx context.Context) error {
	name := s.deployment.Plan.Model + "-1"
	var tasks []*task
	for i := range 12 {
		tasks = append(tasks, s.queryTask(ctx, i, "chat", fmt.Sprintf("chat %d during a planned change", i), true))
	}
	tasks = append(tasks, &task{call: func() error { return s.announceAndWait(ctx, name, change.Drain) }})
	s.runTasks("chats during a planned drain", tasks)
	return s.announceAndWait(ctx, name, change.Resume)
}

func (s *scenario) announceAndWait(ctx context.Context, name string, kind change.Kind) error {
	announcement := change.Announcement{BackendServer: name, Kind: kind, Author: "demo"}
	response, err := s.deployment.Operate(ctx, message.OperateRequest{Kind: control.OperateAnnounce, Announcement: &announcement})
	if err != nil {
		return err
	}
	if response.Error != nil {
		return fault.WithStack(response.Error)
	}
	for {
		response, err := s.deployment.Operate(ctx, message.OperateRequest{Kind: control.OperateListChanges})
		if err != nil {
			return err
		}
		for _, c := range response.Changes {
			if c.Announcement.BackendServer == name && c.Announcement.Kind == kind && c.State == change.Done {
				return nil
			}
		}
		if !interval.Sleep(ctx, pollInterval) {
			return fault.New(fault.DeadlineExceeded, fault.MaybeRun, "change %s of %s was not done in time", kind, name)
		}
	}
}

// replaceSameVersion sends two changes that replace the same version of a
// contract. Exactly one must be accepted; the other must fail with a conflict.
func (s *scenario) replaceSameVersion(ctx context.Context) error {
	accepted, conflicts := 0, 0
	for i := range 2 {
		c := s.crewsContract()
		c.Share = 0.8 + 0.05*float64(i)
		response, err := s.deployment.PutContract(ctx, c, 1)
		switch {
		case err != nil:
			return err
		case response.Error == nil && response.State == control.StateAccepted:
			accepted++
		case response.Error != nil && response.Error.Kind == fault.Conflict:
			conflicts++
		}
	}
	if accepted != 1 || conflicts != 1 {
		s.failures++
	}
	s.addResult(result{name: "two changes replacing version 1", answered: accepted, refused: conflicts, detail: "conflict"})
	return nil
}

// sendOrders sends each order twice concurrently, through both entries. Each must
// run once, and both responses must be equal.
func (s *scenario) sendOrders(ctx context.Context) error {
	d := s.deployment
	const distinct = 6
	responses := make([][2]string, distinct)
	var tasks []*task
	for i := range distinct {
		for attempt := range 2 {
			tasks = append(tasks, &task{call: func() error {
				text, err := SendOrder(ctx, OrderCall{
					Address:        d.EntryAddresses[attempt%len(d.EntryAddresses)],
					Key:            customerKey,
					Service:        d.Plan.ServiceName,
					Path:           "/orders",
					IdempotencyKey: fmt.Sprintf("order-%d", i),
					Body:           fmt.Sprintf("%d00 cuttings for bank %d", i+1, i),
				})
				responses[i][attempt] = text
				return err
			}})
		}
	}
	s.runTasks("orders, each sent twice", tasks)
	recorded := 0
	for _, service := range d.OrderServices {
		recorded += len(service.Orders())
	}
	for _, pair := range responses {
		if pair[0] != pair[1] {
			s.failures++
		}
	}
	if recorded != distinct {
		s.failures++
	}
	s.addResult(result{name: "orders recorded by the service", answered: recorded})
	_, err := SendOrder(ctx, OrderCall{Address: d.EntryAddresses[0], Key: customerKey, Service: d.Plan.ServiceName, Path: "/orders", Body: "no key"})
	if fault.KindOf(err) != fault.Malformed {
		s.failures++
	}
	s.addResult(result{name: "an order without a key", refused: 1, detail: string(fault.KindOf(err))})
	return nil
}

// exceedLimit sends more queries than the contract of a customer allows. Those
// over the limit must be refused without running.
func (s *scenario) exceedLimit(ctx context.Context) error {
	d := s.deployment
	r := result{name: "queries over a rate limit"}
	for range 6 {
		call := ChatCall{Address: d.EntryAddresses[0], Key: visitorKey, Class: "chat", Model: d.Plan.Model, Prompt: "hello", MaxTokens: 8}
		_, err := SendChat(ctx, call)
		switch {
		case err == nil:
			r.answered++
		case fault.KindOf(err) == fault.LimitExceeded && fault.FromError(err).Ran == fault.NotRun:
			r.refused++
			r.detail = string(fault.LimitExceeded)
		default:
			s.failures++
		}
	}
	s.addResult(r)
	return nil
}

// runTasks runs tasks concurrently and records the result as name. Each task that
// fails counts as a failed check.
func (s *scenario) runTasks(name string, tasks []*task) {
	var done sync.WaitGroup
	done.Add(len(tasks))
	for _, t := range tasks {
		t.done = &done
		go t.run()
	}
	done.Wait()
	r := result{name: name}
	for _, t := range tasks {
		if t.err == nil {
			r.answered++
			continue
		}
		s.failures++
		r.refused++
		r.detail = t.err.Error()
	}
	s.addResult(r)
}

func (t *task) run() {
	defer t.done.Done()
	t.err = t.call()
}

func (s *scenario) addResult(r result) { s.results = append(s.results, r) }

func (s *scenario) printResults() {
	fmt.Fprintf(s.out, "%s: %d failure domains, %d control instances, %d entries, %d %s, %d %s\n",
		s.deployment.Plan.Name, len(s.deployment.Plan.FailureDomains), s.deployment.Plan.ControlCount, s.deployment.Plan.EntryCount,
		s.deployment.Plan.EngineCount, s.deployment.Plan.Model, s.deployment.Plan.ServiceCount, s.deployment.Plan.ServiceName)
	for _, r := range s.results {
		fmt.Fprintf(s.out, "  %-34s %3d answered %3d refused  %s\n", r.name, r.answered, r.refused, r.detail)
	}
}
