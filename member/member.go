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

	// Options configures a Client.
	Options struct {
		ID               string
		Incarnation      string
		Kind             string   // role of the process: entry or sidecar
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
		nextControl   int    // index into options.ControlAddresses, modulo its length
		leaderAddress string // empty if unknown
		cancelRenewal context.CancelFunc
		updatePending bool // RenewNow was called since the last renewal was sent
	}
)

// New returns a Client that renews its lease in the background until Stop.
func New(options Options) *Client {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Client{
		options:     options,
		lease:       lease.New(),
		ready:       make(chan struct{}),
		cancelRun:   cancel,
		done:        make(chan struct{}),
		mu:          rank.New(rank.Lease),
		nextControl: rand.IntN(len(options.ControlAddresses)),
	}
	go c.run(ctx)
	return c
}

// HasLease reports whether the lease is valid, so that the process may serve
// with the configuration that it has.
func (c *Client) HasLease() bool { return c.lease.Valid(time.Now()) }

// Ready returns a channel that is closed once the first lease is granted.
func (c *Client) Ready() <-chan struct{} { return c.ready }

// RenewNow ends the current long poll and sends the next renewal at once, to
// report a change in the state of the process.
func (c *Client) RenewNow() {
	c.mu.Lock()
	c.updatePending = true
	cancel := c.cancelRenewal
	c.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// Stop ends renewal and releases the lease. The process must have stopped
// serving before.
func (c *Client) Stop() {
	c.cancelRun()
	<-c.done
	c.lease.Release()
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	release := message.ReleaseRequest{ID: c.options.ID, Incarnation: c.options.Incarnation}
	_ = c.Call(ctx, message.MethodRelease, release, nil)
}

// Call calls the control leader. As long as the error proves that the request
// hasn't run, it retries with backoff, at other control instances where the
// leader isn't known, until ctx is done.
func (c *Client) Call(ctx context.Context, method string, in, out any) error {
	pause := minBackoff
	for {
		address := c.targetAddress()
		err := c.options.Client.Call(ctx, address, method, in, out)
		if err == nil {
			c.setLeader(address)
			return nil
		}
		e := fault.FromError(err)
		c.handleFailure(address, e)
		retry := e.Kind == fault.Unavailable && e.Ran == fault.NotRun
		if !retry || !interval.Sleep(ctx, pause) {
			return err
		}
		pause = min(2*pause, maxBackoff)
	}
}

// run renews the lease until ctx is done.
func (c *Client) run(ctx context.Context) {
	defer close(c.done)
	pause := minBackoff
	for ctx.Err() == nil {
		err := c.renew(ctx)
		if err == nil {
			pause = minBackoff
			continue
		}
		if c.hasPendingUpdate() {
			continue
		}
		c.options.Log.WithField("error", err.Error()).Debug("lease renewal failed")
		interval.Sleep(ctx, pause+rand.N(pause))
		pause = min(2*pause, maxBackoff)
	}
}

func (c *Client) renew(ctx context.Context) error {
	sentAt := time.Now()
	wait := c.pollWait(sentAt)
	ctx, cancel := context.WithTimeout(ctx, wait+responseTimeout)
	defer cancel()
	c.mu.Lock()
	c.cancelRenewal = cancel
	c.updatePending = false
	c.mu.Unlock()
	request := message.RenewRequest{
		ID:          c.options.ID,
		Incarnation: c.options.Incarnation,
		Kind:        c.options.Kind,
		MaxWait:     wait,
		NeedsLease:  true,
	}
	c.options.Holder.FillRenewal(&request)
	address := c.targetAddress()
	var response message.RenewResponse
	if err := c.options.Client.Call(ctx, address, message.MethodRenew, request, &response); err != nil {
		if !c.hasPendingUpdate() {
			c.handleFailure(address, fault.FromError(err))
		}
		return err
	}
	c.setLeader(address)
	c.options.Holder.ApplyRenewal(response)
	// The lease starts LeaseDelay after the renewal was sent.
	delay := min(response.LeaseDelay, time.Since(sentAt))
	c.lease.Extend(sentAt.Add(delay), response.LeaseTTL)
	c.markReady()
	return nil
}

// pollWait returns how long the leader may hold the next renewal as a long poll.
// With less than renewalReserve left on the lease it is 0, so that the first
// renewal at a new leader extends the lease at once.
func (c *Client) pollWait(now time.Time) time.Duration {
	return max(0, min(maxPollWait, c.lease.TimeLeft(now)-renewalReserve))
}

func (c *Client) markReady() {
	select {
	case <-c.ready:
	default:
		close(c.ready)
	}
}

func (c *Client) hasPendingUpdate() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.updatePending
}

func (c *Client) targetAddress() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leaderAddress != "" {
		return c.leaderAddress
	}
	return c.options.ControlAddresses[c.nextControl%len(c.options.ControlAddresses)]
}

func (c *Client) setLeader(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaderAddress = address
}

// handleFailure directs the next call to another address after a failed one. It
// also closes the connection to the failed address, since both ends of an idle
// connection keep sending keep-alive messages.
func (c *Client) handleFailure(address string, e *fault.Error) {
	if c.switchTarget(address, e) {
		c.options.Client.CloseConn(address)
	}
}

// switchTarget selects the address for the next call after address failed. It
// returns false if another leader has become known meanwhile.
func (c *Client) switchTarget(address string, e *fault.Error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leaderAddress != "" && c.leaderAddress != address {
		return false
	}
	c.leaderAddress = ""
	if e.RedirectAddress != "" && e.RedirectAddress != address {
		c.leaderAddress = e.RedirectAddress
		return true
	}
	c.nextControl++
	if c.options.ControlAddresses[c.nextControl%len(c.options.ControlAddresses)] == address {
		c.nextControl++
	}
	return true
}
