// Package control implements the control role, the replicated control plane.
//
// The control instances of a deployment replicate one log, which holds
// contracts, announced changes, route tables and the record of orders that
// must not be executed twice. The leader grants configuration leases to
// entries and sidecars, pushes configuration updates to them and serves
// operators; the other instances redirect callers to it.
package control

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"endivedeck.example/change"
	"endivedeck.example/fault"
	"endivedeck.example/gate"
	"endivedeck.example/internal/operators/access"
	"endivedeck.example/kernel"
	"endivedeck.example/message"
	"endivedeck.example/order"
	"endivedeck.example/quorum"
	"endivedeck.example/roles"
	"endivedeck.example/roster"
	"endivedeck.example/wal"
	"endivedeck.example/wire"
)

// Values of Settings.BootstrapMode: how an instance with an empty data directory
// becomes a member of the replica group.
const (
	bootstrapSurvey = "survey" // bootstrap the group once all founders have reported that none exists
	bootstrapNew    = "found"  // bootstrap it without asking; only safe on the first start of the deployment
	bootstrapJoin   = "join"   // join the existing group
)

const (
	roleName        = "control"
	proposeTimeout  = 3 * time.Second
	transferTimeout = time.Second
)

var (
	_ kernel.Role            = (*Control)(nil)
	_ kernel.FailureNotifier = (*Control)(nil)
)

type (
	// Settings is the "control" section of the settings file.
	Settings struct {
		Name            string       `json:"name"`                 // instance name in the replica group; default: the name of the process's instance
		Listen          string       `json:"listen" need:"yes"`    // listen address for other processes of the system
		OperatorListen  string       `json:"operators" need:"yes"` // listen address of the operator API
		OperatorAPI     string       `json:"interface"`            // operator API to serve, by its name in OperatorAPIs
		OperatorKeys    []Operator   `json:"operatorKeys"`
		DataDir         string       `json:"data"`                // data directory; an instance without one is a non-voting observer that persists nothing
		Founders        []Founder    `json:"founders" need:"yes"` // initial members; with BootstrapMode "join", any current members
		BootstrapMode   string       `json:"founding"`            // with an empty data directory: survey, found or join
		Transport       string       `json:"transport"`
		RolePolicy      string       `json:"roles"` // name of the role policy
		Limits          gate.Limits  `json:"limits"`
		SnapshotEntries uint64       `json:"snapshotEntries" range:"100..10000000"` // log entries between snapshots
		Duties          DutySettings `json:"duties,omitzero"`
	}

	// Operator is an account of the operator API.
	Operator = access.Operator

	// Founder is the address of an initial member of the replica group.
	Founder struct {
		Instance string `json:"instance" need:"yes"`
		Address  string `json:"address" need:"yes"`
	}

	// Control is a running control instance.
	Control struct {
		host           *kernel.Host
		settings       Settings
		log            *logrus.Entry
		client         *wire.Client
		listener       wire.Listener
		server         *wire.Server
		operatorServer *gate.Server
		disk           wal.Disk
		directory      *wal.Directory // nil without a data directory or with a disk from UseDisk
		isObserver     bool           // non-voting: there is no data directory
		serverRegistry *roster.Registry
		publisher      *relayPublisher
		duties         *dutyManager // nil if there are none
		journal        *wal.Journal
		state          *State
		peers          *peerSender
		leases         *leaseManager
		bootstrap      *bootstrap
		timing         quorum.Timing
		newRolePolicy  roles.Factory
		failed         chan error
		stop           context.CancelFunc

		skipTransfer bool // Stop doesn't transfer leadership; set by tests that simulate a crash
	}
)

func init() {
	kernel.RegisterRole(roleName, DefaultSettings, build)
}

// DefaultSettings returns the defaults for settings that a file omits.
func DefaultSettings() Settings {
	return Settings{
		Transport:       "quic",
		RolePolicy:      "steady",
		OperatorAPI:     "contracts",
		BootstrapMode:   bootstrapSurvey,
		Limits:          gate.DefaultLimits(),
		SnapshotEntries: 20_000,
	}
}

func build(host *kernel.Host, settings Settings) (kernel.Role, error) {
	transport, err := wire.NewTransport(host, settings.Transport)
	if err != nil {
		return nil, err
	}
	return New(host, settings, transport)
}

