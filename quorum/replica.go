package quorum

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"endivedeck.example/fault"
)

const (
	inboxCapacity          = 4096
	maxBatch               = 1024 // inbox items handled before the outcome is persisted
	defaultSnapshotEntries = 20_000
)

var errStopped = fault.New(fault.Unavailable, fault.MaybeRun, "the replica has stopped; the outcome of the request is unknown")

type (
	// Replica runs one member of the group. Create it with New.
	Replica struct {
		options Options
		core    *Core
		inbox   chan any
		stop    chan struct{}
		done    chan struct{}
		failed  chan error

		proposals       map[uint64]*proposal // uncommitted, by index
		pendingReads    []*readRequest
		confirmReads    bool // a read arrived after the last heartbeats were sent
		notifiedLeading bool // as last reported to the state machine, with notifiedTerm
		notifiedTerm    uint64
		knownMembers    map[string]Member   // current and former ones, by ID
		snapshotIndex   uint64              // of the last persisted snapshot
		transfer        *leadershipTransfer // the requested transfer; nil if none
		published       atomic.Pointer[Leadership]
	}

	// Result is the result of a committed proposal.
	Result struct {
		Index uint64
		Value any // result of applying the command
	}

	// Leadership is what a replica knows about leadership at one moment.
	Leadership struct {
		Leading     bool
		Term        uint64
		ConfirmedAt time.Time // no other replica was leader at this time
		CurrentAt   time.Time // see Core.CurrentAt
		Leader      Member    // the current leader; zero if it is unknown
		Status      Status
	}

	proposal struct {
		data    []byte
		members []Member // a membership change if not nil
		term    uint64
		done    chan proposalResult
	}

	readRequest struct {
		startedAt time.Time // leadership must be confirmed at or after this time
		index     uint64    // must be applied
		done      chan error
	}

	proposalResult struct {
		result Result
		err    error
	}

	caughtUpQuery struct { // whether a replica has all committed entries
		id    string
		reply chan bool
	}

	timeSinceReplyQuery struct { // how long ago a replica last replied
		id    string
		reply chan time.Duration
	}
)

// New starts a replica with the given persistent state.
func New(options Options) (*Replica, error) {
	if options.SnapshotEntries == 0 {
		options.SnapshotEntries = defaultSnapshotEntries
	}
	if options.State.Snapshot.Index > 0 {
		if err := options.StateMachine.Restore(options.State.Snapshot.Data); err != nil {
			return nil, err
		}
	}
	r := &Replica{
		options:       options,
		core:          NewCore(options.ID, options.Timing, options.State, options.Seed, time.Now()),
		inbox:         make(chan any, inboxCapacity),
		stop:          make(chan struct{}),
		done:          make(chan struct{}),
		failed:        make(chan error, 1),
		proposals:     map[uint64]*proposal{},
		knownMembers:  map[string]Member{},
		snapshotIndex: options.State.Snapshot.Index,
	}
	r.publishLeadership()
	go r.run()
	return r, nil
}

// Deliver passes a message from another replica to this one. It doesn't block: a
// message that finds the inbox full is dropped, as if the network had lost it.
func (r *Replica) Deliver(m Message) {
	select {
	case r.inbox <- m:
	default:
	}
}

// Propose appends a command to the log, waits until it is committed and applied,
// and returns the result. An error with Ran NotRun means that the command isn't in
// the log and never will be; with Ran MaybeRun it may still be committed.
func (r *Replica) Propose(ctx context.Context, data []byte) (Result, error) {
	return r.propose(ctx, &proposal{data: data, done: make(chan proposalResult, 1)})
}

// Reconfigure changes the members and waits until the change is committed. See
// Core.Reconfigure.
func (r *Replica) Reconfigure(ctx context.Context, members []Member) error {
	_, err := r.propose(ctx, &proposal{members: members, done: make(chan proposalResult, 1)})
	return err
}

// Barrier waits until a majority has confirmed that this replica still leads and
// all entries that were committed before the call are applied. A read of the state
// machine after that is linearizable.
func (r *Replica) Barrier(ctx context.Context) error {
	read := &readRequest{startedAt: time.Now(), done: make(chan error, 1)}
	if err := r.enqueue(ctx, read); err != nil {
		return err
	}
	select {
	case err := <-read.done:
		return err
	case <-r.done:
		return errStopped
	case <-ctx.Done():
		return fault.New(fault.DeadlineExceeded, fault.NotRun, "replica %s: leadership was not confirmed by a majority before the deadline", r.options.ID)
	}
}

// Leadership returns what this replica knew about leadership when it last
// processed its inbox or a timer. It doesn't block.
func (r *Replica) Leadership() Leadership { return *r.published.Load() }

