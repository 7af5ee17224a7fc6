package control

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"endivedeck.example/fault"
	"endivedeck.example/golden"
	"endivedeck.example/interval"
	"endivedeck.example/message"
	"endivedeck.example/wal"
)

// scenario injects a failure after contract version 1 is in force, and then
// stores version 2. Its run returns a violation of "an accepted contract is in
// force at every lease holder", or "".
type scenario struct {
	name          string
	disable       func(cl *cluster) // disables the mechanism that prevents a violation
	injectFailure func(cl *cluster)
}

func isolateHolder(cl *cluster) {
	cl.network.Isolate(cl.holders[0].name, cl.founderNames()...)
}

func isolateLeaderAndHolder(cl *cluster) {
	leader := cl.awaitLeader()
	for _, name := range cl.founderNames() {
		if name != leader {
			cl.network.Isolate(leader, name)
			cl.network.Isolate(cl.holders[0].name, name)
		}
	}
}

func isolateHolderAndKillLeader(cl *cluster) {
	isolateHolder(cl)
	cl.kill(cl.awaitLeader())
}

func ignoreLease(cl *cluster) { cl.holders[0].ignoresLease = true }

func skipLeaseWait(cl *cluster) {
	for _, in := range cl.controls {
		in.control.leases.skipLeaseWait = true
	}
}

var scenarios = []scenario{
	{"an entry cut off", ignoreLease, isolateHolder},
	{"the leader cut off together with an entry", skipLeaseWait, isolateLeaderAndHolder},
	{"the leader killed, an entry cut off", skipLeaseWait, isolateHolderAndKillLeader},
}

func (s scenario) run(t *testing.T, disabled bool) (violation string, took time.Duration) {
	withCluster(t, 3, func(cl *cluster) {
		for i := range 4 {
			cl.addHolder(fmt.Sprintf("entry-%d", i+1), kindEntry)
		}
		cl.addHolder("entry-5", kindEntry)
		cl.awaitLeases()
		if disabled {
			s.disable(cl)
		}
		if got := cl.putContract(cl.awaitLeader(), "crews", 0, "one", 0.1, time.Minute); got.State != StateAccepted {
			t.Errorf("version 1: got state %s, want %s", got.State, StateAccepted)
		}
		s.injectFailure(cl)
		var mu sync.Mutex
		var accepted uint64
		w := &staleWatcher{cluster: cl, accepted: &accepted, mu: &mu, ended: make(chan string, 1)}
		go w.run()
		interval.Sleep(cl.t.Context(), time.Second) // the old leader's last confirmation is still valid now
		start := time.Now()
		got := cl.putContract(cl.confirmedLeader(), "crews", 1, "two", 0.2, time.Minute)
		took = time.Since(start)
		if got.State != StateAccepted || got.Contract.Version != 2 {
			t.Errorf("version 2: got state %s, error %+v, want %s", got.State, got.Error, StateAccepted)
		}
		mu.Lock()
		accepted = 2
		mu.Unlock()
		violation = <-w.ended
	})
	return violation, took
}

// staleWatcher polls the lease holders concurrently with the test.
type staleWatcher struct {
	cluster  *cluster
	accepted *uint64
	mu       *sync.Mutex
	ended    chan string
}

func (w *staleWatcher) run() {
	w.ended <- w.cluster.watchForStale("crews", w.accepted, w.mu, 40*time.Second)
}

// confirmedLeader returns a leader whose leadership a barrier has confirmed, so
// that it isn't partitioned from the other control instances.
func (cl *cluster) confirmedLeader() string {
	for {
		name := cl.awaitLeader()
		request := message.OperateRequest{Kind: OperateListContracts}
		if _, err := cl.controls[name].control.execute(cl.t.Context(), request); err == nil {
			return name
		}
	}
}

// TestAcceptedIsInForce checks that after a contract was accepted no lease
// holder serves with an older one, and that a contract is accepted within 15 s
// of test time, in each of the scenarios. It also runs each scenario with the
// protecting mechanism disabled, and fails if no violation is detected then.
func TestAcceptedIsInForce(t *testing.T) {
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			got, took := s.run(t, false)
			if got != "" {
				t.Errorf("got %s, want no violation", got)
			}
			if took > 15*time.Second {
				t.Errorf("accepted after %v of test time, want less than 15s", took)
			}
			t.Logf("accepted after %v of test time", took)
		})
		t.Run(s.name+" (mechanism disabled)", func(t *testing.T) {
			got, _ := s.run(t, true)
			if got == "" {
				t.Error("got no violation, want one with the mechanism disabled")
			}
			t.Log(got)
		})
	}
}