// New returns a control instance that communicates with other processes over
// transport. It opens its listener but serves no requests before Start.
func New(host *kernel.Host, settings Settings, transport wire.Transport) (*Control, error) {
	if len(settings.Founders) == 0 {
		return nil, fault.New(fault.Malformed, fault.NotRun, "control.founders: the field is required")
	}
	if settings.BootstrapMode == "" {
		settings.BootstrapMode = bootstrapSurvey
	}
	if settings.BootstrapMode != bootstrapSurvey && settings.BootstrapMode != bootstrapNew && settings.BootstrapMode != bootstrapJoin {
		return nil, fault.New(fault.Malformed, fault.NotRun, "control.founding: want %s, %s or %s, got %q", bootstrapSurvey, bootstrapNew, bootstrapJoin, settings.BootstrapMode)
	}
	if settings.Name == "" {
		settings.Name = host.Process.Instance
	}
	policy, err := roles.Policies.Lookup(settings.RolePolicy)
	if err != nil {
		return nil, err
	}
	listener, err := transport.Listen(settings.Listen)
	if err != nil {
		return nil, err
	}
	c := &Control{
		newRolePolicy: policy,
		host:          host,
		settings:      settings,
		log:           host.Log,
		client:        wire.NewClient(transport),
		listener:      listener,
		state:         NewState(),
		timing:        quorum.DefaultTiming(),
		failed:        make(chan error, 1),
	}
	c.peers = newPeerSender(c.client, host.Log)
	c.leases = newLeaseManager(c)
	c.state.AddWatcher(c.leases)
	c.serverRegistry = roster.NewRegistry()
	c.publisher = newRelayPublisher(c)
	c.state.AddWatcher(c.publisher)
	if c.duties, err = newDutyManager(c); err != nil {
		_ = listener.Close()
		return nil, err
	}
	return c, nil
}

// Start implements kernel.Role. An instance with an empty data directory
// bootstraps the replica group together with the other founders or joins an
// existing group, in the background.
func (c *Control) Start(ctx context.Context) error {
	if err := c.openDisk(); err != nil {
		return err
	}
	identity, hasIdentity, err := wal.ReadIdentity(c.disk)
	if err != nil {
		return err
	}
	journal, state, err := wal.Open(c.disk)
	if err != nil {
		return err
	}
	c.journal = journal
	c.bootstrap = newBootstrap(c, identity, hasIdentity, state)
	runCtx, stop := context.WithCancel(context.Background())
	c.stop = stop
	c.server = wire.NewServerWithin(c.host.Peers, c.listener, c.host.Pool, c.handlers())
	if c.settings.OperatorListen != "" {
		if err := c.startOperatorAPI(); err != nil {
			return err
		}
	}
	if hasIdentity && state.Snapshot.Index+uint64(len(state.Entries)) > 0 {
		return c.startReplica(runCtx, identity, state)
	}
	go c.bootstrap.run(runCtx)
	return nil
}

// UseDisk makes the instance persist its state to disk instead of the data
// directory. It must be called before Start.
func (c *Control) UseDisk(disk wal.Disk) { c.disk = disk }

func (c *Control) openDisk() error {
	if c.disk != nil {
		return nil
	}
	if c.settings.DataDir == "" {
		c.log.Warn("no data directory configured: running as a non-voting observer without persistent state")
		c.isObserver = true
		c.disk = wal.NewMemoryDisk()
		return nil
	}
	directory, err := wal.OpenDirectory(c.settings.DataDir)
	if err != nil {
		return err
	}
	c.directory = directory
	c.disk = directory
	return nil
}

// startReplica starts the consensus replica under the given identity, and the
// loops that depend on it.
func (c *Control) startReplica(ctx context.Context, identity wal.Identity, state quorum.PersistentState) error {
	self := quorum.Member{ID: identity.ID, Instance: identity.Instance, Address: c.settings.Listen}
	c.peers.start(ctx, self)
	replica, err := quorum.New(quorum.Options{
		ID:              identity.ID,
		Timing:          c.timing,
		State:           state,
		Storage:         c.journal,
		StateMachine:    c.state,
		Sender:          c.peers,
		Seed:            uint64(time.Now().UnixNano()),
		SnapshotEntries: c.settings.SnapshotEntries,
	})
	if err != nil {
		return err
	}
	c.bootstrap.setReplica(replica)
	m := &membershipManager{control: c, replica: replica}
	go m.run(ctx)
	p := newPlanner(c)
	go p.run(ctx)
	c.duties.start(ctx)
	return nil
}

