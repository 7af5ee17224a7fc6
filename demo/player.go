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
	customerKey = "key-of-the-crews"
	visitorKey  = "key-of-a-visitor"
	changePause = 100 * time.Millisecond
	noteWords   = 400
)

type (
	// player plays a trace against one deployment and keeps the score.
	player struct {
		deployment *deployment.Deployment
		out        io.Writer
		faults     int
		rows       []row
	}

	row struct {
		what     string
		answered int
		refused  int
		detail   string
	}

	// job is one request of the trace, run in its own goroutine.
	job struct {
		do    func() error
		err   error
		ended *sync.WaitGroup
	}
)

func newPlayer(d *deployment.Deployment, out io.Writer) *player {
	return &player{deployment: d, out: out}
}

func (p *player) play(ctx context.Context) error {
	steps := []func(context.Context) error{
		p.putContracts, p.askQueries, p.refusals, p.drainUnderLoad, p.changeContract, p.orders, p.flood,
	}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	p.print()
	return nil
}

func (p *player) crews() contract.Contract {
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
		Models:   []string{p.deployment.Plan.Model},
		Services: []string{p.deployment.Plan.Service},
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

func (p *player) visitors() contract.Contract {
	c := p.crews()
	c.Customer = "visitors"
	c.Share = 0.1
	c.Keys = []string{contract.HashKey(visitorKey)}
	class := c.Classes["chat"]
	class.Rate = 0.001
	class.Burst = 2
	c.Classes = map[string]contract.Class{"chat": class}
	return c
}

func (p *player) putContracts(ctx context.Context) error {
	for _, c := range []contract.Contract{p.crews(), p.visitors()} {
		operated, err := p.deployment.Put(ctx, c, 0)
		if err != nil {
			return err
		}
		if operated.State != control.StateAccepted {
			return fault.New(fault.Internal, fault.Unknown, "the contract isn't in force everywhere")
		}
	}
	p.add(row{what: "contracts put", answered: 2})
	return nil
}

func (p *player) askQueries(ctx context.Context) error {
	note := strings.Repeat("bank soil loam cutting stake ", noteWords/5)
	var jobs []*job
	for i := range 12 {
		jobs = append(jobs, p.query(ctx, i, "notes", fmt.Sprintf("%s note %d", note, i), false))
	}
	for i := range 8 {
		jobs = append(jobs, p.query(ctx, i, "urgent", fmt.Sprintf("the bank at marker %d is sliding, what now", i), true))
	}
	for i := range 8 {
		jobs = append(jobs, p.query(ctx, i, "chat", fmt.Sprintf("which cuttings for plot %d", i), true))
	}
	p.count("notes, urgent queries and chats", jobs)
	return nil
}

// query returns a job that asks one entry and checks the answer.
func (p *player) query(ctx context.Context, i int, class, text string, stream bool) *job {
	d := p.deployment
	address := d.Callers[i%len(d.Callers)]
	return &job{do: func() error {
		answer, err := Chat(ctx, ChatCall{Address: address, Key: customerKey, Class: class, Model: d.Plan.Model, Text: text, Stream: stream, Most: 64})
		if err != nil {
			return err
		}
		want := standin.Answer(d.Plan.Model, "<user> "+text+" ", 64)
		if answer != want {
			return fault.New(fault.Broken, fault.Yes, "the answer isn't the whole answer to this query")
		}
		return nil
	}}
}

// refusals asks for what must be refused; an answer is a fault.
func (p *player) refusals(ctx context.Context) error {
	d := p.deployment
	calls := []ChatCall{
		{Key: "no such key", Class: "chat", Model: d.Plan.Model},
		{Key: customerKey, Class: "chat", Model: "no-such-model"},
		{Key: customerKey, Class: "no-such-class", Model: d.Plan.Model},
	}
	refused := 0
	var kinds []string
	for _, call := range calls {
		call.Address = d.Callers[0]
		call.Text = "hello"
		call.Most = 8
		_, err := Chat(ctx, call)
		if err == nil || fault.From(err).Ran != fault.No {
			p.faults++
			continue
		}
		refused++
		kinds = append(kinds, string(fault.Of(err)))
	}
	p.add(row{what: "wrong key, model, class", refused: refused, detail: strings.Join(kinds, ", ")})
	return nil
}

// drainUnderLoad announces a drain while chats run: none may be cut.
func (p *player) drainUnderLoad(ctx context.Context) error {
	name := p.deployment.Plan.Model + "-1"
	var jobs []*job
	for i := range 12 {
		jobs = append(jobs, p.query(ctx, i, "chat", fmt.Sprintf("chat %d over a planned change", i), true))
	}
	jobs = append(jobs, &job{do: func() error { return p.announce(ctx, name, change.Drain) }})
	p.count("chats over a planned drain", jobs)
	return p.announce(ctx, name, change.Resume)
}

func (p *player) announce(ctx context.Context, name string, kind change.Kind) error {
	announcement := change.Announcement{BackendServer: name, Kind: kind, Author: "demo"}
	operated, err := p.deployment.Operate(ctx, message.Operate{Kind: control.OperateAnnounce, Announcement: &announcement})
	if err != nil {
		return err
	}
	if operated.Error != nil {
		return fault.Wrap(operated.Error)
	}
	for {
		operated, err := p.deployment.Operate(ctx, message.Operate{Kind: control.OperateListChanges})
		if err != nil {
			return err
		}
		for _, c := range operated.Changes {
			if c.Announcement.BackendServer == name && c.Announcement.Kind == kind && c.State == change.Done {
				return nil
			}
		}
		if !interval.Sleep(ctx, changePause) {
			return fault.New(fault.Deadline, fault.Unknown, "the change wasn't carried out in time")
		}
	}
}

// changeContract has two operators race under equal numbers: one wins.
func (p *player) changeContract(ctx context.Context) error {
	won, lost := 0, 0
	for i := range 2 {
		c := p.crews()
		c.Share = 0.8 + 0.05*float64(i)
		operated, err := p.deployment.Put(ctx, c, 1)
		switch {
		case err != nil:
			return err
		case operated.Error == nil && operated.State == control.StateAccepted:
			won++
		case operated.Error != nil && operated.Error.Kind == fault.Conflict:
			lost++
		}
	}
	if won != 1 || lost != 1 {
		p.faults++
	}
	p.add(row{what: "two changes of version 1", answered: won, refused: lost, detail: "conflict"})
	return nil
}

// orders sends each order twice at once, through both entries: each must run
// once and be answered alike.
func (p *player) orders(ctx context.Context) error {
	d := p.deployment
	const distinct = 6
	answers := make([][2]string, distinct)
	var jobs []*job
	for i := range distinct {
		for copy := range 2 {
			jobs = append(jobs, &job{do: func() error {
				text, err := Order(ctx, OrderCall{
					Address: d.Callers[copy%len(d.Callers)],
					Key:     customerKey,
					Service: d.Plan.Service,
					Path:    "/orders",
					ID:      fmt.Sprintf("order-%d", i),
					Body:    fmt.Sprintf("%d00 cuttings for bank %d", i+1, i),
				})
				answers[i][copy] = text
				return err
			}})
		}
	}
	p.count("orders, each sent twice", jobs)
	recorded := 0
	for _, ledger := range d.Ledgers {
		recorded += len(ledger.Orders())
	}
	for _, pair := range answers {
		if pair[0] != pair[1] {
			p.faults++
		}
	}
	if recorded != distinct {
		p.faults++
	}
	p.add(row{what: "orders recorded by the service", answered: recorded})
	_, err := Order(ctx, OrderCall{Address: d.Callers[0], Key: customerKey, Service: d.Plan.Service, Path: "/orders", Body: "no key"})
	if fault.Of(err) != fault.Malformed {
		p.faults++
	}
	p.add(row{what: "an order without a key", refused: 1, detail: string(fault.Of(err))})
	return nil
}

// flood has a customer ask for more than its contract allows.
func (p *player) flood(ctx context.Context) error {
	d := p.deployment
	r := row{what: "a visitor's flood"}
	for range 6 {
		call := ChatCall{Address: d.Callers[0], Key: visitorKey, Class: "chat", Model: d.Plan.Model, Text: "hello", Most: 8}
		_, err := Chat(ctx, call)
		switch {
		case err == nil:
			r.answered++
		case fault.Of(err) == fault.OverLimit && fault.From(err).Ran == fault.No:
			r.refused++
			r.detail = string(fault.OverLimit)
		default:
			p.faults++
		}
	}
	p.add(r)
	return nil
}

// count runs the jobs at once; a refused or failed one is a fault here.
func (p *player) count(what string, jobs []*job) {
	var ended sync.WaitGroup
	ended.Add(len(jobs))
	for _, j := range jobs {
		j.ended = &ended
		go j.run()
	}
	ended.Wait()
	r := row{what: what}
	for _, j := range jobs {
		if j.err == nil {
			r.answered++
			continue
		}
		p.faults++
		r.refused++
		r.detail = j.err.Error()
	}
	p.add(r)
}

func (j *job) run() {
	defer j.ended.Done()
	j.err = j.do()
}

func (p *player) add(r row) { p.rows = append(p.rows, r) }

func (p *player) print() {
	fmt.Fprintf(p.out, "%s: %d failure domains, %d control instances, %d entries, %d %s, %d %s\n",
		p.deployment.Plan.Name, len(p.deployment.Plan.Domains), p.deployment.Plan.Control, p.deployment.Plan.Entries,
		p.deployment.Plan.Engines, p.deployment.Plan.Model, p.deployment.Plan.Services, p.deployment.Plan.Service)
	for _, r := range p.rows {
		fmt.Fprintf(p.out, "  %-34s %3d answered %3d refused  %s\n", r.what, r.answered, r.refused, r.detail)
	}
}
