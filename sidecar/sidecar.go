// Package sidecar implements the role sidecar, the process that runs next to
// each backend server.
//
// A sidecar announces its backend server and is the only process that sends
// requests and orders to it. It refuses requests while it has no configuration
// lease, requests admitted under an older revision of a contract than it knows,
// and all requests while its backend server is unhealthy or is being withdrawn
// or changed. It retains answers for a time, so that an entry whose connection
// was lost can resume them.
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
	roleName         = "sidecar"
	incarnationBytes = 8
)

var (
	_ kernel.Role   = (*Sidecar)(nil)
	_ member.Holder = (*Sidecar)(nil)
)

type (
	// Settings is the section "sidecar" of the settings file.
	Settings struct {
		Listen           string            `json:"listen" need:"yes"` // address for entries
		Advertise        string            `json:"advertise"`         // address that entries connect to, if not Listen
		ControlAddresses []string          `json:"control" need:"yes"`
		Transport        string            `json:"transport"`
		Engine           EngineSettings    `json:"engine"`
		Service          ServiceSettings   `json:"service"`
		ResumeRetention  settings.Duration `json:"resumeTime" range:"1s..5m"`    // how long an answer without a reader is retained
		MaxTokens        int               `json:"maxTokens" range:"1..1000000"` // of one answer
	}

	// EngineSettings configures the sidecar's model engine.
	EngineSettings struct {
		Address string `json:"address"`
		Dialect string `json:"dialect"`
	}

	// ServiceSettings configures the sidecar's service.
	ServiceSettings struct {
		Name       string `json:"name"`
		Address    string `json:"address"`
		Dialect    string `json:"dialect"`
		HealthPath string `json:"health"`                  // path of the health check, which responds with 200; none if empty
		Slots      int    `json:"slots" range:"1..100000"` // calls that the service runs concurrently
		Dedupe     bool   `json:"dedupe"`                  // each instance of the service repeats the stored response to a repeated Idempotency-Key
	}

	// Sidecar is a running sidecar.
	Sidecar struct {
		host           *kernel.Host
		settings       Settings
		log            *logrus.Entry
		incarnation    string
		engine         engine.Engine // nil for a service
		listener       wire.Listener
		client         *wire.Client
		server         *wire.Server
		member         *member.Client
		grantSender    *grantSender
		streams        *streamTable
		changeRunner   *changeRunner
		prober         *prober
		service        Service // nil for a model engine
		stopBackground context.CancelFunc
		background     sync.WaitGroup

		mu                rank.Mutex
		contractRevisions map[string]uint64 // by customer
		revision          uint64
		term              uint64
		change            change.Change
		stopping          bool
		state             engine.State
		healthy           bool
		inFlight          int           // requests at the backend server
		idle              chan struct{} // closed when inFlight becomes 0; nil if nobody waits
		totals            message.EngineTotals
		promptRate        float64              // measured prompt tokens per second; 0 before the first answer
		sentOrders        map[uint64]sentOrder // by log index of the Begin

		forgotUnresolved bool // an unresolved order was removed from sentOrders
		skipDrain        bool // don't drain before a change; only for comparison runs in tests
		skipFencing      bool // don't check terms and the lease; only for comparison runs in tests
	}
)

func init() {
	kernel.RegisterRole(roleName, DefaultSettings, build)
}

// DefaultSettings returns the settings that apply unless the settings file
// sets others.
func DefaultSettings() Settings {
	return Settings{
		Transport:       "quic",
		Engine:          EngineSettings{Dialect: "lines"},
		Service:         ServiceSettings{Dialect: "http", Slots: 64},
		ResumeRetention: settings.Duration(10 * time.Second),
		MaxTokens:       32_768,
	}
}

func build(host *kernel.Host, settings Settings) (kernel.Role, error) {
	transport, err := wire.NewTransport(host, settings.Transport)
	if err != nil {
		return nil, err
	}
	return New(host, settings, transport)
}

