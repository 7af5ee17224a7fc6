package relay

import (
	"context"
	"crypto/rand"
	"math"
	"slices"
	"sync/atomic"
	"time"

	"endivedeck.example/internal/fleet/clock"
	"endivedeck.example/internal/usage/ledger"
	"endivedeck.example/internal/usage/meter"
	"endivedeck.example/interval"
	"endivedeck.example/message"
	"endivedeck.example/rank"
	"endivedeck.example/roster"
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
		Demand bool              `json:"demand"`                 // report the demand for services whose number of servers is ordered
	}

	// usageReporter counts the requests of teams that backend servers began and reports
	// them, and the demand, to the control instances. A nil one does nothing.
	usageReporter struct {
		relay       *Relay
		demand      bool // is reported
		schedule    ledger.Schedule
		meter       *meter.Meter // nil if usage isn't counted
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

// newUsageReporter returns nil if nothing is reported.
func newUsageReporter(r *Relay, s UsageSettings) *usageReporter {
	if s.Window <= 0 && !s.Demand {
		return nil
	}
	u := &usageReporter{
		relay:       r,
		demand:      s.Demand,
		schedule:    ledger.Schedule{Length: s.Window.Std(), Late: s.Late.Std()},
		clock:       clock.New(time.Now()),
		incarnation: rand.Text(),
		mu:          rank.New(rank.Admission),
		wake:        make(chan struct{}),
	}
	if s.Window > 0 {
		u.meter = meter.New(s.Window.Std())
	}
	return u
}

// countRun counts that a backend server began to run the request.
func (j *job) countRun(at time.Time) {
	if u := j.relay.usage; u != nil && u.meter != nil && j.team != nil {
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
	if u.meter != nil {
		shared = min(shared, u.schedule.Late/usageIntervalsToLag)
	}
	return max(minUsageInterval, shared)
}

// report returns the counts that have changed since a sequence number, and the demand.
func (u *usageReporter) report(now time.Time, since uint64) (message.UsageReport, uint64) {
	report := message.UsageReport{Time: now.UnixMilli()}
	if u.meter != nil {
		u.meter.Drop(u.schedule.Oldest(u.clock.Time(now)))
		report.Complete = u.complete(now) // before the counts are read
		report.Windows, since = u.meter.Changes(since)
	}
	if u.demand {
		report.Demand = u.relay.demand(now)
	}
	return report, since
}

// demand returns the relay's requests at the servers of services whose number is ordered.
func (r *Relay) demand(now time.Time) []message.Demand {
	servers := slices.DeleteFunc(r.roster.Servers(now), func(s roster.Server) bool {
		service := r.routeView.Service(s.Service)
		return service == nil || service.Scaling == nil
	})
	if len(servers) == 0 {
		return nil
	}
	active := map[string]int{}
	for _, load := range r.placement.Loads(now) {
		active[load.Server] = load.Active
	}
	var list []message.Demand
	for _, s := range servers {
		i := slices.IndexFunc(list, func(d message.Demand) bool { return d.Service == s.Service && d.Domain == s.Domain })
		if i < 0 {
			i = len(list)
			list = append(list, message.Demand{Service: s.Service, Domain: s.Domain})
		}
		if !s.Draining {
			list[i].Servers++
		}
		list[i].Slots = max(list[i].Slots, s.Slots)
		list[i].Active += active[s.ID]
	}
	return list
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
		var report message.UsageReport
		report, since = u.report(time.Now(), since)
		if len(report.Windows)+len(report.Demand) > 0 || report.Complete != sent {
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
