// Package entry implements the role of the stateless instances that accept
// callers' requests.
//
// An entry stores nothing on disk. It admits requests under the contracts in
// force and chooses a backend server among those that currently grant it new
// work. When a connection or a backend server fails, it retries or continues the
// request where that is safe: an order is never executed twice. The encoding of
// callers' requests is left to frontends, which are plug-ins: a Frontend decodes
// a request into a Query or a Call and passes it to the Executor.
package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"endivedeck.example/admission"
	"endivedeck.example/contract"
	"endivedeck.example/fleet"
	"endivedeck.example/gate"
	"endivedeck.example/kernel"
	"endivedeck.example/member"
	"endivedeck.example/message"
	"endivedeck.example/rank"
	"endivedeck.example/routing"
	"endivedeck.example/settings"
	"endivedeck.example/wire"
)

const roleName = "entry"

// Frontends is the registry of frontends. Each adds its paths to the entry's
// only listener.
var Frontends = kernel.NewRegistry[Frontend]("front")

var (
	_ kernel.Role   = (*Entry)(nil)
	_ member.Holder = (*Entry)(nil)
)

type (
	// Frontend registers the HTTP handlers of one frontend with mux. They pass
	// requests to executor.
	Frontend func(mux *http.ServeMux, executor *Executor)

	// Settings is the section "entry" of the settings file.
	Settings struct {
		Listen           string            `json:"listen" need:"yes"` // address for callers
		ControlAddresses []string          `json:"control" need:"yes"`
		Transport        string            `json:"transport"`
		RoutingPolicy    string            `json:"routing"`
		Limits           gate.Limits       `json:"limits"`
		SilenceTimeout   settings.Duration `json:"silence" range:"100ms..1m"` // time without a message on an answer stream after which it is resumed over a new connection
		MaxAttempts      int               `json:"tries" range:"1..16"`       // most consecutive attempts for one request without new tokens
		SubsetSize       int               `json:"subset" range:"1..10000"`   // most backend servers that this entry uses of each model or service
		DrainTime        settings.Duration `json:"leaveTime" range:"0s..5m"`  // from the first failing health check until the listener closes
	}

	// Entry is the entry role of a process. Create it with New.
	Entry struct {
		host      *kernel.Host
		settings  Settings
		log       *logrus.Entry
		client    *wire.Client
		contracts *contract.View
		fleet     *fleet.Table
		admission *admission.Controller
		executor  *Executor
		server    *gate.Server
		member    *member.Client
		grants    *grantWatchers
		stop      context.CancelFunc

		mu           rank.Mutex
		term         uint64
		fleetVersion message.FleetVersion
	}
)

func init() {
	kernel.RegisterRole(roleName, DefaultSettings, build)
}

// DefaultSettings returns the settings that apply unless the settings file
// sets others.
func DefaultSettings() Settings {
	return Settings{
		Transport:      "quic",
		RoutingPolicy:  "parted",
		Limits:         gate.DefaultLimits(),
		SilenceTimeout: settings.Duration(time.Second),
		MaxAttempts:    4,
		SubsetSize:     100,
		DrainTime:      settings.Duration(2 * time.Second),
	}
}

func build(host *kernel.Host, settings Settings) (kernel.Role, error) {
	transport, err := wire.NewTransport(host, settings.Transport)
	if err != nil {
		return nil, err
	}
	return New(host, settings, transport)
}

// New returns an entry that communicates with other processes over transport.
func New(host *kernel.Host, settings Settings, transport wire.Transport) (*Entry, error) {
	policy, err := routing.Policies.Lookup(settings.RoutingPolicy)
	if err != nil {
		return nil, err
	}
	e := &Entry{
		host:      host,
		settings:  settings,
		log:       host.Log,
		client:    wire.NewClient(transport),
		contracts: contract.NewView(),
		fleet:     fleet.New(),
		admission: admission.New(),
		mu:        rank.New(rank.Control),
	}
	e.grants = newGrantWatchers(e)
	e.executor = newExecutor(e, policy(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))))
	return e, nil
}

