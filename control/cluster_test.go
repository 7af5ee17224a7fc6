package control

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"endivedeck.example/contract"
	"endivedeck.example/fault"
	"endivedeck.example/interval"
	"endivedeck.example/kernel"
	"endivedeck.example/member"
	"endivedeck.example/message"
	"endivedeck.example/pool"
	"endivedeck.example/settings"
	"endivedeck.example/wal"
	"endivedeck.example/wire"
	"endivedeck.example/wire/memory"
)

type (
	// cluster is a set of control instances and lease holders on an in-memory
	// network, under the clock of testing/synctest.
	cluster struct {
		t          *testing.T
		network    *memory.Network
		founders   []Founder
		controls   map[string]*instance
		holders    []*leaseHolder
		rolePolicy string
		duties     DutySettings
	}

	instance struct {
		control *Control
		pool    *pool.Pool
		disk    *wal.MemoryDisk
	}

	// leaseHolder is a process that holds a configuration lease.
	leaseHolder struct {
		name         string
		client       *wire.Client
		member       *member.Client
		ignoresLease bool // keeps serving without a lease, which the tests' checks must detect

		mu           sync.Mutex
		revision     uint64
		contracts    map[string]contract.Accepted
		fleetVersion message.FleetVersion
		engine       *message.Backend // announced in renewals, if not nil
		totals       message.EngineTotals
		changeToken  uint64
	}
)

var _ member.Holder = (*leaseHolder)(nil)

// withCluster runs a test with the given number of control instances under the
// clock of testing/synctest.
func withCluster(t *testing.T, replicas int, test func(cl *cluster)) {
	withClusterPolicy(t, replicas, "fixed", test)
}

func withClusterPolicy(t *testing.T, replicas int, policy string, test func(cl *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		cl := &cluster{t: t, network: memory.NewNetwork(), controls: map[string]*instance{}, rolePolicy: policy}
		for i := range replicas {
			name := fmt.Sprintf("control-%d", i+1)
			cl.founders = append(cl.founders, Founder{Instance: name, Address: name})
		}
		for _, f := range cl.founders {
			cl.start(f.Instance, wal.NewMemoryDisk())
		}
		defer cl.shutdown()
		test(cl)
	})
}

func discardLogger() *logrus.Entry {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return logrus.NewEntry(logger)
}

func (cl *cluster) start(name string, disk *wal.MemoryDisk) *instance {
	cl.t.Helper()
	return cl.startWith(name, bootstrapSurvey, disk)
}

// startWith starts an instance with the given value of
// Settings.BootstrapMode. Without a disk it is an observer.
func (cl *cluster) startWith(name, bootstrapMode string, disk *wal.MemoryDisk) *instance {
	cl.t.Helper()
	process := kernel.DefaultProcessSettings()
	process.Instance = name
	workers := pool.New(64, 1024)
	host := &kernel.Host{Process: process, Log: discardLogger(), Metrics: metrics.NewSet(), Pool: workers}
	c, err := New(host, Settings{Listen: name, Founders: cl.founders, BootstrapMode: bootstrapMode, SnapshotEntries: 100, RolePolicy: cl.rolePolicy, Duties: cl.duties}, cl.network.Transport(name))
	if err != nil {
		cl.t.Fatal(err)
	}
	if disk != nil {
		c.UseDisk(disk)
	}
	if err := c.Start(cl.t.Context()); err != nil {
		cl.t.Fatal(err)
	}
	in := &instance{control: c, pool: workers, disk: disk}
	cl.controls[name] = in
	return in
}

// kill stops an instance without a transfer of leadership, as a crash would.
func (cl *cluster) kill(name string) {
	cl.t.Helper()
	cl.controls[name].control.skipTransfer = true
	cl.stop(name)
}

// stop shuts an instance down in order.
func (cl *cluster) stop(name string) {
	cl.t.Helper()
	in := cl.controls[name]
	delete(cl.controls, name)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = in.control.Stop(ctx)
	_ = in.pool.Stop(context.Background())
}

func (cl *cluster) shutdown() {
	for _, h := range cl.holders {
		h.stop()
	}
	for name := range cl.controls {
		cl.kill(name)
	}
	// Goroutines that still wait for a dial or a lease end when they time out.
	interval.Sleep(context.Background(), time.Minute)
}

func (cl *cluster) founderNames() []string {
	var names []string
	for _, f := range cl.founders {
		names = append(names, f.Instance)
	}
	return names
}

