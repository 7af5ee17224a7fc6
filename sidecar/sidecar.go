// Package sidecar is the role of the process beside each backend server.
//
// The sidecar announces its backend server and is the only one that gives it
// work and orders. It refuses work without a configuration lease, by an older
// contract than it knows of, and while its backend server leaves or changes.
// Answers are kept for a while, so that an entry whose connection was lost
// goes on where it was.
package sidecar

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"endivedeck.example/change"
	"endivedeck.example/engine"
	"endivedeck.example/fault"
	"endivedeck.example/kernel"
	"endivedeck.example/member"
	"endivedeck.example/message"
	"endivedeck.example/rank"
	"endivedeck.example/settings"
	"endivedeck.example/wire"
)

const (
	roleName   = "sidecar"
	nonceBytes = 8
)

var (
	_ kernel.Role   = (*Sidecar)(nil)
	_ member.Holder = (*Sidecar)(nil)
)

type (
	// Settings is the section "sidecar" of a sidecar's settings.
	Settings struct {
		Listen    string            `json:"listen" need:"yes"` // address for entries
		Advertise string            `json:"advertise"`         // address that entries dial, if not listen
		Control   []string          `json:"control" need:"yes"`
		Transport string            `json:"transport"`
		Engine    EngineSettings    `json:"engine"`
		Service   ServiceSettings   `json:"service"`
		Resume    settings.Duration `json:"resumeTime" range:"1s..5m"` // an answer nobody reads is kept for so long
		MaxTokens int               `json:"maxTokens" range:"1..1000000"`
	}

	// EngineSettings says which model engine stands beside this sidecar.
	EngineSettings struct {
		Address string `json:"address"`
		Dialect string `json:"dialect"`
	}

	// ServiceSettings says which plain service stands beside this sidecar.
	ServiceSettings struct {
		Name    string `json:"name"`
		Address string `json:"address"`
		Dialect string `json:"dialect"`
		Health  string `json:"health"` // path that answers 200 when all is well
		Slots   int    `json:"slots" range:"1..100000"`
		Dedupe  bool   `json:"dedupe"` // the service, whichever instance is asked, answers a repeated Idempotency-Key from memory
	}

	// Sidecar is a running sidecar.
	Sidecar struct {
		host        *kernel.Host
		settings    Settings
		log         *logrus.Entry
		incarnation string
		engine      engine.Engine // nil beside a plain service
		listener    wire.Listener
		client      *wire.Client
		server      *wire.Server
		member      *member.Client
		grants      *grants
		streams     *streams
		changes     *changes
		probe       *probe
		service     Service // nil beside a model engine
		stop        context.CancelFunc
		running     sync.WaitGroup

		mu       rank.Mutex
		marks    map[string]uint64 // customer -> revision of its contract
		revision uint64
		term     uint64
		change   change.Change
		stopping bool
		state    engine.State
		healthy  bool
		busy     int // requests at the backend server
		idle     chan struct{}
		tally    message.Tally
		rate     float64           // prompt tokens a second, as observed
		handed   map[uint64]handed // orders by intent

		lost     bool // the outcome of some order was forgotten
		hasty    bool // changes don't wait for what runs; for a twin
		unfenced bool // authority isn't looked at; for a twin
	}
)

func init() {
	kernel.RegisterRole(roleName, DefaultSettings, build)
}

// DefaultSettings returns the settings that hold where a file says nothing.
func DefaultSettings() Settings {
	return Settings{
		Transport: "quic",
		Engine:    EngineSettings{Dialect: "lines"},
		Service:   ServiceSettings{Dialect: "http", Slots: 64},
		Resume:    settings.Duration(10 * time.Second),
		MaxTokens: 32_768,
	}
}

func build(host *kernel.Host, settings Settings) (kernel.Role, error) {
	transport, err := wire.Build(host, settings.Transport)
	if err != nil {
		return nil, err
	}
	return New(host, settings, transport)
}

// New returns a sidecar. The address it listens on is its slot: a second
// sidecar can't be made while the first holds it.
func New(host *kernel.Host, settings Settings, transport wire.Transport) (*Sidecar, error) {
	if (settings.Engine.Address == "") == (settings.Service.Address == "") {
		return nil, fault.New(fault.Malformed, fault.No, "sidecar: want one of engine.address and service.address")
	}
	if settings.Service.Address != "" && settings.Service.Name == "" {
		return nil, fault.New(fault.Malformed, fault.No, "sidecar.service.name: the field is needed")
	}
	s := &Sidecar{
		host:        host,
		settings:    settings,
		log:         host.Log,
		incarnation: nonce(),
		client:      wire.NewClient(transport),
		mu:          rank.New(rank.Backend),
		marks:       map[string]uint64{},
		handed:      map[uint64]handed{},
	}
	if settings.Engine.Address != "" {
		dialect, err := engine.Dialects.Find(settings.Engine.Dialect)
		if err != nil {
			return nil, err
		}
		s.engine = dialect(settings.Engine.Address)
	}
	if settings.Service.Address != "" {
		dialect, err := Services.Find(settings.Service.Dialect)
		if err != nil {
			return nil, err
		}
		s.service = dialect(settings.Service)
	}
	listener, err := transport.Listen(settings.Listen)
	if err != nil {
		return nil, err
	}
	s.listener = listener
	s.grants = newGrants(s)
	s.streams = newStreams(s)
	s.changes = newChanges(s)
	s.probe = newProbe(s)
	return s, nil
}