// Executor returns the executor of callers' requests.
func (e *Entry) Executor() *Executor { return e.executor }

// Start implements kernel.Role. The listener opens at once, but its health
// check fails until the entry has received a configuration that a quorum has
// confirmed.
func (e *Entry) Start(context.Context) error {
	e.connect()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", e.serveHealth)
	for _, name := range Frontends.Names() {
		frontend, err := Frontends.Lookup(name)
		if err != nil {
			return err
		}
		frontend(mux, e.executor)
	}
	server, err := gate.NewWithin(e.host.Callers, e.settings.Listen, mux, e.settings.Limits, nil)
	if err != nil {
		return err
	}
	e.server = server
	return nil
}

// Stop implements kernel.Role. The health check fails, so that the load
// balancer stops sending requests; after Settings.DrainTime the listener closes,
// and Stop waits for the running requests to finish. Until then everything that
// arrives is answered; what might not finish in time is refused.
func (e *Entry) Stop(ctx context.Context) error {
	stopBy, limited := ctx.Deadline()
	if !limited {
		stopBy = time.Now().Add(e.host.Process.StopTimeout.Std())
	}
	e.executor.startDraining(stopBy)
	e.server.Drain(ctx, e.settings.DrainTime.Std())
	err := e.server.Stop(ctx)
	report := e.server.Report()
	e.log.WithFields(logrus.Fields{"answered": report.Answered, "crossed": report.Crossed, "aborted": report.Aborted}).Info("connections of callers closed")
	e.disconnect(ctx)
	return err
}

// connect starts renewing the configuration lease with control, receiving the
// sidecars' grants and resolving order attempts.
func (e *Entry) connect() {
	ctx, stop := context.WithCancel(context.Background())
	e.stop = stop
	e.grants.start(ctx)
	e.member = member.New(member.Options{
		ID:               e.host.Process.Instance,
		Incarnation:      randomID(),
		Kind:             roleName,
		ControlAddresses: e.settings.ControlAddresses,
		Client:           e.client,
		Holder:           e,
		Log:              e.log,
	})
	go e.executor.resolver.run(ctx)
}

// disconnect undoes connect. It is called once no requests are running.
func (e *Entry) disconnect(ctx context.Context) {
	e.executor.resolver.drain(ctx)
	e.member.Stop()
	e.stop()
	<-e.executor.resolver.done
	e.grants.wait()
	e.client.Close()
}

// Address returns the address that the entry listens on for callers.
func (e *Entry) Address() string { return e.server.Address() }

// FillRenewal implements member.Holder.
func (e *Entry) FillRenewal(renewal *message.RenewRequest) {
	renewal.Revision = e.contracts.Revision()
	e.mu.Lock()
	defer e.mu.Unlock()
	renewal.FleetVersion = e.fleetVersion
}

// ApplyRenewal implements member.Holder. A late response of an earlier leader
// doesn't change the contracts, whose revision only advances. Its split of the limits
// and its list of backend servers are dropped.
func (e *Entry) ApplyRenewal(response message.RenewResponse) {
	e.contracts.Advance(response.Revision, response.Contracts)
	e.mu.Lock()
	stale := response.Term < e.term
	if !stale {
		e.term = response.Term
	}
	if !stale && response.Fleet != nil {
		e.fleetVersion = response.Fleet.Version
	}
	e.mu.Unlock()
	if stale {
		return
	}
	e.admission.SetSplit(admission.Split{Entries: response.EntryCount, Index: response.EntryIndex})
	if response.Fleet != nil {
		e.grants.update(response.Fleet.Backends)
	}
}

func (e *Entry) serveHealth(w http.ResponseWriter, _ *http.Request) {
	if e.executor.isDraining() || !e.member.HasLease() {
		http.Error(w, "not serving", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}

// GrantedCount returns the number of backend servers that grant this entry new
// work.
func (e *Entry) GrantedCount() int { return e.fleet.GrantedCount(time.Now()) }
