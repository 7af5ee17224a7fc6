// Package control is the role of the few instances that have a disk.
//
// Control instances are replicas of one log, which holds contracts, announced
// changes and the record of orders that may not be repeated. The leader grants
// configuration leases to entries and sidecars, tells them what is new, and
// answers operators; the other instances send callers on to it.
package control

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"endivedeck.example/change"
	"endivedeck.example/fault"
	"endivedeck.example/gate"
	"endivedeck.example/kernel"
	"endivedeck.example/message"
	"endivedeck.example/order"
	"endivedeck.example/quorum"
	"endivedeck.example/roles"
	"endivedeck.example/roster"
	"endivedeck.example/wal"
	"endivedeck.example/wire"
)

// What an instance with an empty data folder does.
const (
	foundSurvey = "survey" // found the group once all founders have answered that there is none
	foundAtOnce = "found"  // found it, as one that knows that this is the first start of all
	foundJoin   = "join"   // join the group that is there
)

const (
	roleName     = "control"
	proposalTime = 3 * time.Second
	handoverTime = time.Second
)

var (
	_ kernel.Role    = (*Control)(nil)
	_ kernel.Failing = (*Control)(nil)
)

type (
	// Settings is the section "control" of a control instance's settings.
	Settings struct {
		Name            string      `json:"name"`                 // among the replicas; the instance's own where it is empty
		Listen          string      `json:"listen" need:"yes"`    // address for other processes
		OperatorListen  string      `json:"operators" need:"yes"` // address for operators
		OperatorAPI     string      `json:"interface"`            // the operators' interface
		OperatorKeys    []Operator  `json:"operatorKeys"`
		DataDir         string      `json:"data"`                // the data folder; an instance without one keeps nothing and has no vote
		Founders        []Founder   `json:"founders" need:"yes"` // control instances of the first day; or, with "join", some that are there now
		BootstrapMode   string      `json:"founding"`            // what an instance with an empty data folder does: survey, found or join
		Transport       string      `json:"transport"`
		RolePolicy      string      `json:"roles"` // role policy
		Limits          gate.Limits `json:"limits"`
		SnapshotEntries uint64      `json:"snapshotEntries" range:"100..10000000"`
	}

	// Operator is somebody who may use the operators' interface.
	Operator struct {
		Name string `json:"name" need:"yes"`
		Hash string `json:"hash" need:"yes"` // SHA-256 of the operator's key, in hex
	}

	// Founder is a control instance of the first day.
	Founder struct {
		Instance string `json:"instance" need:"yes"`
		Address  string `json:"address" need:"yes"`
	}

	// Control is a running control instance.
	Control struct {
		host     *kernel.Host
		settings Settings
		log      *logrus.Entry
		client   *wire.Client
		listener wire.Listener
		server   *wire.Server
		gate     *gate.Server
		disk     wal.Disk
		folder   *wal.Folder // nil where there is no data folder, or UseDisk gave another disk
		observes bool        // it has no disk
		heard    *roster.Registry
		news     *news
		journal  *wal.Journal
		state    *State
		peers    *peers
		holders  *holders
		founding *founding
		timing   quorum.Timing
		roles    roles.Factory
		failed   chan error
		stop     context.CancelFunc

		abrupt bool // Stop doesn't hand the leader's place over; for tests of kills
	}
)

func init() {
	kernel.RegisterRole(roleName, DefaultSettings, build)
}

// DefaultSettings returns the settings that hold where a file says nothing.
func DefaultSettings() Settings {
	return Settings{
		Transport:       "quic",
		RolePolicy:      "steady",
		OperatorAPI:     "contracts",
		BootstrapMode:   foundSurvey,
		Limits:          gate.DefaultLimits(),
		SnapshotEntries: 20_000,
	}
}

func build(host *kernel.Host, settings Settings) (kernel.Role, error) {
	transport, err := wire.Build(host, settings.Transport)
	if err != nil {
		return nil, err
	}
	return New(host, settings, transport)
}

// New returns a control instance that speaks to other processes through
// transport. It serves nothing before Start.
func New(host *kernel.Host, settings Settings, transport wire.Transport) (*Control, error) {
	if len(settings.Founders) == 0 {
		return nil, fault.New(fault.Malformed, fault.No, "control.founders: the field is needed")
	}
	if settings.BootstrapMode == "" {
		settings.BootstrapMode = foundSurvey
	}
	if settings.BootstrapMode != foundSurvey && settings.BootstrapMode != foundAtOnce && settings.BootstrapMode != foundJoin {
		return nil, fault.New(fault.Malformed, fault.No, "control.founding: want %s, %s or %s", foundSurvey, foundAtOnce, foundJoin)
	}
	if settings.Name == "" {
		settings.Name = host.Process.Instance
	}
	policy, err := roles.Policies.Find(settings.RolePolicy)
	if err != nil {
		return nil, err
	}
	listener, err := transport.Listen(settings.Listen)
	if err != nil {
		return nil, err
	}
	c := &Control{
		roles:    policy,
		host:     host,
		settings: settings,
		log:      host.Log,
		client:   wire.NewClient(transport),
		listener: listener,
		state:    NewState(),
		timing:   quorum.DefaultTiming(),
		failed:   make(chan error, 1),
	}
	c.peers = newPeers(c.client, host.Log)
	c.holders = newHolders(c)
	c.state.AddWatcher(c.holders)
	c.heard = roster.NewRegistry()
	c.news = newNews(c)
	c.state.AddWatcher(c.news)
	return c, nil
}

