// Package entry is the role of the thin instances that callers reach.
//
// An entry has no disk. It admits requests by the contracts in force, chooses
// a backend server among those that grant it new work, and carries answers
// whole. How callers' requests are encoded is the matter of fronts, which are
// plug-ins: they turn a request into a Query or a Call and use the Desk.
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

// Fronts is the slot of callers' interfaces. Each adds its paths to the
// entry's one listener.
var Fronts = kernel.NewSlot[Front]("front")

var (
	_ kernel.Role   = (*Entry)(nil)
	_ member.Holder = (*Entry)(nil)
)

type (
	// Front adds a callers' interface to mux.
	Front func(mux *http.ServeMux, desk *Desk)

	// Settings is the section "entry" of an entry's settings.
	Settings struct {
		Listen    string            `json:"listen" need:"yes"` // address for callers
		Control   []string          `json:"control" need:"yes"`
		Transport string            `json:"transport"`
		Routing   string            `json:"routing"`
		Limits    gate.Limits       `json:"limits"`
		Silence   settings.Duration `json:"silence" range:"100ms..1m"` // without a sign of life before an answer is asked for over a new connection
		Tries     int               `json:"tries" range:"1..16"`       // backend servers for one request
		Subset    int               `json:"subset" range:"1..10000"`   // backend servers of each model or service that this entry uses
		Leave     settings.Duration `json:"leaveTime" range:"0s..5m"`  // between a failing health check and the listener's end
	}

	// Entry is a running entry.
	Entry struct {
		host     *kernel.Host
		settings Settings
		log      *logrus.Entry
		client   *wire.Client
		view     *contract.View
		fleet    *fleet.Table
		limits   *admission.Controller
		desk     *Desk
		gate     *gate.Server
		member   *member.Client
		watch    *watchers
		stop     context.CancelFunc

		mu      rank.Mutex
		term    uint64
		version message.FleetVersion
	}
)

func init() {
	kernel.RegisterRole(roleName, DefaultSettings, build)
}

// DefaultSettings returns the settings that hold where a file says nothing.
func DefaultSettings() Settings {
	return Settings{
		Transport: "quic",
		Routing:   "parted",
		Limits:    gate.DefaultLimits(),
		Silence:   settings.Duration(time.Second),
		Tries:     4,
		Subset:    100,
		Leave:     settings.Duration(2 * time.Second),
	}
}

func build(host *kernel.Host, settings Settings) (kernel.Role, error) {
	transport, err := wire.Build(host, settings.Transport)
	if err != nil {
		return nil, err
	}
	return New(host, settings, transport)
}

// New returns an entry that speaks to other processes through transport.
func New(host *kernel.Host, settings Settings, transport wire.Transport) (*Entry, error) {
	policy, err := routing.Policies.Find(settings.Routing)
	if err != nil {
		return nil, err
	}
	e := &Entry{
		host:     host,
		settings: settings,
		log:      host.Log,
		client:   wire.NewClient(transport),
		view:     contract.NewView(),
		fleet:    fleet.New(),
		limits:   admission.New(),
		mu:       rank.New(rank.Control),
	}
	e.watch = newWatchers(e)
	e.desk = newDesk(e, policy(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))))
	return e, nil
}

// Desk returns what fronts use.
func (e *Entry) Desk() *Desk { return e.desk }

// Start implements kernel.Role. The listener opens at once, and answers its
// health check once the entry has a state that a quorum confirmed.
func (e *Entry) Start(context.Context) error {
	e.join()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", e.health)
	for _, name := range Fronts.Names() {
		front, err := Fronts.Find(name)
		if err != nil {
			return err
		}
		front(mux, e.desk)
	}
	g, err := gate.New(e.settings.Listen, mux, e.settings.Limits, nil)
	if err != nil {
		return err
	}
	e.gate = g
	return nil
}

// Stop implements kernel.Role: the health check fails, so that the balancer
// moves callers; after the leave time the listener closes, and requests that
// run end.
func (e *Entry) Stop(ctx context.Context) error {
	e.desk.leave()
	e.gate.Drain(ctx, e.settings.Leave.Std())
	err := e.gate.Stop(ctx)
	e.part(ctx)
	return err
}

// join has the entry become a member and follow the sidecars' grants.
func (e *Entry) join() {
	running, stop := context.WithCancel(context.Background())
	e.stop = stop
	e.watch.start(running)
	e.member = member.New(member.Options{
		ID:               e.host.Process.Instance,
		Incarnation:      nonce(),
		Kind:             roleName,
		ControlAddresses: e.settings.Control,
		Client:           e.client,
		Holder:           e,
		Log:              e.log,
	})
	go e.desk.settler.run(running)
}

// part undoes join, once no more requests run.
func (e *Entry) part(ctx context.Context) {
	e.desk.settler.drain(ctx)
	e.member.Stop()
	e.stop()
	<-e.desk.settler.ended
	e.watch.wait()
	e.client.Close()
}

// Address returns the address that callers reach.
func (e *Entry) Address() string { return e.gate.Address() }

// FillRenewal implements member.Holder.
func (e *Entry) FillRenewal(ask *message.Renew) {
	ask.Revision = e.view.Revision()
	e.mu.Lock()
	defer e.mu.Unlock()
	ask.Fleet = e.version
}

// ApplyRenewal implements member.Holder. What an earlier leader sends late is
// older than what is in force, and the view only advances.
func (e *Entry) ApplyRenewal(answer message.Renewed) {
	e.view.Advance(answer.Revision, answer.Contracts)
	e.limits.SetSplit(admission.Split{Entries: answer.Entries, Index: answer.Place})
	e.mu.Lock()
	stale := answer.Term < e.term
	if !stale {
		e.term = answer.Term
	}
	if !stale && answer.Fleet != nil {
		e.version = answer.Fleet.Version
	}
	e.mu.Unlock()
	if !stale && answer.Fleet != nil {
		e.watch.announce(answer.Fleet.Backends)
	}
}

func (e *Entry) health(w http.ResponseWriter, _ *http.Request) {
	if e.desk.leaving() || !e.member.HasLease() {
		http.Error(w, "not serving", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}

// Granted returns how many backend servers grant this entry new work.
func (e *Entry) Granted() int { return e.fleet.GrantedCount(time.Now()) }
