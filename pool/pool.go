// Package pool runs tasks on a fixed number of workers.
//
// Tasks wait in a queue of fixed capacity, the backlog. Submit never blocks: it
// refuses a task if the backlog is full, so that an overloaded process can tell
// its callers at once that their requests were not run. Idle workers block on a
// channel and use no processor time.
package pool

import (
	"context"
	"sync"

	"endivedeck.example/fault"
	"endivedeck.example/rank"
)

type (
	// Task is a unit of work.
	Task interface {
		// Run runs the task. A worker calls it once.
		Run()
	}

	// Pool is a fixed set of workers with a backlog. Create it with New.
	Pool struct {
		mu      rank.Mutex
		closed  bool
		backlog chan Task
		workers sync.WaitGroup
	}

	// TaskFunc is a function that implements Task.
	TaskFunc func()
)

var _ Task = TaskFunc(nil)

// Run implements Task.
func (f TaskFunc) Run() { f() }

// New starts a pool with the given number of workers. Up to backlog tasks can
// wait for a worker.
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

// Submit queues a task for the workers. It fails with fault.Overloaded if the
// backlog is full and with fault.Unavailable if the pool is stopping. A task
// that was refused is never run.
func (p *Pool) Submit(task Task) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return fault.New(fault.Unavailable, fault.NotRun, "task refused: the worker pool is stopping")
	}
	select {
	case p.backlog <- task:
		return nil
	default:
		return fault.New(fault.Overloaded, fault.NotRun, "task refused: all workers are busy and the backlog of %d tasks is full", cap(p.backlog))
	}
}

// Stop refuses new tasks and waits until the workers have run all accepted ones
// or ctx is done. In the latter case the workers continue.
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
		return fault.New(fault.DeadlineExceeded, fault.MaybeRun, "worker pool: stop timed out with tasks still queued or running")
	}
}

// run runs queued tasks until the backlog is closed and empty.
func (p *Pool) run() {
	defer p.workers.Done()
	for task := range p.backlog {
		task.Run()
	}
}

// loop closes ended when all workers have returned.
func (p *Pool) loop(ended chan<- struct{}) {
	p.workers.Wait()
	close(ended)
}
