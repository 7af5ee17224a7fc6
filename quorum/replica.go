package quorum

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"endivedeck.example/fault"
)

const (
	inboxSize    = 4096
	batchMost    = 1024
	defaultSnaps = 20_000 // entries between two snapshots
)

var errStopped = fault.New(fault.Unavailable, fault.Unknown, "the replica has stopped")

type (
	// Replica runs one member of the group. Create it with New.
	Replica struct {
		options Options
		core    *Core
		inbox   chan any
		stop    chan struct{}
		ended   chan struct{}
		failed  chan error

		waiting   map[uint64]*proposal
		reads     []*read
		asking    bool // reads have come in since the last heartbeat
		led       bool
		ledTerm   uint64
		addresses map[string]Member
		snapAt    uint64
		leaving   *handover // this replica is about to give its place up
		published atomic.Pointer[Leadership]
	}

	// Result is what became of a proposal.
	Result struct {
		Index uint64
		Value any // what Machine.Apply returned
	}

	// Leadership describes this replica's authority at one moment.
	Leadership struct {
		Leading     bool
		Term        uint64
		ConfirmedAt time.Time // no other replica led at this time
		Leader      Member    // the leader this replica knows of
		Status      Status
	}

	proposal struct {
		data    []byte
		members []Member // a change of members, if not nil
		term    uint64
		answer  chan answer
	}

	read struct {
		at     time.Time
		index  uint64
		answer chan error
	}

	answer struct {
		result Result
		err    error
	}

	caughtUp struct {
		id     string
		answer chan bool
	}

	quiet struct {
		id     string
		answer chan time.Duration
	}
)

// New starts a replica with the state that its keeper gave back.
func New(options Options) (*Replica, error) {
	if options.SnapshotEntries == 0 {
		options.SnapshotEntries = defaultSnaps
	}
	if options.State.Snapshot.Index > 0 {
		if err := options.StateMachine.Restore(options.State.Snapshot.Data); err != nil {
			return nil, err
		}
	}
	r := &Replica{
		options:   options,
		core:      NewCore(options.ID, options.Timing, options.State, options.Seed, time.Now()),
		inbox:     make(chan any, inboxSize),
		stop:      make(chan struct{}),
		ended:     make(chan struct{}),
		failed:    make(chan error, 1),
		waiting:   map[uint64]*proposal{},
		addresses: map[string]Member{},
		snapAt:    options.State.Snapshot.Index,
	}
	r.publish()
	go r.run()
	return r, nil
}

// Deliver hands over a message from another replica. It doesn't wait: when
// the replica is behind, the message is dropped, as a network may do.
func (r *Replica) Deliver(m Message) {
	select {
	case r.inbox <- m:
	default:
	}
}

// Propose appends a command to the log and returns what the machine made of
// it. An error with Ran No means that the command isn't and won't be in the
// log; with Unknown it may yet be.
func (r *Replica) Propose(ctx context.Context, data []byte) (Result, error) {
	return r.propose(ctx, &proposal{data: data, answer: make(chan answer, 1)})
}

// Reconfigure changes the members. See Core.Reconfigure.
func (r *Replica) Reconfigure(ctx context.Context, members []Member) error {
	_, err := r.propose(ctx, &proposal{members: members, answer: make(chan answer, 1)})
	return err
}

// Barrier returns once this replica has proved that it still leads and has
// applied all that was committed before the call: what the machine shows then
// is linearizable.
func (r *Replica) Barrier(ctx context.Context) error {
	q := &read{at: time.Now(), answer: make(chan error, 1)}
	if err := r.post(ctx, q); err != nil {
		return err
	}
	select {
	case err := <-q.answer:
		return err
	case <-r.ended:
		return errStopped
	case <-ctx.Done():
		return fault.New(fault.Deadline, fault.No, "leadership wasn't confirmed in time")
	}
}

// Leadership returns this replica's authority as of its last step. It doesn't wait.
func (r *Replica) Leadership() Leadership { return *r.published.Load() }

// CaughtUp reports whether, by what this leader knows, another replica holds
// all that is committed.
func (r *Replica) CaughtUp(ctx context.Context, id string) bool {
	answer := make(chan bool, 1)
	return ask(ctx, r, caughtUp{id: id, answer: answer}, answer)
}

