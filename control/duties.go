package control

import (
	"context"
	"crypto/rand"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"endivedeck.example/fault"
	"endivedeck.example/internal/duties/replicas"
	"endivedeck.example/internal/duties/tenure"
	"endivedeck.example/internal/fleet/clock"
	"endivedeck.example/internal/usage/ledger"
	"endivedeck.example/internal/usage/meter"
	"endivedeck.example/kernel"
	"endivedeck.example/message"
	"endivedeck.example/settings"
	"endivedeck.example/wire"
)

// Names of duties.
const (
	DutyUsage   = "usage"   // report the usage of teams
	DutyServers = "servers" // order the number of servers
)

const (
	dutyInterval    = 250 * time.Millisecond // between two looks at what a duty requires
	dutyLogInterval = 5 * time.Second        // between two log lines about calls that failed
)

// Providers is the registry of the APIs of providers by name.
var Providers = kernel.NewRegistry[ProviderFactory]("provider's API")

type (
	// DutySettings says which duties the control instances have towards the provider, who
	// runs the machines of the deployment.
	DutySettings struct {
		Provider string            `json:"provider"` // the provider's API, by its name in Providers
		Address  string            `json:"address"`  // of the provider's API; empty: there are no duties
		Names    []string          `json:"names"`    // of the duties
		CallRate float64           `json:"callRate" range:"0..100000"`
		Lease    settings.Duration `json:"lease" range:"0s..1h"` // in which no two instances may act in turns
		Usage    UsageSettings     `json:"usage,omitzero"`
	}

	// UsageSettings says how usage is reported.
	UsageSettings struct {
		Window settings.Duration `json:"window" range:"0s..24h"` // length of a window
		Late   settings.Duration `json:"late" range:"0s..24h"`   // after the end of a window, when its report is due
	}

	// Provider is the API of the provider.
	Provider interface {
		// PrepareUsage opens a connection for a call that reports the usage in a window.
		PrepareUsage(ctx context.Context, by tenure.Tenure, w meter.Window) (ProviderCall, error)

		// PrepareServers opens a connection for a call that orders a number of servers.
		PrepareServers(ctx context.Context, by tenure.Tenure, o replicas.Order) (ProviderCall, error)
	}

	// ProviderCall is a call to the provider that is ready to be sent. It must be closed.
	ProviderCall interface {
		// Send sends the call and waits for the answer. The error is of kind
		// fault.Malformed if the provider will never accept the call, and
		// fault.LimitExceeded if it has got too many. After any other it may have
		// accepted the call.
		Send(ctx context.Context) error

		// Close resets the connection: bytes that haven't arrived never will.
		Close()
	}

	// ProviderFactory returns the API of a provider at an address.
	ProviderFactory func(address string) (Provider, error)

	// dutyManager runs the duties of a control instance.
	dutyManager struct {
		control  *Control
		provider Provider
		timing   tenure.Timing
		process  string // unique for this start of the instance
		clock    *clock.Clock
		usage    *usageReporter // nil without this duty
		servers  *serverOrderer // nil without this duty
		streams  *usageStreams
	}

	// dutyHolder holds a duty while this instance leads.
	dutyHolder struct {
		manager  *dutyManager
		duty     string
		term     uint64 // in which this instance leads; 0 for none
		ledSince time.Time
		last     atomic.Pointer[time.Time] // when the provider last accepted a call; nil for never
		logged   time.Time                 // when a failed call was last logged
	}
)

// Check implements an interface of package kernel.
func (s *Settings) Check() error { return s.Duties.check() }

// check returns the first error in the settings. Without an address there are no duties.
func (s *DutySettings) check() error {
	if s.Address == "" {
		return nil
	}
	for _, name := range s.Names {
		if name != DutyUsage && name != DutyServers {
			return malformedDuty("names", "want %s or %s, got %q", DutyUsage, DutyServers, name)
		}
	}
	switch {
	case s.Lease <= 0:
		return malformedDuty("lease", "the field is required")
	case slices.Contains(s.Names, DutyUsage) && s.Usage.Window <= 0:
		return malformedDuty("usage.window", "the field is required")
	case slices.Contains(s.Names, DutyUsage) && s.Usage.Late <= 0:
		return malformedDuty("usage.late", "the field is required")
	}
	_, err := s.provider()
	return err
}

