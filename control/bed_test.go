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
	// bed is control instances and holders over a network in memory, under
	// the test's clock.
	bed struct {
		t        *testing.T
		network  *memory.Network
		founders []Founder
		controls map[string]*instance
		holders  []*holder
		roles    string
	}

	instance struct {
		control *Control
		pool    *pool.Pool
		disk    *wal.Memory
	}

	// holder is a process that holds the configuration.
	holder struct {
		name     string
		client   *wire.Client
		member   *member.Client
		careless bool // it serves on without a lease; for a twin

		mu       sync.Mutex
		revision uint64
		contract map[string]contract.Accepted
		fleet    message.FleetVersion
		engine   *message.Backend // announced, where there is one
		tally    message.Tally
		change   uint64
	}
)

var _ member.Holder = (*holder)(nil)

// inBed runs a test with control instances under the test's clock.
func inBed(t *testing.T, replicas int, test func(b *bed)) {
	inBedWith(t, replicas, "fixed", test)
}

func inBedWith(t *testing.T, replicas int, roles string, test func(b *bed)) {
	synctest.Test(t, func(t *testing.T) {
		b := &bed{t: t, network: memory.New(), controls: map[string]*instance{}, roles: roles}
		for i := range replicas {
			name := fmt.Sprintf("control-%d", i+1)
			b.founders = append(b.founders, Founder{Instance: name, Address: name})
		}
		for _, f := range b.founders {
			b.start(f.Instance, wal.NewMemory())
		}
		defer b.end()
		test(b)
	})
}

func quiet() *logrus.Entry {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return logrus.NewEntry(logger)
}

func (b *bed) start(name string, disk *wal.Memory) *instance {
	b.t.Helper()
	return b.startAs(name, foundSurvey, disk)
}

// startAs starts an instance that does as founding says if its disk is empty.
// Without a disk it is an observer.
func (b *bed) startAs(name, founding string, disk *wal.Memory) *instance {
	b.t.Helper()
	process := kernel.DefaultProcess()
	process.Instance = name
	workers := pool.New(64, 1024)
	host := &kernel.Host{Process: process, Log: quiet(), Metrics: metrics.NewSet(), Pool: workers}
	c, err := New(host, Settings{Listen: name, Founders: b.founders, BootstrapMode: founding, SnapshotEntries: 100, RolePolicy: b.roles}, b.network.Transport(name))
	if err != nil {
		b.t.Fatal(err)
	}
	if disk != nil {
		c.UseDisk(disk)
	}
	if err := c.Start(b.t.Context()); err != nil {
		b.t.Fatal(err)
	}
	in := &instance{control: c, pool: workers, disk: disk}
	b.controls[name] = in
	return in
}

// kill ends an instance without a word of it to the others.
func (b *bed) kill(name string) {
	b.t.Helper()
	b.controls[name].control.abrupt = true
	b.stop(name)
}

// stop stops an instance as an operator does.
func (b *bed) stop(name string) {
	b.t.Helper()
	in := b.controls[name]
	delete(b.controls, name)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = in.control.Stop(ctx)
	_ = in.pool.Stop(context.Background())
}

func (b *bed) end() {
	for _, h := range b.holders {
		h.stop()
	}
	for name := range b.controls {
		b.kill(name)
	}
	// What waits for a dial or a lease in vain ends by its own time.
	interval.Sleep(context.Background(), time.Minute)
}

func (b *bed) names() []string {
	var names []string
	for _, f := range b.founders {
		names = append(names, f.Instance)
	}
	return names
}

func (b *bed) hold(name, kind string) *holder {
	h := &holder{name: name, contract: map[string]contract.Accepted{}}
	h.client = wire.NewClient(b.network.Transport(name))
	h.member = member.New(member.Options{
		ID:               name,
		Incarnation:      "1",
		Kind:             kind,
		ControlAddresses: b.names(),
		Client:           h.client,
		Holder:           h,
		Log:              quiet(),
	})
	b.holders = append(b.holders, h)
	return h
}

func (h *holder) stop() {
	h.member.Stop()
	h.client.Close()
}

// FillRenewal implements member.Holder.
func (h *holder) FillRenewal(ask *message.Renew) {
	h.mu.Lock()
	defer h.mu.Unlock()
	ask.Revision = h.revision
	ask.Fleet = h.fleet
	ask.Backend = h.engine
	ask.Tally = h.tally
	ask.Change = h.change
}

// ApplyRenewal implements member.Holder.
func (h *holder) ApplyRenewal(answer message.Renewed) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if answer.Change != nil {
		h.change = answer.Change.FencingToken
	}
	if answer.Fleet != nil {
		h.fleet = answer.Fleet.Version
	}
	if answer.Revision <= h.revision {
		return
	}
	for _, accepted := range answer.Contracts {
		h.contract[accepted.Contract.Customer] = accepted
	}
	h.revision = answer.Revision
}

// serves reports the version that the holder serves by, and whether it serves.
func (h *holder) serves(customer string) (uint64, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.contract[customer].Version, h.member.HasLease() || h.careless
}

// leader returns the instance that leads, once there is one.
func (b *bed) leader() string {
	b.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	for {
		for name, in := range b.controls {
			if _, _, err := in.control.leading(time.Now()); err == nil {
				return name
			}
		}
		if !interval.Sleep(ctx, 20*time.Millisecond) {
			b.t.Fatal("no leader")
		}
	}
}

// put puts a contract through some instance and returns the answer.
func (b *bed) put(via string, customer string, replaces uint64, request string, share float64, wait time.Duration) message.Operated {
	b.t.Helper()
	c := sample(customer, share)
	ask := message.Operate{
		Kind:     OperatePutContract,
		Wait:     wait,
		Contract: &contract.Change{RequestID: request, Customer: customer, Replaces: replaces, Contract: &c},
	}
	ctx, cancel := context.WithTimeout(context.Background(), wait+20*time.Second)
	defer cancel()
	for {
		operated, err := b.controls[via].control.Operate(ctx, ask)
		if err == nil {
			return operated
		}
		if fault.Of(err) != fault.Unavailable && fault.Of(err) != fault.Deadline || !interval.Sleep(ctx, 50*time.Millisecond) {
			b.t.Errorf("put: %v", err)
			return operated
		}
	}
}

// oldest returns the oldest version that any holder serves by, and its name.
func (b *bed) oldest(customer string) (uint64, string) {
	oldest, name := ^uint64(0), ""
	for _, h := range b.holders {
		version, serves := h.serves(customer)
		if serves && version < oldest {
			oldest, name = version, h.name
		}
	}
	return oldest, name
}

func (b *bed) awaitHeld() {
	for _, h := range b.holders {
		<-h.member.Ready()
	}
}

func sample(customer string, share float64) contract.Contract {
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

// watch looks at the holders until ended, and returns the first time that one
// served by an older version than was accepted.
func (b *bed) watch(customer string, accepted *uint64, mu *sync.Mutex, length time.Duration) string {
	for end := time.Now().Add(length); time.Now().Before(end); {
		mu.Lock()
		want := *accepted
		mu.Unlock()
		if got, name := b.oldest(customer); got < want && name != "" {
			return fmt.Sprintf("%s serves by version %d after version %d was accepted", name, got, want)
		}
		interval.Sleep(context.Background(), 50*time.Millisecond)
	}
	return ""
}
