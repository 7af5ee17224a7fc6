// Package relay implements the relay role, an HTTP reverse proxy in front of the
// backend servers.
//
// A relay has no persistent state. It receives the routes and the list of
// backend servers from the control instances, subscribes to all of them, and
// keeps serving with what it last received while none can be reached. For each
// request it finds the route, has package placement choose a backend server,
// and forwards the response. All retries are decided in this package; package
// upstream never retries.
//
// The HTTP headers and bodies that callers and backend servers use are read and
// written by a Dialect, a plug-in.
package relay

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"endivedeck.example/budget"
	"endivedeck.example/fault"
	"endivedeck.example/gate"
	"endivedeck.example/internal/engines/ramp"
	"endivedeck.example/internal/operators/access"
	"endivedeck.example/internal/prompts/quarantine"
	"endivedeck.example/interval"
	"endivedeck.example/kernel"
	"endivedeck.example/message"
	"endivedeck.example/placement"
	"endivedeck.example/rank"
	"endivedeck.example/roster"
	"endivedeck.example/routes"
	"endivedeck.example/settings"
	"endivedeck.example/upstream"
	"endivedeck.example/wire"
)

const (
	roleName      = "relay"
	sweepInterval = 500 * time.Millisecond // between two removals of timed-out servers and expired connections

	dialTimeout     = 300 * time.Millisecond  // many times the round-trip time between failure domains
	tcpUserTimeout  = time.Second             // without an acknowledgement from the backend server
	idleConnTimeout = 5 * time.Second         // unless the backend server asks for less
	shutdownMargin  = 1500 * time.Millisecond // between the end of serving and the kill, in which running requests end
)

var (
	_ kernel.Role     = (*Relay)(nil)
	_ kernel.Reloader = (*Relay)(nil)
)

type (
	// Settings is the section "relay" of the settings file.
	Settings struct {
		Listen         string            `json:"listen" need:"yes"`  // address on which callers connect
		ReadyListen    string            `json:"ready" need:"yes"`   // address of the readiness check
		PeerListen     string            `json:"inner" need:"yes"`   // address on which other relays connect
		Control        []string          `json:"control" need:"yes"` // addresses of control instances
		Transport      string            `json:"transport"`
		Dialect        string            `json:"dialect" need:"yes"`
		RetryRatio     float64           `json:"retryRatio" range:"0..10"`       // allowed retries per request to a service, over all relays
		RetrySlack     float64           `json:"retrySlack" range:"0..100000"`   // allowed retries in addition to RetryRatio
		RetryWindow    settings.Duration `json:"retryWindow" range:"100ms..10m"` // span of time to which both limits apply
		SilenceTimeout settings.Duration `json:"silence" range:"100ms..10m"`     // time without an announcement after which a backend server gets no requests
		GracePeriod    settings.Duration `json:"grace" range:"0s..10m"`          // from the stop signal until the process is killed
		LinkRate       float64           `json:"link" range:"0..1e12"`           // of the machine's link, in bytes per second; 0 if unknown
		Limits         gate.Limits       `json:"limits"`
		Usage          UsageSettings     `json:"usage,omitzero"`
		Ramp           bool              `json:"ramp"`         // pace servers that start or recover
		Speeds         bool              `json:"speeds"`       // learn how fast each server is; otherwise those of a kind count as alike
		OperatorKeys   []access.Operator `json:"operatorKeys"` // of those who may ask for previews on ReadyListen

		// RevocationLimit is how long the relay takes keys without word from a control
		// instance that its routes are current; 0 for no limit.
		RevocationLimit settings.Duration `json:"revocation" range:"0s..1h"`
	}

	// Relay is a running relay.
	Relay struct {
		host          *kernel.Host
		settings      Settings
		log           *logrus.Entry
		dialect       Dialect
		client        *wire.Client
		routeView     *routes.View
		currency      currency      // of routeView
		routesKnown   chan struct{} // closed when the first routes are in force
		routesOnce    sync.Once     // closes routesKnown
		roster        *roster.Roster
		placement     *placement.Table
		retryDetector *retryDetector
		returns       *returnCalendar
		retryBudget   *budget.Budget
		cacheSurvey   *cacheSurvey
		quarantine    *quarantine.Table
		evidence      *evidenceExchange
		usage         *usageReporter // nil if usage isn't counted
		ramps         *ramp.Fleet    // nil if servers aren't paced
		soon          *rate.Limiter  // of asking another server soon, see stall.go
		buffers       bufferLimit
		link          *linkMeter
		speeds        speedLog
		upstream      *upstream.Pool
		metrics       *relayMetrics
		callerServer  *gate.Server
		limited       atomic.Pointer[gate.Server] // callerServer, once it has been started
		readyServer   *gate.Server
		stopStarted   atomic.Pointer[time.Time] // when Stop was called; nil before
		running       atomic.Int64              // requests being handled
		invalidPause  logInterval
		relayCount    atomic.Int64 // relays that share the limits, including this one
		peerListener  wire.Listener
		peerServer    *wire.Server
		ctx           context.Context
		cancel        context.CancelFunc

		mu            rank.Mutex
		subscriptions map[string]*controlSubscription // by address of the control instance
		peers         map[string]*peer                // other relays that are sent this one's load, by address
		tasks         sync.WaitGroup
	}
)