// TimeSinceReply returns for how long another replica hasn't answered this leader; 0
// for one that isn't known, and when this replica can't say.
func (r *Replica) TimeSinceReply(ctx context.Context, id string) time.Duration {
	answer := make(chan time.Duration, 1)
	return ask(ctx, r, quiet{id: id, answer: answer}, answer)
}

// ask posts a question and returns its answer, or the zero value.
func ask[T any](ctx context.Context, r *Replica, question any, answer <-chan T) T {
	var zero T
	if err := r.post(ctx, question); err != nil {
		return zero
	}
	select {
	case value := <-answer:
		return value
	case <-r.ended:
	case <-ctx.Done():
	}
	return zero
}

// Failed yields the error that ended the replica, such as one of its disk.
func (r *Replica) Failed() <-chan error { return r.failed }

// Stop ends the replica. Proposals without a result fail with Ran Unknown.
func (r *Replica) Stop() {
	close(r.stop)
	<-r.ended
}

func (r *Replica) propose(ctx context.Context, p *proposal) (Result, error) {
	if err := r.post(ctx, p); err != nil {
		return Result{}, err
	}
	select {
	case a := <-p.answer:
		return a.result, a.err
	case <-r.ended:
		return Result{}, errStopped
	case <-ctx.Done():
		return Result{}, fault.New(fault.Deadline, fault.Unknown, "no result of the proposal in time")
	}
}

func (r *Replica) post(ctx context.Context, item any) error {
	select {
	case r.inbox <- item:
		return nil
	case <-r.ended:
		return fault.New(fault.Unavailable, fault.No, "the replica has stopped")
	case <-ctx.Done():
		return fault.New(fault.Deadline, fault.No, "the replica is too busy")
	}
}

// run is the replica's only goroutine. It takes what has come in, makes the
// outcome durable in one write for all of it, then sends and applies.
func (r *Replica) run() {
	defer close(r.ended)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		timer.Reset(time.Until(r.core.NextTick()))
		select {
		case item := <-r.inbox:
			r.take(item)
			r.drain()
		case <-timer.C:
		case <-r.stop:
			return
		}
		r.core.Tick(time.Now())
		r.confirm()
		r.handOver()
		if err := r.carryOut(); err != nil {
			r.failed <- err
			return
		}
		r.publish()
		r.handedOver()
	}
}

// confirm asks the other replicas once for all reads that have come in.
func (r *Replica) confirm() {
	if r.asking {
		r.asking = false
		r.core.SendHeartbeats(time.Now())
	}
}

func (r *Replica) drain() {
	for range batchMost {
		select {
		case item := <-r.inbox:
			r.take(item)
		default:
			return
		}
	}
}

func (r *Replica) take(item any) {
	now := time.Now()
	switch item := item.(type) {
	case Message:
		r.core.Step(now, item)
	case *proposal:
		r.takeProposal(item)
	case *read:
		r.takeRead(item)
	case *handover:
		r.leaving = item
	case caughtUp:
		item.answer <- r.core.CaughtUp(item.id)
	case quiet:
		item.answer <- r.core.TimeSinceReply(now, item.id)
	}
}

func (r *Replica) takeProposal(p *proposal) {
	if r.leaving != nil {
		p.answer <- answer{err: fault.New(fault.Unavailable, fault.No, "this replica is about to stop")}
		return
	}
	var index uint64
	var err error
	if p.members != nil {
		index, p.term, err = r.core.Reconfigure(p.members)
	} else {
		index, p.term, err = r.core.Propose(p.data)
	}
	if err != nil {
		p.answer <- answer{err: err}
		return
	}
	r.waiting[index] = p
}

func (r *Replica) takeRead(q *read) {
	if !r.core.Leading() {
		q.answer <- r.core.notLeader()
		return
	}
	q.index = r.core.Status().Commit
	r.reads = append(r.reads, q)
	r.asking = true
}

func (r *Replica) publish() {
	lead := r.lead()
	r.published.Store(&lead)
}

func (r *Replica) lead() Leadership {
	status := r.core.Status()
	lead := Leadership{
		Leading:     r.core.Leading(),
		Term:        status.Term,
		ConfirmedAt: r.core.ConfirmedAt(),
		Status:      status,
	}
	for _, m := range status.Members {
		if m.ID == status.Leader {
			lead.Leader = m
		}
	}
	return lead
}