// Start implements kernel.Role. An instance with an empty data folder founds
// the group together with the other founders, or joins the one that is there.
func (c *Control) Start(ctx context.Context) error {
	if err := c.openDisk(); err != nil {
		return err
	}
	identity, known, err := wal.ReadIdentity(c.disk)
	if err != nil {
		return err
	}
	j, state, err := wal.New(c.disk)
	if err != nil {
		return err
	}
	c.journal = j
	c.founding = newFounding(c, identity, known, state)
	running, stop := context.WithCancel(context.Background())
	c.stop = stop
	c.server = wire.NewServer(c.listener, c.host.Pool, c.handlers())
	if c.settings.OperatorListen != "" {
		if err := c.openGate(); err != nil {
			return err
		}
	}
	if known && state.Snapshot.Index+uint64(len(state.Entries)) > 0 {
		return c.startReplica(running, identity, state)
	}
	go c.founding.run(running)
	return nil
}

// UseDisk has the instance keep its state on disk in place of the data folder.
// It is called before Start.
func (c *Control) UseDisk(disk wal.Disk) { c.disk = disk }

func (c *Control) openDisk() error {
	if c.disk != nil {
		return nil
	}
	if c.settings.DataDir == "" {
		c.log.Warn("no data folder: the instance keeps nothing and has no vote")
		c.observes = true
		c.disk = wal.NewMemory()
		return nil
	}
	folder, err := wal.NewFolder(c.settings.DataDir)
	if err != nil {
		return err
	}
	c.folder = folder
	c.disk = folder
	return nil
}

// startReplica takes part in the group under the given identity.
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
	c.founding.began(replica)
	w := &warden{control: c, replica: replica}
	go w.run(ctx)
	p := newPlanner(c)
	go p.run(ctx)
	return nil
}

// Failed implements kernel.Failing. A disk that fails ends the instance.
func (c *Control) Failed() <-chan error { return c.failed }

// Stop implements kernel.Role. A leader hands its place over, and calls that
// are open are answered.
func (c *Control) Stop(ctx context.Context) error {
	if replica := c.current(); replica != nil && !c.abrupt {
		c.handOver(ctx, replica)
	}
	c.holders.stop()
	c.news.stop()
	if c.gate != nil {
		_ = c.gate.Stop(ctx)
	}
	c.stop()
	c.peers.stop()
	err := c.server.Stop(ctx)
	if replica := c.current(); replica != nil {
		replica.Stop()
	}
	c.client.Close()
	if c.journal != nil {
		_ = c.journal.Close()
	}
	if c.folder != nil {
		_ = c.folder.Close()
	}
	return err
}

func (c *Control) handOver(ctx context.Context, replica *quorum.Replica) {
	ctx, cancel := context.WithTimeout(ctx, handoverTime)
	defer cancel()
	if err := replica.TransferLeadership(ctx); err != nil {
		c.log.WithField("error", err.Error()).Warn("leadership wasn't handed over")
	}
}

// OperatorAddress returns the address of the operators' interface.
func (c *Control) OperatorAddress() string { return c.gate.Address() }

// current returns the replica, or nil before the instance takes part.
func (c *Control) current() *quorum.Replica {
	if c.founding == nil {
		return nil
	}
	return c.founding.replica.Load()
}

// leading returns the replica when it leads by what it knows now; otherwise
// an error that sends the caller to the leader.
func (c *Control) leading(now time.Time) (*quorum.Replica, quorum.Leadership, error) {
	replica := c.current()
	if replica == nil {
		return nil, quorum.Leadership{}, fault.New(fault.Unavailable, fault.No, "this control instance doesn't take part yet")
	}
	lead := replica.Leadership()
	if !lead.Leading || now.Sub(lead.ConfirmedAt) > c.timing.ElectionTimeout {
		return nil, lead, fault.Elsewhere(lead.Leader.Address, "this control instance doesn't lead")
	}
	return replica, lead, nil
}

// propose puts a command into the log and returns what came of it.
func (c *Control) propose(ctx context.Context, command Command) (quorum.Result, error) {
	replica, _, err := c.leading(time.Now())
	if err != nil {
		return quorum.Result{}, err
	}
	stamp(&command, time.Now())
	text, err := wire.Encode(command)
	if err != nil {
		return quorum.Result{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, proposalTime)
	defer cancel()
	return replica.Propose(ctx, text)
}

func (c *Control) handlers() map[string]wire.Handler {
	return map[string]wire.Handler{
		message.MethodRenew:    wire.HandlerFunc(c.holders.renew),
		message.MethodRelease:  wire.HandlerFunc(c.holders.release),
		message.MethodBegin:    proposal(c, func(in *order.Begin) Command { return Command{Begin: in} }),
		message.MethodFinish:   proposal(c, func(in *order.Finish) Command { return Command{Finish: in} }),
		message.MethodEnding:   proposal(c, func(in *order.SidecarShutdown) Command { return Command{Ending: in} }),
		message.MethodReport:   proposal(c, func(in *change.Report) Command { return Command{Report: in} }),
		message.MethodOperate:  wire.HandlerFunc(c.operate),
		message.MethodQuorum:   wire.HandlerFunc(c.deliver),
		message.MethodFounding: wire.HandlerFunc(c.founding.answer),
		message.MethodJoin:     wire.HandlerFunc(c.join),
		message.MethodNews:     wire.HandlerFunc(c.news.follow),
	}
}
