package control

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"endivedeck.example/fault"
	"endivedeck.example/internal/duties/tenure"
	"endivedeck.example/internal/usage/ledger"
	"endivedeck.example/internal/usage/meter"
	"endivedeck.example/interval"
	"endivedeck.example/message"
	"endivedeck.example/rank"
	"endivedeck.example/wire"
)

type (
	// usageReporter closes usage windows and reports them to the provider while this
	// instance holds the duty. On other instances it only collects.
	usageReporter struct {
		manager   *dutyManager
		holder    *dutyHolder
		schedule  ledger.Schedule
		collector *ledger.Collector
		pace      *tenure.Pace
		first     int64          // window in which this instance took the duty; 0 if it doesn't hold it
		ended     map[int64]bool // closed windows that were reported or given up, until the log knows
	}

	// usageStreams receives the reports of relays.
	usageStreams struct {
		manager *dutyManager

		mu      rank.Mutex
		open    map[*usageStream]bool
		stopped bool
		running sync.WaitGroup
	}

	// usageStream is the open call of one relay.
	usageStream struct {
		streams *usageStreams
		call    *wire.ServerCall
		from    ledger.Source
	}
)

func newUsageReporter(m *dutyManager, schedule ledger.Schedule, callRate float64) *usageReporter {
	u := &usageReporter{
		manager:   m,
		holder:    newDutyHolder(m, DutyUsage),
		schedule:  schedule,
		collector: ledger.NewCollector(schedule, time.Now()),
		pace:      tenure.NewPace(callRate),
		ended:     map[int64]bool{},
	}
	m.control.host.Metrics.NewGauge("control_usage_windows_waiting", func() float64 { return float64(len(m.control.state.Usage().Records)) })
	return u
}

func (u *usageReporter) run(ctx context.Context) {
	interval.Every(ctx, dutyInterval, func(now time.Time) { u.step(ctx, now) })
}

// step does what the duty requires now, if this instance holds it.
func (u *usageReporter) step(ctx context.Context, now time.Time) {
	at := u.manager.clock.Time(now)
	u.collector.Drop(max(u.manager.control.state.Usage().Next, u.schedule.Oldest(at)))
	held, ok := u.holder.hold(ctx, now)
	if !ok {
		u.first = 0
		clear(u.ended)
		return
	}
	if u.first == 0 {
		u.first = meter.Number(at, u.schedule.Length)
	}
	for u.closeNext(ctx, at, held) {
	}
	u.report(ctx, now, at, held)
}

// next returns the number of the first window that isn't closed and whose report is useful.
func (u *usageReporter) next(at time.Time) int64 {
	next := u.manager.control.state.Usage().Next
	if next == 0 {
		return u.first
	}
	return max(next, u.schedule.Oldest(at))
}

// closeNext closes the next window if that is possible now, and reports whether it did.
func (u *usageReporter) closeNext(ctx context.Context, at time.Time, held tenure.Tenure) bool {
	number := u.next(at)
	verdict := u.collector.Judge(at, number)
	if !verdict.Closable {
		return false
	}
	c := u.manager.control
	expected := c.state.Usage().Next
	entry := ledger.Close{Window: u.collector.Sum(number), Missing: len(verdict.Missing)}
	for ended := range u.ended {
		entry.Ended = append(entry.Ended, ended)
	}
	result, err := c.propose(ctx, Command{Usage: &entry})
	log := c.log.WithFields(logrus.Fields{"window": number, "token": held.Token, "teams": len(entry.Window.Counts), "requests": requests(entry.Window), "missing": verdict.Missing})
	if err != nil {
		log.WithField("error", err.Error()).Warn("usage window not closed")
		return false
	}
	for _, ended := range entry.Ended {
		delete(u.ended, ended)
	}
	if expected != 0 && expected < number {
		c.log.WithFields(logrus.Fields{"from": expected, "before": number, "index": result.Index}).Error("usage windows skipped: no instance could close them in time")
	}
	outcome, ok := result.Value.(ledger.Outcome)
	log = log.WithField("index", result.Index)
	switch {
	case !ok || !outcome.Closed:
		log.Info("usage window was closed before")
	case verdict.Partial:
		log.Warn("usage window closed by an instance that started within it")
	case len(verdict.Missing) > 0:
		log.Warn("usage window closed without all counts of some relays")
	default:
		log.Info("usage window closed")
	}
	return ok
}