// carryOut does what the core decided, until it has decided nothing more.
func (r *Replica) carryOut() error {
	for {
		ready := r.core.Ready(time.Now())
		if ready.HardState == nil {
			r.send(ready.Messages, true)
		}
		if err := r.keep(ready); err != nil {
			return err
		}
		if ready.HardState != nil {
			r.send(ready.Messages, true)
		}
		r.send(ready.Messages, false)
		r.apply(ready.Committed)
		r.noteLead()
		r.answerReads()
		if err := r.maybeSnapshot(); err != nil {
			return err
		}
		if len(ready.Entries) == 0 && len(ready.Committed) == 0 {
			return nil
		}
	}
}

func (r *Replica) keep(ready Ready) error {
	if s := ready.Snapshot; s != nil {
		if err := r.options.StateMachine.Restore(s.Data); err != nil {
			return err
		}
		entries := r.core.EntriesAfter(s.Index)
		if err := r.options.Storage.Install(*s, r.core.ballot, entries); err != nil {
			return err
		}
		r.snapAt = s.Index
		r.forget()
	}
	if ready.HardState == nil && len(ready.Entries) == 0 {
		return nil
	}
	if err := r.options.Storage.Append(ready.HardState, ready.Entries); err != nil {
		return err
	}
	if n := len(ready.Entries); n > 0 {
		r.core.Persisted(time.Now(), ready.Entries[n-1].Index)
	}
	return nil
}

// send sends the messages that ask, or those that answer.
func (r *Replica) send(messages []Message, asking bool) {
	if len(messages) == 0 {
		return
	}
	for _, m := range r.core.members {
		r.addresses[m.ID] = m
	}
	for _, m := range messages {
		asks := m.Kind == Append || m.Kind == InstallSnapshot
		if asks == asking {
			r.options.Sender.Send(r.memberOf(m.To), m)
		}
	}
}

// memberOf knows former members too. A replica without members yet can only
// answer, and the sender knows where the question came from.
func (r *Replica) memberOf(id string) Member {
	m, ok := r.addresses[id]
	if !ok {
		return Member{ID: id}
	}
	return m
}

func (r *Replica) apply(entries []Entry) {
	for _, e := range entries {
		var value any
		if e.Kind == Command {
			value = r.options.StateMachine.Apply(e.Index, e.Term, e.Data)
		}
		p := r.waiting[e.Index]
		if p == nil {
			continue
		}
		delete(r.waiting, e.Index)
		if p.term != e.Term {
			p.answer <- answer{err: fault.New(fault.Unavailable, fault.No, "another leader's entry took the place")}
			continue
		}
		p.answer <- answer{result: Result{Index: e.Index, Value: value}}
	}
}

// noteLead tells the machine of a change, and the callers who wait that this
// replica can't say any more what becomes of their proposals.
func (r *Replica) noteLead() {
	term := r.core.ballot.Term
	leading := r.core.Leading()
	if r.core.role != leader || leading && r.led && term != r.ledTerm {
		r.forget()
	}
	if leading == r.led && (!leading || term == r.ledTerm) {
		return
	}
	r.led = leading
	r.ledTerm = term
	if o, ok := r.options.StateMachine.(LeadershipObserver); ok {
		o.LeadershipChanged(leading, term)
	}
}

func (r *Replica) forget() {
	for index, p := range r.waiting {
		p.answer <- answer{err: fault.New(fault.Unavailable, fault.Unknown, "leadership was lost before the entry was committed")}
		delete(r.waiting, index)
	}
}

func (r *Replica) answerReads() {
	if len(r.reads) == 0 {
		return
	}
	if !r.core.Leading() {
		for _, q := range r.reads {
			q.answer <- r.core.notLeader()
		}
		r.reads = nil
		return
	}
	confirmed := r.core.ConfirmedAt()
	r.reads = slices.DeleteFunc(r.reads, func(q *read) bool {
		done := !confirmed.Before(q.at) && r.core.applied >= q.index
		if done {
			q.answer <- nil
		}
		return done
	})
}

func (r *Replica) maybeSnapshot() error {
	if r.core.applied-r.snapAt < r.options.SnapshotEntries {
		return nil
	}
	data, err := r.options.StateMachine.Save()
	if err != nil {
		return err
	}
	s := r.core.Compact(r.core.applied, data)
	r.snapAt = s.Index
	entries := r.core.EntriesAfter(s.Index)
	return r.options.Storage.Install(s, r.core.ballot, entries)
}