// provider returns the API of the provider.
func (s *DutySettings) provider() (Provider, error) {
	factory, err := Providers.Lookup(s.Provider)
	if err != nil {
		return nil, malformedDuty("provider", "%s", fault.FromError(err).Message)
	}
	provider, err := factory(s.Address)
	if err != nil {
		return nil, malformedDuty("address", "%s", fault.FromError(err).Message)
	}
	return provider, nil
}

// newDutyManager returns the manager of the duties in the settings, or nil if there are none.
func newDutyManager(c *Control) (*dutyManager, error) {
	s := c.settings.Duties
	if err := s.check(); err != nil {
		return nil, err
	}
	if s.Address == "" || len(s.Names) == 0 {
		return nil, nil
	}
	provider, err := s.provider()
	if err != nil {
		return nil, err
	}
	now := time.Now()
	m := &dutyManager{control: c, provider: provider, timing: tenure.DefaultTiming(s.Lease.Std()), process: rand.Text(), clock: clock.New(now)}
	m.streams = newUsageStreams(m)
	callRate := s.CallRate / float64(len(s.Names))
	if slices.Contains(s.Names, DutyUsage) {
		m.usage = newUsageReporter(m, ledger.Schedule{Length: s.Usage.Window.Std(), Late: s.Usage.Late.Std()}, callRate)
	}
	if slices.Contains(s.Names, DutyServers) {
		m.servers = newServerOrderer(m, callRate)
	}
	return m, nil
}

func malformedDuty(field, format string, args ...any) error {
	return fault.New(fault.Malformed, fault.NotRun, "control.duties."+field+": "+format, args...)
}

// start runs the duties until ctx is done.
func (m *dutyManager) start(ctx context.Context) {
	if m != nil && m.usage != nil {
		go m.usage.run(ctx)
	}
	if m != nil && m.servers != nil {
		go m.servers.run(ctx)
	}
}

// stop ends the calls of relays.
func (m *dutyManager) stop() {
	if m != nil {
		m.streams.stop()
	}
}

// addHandlers adds the handlers of the calls that duties need.
func (m *dutyManager) addHandlers(handlers map[string]wire.Handler) {
	if m != nil {
		handlers[message.MethodUsage] = wire.HandlerFunc(m.streams.handleUsage)
	}
}

// time returns the time of day for relays, or 0 if they don't need it.
func (m *dutyManager) time(now time.Time) int64 {
	if m == nil || m.usage == nil {
		return 0
	}
	return now.UnixMilli()
}

func newDutyHolder(m *dutyManager, duty string) *dutyHolder {
	h := &dutyHolder{manager: m, duty: duty}
	set, label := m.control.host.Metrics, `{duty=`+strconv.Quote(duty)+`}`
	set.NewGauge("control_duty_token"+label, func() float64 { return float64(m.control.state.Tenure(duty).Token) })
	set.NewGauge("control_duty_held"+label, func() float64 {
		if _, _, err := m.control.leaderReplica(time.Now()); err != nil || !h.holds(m.control.state.Tenure(duty)) {
			return 0
		}
		return 1
	})
	set.NewGauge("control_duty_success_age_seconds"+label, func() float64 {
		if at := h.last.Load(); at != nil {
			return time.Since(*at).Seconds()
		}
		return -1
	})
	return h
}

// hold returns the tenure of this instance, which takes the duty if it leads and may do so.
func (h *dutyHolder) hold(ctx context.Context, now time.Time) (tenure.Tenure, bool) {
	c := h.manager.control
	_, lead, err := c.leaderReplica(now)
	if err != nil {
		h.term = 0
		return tenure.Tenure{}, false
	}
	if lead.Term != h.term {
		h.term, h.ledSince = lead.Term, now
	}
	latest := c.state.Tenure(h.duty) // a leader has applied all that earlier ones committed
	if h.holds(latest) {
		return latest, true
	}
	if !h.manager.timing.MayTake(c.host.Process.Instance, latest, now.Sub(h.ledSince)) {
		return tenure.Tenure{}, false
	}
	result, err := c.propose(ctx, Command{Take: &tenure.Take{Duty: h.duty, Holder: c.host.Process.Instance, Process: h.manager.process}})
	log := c.log.WithFields(logrus.Fields{"duty": h.duty, "before": latest.Holder, "led": now.Sub(h.ledSince).Milliseconds()})
	if err != nil {
		log.WithField("error", err.Error()).Warn("duty not taken")
		return tenure.Tenure{}, false
	}
	taken, ok := result.Value.(tenure.Tenure)
	log.WithField("token", taken.Token).WithField("index", result.Index).Info("duty taken")
	return taken, ok
}

