// Package member implements the client side of configuration leases.
//
// An entry or a sidecar renews its lease at the control leader by long polling:
// each renewal reports the configuration that the process has in force and
// returns as soon as there is a newer one. A control instance that isn't the
// leader redirects the caller to the leader.
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
	maxPollWait     = 2500 * time.Millisecond
	responseTimeout = 1200 * time.Millisecond
	renewalReserve  = time.Second // time that must be left on the lease when a long poll ends
	minBackoff      = 50 * time.Millisecond
	maxBackoff      = 400 * time.Millisecond
	releaseTimeout  = time.Second
)

type (
	// Holder is the part of a process that applies the configuration.
	Holder interface {
		// FillRenewal fills in the state of the process that a renewal reports.
		FillRenewal(*message.RenewRequest)

		// ApplyRenewal applies the configuration in the response. The lease is
		// extended only after it returns.
		ApplyRenewal(message.RenewResponse)
	}

	// Options configures a Member.
	Options struct {
		ID               string
		Incarnation      string
		Kind             string   // role of the process
		ControlAddresses []string // addresses of the control instances
		Client           *wire.Client
		Holder           Holder
		Log              *logrus.Entry
	}

	// Client keeps a lease renewed and calls the control leader. Create it
	// with New.
	Client struct {
		options   Options
		lease     *lease.Lease
		ready     chan struct{}
		cancelRun context.CancelFunc
		done      chan struct{}

		mu            rank.Mutex
		nextControl   int    // index into options.Control, modulo its length
		leaderAddress string // empty if unknown
		cancelRenewal context.CancelFunc
		updatePending bool // Nudge was called since the last Describe
	}
)

// New returns a Member that renews its lease in the background until Stop.
func New(options Options) *Client {
	ctx, cancel := context.WithCancel(context.Background())
	m := &Client{
		options:     options,
		lease:       lease.New(),
		ready:       make(chan struct{}),
		cancelRun:   cancel,
		done:        make(chan struct{}),
		mu:          rank.New(rank.Lease),
		nextControl: rand.IntN(len(options.ControlAddresses)),
	}
	go m.run(ctx)
	return m
}

// HasLease reports whether the lease is valid, so that the process may serve with
// the configuration that it has.
func (m *Client) HasLease() bool { return m.lease.Valid(time.Now()) }

// Ready returns a channel that is closed once the first lease is granted.
func (m *Client) Ready() <-chan struct{} { return m.ready }

// RenewNow ends the current long poll and sends the next renewal at once, to
// report a change in the state of the process.
func (m *Client) RenewNow() {
	m.mu.Lock()
	m.updatePending = true
	cancel := m.cancelRenewal
	m.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// Stop ends renewal and releases the lease. The process must have stopped
// serving before.
func (m *Client) Stop() {
	m.cancelRun()
	<-m.done
	m.lease.Release()
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	release := message.ReleaseRequest{ID: m.options.ID, Incarnation: m.options.Incarnation}
	_ = m.Call(ctx, message.MethodRelease, release, nil)
}

// Call calls the control leader. As long as the error proves that the request
// hasn't run, it retries with backoff, at other control instances where the
// leader isn't known, until ctx is done.
func (m *Client) Call(ctx context.Context, method string, in, out any) error {
	pause := minBackoff
	for {
		address := m.targetAddress()
		err := m.options.Client.Call(ctx, address, method, in, out)
		if err == nil {
			m.setLeader(address)
			return nil
		}
		e := fault.FromError(err)
		m.handleFailure(address, e)
		retry := e.Kind == fault.Unavailable && e.Ran == fault.NotRun
		if !retry || !interval.Sleep(ctx, pause) {
			return err
		}
		pause = min(2*pause, maxBackoff)
	}
}

// run renews the lease until ctx is done.
func (m *Client) run(ctx context.Context) {
	defer close(m.done)
	pause := minBackoff
	for ctx.Err() == nil {
		err := m.renew(ctx)
		if err == nil {
			pause = minBackoff
			continue
		}
		if m.hasPendingUpdate() {
			continue
		}
		m.options.Log.WithField("error", err.Error()).Debug("lease renewal failed")
		interval.Sleep(ctx, pause+rand.N(pause))
		pause = min(2*pause, maxBackoff)
	}
}

func (m *Client) renew(ctx context.Context) error {
	sentAt := time.Now()
	wait := m.pollWait(sentAt)
	ctx, cancel := context.WithTimeout(ctx, wait+responseTimeout)
	defer cancel()
	m.mu.Lock()
	m.cancelRenewal = cancel
	m.updatePending = false
	m.mu.Unlock()
	request := message.RenewRequest{
		ID:          m.options.ID,
		Incarnation: m.options.Incarnation,
		Kind:        m.options.Kind,
		MaxWait:     wait,
		NeedsLease:  true,
	}
	m.options.Holder.FillRenewal(&request)
	address := m.targetAddress()
	var response message.RenewResponse
	if err := m.options.Client.Call(ctx, address, message.MethodRenew, request, &response); err != nil {
		if !m.hasPendingUpdate() {
			m.handleFailure(address, fault.FromError(err))
		}
		return err
	}
	m.setLeader(address)
	m.options.Holder.ApplyRenewal(response)
	// The lease counts from the end of the time that the renewal was parked.
	parked := min(response.LeaseDelay, time.Since(sentAt))
	m.lease.Extend(sentAt.Add(parked), response.LeaseTTL)
	m.markReady()
	return nil
}

// pollWait returns how long the next renewal may be held as a long poll. With less
// than renewalReserve left on the lease it is 0, so that the first renewal at a
// new leader extends the lease at once.
func (m *Client) pollWait(now time.Time) time.Duration {
	return max(0, min(maxPollWait, m.lease.TimeLeft(now)-renewalReserve))
}

func (m *Client) markReady() {
	select {
	case <-m.ready:
	default:
		close(m.ready)
	}
}

func (m *Client) hasPendingUpdate() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.updatePending
}

func (m *Client) targetAddress() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.leaderAddress != "" {
		return m.leaderAddress
	}
	return m.options.ControlAddresses[m.nextControl%len(m.options.ControlAddresses)]
}

func (m *Client) setLeader(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaderAddress = address
}

// handleFailure directs the next call to another address after a failed one. It
// also closes the connection to the failed address, since an idle connection
// costs both ends its heartbeats.
func (m *Client) handleFailure(address string, e *fault.Error) {
	if m.switchTarget(address, e) {
		m.options.Client.CloseConn(address)
	}
}

// switchTarget selects the address for the next call after address failed. It
// returns false if another leader has become known meanwhile.
func (m *Client) switchTarget(address string, e *fault.Error) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.leaderAddress != "" && m.leaderAddress != address {
		return false
	}
	m.leaderAddress = ""
	if e.RedirectAddress != "" && e.RedirectAddress != address {
		m.leaderAddress = e.RedirectAddress
		return true
	}
	m.nextControl++
	if m.options.ControlAddresses[m.nextControl%len(m.options.ControlAddresses)] == address {
		m.nextControl++
	}
	return true
}