// Start implements kernel.Role.
func (s *Sidecar) Start(ctx context.Context) error {
	s.probe.look(ctx)
	running, stop := context.WithCancel(context.Background())
	s.stop = stop
	s.member = member.New(member.Options{
		ID:               s.host.Process.Instance,
		Incarnation:      s.incarnation,
		Kind:             roleName,
		ControlAddresses: s.settings.Control,
		Client:           s.client,
		Holder:           s,
		Log:              s.log,
	})
	s.server = wire.NewServer(s.listener, s.host.Pool, map[string]wire.Handler{
		message.MethodGrants: wire.HandlerFunc(s.grants.watch),
		message.MethodWork:   wire.HandlerFunc(s.streams.work),
		message.MethodCancel: wire.HandlerFunc(s.streams.cancel),
		message.MethodCall:   wire.HandlerFunc(s.call),
		message.MethodFence:  wire.Answer(s.fence),
	})
	s.running.Add(4)
	go s.probe.run(running)
	go s.grants.run(running)
	go s.changes.run(running)
	go s.streams.run(running)
	return nil
}

// Stop implements kernel.Role: no new work, then what runs ends.
func (s *Sidecar) Stop(ctx context.Context) error {
	s.mu.Lock()
	s.stopping = true
	s.mu.Unlock()
	s.member.RenewNow()
	s.grants.push()
	err := s.awaitIdle(ctx)
	if err == nil && s.service != nil {
		s.reportEnding(ctx)
	}
	s.member.Stop()
	s.grants.end()
	if serverErr := s.server.Stop(ctx); err == nil {
		err = serverErr
	}
	s.stop()
	s.running.Wait()
	s.client.Close()
	return err
}

// FillRenewal implements member.Holder.
func (s *Sidecar) FillRenewal(ask *message.Renew) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ask.Revision = s.revision
	ask.Change = s.change.FencingToken
	ask.Tally = s.tally
	ask.Backend = &message.Backend{
		Name:          s.host.Process.Instance,
		Incarnation:   s.incarnation,
		Address:       s.address(),
		FailureDomain: s.host.Process.FailureDomain,
		Kind:          s.kind(),
		Models:        s.state.Models,
		Role:          s.state.Role,
		Service:       s.settings.Service.Name,
		Dedupe:        s.settings.Service.Dedupe,
		Leaving:       s.stopping || leaves(s.change),
	}
}

// ApplyRenewal implements member.Holder. What an earlier leader sends late has no
// effect.
func (s *Sidecar) ApplyRenewal(answer message.Renewed) {
	s.mu.Lock()
	if answer.Term < s.term && !s.unfenced {
		s.mu.Unlock()
		return
	}
	s.term = answer.Term
	for _, mark := range answer.Marks {
		s.marks[mark.Customer] = max(s.marks[mark.Customer], mark.Revision)
	}
	s.revision = max(s.revision, answer.Revision)
	changed := answer.Change != nil && answer.Change.FencingToken > s.change.FencingToken
	if changed {
		s.change = *answer.Change
	}
	s.mu.Unlock()
	if changed {
		s.grants.push()
		s.changes.kick()
	}
}

// admit lets one request through to the backend server, or says why not;
// nothing has run then.
func (s *Sidecar) admit(customer string, revision uint64) error {
	if !s.member.HasLease() {
		return fault.New(fault.Lapsed, fault.No, "the sidecar's configuration lease has run out")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision < s.marks[customer] {
		return fault.New(fault.Stale, fault.No, "the request was admitted by an older contract than the one in force")
	}
	if !s.takesWork() {
		return fault.New(fault.Unavailable, fault.No, "the backend server takes no new work")
	}
	s.busy++
	if s.busy == 1 {
		s.probe.kick()
	}
	return nil
}

// done ends what admit let through.
func (s *Sidecar) done() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy--
	if s.busy == 0 && s.idle != nil {
		close(s.idle)
		s.idle = nil
	}
}

// awaitIdle returns when no request runs at the backend server.
func (s *Sidecar) awaitIdle(ctx context.Context) error {
	s.mu.Lock()
	if s.busy == 0 {
		s.mu.Unlock()
		return nil
	}
	if s.idle == nil {
		s.idle = make(chan struct{})
	}
	idle := s.idle
	s.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return fault.New(fault.Deadline, fault.Unknown, "requests still ran when the time was over")
	}
}

// takesWork is called with s.mu held.
func (s *Sidecar) takesWork() bool {
	if s.stopping || !s.healthy || s.state.Changing {
		return false
	}
	return !leaves(s.change)
}

// leaves reports whether a change keeps new work away: while it is carried
// out, and for drain and withdraw for good.
func leaves(c change.Change) bool {
	kind := c.Announcement.Kind
	switch {
	case c.FencingToken == 0 || kind == change.Resume:
		return false
	case kind == change.Drain || kind == change.Withdraw:
		return true
	}
	return c.State == change.Announced
}

func (s *Sidecar) address() string {
	if s.settings.Advertise != "" {
		return s.settings.Advertise
	}
	return s.settings.Listen
}

// working reports whether requests run at the backend server.
func (s *Sidecar) working() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.busy > 0 || s.state.Load.Running > 0
}

func (s *Sidecar) kind() string {
	if s.engine == nil {
		return message.KindService
	}
	return message.KindEngine
}

func nonce() string {
	var text [nonceBytes]byte
	_, _ = rand.Read(text[:])
	return hex.EncodeToString(text[:])
}