// holds reports whether a tenure is that of this process.
func (h *dutyHolder) holds(t tenure.Tenure) bool {
	return t.Holder == h.manager.control.host.Process.Instance && t.Process == h.manager.process
}

// call makes a call to the provider as the holder with the given tenure. It fails with
// fault.Stale, and sends nothing, if this instance may not be the holder any more.
func (h *dutyHolder) call(ctx context.Context, held tenure.Tenure, prepare func(context.Context) (ProviderCall, error)) error {
	c := h.manager.control
	ctx, cancel := context.WithTimeout(ctx, h.manager.timing.CallTimeout)
	defer cancel()
	prepared, err := prepare(ctx)
	if err != nil {
		return err
	}
	defer prepared.Close()
	asked := time.Now()
	replica, _, err := c.leaderReplica(asked)
	if err != nil {
		return staleTenure(h.duty, held, fault.FromError(err).Message)
	}
	if err := replica.Barrier(ctx); err != nil {
		return staleTenure(h.duty, held, fault.FromError(err).Message)
	}
	if c.state.Tenure(h.duty) != held {
		return staleTenure(h.duty, held, "another tenure has begun")
	}
	now := time.Now()
	if steady, timeOfDay := now.Sub(asked), now.Round(0).Sub(asked.Round(0)); !h.manager.timing.MayCall(steady, timeOfDay) {
		return staleTenure(h.duty, held, "the confirmation took "+steady.String()+", "+timeOfDay.String()+" by the time of day")
	}
	if err := prepared.Send(ctx); err != nil {
		return err
	}
	end := time.Now()
	h.last.Store(&end)
	return nil
}

// countCall counts a call by its outcome, and logs failures now and then.
func (h *dutyHolder) countCall(now time.Time, held tenure.Tenure, err error) {
	outcome := "accepted"
	if err != nil {
		outcome = string(fault.KindOf(err))
	}
	c := h.manager.control
	c.host.Metrics.GetOrCreateCounter(`control_duty_calls_total{duty=` + strconv.Quote(h.duty) + `,outcome=` + strconv.Quote(outcome) + `}`).Inc()
	if err == nil || now.Sub(h.logged) < dutyLogInterval && !h.logged.IsZero() {
		return
	}
	h.logged = now
	c.log.WithFields(logrus.Fields{"duty": h.duty, "token": held.Token, "kind": outcome, "error": fault.FromError(err).Message}).Warn("call to the provider failed")
}

func staleTenure(duty string, held tenure.Tenure, reason string) error {
	return fault.New(fault.Stale, fault.NotRun, "duty %s with token %d: this instance may not be the holder any more: %s", duty, held.Token, reason)
}

// status adds to status what operators see of the duties.
func (m *dutyManager) status(now time.Time, status *message.Status) {
	if m != nil && m.usage != nil {
		status.Duties = append(status.Duties, m.usage.holder.status(now))
		status.UsageWindows = m.usage.windows(m.clock.Time(now))
	}
	if m != nil && m.servers != nil {
		status.Duties = append(status.Duties, m.servers.holder.status(now))
		status.Servers = m.servers.counts(now)
	}
}

// status returns what operators see of the duty.
func (h *dutyHolder) status(now time.Time) message.Duty {
	held := h.manager.control.state.Tenure(h.duty)
	duty := message.Duty{Name: h.duty, Holder: held.Holder, Token: held.Token}
	if at := h.last.Load(); at != nil {
		duty.LastSuccess = settings.Duration(now.Sub(*at).Round(time.Millisecond))
	}
	return duty
}