// CaughtUp reports whether another replica is known to have all committed
// entries. It returns false if this replica doesn't lead, has stopped or doesn't
// process the query before ctx is done.
func (r *Replica) CaughtUp(ctx context.Context, id string) bool {
	reply := make(chan bool, 1)
	return query(ctx, r, caughtUpQuery{id: id, reply: reply}, reply)
}

// TimeSinceReply returns how long ago another replica last replied to this leader;
// see Core.TimeSinceReply. It returns 0 if the other replica is unknown, or if this
// one doesn't lead, has stopped or doesn't process the query before ctx is done.
func (r *Replica) TimeSinceReply(ctx context.Context, id string) time.Duration {
	reply := make(chan time.Duration, 1)
	return query(ctx, r, timeSinceReplyQuery{id: id, reply: reply}, reply)
}

// query enqueues a request and returns the reply, or the zero value if the
// replica stops or ctx is done first.
func query[T any](ctx context.Context, r *Replica, request any, reply <-chan T) T {
	var zero T
	if err := r.enqueue(ctx, request); err != nil {
		return zero
	}
	select {
	case value := <-reply:
		return value
	case <-r.done:
	case <-ctx.Done():
	}
	return zero
}

// Failed returns a channel that receives the error that stopped the replica, such
// as a disk error.
func (r *Replica) Failed() <-chan error { return r.failed }

// Stop stops the replica. Pending proposals fail with Ran MaybeRun.
func (r *Replica) Stop() {
	close(r.stop)
	<-r.done
}

func (r *Replica) propose(ctx context.Context, p *proposal) (Result, error) {
	if err := r.enqueue(ctx, p); err != nil {
		return Result{}, err
	}
	select {
	case outcome := <-p.done:
		return outcome.result, outcome.err
	case <-r.done:
		return Result{}, errStopped
	case <-ctx.Done():
		return Result{}, fault.New(fault.DeadlineExceeded, fault.MaybeRun, "replica %s: proposal was not committed and applied before the deadline", r.options.ID)
	}
}

func (r *Replica) enqueue(ctx context.Context, item any) error {
	select {
	case r.inbox <- item:
		return nil
	case <-r.done:
		return fault.New(fault.Unavailable, fault.NotRun, "replica %s has stopped", r.options.ID)
	case <-ctx.Done():
		return fault.New(fault.DeadlineExceeded, fault.NotRun, "replica %s: request was not accepted into the inbox (capacity %d) before the deadline", r.options.ID, inboxCapacity)
	}
}

// run is the replica's only goroutine. It handles a batch of inbox items, makes
// the outcome of the whole batch durable in one write, then sends messages and
// applies committed entries.
func (r *Replica) run() {
	defer close(r.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		timer.Reset(time.Until(r.core.NextTick()))
		select {
		case item := <-r.inbox:
			r.handle(item)
			r.handleQueued()
		case <-timer.C:
		case <-r.stop:
			return
		}
		r.core.Tick(time.Now())
		r.sendReadHeartbeat()
		r.stepDownForTransfer()
		if err := r.processReady(); err != nil {
			r.failed <- err
			return
		}
		r.publishLeadership()
		r.completeTransfer()
	}
}

// sendReadHeartbeat sends one heartbeat to confirm leadership for all new reads.
func (r *Replica) sendReadHeartbeat() {
	if r.confirmReads {
		r.confirmReads = false
		r.core.SendHeartbeats(time.Now())
	}
}

// handleQueued handles items that are already in the inbox, up to maxBatch.
func (r *Replica) handleQueued() {
	for range maxBatch {
		select {
		case item := <-r.inbox:
			r.handle(item)
		default:
			return
		}
	}
}

func (r *Replica) handle(item any) {
	now := time.Now()
	switch item := item.(type) {
	case Message:
		r.core.Step(now, item)
	case *proposal:
		r.handleProposal(item)
	case *readRequest:
		r.handleRead(item)
	case *leadershipTransfer:
		r.transfer = item
	case caughtUpQuery:
		item.reply <- r.core.CaughtUp(item.id)
	case timeSinceReplyQuery:
		item.reply <- r.core.TimeSinceReply(now, item.id)
	}
}

func (r *Replica) handleProposal(p *proposal) {
	if r.transfer != nil {
		p.done <- proposalResult{err: fault.New(fault.Unavailable, fault.NotRun, "replica %s is transferring its leadership and will stop", r.options.ID)}
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
		p.done <- proposalResult{err: err}
		return
	}
	r.proposals[index] = p
}

func (r *Replica) handleRead(read *readRequest) {
	if !r.core.Leading() {
		read.done <- r.core.notLeaderError()
		return
	}
	read.index = r.core.Status().Commit
	r.pendingReads = append(r.pendingReads, read)
	r.confirmReads = true
}

func (r *Replica) publishLeadership() {
	l := r.currentLeadership()
	r.published.Store(&l)
}