// report reports the oldest window that is closed and not reported.
func (u *usageReporter) report(ctx context.Context, now, at time.Time, held tenure.Tenure) {
	c := u.manager.control
	for _, record := range c.state.Usage().Records {
		number := record.Window.Number
		if u.ended[number] {
			continue
		}
		if !u.schedule.Useful(at, number) {
			u.end(number, "given up")
			c.log.WithFields(logrus.Fields{"window": number, "token": held.Token}).Error("usage window given up: the provider has not accepted its report in time")
			continue
		}
		if !u.pace.Ready(now) {
			return
		}
		err := u.holder.call(ctx, held, func(ctx context.Context) (ProviderCall, error) {
			return u.manager.provider.PrepareUsage(ctx, held, record.Window)
		})
		end := time.Now()
		u.pace.Done(end, err == nil)
		u.holder.countCall(end, held, err)
		late := u.manager.clock.Time(end).After(u.schedule.LateAt(number))
		log := c.log.WithFields(logrus.Fields{"window": number, "token": held.Token, "requests": requests(record.Window), "late": late, "took": end.Sub(now).Milliseconds()})
		switch {
		case err == nil:
			u.end(number, "reported")
			log.Info("usage window reported")
		case fault.KindOf(err) == fault.Malformed:
			u.end(number, "refused")
			log.WithField("error", fault.FromError(err).Message).Error("usage window refused by the provider")
		}
		return
	}
}

// end records that nothing more is to be done for a window.
func (u *usageReporter) end(number int64, outcome string) {
	u.ended[number] = true
	u.manager.control.host.Metrics.GetOrCreateCounter(`control_usage_windows_total{outcome="` + outcome + `"}`).Inc()
}

// windows returns the windows that are open or not known to be reported, for operators.
func (u *usageReporter) windows(at time.Time) []message.UsageWindow {
	usage := u.manager.control.state.Usage()
	var list []message.UsageWindow
	add := func(w meter.Window, state string, missing int) {
		list = append(list, message.UsageWindow{
			Number: w.Number, Start: meter.Start(w.Number, u.schedule.Length).UTC(), State: state, Late: at.After(u.schedule.LateAt(w.Number)),
			Teams: len(w.Counts), Requests: requests(w), Missing: missing,
		})
	}
	for _, r := range usage.Records {
		add(r.Window, message.WindowClosed, r.Missing)
	}
	current := meter.Number(at, u.schedule.Length)
	next := usage.Next
	if next == 0 {
		next = current
	}
	for number := max(next, u.schedule.Oldest(at)); number <= current; number++ {
		add(u.collector.Sum(number), message.WindowOpen, len(u.collector.Judge(at, number).Missing))
	}
	return list
}

// requests returns the number of requests of all teams.
func requests(w meter.Window) uint64 {
	var sum uint64
	for _, n := range w.Counts {
		sum += n
	}
	return sum
}

func newUsageStreams(m *dutyManager) *usageStreams {
	return &usageStreams{manager: m, mu: rank.New(rank.Lease), open: map[*usageStream]bool{}}
}

// handleUsage serves message.MethodUsage.
func (s *usageStreams) handleUsage(call *wire.ServerCall) {
	var hello message.UsageHello
	if err := call.Decode(&hello); err != nil {
		call.Fail(err)
		return
	}
	stream := &usageStream{streams: s, call: call, from: ledger.Source{Relay: hello.Relay, Incarnation: hello.Incarnation}}
	if !s.add(stream) {
		call.End()
		return
	}
	go stream.run()
}

func (s *usageStreams) add(stream *usageStream) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return false
	}
	s.open[stream] = true
	s.running.Add(1)
	return true
}

func (s *usageStreams) remove(stream *usageStream) {
	s.mu.Lock()
	delete(s.open, stream)
	s.mu.Unlock()
	s.running.Done()
}

// stop ends all calls and waits until they have ended.
func (s *usageStreams) stop() {
	s.mu.Lock()
	s.stopped = true
	for stream := range s.open {
		stream.call.Cancel()
	}
	s.mu.Unlock()
	s.running.Wait()
}

// run collects the relay's reports until the call ends.
func (s *usageStream) run() {
	defer s.streams.remove(s)
	defer s.call.End()
	for {
		var report message.UsageReport
		if err := s.call.Receive(&report); err != nil {
			return
		}
		now, m := time.Now(), s.streams.manager
		m.clock.Observe(now, s.from.Relay, time.UnixMilli(report.Time))
		if m.usage != nil {
			m.usage.collector.Merge(m.clock.Time(now), s.from, report.Complete, report.Windows)
		}
		if m.servers != nil && len(report.Demand) > 0 {
			m.servers.demand.record(now, s.from.Relay, report.Demand)
		}
	}
}