func (cl *cluster) addHolder(name, kind string) *leaseHolder {
	h := &leaseHolder{name: name, contracts: map[string]contract.Accepted{}}
	h.client = wire.NewClient(cl.network.Transport(name))
	h.member = member.New(member.Options{
		ID:               name,
		Incarnation:      "1",
		Kind:             kind,
		ControlAddresses: cl.founderNames(),
		Client:           h.client,
		Holder:           h,
		Log:              discardLogger(),
	})
	cl.holders = append(cl.holders, h)
	return h
}

func (h *leaseHolder) stop() {
	h.member.Stop()
	h.client.Close()
}

// FillRenewal implements member.Holder.
func (h *leaseHolder) FillRenewal(request *message.RenewRequest) {
	h.mu.Lock()
	defer h.mu.Unlock()
	request.Revision = h.revision
	request.FleetVersion = h.fleetVersion
	request.Backend = h.engine
	request.Totals = h.totals
	request.ChangeToken = h.changeToken
}

// ApplyRenewal implements member.Holder.
func (h *leaseHolder) ApplyRenewal(response message.RenewResponse) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if response.Change != nil {
		h.changeToken = response.Change.FencingToken
	}
	if response.Fleet != nil {
		h.fleetVersion = response.Fleet.Version
	}
	if response.Revision <= h.revision {
		return
	}
	for _, accepted := range response.Contracts {
		h.contracts[accepted.Contract.Customer] = accepted
	}
	h.revision = response.Revision
}

// served returns the contract version that the holder serves with, and whether
// it serves.
func (h *leaseHolder) served(customer string) (uint64, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.contracts[customer].Version, h.member.HasLease() || h.ignoresLease
}

// awaitLeader waits for a leader and returns its name.
func (cl *cluster) awaitLeader() string {
	cl.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	for {
		for name, in := range cl.controls {
			if _, _, err := in.control.leaderReplica(time.Now()); err == nil {
				return name
			}
		}
		if !interval.Sleep(ctx, 20*time.Millisecond) {
			cl.t.Fatal("no leader within 30 s")
		}
	}
}

// putContract stores a contract through the given instance and returns the
// response. It retries while the instance is unavailable.
func (cl *cluster) putContract(via string, customer string, replaces uint64, requestID string, share float64, wait time.Duration) message.OperateResponse {
	cl.t.Helper()
	c := sampleContract(customer, share)
	request := message.OperateRequest{
		Kind:     OperatePutContract,
		MaxWait:  wait,
		Contract: &contract.Change{RequestID: requestID, Customer: customer, Replaces: replaces, Contract: &c},
	}
	ctx, cancel := context.WithTimeout(context.Background(), wait+20*time.Second)
	defer cancel()
	for {
		response, err := cl.controls[via].control.Operate(ctx, request)
		if err == nil {
			return response
		}
		if fault.KindOf(err) != fault.Unavailable && fault.KindOf(err) != fault.DeadlineExceeded || !interval.Sleep(ctx, 50*time.Millisecond) {
			cl.t.Errorf("put contract: %v", err)
			return response
		}
	}
}

// oldestServed returns the oldest contract version that any holder serves with,
// and the name of that holder.
func (cl *cluster) oldestServed(customer string) (uint64, string) {
	oldest, name := ^uint64(0), ""
	for _, h := range cl.holders {
		version, serves := h.served(customer)
		if serves && version < oldest {
			oldest, name = version, h.name
		}
	}
	return oldest, name
}

func (cl *cluster) awaitLeases() {
	for _, h := range cl.holders {
		<-h.member.Ready()
	}
}

func sampleContract(customer string, share float64) contract.Contract {
	return contract.Contract{
		Customer: customer,
		Models:   []string{"crew-assist"},
		Classes: map[string]contract.Class{
			"chat": {WholeAnswer: settings.Duration(time.Minute), Rate: 1, Burst: 1, Concurrency: 1},
		},
		Share: share,
		Keys:  []string{contract.HashKey("key of " + customer)},
	}
}

// watchForStale polls the holders for the given time, and describes the first
// one that serves with an older version than was accepted, if there is one.
func (cl *cluster) watchForStale(customer string, accepted *uint64, mu *sync.Mutex, length time.Duration) string {
	for end := time.Now().Add(length); time.Now().Before(end); {
		mu.Lock()
		want := *accepted
		mu.Unlock()
		if got, name := cl.oldestServed(customer); got < want && name != "" {
			return fmt.Sprintf("%s serves with version %d after version %d was accepted", name, got, want)
		}
		interval.Sleep(context.Background(), 50*time.Millisecond)
	}
	return ""
}