func (r *Replica) currentLeadership() Leadership {
	status := r.core.Status()
	l := Leadership{
		Leading:     r.core.Leading(),
		Term:        status.Term,
		ConfirmedAt: r.core.ConfirmedAt(),
		CurrentAt:   r.core.CurrentAt(),
		Status:      status,
	}
	for _, m := range status.Members {
		if m.ID == status.Leader {
			l.Leader = m
		}
	}
	return l
}

// processReady processes the core's output until it has no more entries to persist
// or to apply. Messages that replicate entries or a snapshot are sent before the
// entries are durable, unless the term or the vote has changed; all other messages
// are sent afterwards.
func (r *Replica) processReady() error {
	for {
		ready := r.core.Ready(time.Now())
		if ready.HardState == nil {
			r.send(ready.Messages, true)
		}
		if err := r.persist(ready); err != nil {
			return err
		}
		if ready.HardState != nil {
			r.send(ready.Messages, true)
		}
		r.send(ready.Messages, false)
		r.apply(ready.Committed)
		r.notifyLeadership()
		r.completeReads()
		if err := r.maybeSnapshot(); err != nil {
			return err
		}
		if len(ready.Entries) == 0 && len(ready.Committed) == 0 {
			return nil
		}
	}
}

func (r *Replica) persist(ready Ready) error {
	if s := ready.Snapshot; s != nil {
		if err := r.options.StateMachine.Restore(s.Data); err != nil {
			return err
		}
		entries := r.core.EntriesAfter(s.Index)
		if err := r.options.Storage.Install(*s, r.core.hardState, entries); err != nil {
			return err
		}
		r.snapshotIndex = s.Index
		r.failProposals()
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

// send sends the messages that replicate entries or a snapshot if requests is
// set, and all other messages if it isn't.
func (r *Replica) send(messages []Message, requests bool) {
	if len(messages) == 0 {
		return
	}
	for _, m := range r.core.members {
		r.knownMembers[m.ID] = m
	}
	for _, m := range messages {
		isRequest := m.Kind == Append || m.Kind == InstallSnapshot
		if isRequest == requests {
			r.options.Sender.Send(r.memberOf(m.To), m)
		}
	}
}

// memberOf returns a current or former member. A replica that has no members yet
// only replies to requests: for it, memberOf returns a Member without an address,
// and the Sender uses the address that the request came from.
func (r *Replica) memberOf(id string) Member {
	m, ok := r.knownMembers[id]
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
		p := r.proposals[e.Index]
		if p == nil {
			continue
		}
		delete(r.proposals, e.Index)
		if p.term != e.Term {
			p.done <- proposalResult{err: fault.New(fault.Unavailable, fault.NotRun, "proposal at index %d of term %d was replaced by an entry of term %d", e.Index, p.term, e.Term)}
			continue
		}
		p.done <- proposalResult{result: Result{Index: e.Index, Value: value}}
	}
}

// notifyLeadership notifies the state machine if this replica has gained or lost
// leadership or leads in another term. If its earlier leadership has ended, it also
// fails the pending proposals: this replica can't tell if they will be committed.
func (r *Replica) notifyLeadership() {
	term := r.core.hardState.Term
	leading := r.core.Leading()
	if r.core.role != leader || leading && r.notifiedLeading && term != r.notifiedTerm {
		r.failProposals()
	}
	if leading == r.notifiedLeading && (!leading || term == r.notifiedTerm) {
		return
	}
	r.notifiedLeading = leading
	r.notifiedTerm = term
	if o, ok := r.options.StateMachine.(LeadershipObserver); ok {
		o.LeadershipChanged(leading, term)
	}
}

func (r *Replica) failProposals() {
	for index, p := range r.proposals {
		p.done <- proposalResult{err: fault.New(fault.Unavailable, fault.MaybeRun, "replica %s lost leadership before the entry at index %d was committed", r.options.ID, index)}
		delete(r.proposals, index)
	}
}

func (r *Replica) completeReads() {
	if len(r.pendingReads) == 0 {
		return
	}
	if !r.core.Leading() {
		for _, read := range r.pendingReads {
			read.done <- r.core.notLeaderError()
		}
		r.pendingReads = nil
		return
	}
	confirmed := r.core.ConfirmedAt()
	r.pendingReads = slices.DeleteFunc(r.pendingReads, func(read *readRequest) bool {
		done := !confirmed.Before(read.startedAt) && r.core.applied >= read.index
		if done {
			read.done <- nil
		}
		return done
	})
}

func (r *Replica) maybeSnapshot() error {
	if r.core.applied-r.snapshotIndex < r.options.SnapshotEntries {
		return nil
	}
	data, err := r.options.StateMachine.Save()
	if err != nil {
		return err
	}
	s := r.core.Compact(r.core.applied, data)
	r.snapshotIndex = s.Index
	entries := r.core.EntriesAfter(s.Index)
	return r.options.Storage.Install(s, r.core.hardState, entries)
}