// TestOperatorsRace checks that of concurrent changes to the same contract
// version through different instances exactly one succeeds, and that a request
// ID is still recognised after 300 changes, snapshots and a leader change. It also
// checks that an entry started afterwards serves with the newest version.
func TestOperatorsRace(t *testing.T) {
	var seen string
	note := func(format string, args ...any) { seen += fmt.Sprintf(format+"\n", args...) }
	withCluster(t, 3, func(cl *cluster) {
		cl.addHolder("entry-1", kindEntry)
		cl.awaitLeases()
		cl.awaitLeader()
		var racers []*racer
		for i, via := range cl.founderNames() {
			r := &racer{cluster: cl, via: via, request: fmt.Sprint("race ", i), share: float64(i+1) / 10, ended: make(chan message.OperateResponse, 1)}
			racers = append(racers, r)
			go r.run()
		}
		won, lost := 0, 0
		for _, r := range racers {
			got := <-r.ended
			if got.Error == nil {
				won++
			} else if got.Error.Kind == fault.Conflict && got.Contract.Version == 1 {
				lost++
			}
		}
		note("three operators at once for version 1: %d won, %d lost and saw the winner", won, lost)

		got := cl.putContract(cl.awaitLeader(), "gyms", 0, "the one", 0.1, time.Minute)
		note("put: version %d %s", got.Contract.Version, got.State)
		for i := range 300 {
			cl.putContract(cl.awaitLeader(), "gyms", uint64(i+1), "", 0.1, 0)
		}
		old := cl.awaitLeader()
		disk := cl.controls[old].disk
		cl.kill(old)
		cl.start(old, disk)
		got = cl.putContract(cl.awaitLeader(), "gyms", 0, "the one", 0.1, time.Minute)
		note("resent after 300 changes, snapshots and a leader change: version %d, error %v", got.Contract.Version, got.Error)
		got = cl.putContract(cl.awaitLeader(), "gyms", 301, "the one", 0.2, time.Minute)
		note("another change under the same request id: %s", got.Error.Kind)

		late := cl.addHolder("entry-late", kindEntry)
		<-late.member.Ready()
		version, serves := late.served("gyms")
		note("an entry started last: serves %v, with version %d", serves, version)
	})
	golden.Check(t, "race.golden", seen)
}

type racer struct {
	cluster *cluster
	via     string
	request string
	share   float64
	ended   chan message.OperateResponse
}

func (r *racer) run() {
	r.ended <- r.cluster.putContract(r.via, "crews", 0, r.request, r.share, time.Minute)
}

// TestLostDisk guards against the loss of an accepted contract when one
// instance loses its disk and, as soon as it is a voter again, another instance
// fails.
func TestLostDisk(t *testing.T) {
	var seen string
	note := func(format string, args ...any) { seen += fmt.Sprintf(format+"\n", args...) }
	withCluster(t, 3, func(cl *cluster) {
		cl.awaitLeader()
		got := cl.putContract(cl.awaitLeader(), "crews", 0, "", 0.1, time.Minute)
		note("put: version %d %s", got.Contract.Version, got.State)

		cl.kill("control-1")
		cl.start("control-1", wal.NewMemoryDisk())
		voters := cl.awaitVoters("control-1#1")
		note("after control-1 came back without its disk: %d voters, its old identity among them: %v", len(voters), contains(voters, "control-1#1"))

		cl.kill("control-2")
		got = cl.putContract(cl.confirmedLeader(), "crews", 1, "", 0.2, time.Minute)
		note("with control-2 gone: version %d %s", got.Contract.Version, got.State)
		accepted, ok := cl.controls["control-1"].control.state.Contract("crews")
		note("control-1 has it: %v, version %d", ok, accepted.Version)
	})
	golden.Check(t, "lostdisk.golden", seen)
}

// awaitVoters waits until there are three voters, none with the old identity.
func (cl *cluster) awaitVoters(old string) []string {
	cl.t.Helper()
	for range 1000 {
		lead := cl.controls[cl.awaitLeader()].control.activeReplica().Leadership()
		var voters []string
		for _, m := range lead.Status.Members {
			if m.Voter {
				voters = append(voters, m.ID)
			}
		}
		if len(voters) == 3 && !contains(voters, old) {
			return voters
		}
		interval.Sleep(cl.t.Context(), 50*time.Millisecond)
	}
	cl.t.Fatal("the instance that lost its disk didn't become a voter within 50 s")
	return nil
}

func contains(list []string, item string) bool {
	for _, other := range list {
		if other == item {
			return true
		}
	}
	return false
}