func init() {
	kernel.RegisterRole(roleName, DefaultSettings, build)
}

// DefaultSettings returns the settings with their default values.
func DefaultSettings() Settings {
	limits := gate.DefaultLimits()
	limits.MaxBodyBytes = 64 << 20 // upper bound; the limit in the routes is lower
	return Settings{
		Transport:      "quic",
		RetryRatio:     0.2,
		RetrySlack:     20,
		RetryWindow:    settings.Duration(10 * time.Second),
		SilenceTimeout: settings.Duration(5 * time.Second),
		GracePeriod:    settings.Duration(8 * time.Second),
		Limits:         limits,
		OperatorKeys:   []access.Operator{},
	}
}

func build(host *kernel.Host, settings Settings) (kernel.Role, error) {
	transport, err := wire.NewTransport(host, settings.Transport)
	if err != nil {
		return nil, err
	}
	return New(host, settings, transport)
}

// New returns a relay that uses transport to reach control instances and other
// relays.
func New(host *kernel.Host, settings Settings, transport wire.Transport) (*Relay, error) {
	dialect, err := Dialects.Lookup(settings.Dialect)
	if err != nil {
		return nil, err
	}
	listener, err := transport.Listen(settings.PeerListen)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &Relay{
		peerListener:  listener,
		host:          host,
		settings:      settings,
		log:           host.Log,
		dialect:       dialect,
		client:        wire.NewClient(transport),
		routeView:     routes.NewView(),
		routesKnown:   make(chan struct{}),
		roster:        roster.New(settings.SilenceTimeout.Std()),
		placement:     placement.New(),
		retryDetector: newRetryDetector(),
		returns:       newReturnCalendar(),
		soon:          rate.NewLimiter(soonPerSecond, soonBurst),
		quarantine:    quarantine.New(),
		link:          newLinkMeter(settings.LinkRate),
		speeds:        speedLog{logged: map[string]placement.ServerSpeed{}},
		retryBudget: budget.New(budget.Limit{
			Ratio:  settings.RetryRatio,
			Slack:  settings.RetrySlack,
			Window: settings.RetryWindow.Std(),
		}),
		upstream:      upstream.New(upstream.Options{DialTimeout: dialTimeout, UserTimeout: tcpUserTimeout, IdleTimeout: idleConnTimeout}),
		ctx:           ctx,
		cancel:        cancel,
		mu:            rank.New(rank.Control),
		subscriptions: map[string]*controlSubscription{},
		peers:         map[string]*peer{},
	}
	r.relayCount.Store(1)
	r.cacheSurvey = newCacheSurvey(r)
	r.evidence = newEvidenceExchange(r)
	r.usage = newUsageReporter(r, settings.Usage)
	if settings.Speeds {
		r.placement.LearnSpeeds()
	}
	if settings.Ramp {
		r.ramps = ramp.New(settings.PeerListen)
		r.placement.SetPacer(r.ramps)
	}
	r.metrics = newRelayMetrics(host.Metrics, r)
	return r, nil
}

// Start implements kernel.Role.
func (r *Relay) Start(context.Context) error {
	r.peerServer = wire.NewServerWithin(r.host.Peers, r.peerListener, r.host.Pool, map[string]wire.Handler{
		message.MethodLoads: wire.HandlerFunc(r.receiveLoads),
	})
	r.subscribeToControls(r.settings.Control)
	r.tasks.Add(3)
	go r.run()
	go r.cacheSurvey.run(r.ctx)
	go r.evidence.run(r.ctx)
	ready, err := gate.NewWithin(r.host.Callers, r.settings.ReadyListen, r.readyHandler(), gate.SideLimits(r.settings.Limits), nil)
	if err != nil {
		return err
	}
	r.readyServer = ready
	r.callerServer, err = gate.NewWithin(r.host.Callers, r.settings.Listen, r, r.settings.Limits, nil)
	if err != nil {
		return err
	}
	r.limited.Store(r.callerServer)
	r.applyLimits()
	return nil
}

