// Package member keeps a process a member of the system.
//
// An entry or a sidecar renews its configuration lease with the control leader
// by one long call after another: each says what the process has in force and
// comes back as soon as there is something newer. Whichever control instance
// is asked, the caller is sent on to the leader.
package member

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"endivedeck.example/fault"
	"endivedeck.example/interval"
	"endivedeck.example/lease"
	"endivedeck.example/message"
	"endivedeck.example/rank"
	"endivedeck.example/wire"
)

const (
	pollTime    = 2500 * time.Millisecond
	answerTime  = 1200 * time.Millisecond
	reserveTime = time.Second // of the lease, left when a renewal's wait is over
	leastPause  = 50 * time.Millisecond
	mostPause   = 400 * time.Millisecond
	releaseTime = time.Second
)

type (
	// Holder is the part of a process that has the configuration in force.
	Holder interface {
		// FillRenewal fills in what the process knows and is.
		FillRenewal(*message.Renew)

		// ApplyRenewal puts in force what has come. The lease is extended after
		// it returns.
		ApplyRenewal(message.Renewed)
	}

	// Options holds what a member is made of.
	Options struct {
		ID               string
		Incarnation      string
		Kind             string   // the role of the process
		ControlAddresses []string // addresses of control instances
		Client           *wire.Client
		Holder           Holder
		Log              *logrus.Entry
	}

	// Client renews a lease. Create it with New.
	Client struct {
		options Options
		holding *lease.Lease
		ready   chan struct{}
		stop    context.CancelFunc
		ended   chan struct{}

		mu     rank.Mutex
		next   int    // of options.Control
		leader string // address; empty when it isn't known
		cancel context.CancelFunc
		news   bool // something changed since the last Describe
	}
)

// New starts to renew.
func New(options Options) *Client {
	ctx, cancel := context.WithCancel(context.Background())
	m := &Client{
		options: options,
		holding: lease.New(),
		ready:   make(chan struct{}),
		stop:    cancel,
		ended:   make(chan struct{}),
		mu:      rank.New(rank.Lease),
		next:    rand.IntN(len(options.ControlAddresses)),
	}
	go m.run(ctx)
	return m
}

// HasLease reports whether the process may serve by the configuration it has.
func (m *Client) HasLease() bool { return m.holding.Valid(time.Now()) }

// Ready is closed once the first lease is held.
func (m *Client) Ready() <-chan struct{} { return m.ready }

// RenewNow sends the next renewal at once, to tell of news.
func (m *Client) RenewNow() {
	m.mu.Lock()
	m.news = true
	cancel := m.cancel
	m.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// Stop gives the lease back. The process must have ceased to serve.
func (m *Client) Stop() {
	m.stop()
	<-m.ended
	m.holding.Release()
	ctx, cancel := context.WithTimeout(context.Background(), releaseTime)
	defer cancel()
	release := message.Release{ID: m.options.ID, Incarnation: m.options.Incarnation}
	_ = m.Call(ctx, message.MethodRelease, release, nil)
}

// Call calls the control leader. While it is certain that nothing ran, another
// control instance is asked, until ctx is done.
func (m *Client) Call(ctx context.Context, method string, in, out any) error {
	pause := leastPause
	for {
		address := m.address()
		err := m.options.Client.Ask(ctx, address, method, in, out)
		if err == nil {
			m.found(address)
			return nil
		}
		e := fault.From(err)
		m.lost(address, e)
		again := e.Kind == fault.Unavailable && e.Ran == fault.No
		if !again || !interval.Sleep(ctx, pause) {
			return err
		}
		pause = min(2*pause, mostPause)
	}
}

// run renews until the member stops.
func (m *Client) run(ctx context.Context) {
	defer close(m.ended)
	pause := leastPause
	for ctx.Err() == nil {
		err := m.renew(ctx)
		if err == nil {
			pause = leastPause
			continue
		}
		if m.nudged() {
			continue
		}
		m.options.Log.WithField("error", err.Error()).Debug("renewal failed")
		interval.Sleep(ctx, pause+rand.N(pause))
		pause = min(2*pause, mostPause)
	}
}

func (m *Client) renew(ctx context.Context) error {
	asked := time.Now()
	wait := m.mayWait(asked)
	ctx, cancel := context.WithTimeout(ctx, wait+answerTime)
	defer cancel()
	m.mu.Lock()
	m.cancel = cancel
	m.news = false
	m.mu.Unlock()
	ask := message.Renew{
		ID:          m.options.ID,
		Incarnation: m.options.Incarnation,
		Kind:        m.options.Kind,
		Wait:        wait,
		Holds:       true,
	}
	m.options.Holder.FillRenewal(&ask)
	address := m.address()
	var answer message.Renewed
	if err := m.options.Client.Ask(ctx, address, message.MethodRenew, ask, &answer); err != nil {
		if !m.nudged() {
			m.lost(address, fault.From(err))
		}
		return err
	}
	m.found(address)
	m.options.Holder.ApplyRenewal(answer)
	parked := min(answer.Parked, time.Since(asked))
	m.holding.Extend(asked.Add(parked), answer.Lease)
	m.signal()
	return nil
}

// mayWait returns how long the next renewal may wait for news. One that is
// first to reach a new leader brings the lease at once when little is left.
func (m *Client) mayWait(now time.Time) time.Duration {
	return max(0, min(pollTime, m.holding.TimeLeft(now)-reserveTime))
}

func (m *Client) signal() {
	select {
	case <-m.ready:
	default:
		close(m.ready)
	}
}

func (m *Client) nudged() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.news
}

func (m *Client) address() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.leader != "" {
		return m.leader
	}
	return m.options.ControlAddresses[m.next%len(m.options.ControlAddresses)]
}

func (m *Client) found(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leader = address
}

// lost looks for the leader elsewhere. The connection to an instance that
// doesn't lead is given up, since an idle one costs both ends its heartbeat.
func (m *Client) lost(address string, e *fault.Error) {
	if m.leave(address, e) {
		m.options.Client.Drop(address)
	}
}

func (m *Client) leave(address string, e *fault.Error) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.leader != "" && m.leader != address {
		return false
	}
	m.leader = ""
	if e.Elsewhere != "" && e.Elsewhere != address {
		m.leader = e.Elsewhere
		return true
	}
	m.next++
	if m.options.ControlAddresses[m.next%len(m.options.ControlAddresses)] == address {
		m.next++
	}
	return true
}
