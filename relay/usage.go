package relay

import (
	"context"
	"crypto/rand"
	"math"
	"sync/atomic"
	"time"

	"endivedeck.example/internal/fleet/clock"
	"endivedeck.example/internal/usage/ledger"
	"endivedeck.example/internal/usage/meter"
	"endivedeck.example/interval"
	"endivedeck.example/message"
	"endivedeck.example/rank"
	"endivedeck.example/routes"
	"endivedeck.example/settings"
)

const (
	minUsageInterval    = time.Second            // between usage reports to one control instance
	maxUsagePerSecond   = 500                    // usage reports to one control instance, of all relays
	usageRetryDelay     = 500 * time.Millisecond // before the next attempt to open a call
	usageFlushTime      = 100 * time.Millisecond // for the last reports of a relay that stops
	usageIntervalsToLag = 5                      // report intervals, at least, until a window is late
)

type (
	// UsageSettings says how the usage of teams is counted.
	UsageSettings struct {
		Window settings.Duration `json:"window" range:"0s..24h"` // length of a window; 0: usage isn't counted
		Late   settings.Duration `json:"late" range:"0s..24h"`   // after the end of a window, when control's report is due
	}

	// usageReporter counts the requests of teams that backend servers began and reports them to the
	// control instances. A nil one does nothing.
	usageReporter struct {
		relay       *Relay
		schedule    ledger.Schedule
		meter       *meter.Meter
		clock       *clock.Clock
		incarnation string
		stopped     atomic.Bool // no more requests are counted

		mu   rank.Mutex
		wake chan struct{} // closed when a report is to be sent at once
	}

	// usageStream reports usage to one control instance.
	usageStream struct {
		reporter *usageReporter
		address  string
	}
)

// newUsageReporter returns nil if usage isn't counted.
func newUsageReporter(r *Relay, s UsageSettings) *usageReporter {
	if s.Window <= 0 {
		return nil
	}
	return &usageReporter{
		relay:       r,
		schedule:    ledger.Schedule{Length: s.Window.Std(), Late: s.Late.Std()},
		meter:       meter.New(s.Window.Std()),
		clock:       clock.New(time.Now()),
		incarnation: rand.Text(),
		mu:          rank.New(rank.Admission),
		wake:        make(chan struct{}),
	}
}

// countRun counts that a backend server began to run the request.
func (j *job) countRun(at time.Time) {
	if u := j.relay.usage; u != nil && j.team != nil {
		u.meter.Count(u.clock.Time(at), j.team.Name)
	}
}

// countPlainRun counts a request that isn't a stream by the time at which it was sent.
func (j *job) countPlainRun(x *exchange) {
	if j.route.Kind != routes.Stream {
		j.countRun(x.sentAt)
	}
}

// observe records the time of day of a control instance.
func (u *usageReporter) observe(now time.Time, from string, unixMilli int64) {
	if u != nil && unixMilli != 0 {
		u.clock.Observe(now, from, time.UnixMilli(unixMilli))
	}
}

// start begins to report to a control instance until ctx is done.
func (u *usageReporter) start(ctx context.Context, address string) {
	if u == nil {
		return
	}
	s := &usageStream{reporter: u, address: address}
	u.relay.tasks.Add(1)
	go s.run(ctx)
}

// flush sends the last reports before the relay stops.
func (u *usageReporter) flush(ctx context.Context) {
	if u == nil {
		return
	}
	u.stopped.Store(true)
	u.mu.Lock()
	close(u.wake)
	u.wake = make(chan struct{})
	u.mu.Unlock()
	interval.Sleep(ctx, usageFlushTime)
}

func (u *usageReporter) woken() <-chan struct{} {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.wake
}

// interval returns the interval between reports to one control instance.
func (u *usageReporter) interval() time.Duration {
	shared := time.Duration(u.relay.relayCount.Load()) * time.Second / maxUsagePerSecond
	return max(minUsageInterval, min(shared, u.schedule.Late/usageIntervalsToLag))
}

// complete returns the number of the first window whose counts may still grow.
func (u *usageReporter) complete(now time.Time) int64 {
	if u.stopped.Load() {
		return math.MaxInt64
	}
	return u.schedule.Complete(u.clock.Time(now))
}

// run reports until ctx is done.
func (s *usageStream) run(ctx context.Context) {
	u := s.reporter
	defer u.relay.tasks.Done()
	for ctx.Err() == nil {
		if err := s.send(ctx); err != nil && ctx.Err() == nil {
			u.relay.log.WithField("control", s.address).WithField("error", err.Error()).Debug("reporting usage to a control instance failed")
		}
		interval.Sleep(ctx, usageRetryDelay)
	}
}

// send sends reports over one call until it fails or ctx is done. The first one has all
// windows that are kept, since the control instance may not have got earlier ones.
func (s *usageStream) send(ctx context.Context) error {
	u := s.reporter
	call, err := u.relay.client.OpenCall(ctx, s.address, message.MethodUsage, message.UsageHello{Relay: u.relay.host.Process.Instance, Incarnation: u.incarnation})
	if err != nil {
		return err
	}
	defer call.Cancel()
	stopCancel := context.AfterFunc(ctx, call.Cancel)
	defer stopCancel()
	var since uint64
	var sent int64
	for {
		woken := u.woken()
		now := time.Now()
		u.meter.Drop(u.schedule.Oldest(u.clock.Time(now)))
		report := message.UsageReport{Time: now.UnixMilli(), Complete: u.complete(now)} // complete is read before the counts
		report.Windows, since = u.meter.Changes(since)
		if len(report.Windows) > 0 || report.Complete != sent {
			if err := call.Send(report); err != nil {
				return err
			}
			sent = report.Complete
		}
		if !interval.SleepUntil(ctx, u.interval(), woken) {
			return nil
		}
	}
}