// applyLimits puts the limits of the routes in force at the server for callers.
func (r *Relay) applyLimits() {
	server := r.limited.Load()
	if server == nil {
		return // Start calls applyLimits again
	}
	limits := r.routeView.Limits()
	server.SetCallerLimits(gate.CallerLimits{MaxHeadBytes: limits.MaxHeadBytes, HeadTime: limits.HeaderTimeout, IdleTime: limits.IdleTimeout})
}

// Reload implements kernel.Reloader. It subscribes to control instances that
// are new in the settings; other changes have no effect.
func (r *Relay) Reload(host *kernel.Host) error {
	next := DefaultSettings()
	if err := host.Section(roleName, &next); err != nil {
		return err
	}
	r.subscribeToControls(next.Control)
	return nil
}

// Stop implements kernel.Role. The readiness check fails at once, but the relay
// keeps serving until shutdownMargin before the end of Settings.GracePeriod, because
// callers keep using open connections until the process exits. From the start it
// takes only requests that must end by then.
func (r *Relay) Stop(ctx context.Context) error {
	start := time.Now()
	r.stopStarted.Store(&start)
	r.log.WithField("running", r.running.Load()).WithField("grace", r.settings.GracePeriod.Std().Milliseconds()).Info("stop begins")
	if wait := r.settings.GracePeriod.Std() - shutdownMargin; wait > 0 {
		interval.Sleep(ctx, wait)
	}
	err := r.stopServing(ctx)
	_ = r.readyServer.Stop(ctx)
	r.usage.flush(ctx)
	r.cancel()
	r.peerServer.Close()
	r.tasks.Wait()
	r.client.Close()
	r.upstream.Close()
	return err
}

// stopServing ends the server for callers. A stop that runs out of time is an error only
// if it cuts a response: a connection without a request holds it up as well.
func (r *Relay) stopServing(ctx context.Context) error {
	err := r.callerServer.Stop(ctx)
	running := r.running.Load()
	if err == nil || running == 0 {
		return nil
	}
	r.log.WithField("running", running).WithField("error", err.Error()).Warn("stop timed out: responses cut")
	return fault.New(fault.DeadlineExceeded, fault.MaybeRun, "stop timed out: %d responses that were still running were cut: %v", running, err)
}

// mayOutliveRelay reports whether a request that may take until deadline must not be
// begun because it might still be running when the relay exits. Callers whose
// requests are refused reach other relays with their next attempt; a stream that is
// cut is lost.
func (r *Relay) mayOutliveRelay(deadline time.Time) bool {
	start := r.stopStarted.Load()
	return start != nil && deadline.After(start.Add(r.settings.GracePeriod.Std()-shutdownMargin))
}

// stopElapsed returns how long ago Stop was called, and whether it was.
func (r *Relay) stopElapsed(now time.Time) (time.Duration, bool) {
	start := r.stopStarted.Load()
	if start == nil {
		return 0, false
	}
	return now.Sub(*start), true
}

// Running returns the number of requests that are being handled.
func (r *Relay) Running() int { return int(r.running.Load()) }

// Address returns the address on which callers connect.
func (r *Relay) Address() string { return r.callerServer.Address() }

// ReadyAddress returns the address of the readiness check and of previews.
func (r *Relay) ReadyAddress() string { return r.readyServer.Address() }

// run removes servers that have timed out and closes expired idle connections
// until the relay stops.
func (r *Relay) run() {
	defer r.tasks.Done()
	interval.Every(r.ctx, sweepInterval, r.sweep)
}

func (r *Relay) sweep(now time.Time) {
	r.setServers(now, r.roster.Servers(now))
	r.upstream.CloseExpired(now)
	r.quarantine.Expire(now)
	r.logTransitions()
	r.logRamps()
	r.logSpeeds(now)
}

// Ready reports whether the relay has received routes and is not stopping.
func (r *Relay) Ready() bool {
	_, known := r.routeView.Version()
	return known && r.stopStarted.Load() == nil
}

func (r *Relay) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !r.Ready() {
		http.Error(w, "not ready", fault.HTTPErrorOf(fault.Unavailable).Status)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

// ServerCount returns the number of backend servers of a service that can get
// requests, or 0 if no routes have been received.
func (r *Relay) ServerCount(service string) int {
	if _, known := r.routeView.Version(); !known {
		return 0
	}
	return r.placement.ServerCount(service)
}
