// Package pool runs work items on a fixed pool of workers.
//
// A pool has a fixed number of workers and a bounded backlog. Submit never
// waits: when the backlog is full the work is refused at once, which is what
// lets a process under overload say "not run" early. Workers wait on a
// channel and use no processor time while there is nothing to do.
package pool

import (
	"context"
	"sync"

	"endivedeck.example/fault"
	"endivedeck.example/rank"
)

type (
	// Task is one work item.
	Task interface {
		// Do performs the item on a worker. It is called once.
		Do()
	}

	// Pool is a fixed set of workers. Create it with New.
	Pool struct {
		mu      rank.Mutex
		closed  bool
		backlog chan Task
		workers sync.WaitGroup
	}

	// Func is a function as a Task.
	Func func()
)

var _ Task = Func(nil)

// Do implements Task.
func (f Func) Do() { f() }

// New starts a pool of the given number of workers, with a backlog of the
// given number of items.
func New(workers, backlog int) *Pool {
	p := &Pool{
		mu:      rank.New(rank.Pool),
		backlog: make(chan Task, backlog),
	}
	p.workers.Add(workers)
	for range workers {
		go p.run()
	}
	return p
}

// Submit hands an item to the workers. It fails with fault.Overloaded when
// the backlog is full and with fault.Unavailable when the pool is stopping;
// in both cases the item has not run and never will.
func (p *Pool) Submit(task Task) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return fault.New(fault.Unavailable, fault.No, "the process is stopping")
	}
	select {
	case p.backlog <- task:
		return nil
	default:
		return fault.New(fault.Overloaded, fault.No, "all workers are busy and the backlog of %d items is full", cap(p.backlog))
	}
}

// Stop refuses new items, lets the accepted ones finish and returns when the
// workers have ended or ctx is done.
func (p *Pool) Stop(ctx context.Context) error {
	p.mu.Lock()
	if !p.closed {
		p.closed = true
		close(p.backlog)
	}
	p.mu.Unlock()
	ended := make(chan struct{})
	go p.loop(ended)
	select {
	case <-ended:
		return nil
	case <-ctx.Done():
		return fault.New(fault.Deadline, fault.Unknown, "work items were still running when the stop's time was over")
	}
}

func (p *Pool) run() {
	defer p.workers.Done()
	for task := range p.backlog {
		task.Do()
	}
}

func (p *Pool) loop(ended chan<- struct{}) {
	p.workers.Wait()
	close(ended)
}