// New returns a sidecar. Its listen address must be unique for the backend
// server: New fails while another sidecar listens on it, so a backend server
// never has two sidecars.
func New(host *kernel.Host, settings Settings, transport wire.Transport) (*Sidecar, error) {
	if (settings.Engine.Address == "") == (settings.Service.Address == "") {
		return nil, fault.New(fault.Malformed, fault.NotRun, "sidecar: want exactly one of engine.address %q and service.address %q",
			settings.Engine.Address, settings.Service.Address)
	}
	if settings.Service.Address != "" && settings.Service.Name == "" {
		return nil, fault.New(fault.Malformed, fault.NotRun, "sidecar.service.name: the field is required with service.address %q", settings.Service.Address)
	}
	s := &Sidecar{
		host:              host,
		settings:          settings,
		log:               host.Log,
		incarnation:       newIncarnation(),
		client:            wire.NewClient(transport),
		mu:                rank.New(rank.Backend),
		contractRevisions: map[string]uint64{},
		sentOrders:        map[uint64]sentOrder{},
	}
	if settings.Engine.Address != "" {
		dialect, err := engine.Dialects.Lookup(settings.Engine.Dialect)
		if err != nil {
			return nil, err
		}
		s.engine = dialect(settings.Engine.Address)
	}
	if settings.Service.Address != "" {
		dialect, err := ServiceDialects.Lookup(settings.Service.Dialect)
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
	s.grantSender = newGrantSender(s)
	s.streams = newStreamTable(s)
	s.changeRunner = newChangeRunner(s)
	s.prober = newProber(s)
	return s, nil
}

// Start implements kernel.Role.
func (s *Sidecar) Start(ctx context.Context) error {
	s.prober.probe(ctx)
	background, stop := context.WithCancel(context.Background())
	s.stopBackground = stop
	s.member = member.New(member.Options{
		ID:               s.host.Process.Instance,
		Incarnation:      s.incarnation,
		Kind:             roleName,
		ControlAddresses: s.settings.ControlAddresses,
		Client:           s.client,
		Holder:           s,
		Log:              s.log,
	})
	s.server = wire.NewServerWithin(s.host.Peers, s.listener, s.host.Pool, map[string]wire.Handler{
		message.MethodGrants:      wire.HandlerFunc(s.grantSender.serveSubscription),
		message.MethodGenerate:    wire.HandlerFunc(s.streams.serveGenerate),
		message.MethodCancel:      wire.HandlerFunc(s.streams.serveCancel),
		message.MethodServiceCall: wire.HandlerFunc(s.serveCall),
		message.MethodFence:       wire.Unary(s.serveFence),
	})
	s.background.Add(4)
	go s.prober.run(background)
	go s.grantSender.run(background)
	go s.changeRunner.run(background)
	go s.streams.run(background)
	return nil
}

// Stop implements kernel.Role: it stops accepting requests, waits for those in
// flight and releases the lease.
func (s *Sidecar) Stop(ctx context.Context) error {
	s.mu.Lock()
	s.stopping = true
	s.mu.Unlock()
	s.member.RenewNow()
	s.grantSender.sendNow()
	err := s.awaitIdle(ctx)
	if err == nil && s.service != nil {
		s.reportShutdown(ctx)
	}
	s.member.Stop()
	s.grantSender.close()
	if serverErr := s.server.Stop(ctx); err == nil {
		err = serverErr
	}
	s.stopBackground()
	s.background.Wait()
	s.client.Close()
	return err
}

// FillRenewal implements member.Holder.
func (s *Sidecar) FillRenewal(renewal *message.RenewRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	renewal.Revision = s.revision
	renewal.ChangeToken = s.change.FencingToken
	renewal.Totals = s.totals
	renewal.Backend = &message.Backend{
		Name:          s.host.Process.Instance,
		Incarnation:   s.incarnation,
		Address:       s.advertisedAddress(),
		FailureDomain: s.host.Process.FailureDomain,
		Kind:          s.backendKind(),
		Models:        s.state.Models,
		Role:          s.state.Role,
		Service:       s.settings.Service.Name,
		Dedupe:        s.settings.Service.Dedupe,
		Draining:      s.stopping || blocksRequests(s.change),
	}
}

// ApplyRenewal implements member.Holder. It ignores a response from the leader
// of an earlier term.
func (s *Sidecar) ApplyRenewal(response message.RenewResponse) {
	s.mu.Lock()
	if response.Term < s.term && !s.skipFencing {
		s.mu.Unlock()
		return
	}
	s.term = response.Term
	for _, r := range response.ContractRevisions {
		s.contractRevisions[r.Customer] = max(s.contractRevisions[r.Customer], r.Revision)
	}
	s.revision = max(s.revision, response.Revision)
	changed := response.Change != nil && response.Change.FencingToken > s.change.FencingToken
	if changed {
		s.change = *response.Change
	}
	s.mu.Unlock()
	if changed {
		s.grantSender.sendNow()
		s.changeRunner.wakeUp()
	}
}

// admit counts a request as in flight, or returns an error with Ran NotRun. After
// a successful call, release must be called when the request has ended.
func (s *Sidecar) admit(customer string, revision uint64) error {
	if !s.member.HasLease() {
		return fault.New(fault.LeaseExpired, fault.NotRun, "the sidecar's configuration lease has expired")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision < s.contractRevisions[customer] {
		return fault.New(fault.Stale, fault.NotRun, "the request was admitted under contract revision %d, revision %d is in force",
			revision, s.contractRevisions[customer])
	}
	if !s.acceptsRequests() {
		return fault.New(fault.Unavailable, fault.NotRun, "the backend server accepts no new requests")
	}
	s.inFlight++
	if s.inFlight == 1 {
		s.prober.probeNow()
	}
	return nil
}

// release ends a request counted by admit.
func (s *Sidecar) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	if s.inFlight == 0 && s.idle != nil {
		close(s.idle)
		s.idle = nil
	}
}

// awaitIdle waits until no request is in flight or ctx is done.
func (s *Sidecar) awaitIdle(ctx context.Context) error {
	s.mu.Lock()
	if s.inFlight == 0 {
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
		return fault.New(fault.DeadlineExceeded, fault.MaybeRun, "requests were still in flight when the wait ended: %v", ctx.Err())
	}
}

// acceptsRequests reports whether the backend server accepts new requests. The
// caller must hold s.mu.
func (s *Sidecar) acceptsRequests() bool {
	if s.stopping || !s.healthy || s.state.Changing {
		return false
	}
	return !blocksRequests(s.change)
}

// blocksRequests reports whether a change prevents new requests: a drain or
// withdrawal also after it is done, other changes until then.
func blocksRequests(c change.Change) bool {
	kind := c.Announcement.Kind
	switch {
	case c.FencingToken == 0 || kind == change.Resume:
		return false
	case kind == change.Drain || kind == change.Withdraw:
		return true
	}
	return c.State == change.Announced
}

func (s *Sidecar) advertisedAddress() string {
	if s.settings.Advertise != "" {
		return s.settings.Advertise
	}
	return s.settings.Listen
}

// hasRequests reports whether requests are in flight or the backend server
// reports running ones.
func (s *Sidecar) hasRequests() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inFlight > 0 || s.state.Load.Running > 0
}

func (s *Sidecar) backendKind() string {
	if s.engine == nil {
		return message.KindService
	}
	return message.KindEngine
}

// newIncarnation returns a random ID for this run of the process.
func newIncarnation() string {
	var id [incarnationBytes]byte
	_, _ = rand.Read(id[:])
	return hex.EncodeToString(id[:])
}