// Failed implements kernel.FailureNotifier. A disk error is fatal to the instance.
func (c *Control) Failed() <-chan error { return c.failed }

// Stop implements kernel.Role. A leader transfers leadership first, and pending
// calls are answered.
func (c *Control) Stop(ctx context.Context) error {
	if replica := c.activeReplica(); replica != nil && !c.skipTransfer {
		c.transferLeadership(ctx, replica)
	}
	c.leases.stop()
	c.publisher.stop()
	c.duties.stop()
	if c.operatorServer != nil {
		_ = c.operatorServer.Stop(ctx)
	}
	c.stop()
	c.peers.stop()
	err := c.server.Stop(ctx)
	if replica := c.activeReplica(); replica != nil {
		replica.Stop()
	}
	c.client.Close()
	if c.journal != nil {
		_ = c.journal.Close()
	}
	if c.directory != nil {
		_ = c.directory.Close()
	}
	return err
}

func (c *Control) transferLeadership(ctx context.Context, replica *quorum.Replica) {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	if err := replica.TransferLeadership(ctx); err != nil {
		c.log.WithField("error", err.Error()).Warn("leadership wasn't handed over")
	}
}

// OperatorAddress returns the listen address of the operator API.
func (c *Control) OperatorAddress() string { return c.operatorServer.Address() }

// activeReplica returns the running replica, or nil until bootstrap has started it.
func (c *Control) activeReplica() *quorum.Replica {
	if c.bootstrap == nil {
		return nil
	}
	return c.bootstrap.replica.Load()
}

// leaderReplica returns the replica if it is the leader and its leadership was
// confirmed within an election timeout; otherwise an error that redirects the
// caller to the leader, where it is known.
func (c *Control) leaderReplica(now time.Time) (*quorum.Replica, quorum.Leadership, error) {
	replica := c.activeReplica()
	if replica == nil {
		return nil, quorum.Leadership{}, fault.New(fault.Unavailable, fault.NotRun, "this control instance hasn't started its replica yet")
	}
	lead := replica.Leadership()
	if !lead.Leading || now.Sub(lead.ConfirmedAt) > c.timing.ElectionTimeout {
		return nil, lead, fault.Redirect(lead.Leader.Address, "this control instance isn't the leader")
	}
	return replica, lead, nil
}

// propose appends a command to the replicated log and returns the result of
// applying it.
func (c *Control) propose(ctx context.Context, command Command) (quorum.Result, error) {
	replica, _, err := c.leaderReplica(time.Now())
	if err != nil {
		return quorum.Result{}, err
	}
	setTime(&command, time.Now())
	data, err := wire.Encode(command)
	if err != nil {
		return quorum.Result{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	return replica.Propose(ctx, data)
}

func (c *Control) handlers() map[string]wire.Handler {
	handlers := map[string]wire.Handler{
		message.MethodRenew:          wire.HandlerFunc(c.leases.handleRenew),
		message.MethodRelease:        wire.HandlerFunc(c.leases.handleRelease),
		message.MethodBegin:          proposeHandler(c, func(in *order.Begin) Command { return Command{Begin: in} }),
		message.MethodFinish:         proposeHandler(c, func(in *order.Finish) Command { return Command{Finish: in} }),
		message.MethodShutdown:       proposeHandler(c, func(in *order.SidecarShutdown) Command { return Command{Shutdown: in} }),
		message.MethodReport:         proposeHandler(c, func(in *change.Report) Command { return Command{Report: in} }),
		message.MethodOperate:        wire.HandlerFunc(c.handleOperate),
		message.MethodQuorum:         wire.HandlerFunc(c.handleQuorum),
		message.MethodBootstrapState: wire.HandlerFunc(c.bootstrap.handleBootstrapState),
		message.MethodJoin:           wire.HandlerFunc(c.handleJoin),
		message.MethodUpdates:        wire.HandlerFunc(c.publisher.handleSubscribe),
	}
	c.duties.addHandlers(handlers)
	return handlers
}
