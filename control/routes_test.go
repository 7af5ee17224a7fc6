package control

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"endivedeck.example/fault"
	"endivedeck.example/golden"
	"endivedeck.example/internal/fleet/spread"
	"endivedeck.example/interval"
	"endivedeck.example/message"
	"endivedeck.example/quorum"
	"endivedeck.example/roster"
	"endivedeck.example/routes"
	"endivedeck.example/wal"
	"endivedeck.example/wire"
	"endivedeck.example/wire/memory"
)

// withSeeds runs a test with three founders of which the named ones are started,
// without a survey of the other founders.
func withSeeds(t *testing.T, started []string, test func(cl *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		cl := &cluster{t: t, network: memory.NewNetwork(), controls: map[string]*instance{}, rolePolicy: "fixed"}
		for i := range 3 {
			name := fmt.Sprintf("seed-%d", i+1)
			cl.founders = append(cl.founders, Founder{Instance: name, Address: name})
		}
		for _, name := range started {
			cl.startWith(name, bootstrapNew, wal.NewMemoryDisk())
		}
		defer cl.shutdown()
		test(cl)
	})
}

func routeTable(version uint64, service string) routes.Table {
	return routes.Table{
		Version:  version,
		Services: []routes.Service{{Name: service}},
		Routes: []routes.Route{{
			Name: "reads", Host: "ledger.example", Prefix: "/", Kind: routes.Idempotent,
			Timeout: time.Second, MaxAttempts: 1, Targets: []routes.Target{{Service: service, Weight: 1}},
		}},
		SourceText: fmt.Appendf(nil, "version %d to %s", version, service),
	}
}

// putRoutes stores a route table through an instance, and retries until it is
// acknowledged or refused.
func (cl *cluster) putRoutes(via string, table routes.Table) string {
	cl.t.Helper()
	api := &API{control: cl.controls[via].control}
	for range 100 {
		err := api.PutRoutes(cl.t.Context(), table)
		if err == nil {
			return "acknowledged"
		}
		if fault.KindOf(err) == fault.Malformed {
			return err.Error()
		}
		interval.Sleep(cl.t.Context(), 100*time.Millisecond)
	}
	return "never acknowledged"
}

// readRoutes returns the text of the route table read through an instance, or
// the kind of the error.
func (cl *cluster) readRoutes(via string) string {
	cl.t.Helper()
	api := &API{control: cl.controls[via].control}
	t, err := api.Routes(cl.t.Context())
	if err != nil {
		return string(fault.KindOf(err))
	}
	return string(t.SourceText)
}

// TestSeeds bootstraps a group with one of three founders down, and then loses
// and replaces instances one by one. It guards against the loss of an
// acknowledged route table, and against a group that doesn't tolerate one more
// failure after each replacement.
func TestSeeds(t *testing.T) {
	var seen strings.Builder
	note := func(format string, args ...any) { fmt.Fprintf(&seen, format+"\n", args...) }
	withSeeds(t, []string{"seed-1", "seed-2"}, func(cl *cluster) {
		note("two of three seeds: %s", cl.putRoutes("seed-1", routeTable(3, "ledger")))
		cl.startWith("fourth", bootstrapNew, wal.NewMemoryDisk())
		cl.startWith("seed-3", bootstrapNew, wal.NewMemoryDisk())
		note("all, and one that isn't a seed: %s", cl.awaitVoterNames("fourth", "seed-1", "seed-2", "seed-3"))

		cl.kill("seed-1")
		note("seed-1 gone for good: %s", cl.awaitVoterNames("fourth", "seed-2", "seed-3"))
		cl.startWith("fifth", bootstrapJoin, wal.NewMemoryDisk())
		note("another in its place: %s", cl.awaitVoterNames("fifth", "fourth", "seed-2", "seed-3"))
		cl.kill("seed-2")
		note("seed-2 gone for good: %s", cl.awaitVoterNames("fifth", "fourth", "seed-3"))
		cl.startWith("sixth", bootstrapJoin, wal.NewMemoryDisk())
		note("another in its place: %s", cl.awaitVoterNames("fifth", "fourth", "seed-3", "sixth"))

		cl.kill("fourth")
		note("with one more gone: %s", cl.putRoutes("sixth", routeTable(8, "ledger")))
		note("read at the newest: %s", cl.readRoutes("sixth"))
	})
	golden.Check(t, "seeds.golden", seen.String())
}

// TestRemovedReplicaRejoins checks that an instance that was removed during a
// long partition joins again once the partition has ended.
func TestRemovedReplicaRejoins(t *testing.T) {
	withSeeds(t, []string{"seed-1", "seed-2", "seed-3"}, func(cl *cluster) {
		cl.startWith("fourth", bootstrapNew, wal.NewMemoryDisk())
		cl.awaitVoterCount(4)
		cl.network.Isolate("fourth", "seed-1", "seed-2", "seed-3")
		cl.awaitVoterCount(3)
		cl.network.Heal("fourth")
		if got, want := cl.awaitVoterCount(4), 4; got != want {
			t.Errorf("got %d voters after the partition, want %d", got, want)
		}
	})
}

// TestObserver checks that an instance without a disk serves operators, has no
// vote, and can be restarted without an effect on the voters.
func TestObserver(t *testing.T) {
	var seen strings.Builder
	note := func(format string, args ...any) { fmt.Fprintf(&seen, format+"\n", args...) }
	withSeeds(t, []string{"seed-1", "seed-2", "seed-3"}, func(cl *cluster) {
		cl.startWith("observer", bootstrapNew, nil)
		note("through it: %s", cl.putRoutes("observer", routeTable(3, "ledger")))
		interval.Sleep(cl.t.Context(), 10*time.Second)
		note("after 10 s: %d voters, %d members", cl.awaitVoterCount(3), len(cl.leaderMembers()))
		cl.kill("observer")
		cl.startWith("observer", bootstrapJoin, nil)
		note("started again: %s", cl.awaitRoutes("observer"))
		interval.Sleep(cl.t.Context(), 10*time.Second)
		note("after 10 s: %d voters, %d members", cl.awaitVoterCount(3), len(cl.leaderMembers()))
		cl.kill("seed-2")
		note("with a seed gone: %s", cl.putRoutes("observer", routeTable(4, "ledger")))
	})
	golden.Check(t, "observer.golden", seen.String())
}

// TestDisksLost crashes all instances right after a route table was acknowledged
// and restarts some of them with empty disks. Eight instances tolerate the loss
// of two disks, four tolerate the loss of one.
func TestDisksLost(t *testing.T) {
	var seen strings.Builder
	for _, c := range []struct{ instances, lost int }{{8, 2}, {4, 1}, {4, 2}} {
		withSeeds(t, []string{"seed-1", "seed-2", "seed-3"}, func(cl *cluster) {
			names := []string{"seed-1", "seed-2", "seed-3"}
			for i := range c.instances - 3 {
				name := fmt.Sprintf("later-%d", i+1)
				cl.startWith(name, bootstrapNew, wal.NewMemoryDisk())
				names = append(names, name)
			}
			cl.awaitVoterCount(c.instances)
			put := cl.putRoutes("seed-1", routeTable(7, "ledger"))
			disks := map[string]*wal.MemoryDisk{}
			for _, name := range names {
				disks[name] = cl.controls[name].disk
				cl.kill(name)
			}
			for i, name := range names {
				if i < c.lost {
					disks[name] = wal.NewMemoryDisk()
				}
				cl.startWith(name, bootstrapJoin, disks[name])
			}
			fmt.Fprintf(&seen, "%d instances, %d disks lost: %s, then %s\n", c.instances, c.lost, put, cl.awaitRoutes(names[c.lost]))
		})
	}
	golden.Check(t, "disks.golden", seen.String())
}

// leaderMembers returns the members of the group according to the leader.
func (cl *cluster) leaderMembers() []quorum.Member {
	return cl.controls[cl.confirmedLeader()].control.activeReplica().Leadership().Status.Members
}

// awaitRoutes polls an instance for up to 15 s until it returns a route table.
func (cl *cluster) awaitRoutes(via string) string {
	cl.t.Helper()
	got := ""
	for range 150 {
		got = cl.readRoutes(via)
		if strings.HasPrefix(got, "version") {
			break
		}
		interval.Sleep(cl.t.Context(), 100*time.Millisecond)
	}
	return got
}

// awaitVoterNames waits up to 20 s until a committed membership change makes the
// named instances the voters, and returns the names of those that are then. The
// names are in alphabetical order.
func (cl *cluster) awaitVoterNames(want ...string) string {
	cl.t.Helper()
	got := ""
	for range 400 {
		status := cl.controls[cl.confirmedLeader()].control.activeReplica().Leadership().Status
		var names []string
		for _, m := range status.Members {
			if m.Voter {
				names = append(names, m.Instance)
			}
		}
		slices.Sort(names)
		got = strings.Join(names, ", ")
		if status.Commit == status.LastIndex && got == strings.Join(want, ", ") {
			return got
		}
		interval.Sleep(cl.t.Context(), 50*time.Millisecond)
	}
	return got
}

// awaitVoterCount waits up to 20 s for the given number of voters, and returns
// how many there are.
func (cl *cluster) awaitVoterCount(want int) int {
	cl.t.Helper()
	got := 0
	for range 400 {
		got = 0
		for _, m := range cl.controls[cl.confirmedLeader()].control.activeReplica().Leadership().Status.Members {
			if m.Voter {
				got++
			}
		}
		if got == want {
			return got
		}
		interval.Sleep(cl.t.Context(), 50*time.Millisecond)
	}
	return got
}

// TestRoutes checks that the route table with the highest version wins, that one
// that isn't newer is acknowledged without being stored, and that an invalid one
// is refused.
func TestRoutes(t *testing.T) {
	var seen strings.Builder
	note := func(format string, args ...any) { fmt.Fprintf(&seen, format+"\n", args...) }
	withSeeds(t, []string{"seed-1", "seed-2", "seed-3"}, func(cl *cluster) {
		cl.awaitLeader()
		note("before any: %s", cl.readRoutes("seed-2"))
		note("version 4: %s", cl.putRoutes("seed-2", routeTable(4, "ledger")))
		note("version 4 with other content: %s", cl.putRoutes("seed-3", routeTable(4, "other")))
		note("version 2: %s", cl.putRoutes("seed-1", routeTable(2, "older")))
		note("read at each: %s; %s; %s", cl.readRoutes("seed-1"), cl.readRoutes("seed-2"), cl.readRoutes("seed-3"))
		bad := routeTable(9, "ledger")
		bad.Routes[0].Targets[0].Service = "nobody"
		note("version 9, unknown service: %s", cl.putRoutes("seed-1", bad))
		note("read: %s", cl.readRoutes("seed-1"))

		cl.network.Isolate("seed-1", "seed-2", "seed-3")
		interval.Sleep(cl.t.Context(), 3*time.Second)
		note("read at one that is cut off: %s", cl.readRoutes("seed-1"))
		note("version 12 at the others: %s", cl.putRoutes("seed-2", routeTable(12, "ledger")))
	})
	golden.Check(t, "routes.golden", seen.String())
}

// TestFirstRoutesOfVersion0 guards against a first route table that is acknowledged and lost
// because its version, 0, was taken for that of no table (review/14): at the instances, on
// their disks, in snapshots of their state, and on the way to relays.
func TestFirstRoutesOfVersion0(t *testing.T) {
	var seen strings.Builder
	note := func(format string, args ...any) { fmt.Fprintf(&seen, format+"\n", args...) }
	names := []string{"seed-1", "seed-2", "seed-3"}
	withSeeds(t, names, func(cl *cluster) {
		cl.awaitLeader()
		noteAll := func(what string) {
			var texts []string
			for _, name := range names {
				texts = append(texts, cl.awaitRoutes(name))
			}
			note("%s: %s", what, strings.Join(texts, "; "))
			for _, c := range []struct {
				relay   string
				request message.SubscribeRequest
			}{
				{"without routes", message.SubscribeRequest{Relay: "relay-1", Address: "relay-1"}},
				{"that has version 0", message.SubscribeRequest{Relay: "relay-1", Address: "relay-1", HasRoutes: true}},
				{"of an earlier version that has version 1", message.SubscribeRequest{Relay: "relay-1", Address: "relay-1", RoutesVersion: 1}},
			} {
				note("    a relay %s is sent %s", c.relay, cl.sentRoutes("seed-2", c.request))
			}
		}
		noteAll("before any")
		note("version 0: %s", cl.putRoutes("seed-1", routeTable(0, "ledger")))
		noteAll("read at each")
		note("version 0 with other content: %s", cl.putRoutes("seed-3", routeTable(0, "other")))
		noteAll("read at each")

		cl.restartAll(names)
		noteAll("after a restart of all")
		for i := range 120 { // enough for a snapshot
			cl.putContract(cl.awaitLeader(), "crews", uint64(i), "", 0.1, 0)
		}
		cl.restartAll(names)
		noteAll("after a restart from snapshots")
		cl.kill("seed-3")
		cl.startWith("seed-3", bootstrapJoin, wal.NewMemoryDisk())
		cl.awaitVoterCount(3)
		noteAll("after the loss of a disk")

		note("version 1: %s", cl.putRoutes("seed-2", routeTable(1, "ledger")))
		note("version 0 again: %s", cl.putRoutes("seed-1", routeTable(0, "ledger")))
		noteAll("read at each")
	})
	golden.Check(t, "version0.golden", seen.String())
}

// restartAll crashes the named instances and starts them again with their disks.
func (cl *cluster) restartAll(names []string) {
	cl.t.Helper()
	disks := map[string]*wal.MemoryDisk{}
	for _, name := range names {
		disks[name] = cl.controls[name].disk
		cl.kill(name)
	}
	for _, name := range names {
		cl.startWith(name, bootstrapJoin, disks[name])
	}
}

// sentRoutes returns the versions of the routes that an instance sends to a relay within 2 s
// of its subscription.
func (cl *cluster) sentRoutes(instance string, request message.SubscribeRequest) string {
	cl.t.Helper()
	r := cl.subscribeWith(instance, request)
	defer r.close()
	interval.Sleep(cl.t.Context(), 2*time.Second)
	var versions []string
	for len(r.updates) > 0 {
		if update := <-r.updates; update.Routes != nil {
			versions = append(versions, fmt.Sprintf("version %d", update.Routes.Version))
		}
	}
	if len(versions) == 0 {
		return "none"
	}
	return strings.Join(versions, ", ")
}

// TestRoutesInOldSnapshots restores snapshots of the form that instances wrote before they
// told a first table of version 0 from none.
func TestRoutesInOldSnapshots(t *testing.T) {
	type (
		oldStore struct {
			Table routes.Table `cbor:"1,keyasint"`
		}
		oldSnapshot struct {
			Routes *oldStore `cbor:"5,keyasint,omitempty"`
		}
	)
	stored := routeTable(3, "ledger")
	for _, c := range []struct {
		name      string
		snapshot  oldSnapshot
		want      uint64
		wantKnown bool
	}{
		{"before routes were part of the state", oldSnapshot{}, 0, false},
		{"no table", oldSnapshot{Routes: &oldStore{}}, 0, false},
		{"a table", oldSnapshot{Routes: &oldStore{Table: stored}}, 3, true},
	} {
		data, err := wire.Encode(c.snapshot)
		if err != nil {
			t.Fatal(err)
		}
		s := NewState()
		if err := s.Restore(data); err != nil {
			t.Fatalf("%s: %v", c.name, err)
		}
		got, known := s.Routes()
		if got.Version != c.want || known != c.wantKnown {
			t.Errorf("%s: got version %d, known %v, want %d, %v", c.name, got.Version, known, c.want, c.wantKnown)
		}
	}
}

// TestForwardedRoutesAreChecked guards against an invalid route table in force because a
// peer has accepted it, which may run an earlier version of the system: the leader checks
// what is forwarded to it.
func TestForwardedRoutesAreChecked(t *testing.T) {
	withSeeds(t, []string{"seed-1", "seed-2", "seed-3"}, func(cl *cluster) {
		leader := cl.awaitLeader()
		cl.putRoutes(leader, routeTable(4, "ledger"))
		bad := routeTable(5, "ledger")
		second := bad.Routes[0]
		second.Name, second.Host = "second", "Ledger.example"
		bad.Routes = append(bad.Routes, second)
		for _, f := range cl.founders {
			request := message.OperateRequest{Kind: OperatePutRoutes, Routes: &bad}
			_, err := cl.controls[f.Instance].control.Operate(cl.t.Context(), request)
			if got, want := fault.KindOf(err), fault.Malformed; got != want {
				t.Errorf("through %s, leader %s: got %v, want an error of the kind %s", f.Instance, leader, err, want)
			}
		}
		if got, want := cl.readRoutes(leader), "version 4 to ledger"; got != want {
			t.Errorf("got %q in force, want %q", got, want)
		}
	})
}

// TestRelayUpdates subscribes to an instance as a relay does, and checks that a
// new route table and a backend server's announcement arrive within 2 s.
func TestRelayUpdates(t *testing.T) {
	withSeeds(t, []string{"seed-1", "seed-2", "seed-3"}, func(cl *cluster) {
		cl.awaitLeader()
		r := cl.subscribe("seed-2")
		defer r.close()
		cl.putRoutes("seed-1", routeTable(4, "ledger"))
		api := &API{control: cl.controls["seed-2"].control}
		api.AnnounceServer(roster.Server{ID: "a", Service: "ledger", Address: "10.0.0.1:80", StartedAt: 5, Seq: 1})
		deadline := time.Now().Add(2 * time.Second)
		var version uint64
		known := map[string]bool{}
		for time.Now().Before(deadline) && (version != 4 || len(known) != 1) {
			select {
			case update := <-r.updates:
				if update.Routes != nil {
					version = update.Routes.Version
				}
				for _, o := range update.Servers {
					known[o.Server.ID] = true
				}
			case <-time.After(100 * time.Millisecond):
			}
		}
		if version != 4 || len(known) != 1 {
			t.Errorf("got version %d and %d servers within 2 s, want version 4 and 1 server", version, len(known))
		}
	})
}

// TestRelayUpdatesHaveWhatIsNew has 1 of 200 backend servers leave while a large route
// table comes into force. The departure must travel alone: with the complete list and the
// table it took seconds on the link of a small machine.
func TestRelayUpdatesHaveWhatIsNew(t *testing.T) {
	const maxBytes = 512
	withSeeds(t, []string{"seed-1", "seed-2", "seed-3"}, func(cl *cluster) {
		cl.awaitLeader()
		api := &API{control: cl.controls["seed-2"].control}
		for i := range 200 {
			api.AnnounceServer(roster.Server{ID: fmt.Sprintf("i-%08d", i), Service: "ledger", Address: fmt.Sprintf("10.0.0.%d:80", i), StartedAt: 5, Seq: 1})
		}
		r := cl.subscribe("seed-2")
		defer r.close()
		if first := <-r.updates; len(first.Servers) != 200 || first.Routes != nil {
			t.Errorf("got %d servers and routes %v in the first update, want 200 and none", len(first.Servers), first.Routes)
		}
		api.AnnounceServer(roster.Server{ID: "i-00000007", Service: "ledger", Address: "10.0.0.7:80", StartedAt: 5, Seq: 2, Draining: true})
		for update := range r.updates {
			body, err := wire.Encode(update)
			if err != nil || len(body) > maxBytes {
				t.Errorf("got an update of %d bytes (error %v), want %d at most", len(body), err, maxBytes)
			}
			if len(update.Servers) == 0 {
				continue // the addresses of the relays, or nothing new
			}
			if len(update.Servers) != 1 || !update.Servers[0].Server.Draining {
				t.Errorf("got %d servers in the update, want the one that leaves", len(update.Servers))
			}
			break
		}
	})
}

// updateReader is subscribed to the updates of an instance, as a relay is.
type updateReader struct {
	client  *wire.Client
	call    *wire.Call
	updates chan message.RelayUpdate
	running sync.WaitGroup
}

// subscribe subscribes a reader without routes to an instance until its close is called.
func (cl *cluster) subscribe(instance string) *updateReader {
	cl.t.Helper()
	return cl.subscribeWith(instance, message.SubscribeRequest{Relay: "relay-1", Address: "relay-1"})
}

func (cl *cluster) subscribeWith(instance string, request message.SubscribeRequest) *updateReader {
	cl.t.Helper()
	r := &updateReader{client: wire.NewClient(cl.network.Transport("relay-1")), updates: make(chan message.RelayUpdate, 1024)}
	call, err := r.client.OpenCall(cl.t.Context(), instance, message.MethodUpdates, request)
	if err != nil {
		cl.t.Fatal(err)
	}
	r.call = call
	r.running.Add(1)
	go r.run()
	return r
}

func (r *updateReader) close() {
	r.call.Cancel()
	r.running.Wait()
	r.client.Close()
}

func (r *updateReader) run() {
	defer r.running.Done()
	for {
		var update message.RelayUpdate
		if err := r.call.Receive(&update); err != nil {
			return
		}
		r.updates <- update
	}
}

// TestNoOldRoutesAfterRestart restarts an instance whose disk has an older route table
// while it is cut off from the others: a relay gets none from it until it has the newest,
// since a key may have been withdrawn meanwhile.
func TestNoOldRoutesAfterRestart(t *testing.T) {
	withSeeds(t, []string{"seed-1", "seed-2", "seed-3"}, func(cl *cluster) {
		cl.awaitLeader()
		version := uint64(0)
		for range 120 { // enough for a snapshot
			version++
			cl.putRoutes("seed-1", routeTable(version, "ledger"))
		}
		interval.Sleep(cl.t.Context(), 2*time.Second)
		disk := cl.controls["seed-2"].disk
		cl.kill("seed-2")
		cl.putRoutes("seed-1", routeTable(version+1, "ledger"))
		cl.network.Isolate("seed-2", "seed-1", "seed-3")
		in := cl.startWith("seed-2", bootstrapJoin, disk)
		interval.Sleep(cl.t.Context(), 3*time.Second)
		if got, known := in.control.state.Routes(); !known || got.Version == 0 || got.Version > version {
			t.Fatalf("got version %d (known %v) from the disk, want one of 1 to %d", got.Version, known, version)
		}
		r := cl.subscribe("seed-2")
		defer r.close()
		interval.Sleep(cl.t.Context(), 3*time.Second)
		for len(r.updates) > 0 {
			if update := <-r.updates; update.Routes != nil || update.Current {
				t.Errorf("got routes %+v while cut off, current %v, want no routes", update.Routes, update.Current)
			}
		}
		cl.network.Heal("seed-2")
		interval.Sleep(cl.t.Context(), 3*time.Second)
		var newest uint64
		age := time.Hour
		for len(r.updates) > 0 {
			update := <-r.updates
			if update.Routes != nil {
				newest = update.Routes.Version
			}
			if update.Current {
				age = update.Age
			}
		}
		if newest != version+1 {
			t.Errorf("got version %d once it is back, want %d", newest, version+1)
		}
		if age > time.Second {
			t.Errorf("got an age of %v, want under 1 s", age)
		}
	})
}

// TestLargeRoutesAreSentOnce subscribes to three instances as a relay does. Only one may
// send it a large table, unless the relay doesn't say for a while that it has it; a small
// one comes from all.
func TestLargeRoutesAreSentOnce(t *testing.T) {
	withSeeds(t, []string{"seed-1", "seed-2", "seed-3"}, func(cl *cluster) {
		cl.awaitLeader()
		var readers []*updateReader
		for _, f := range cl.founders {
			r := cl.subscribe(f.Instance)
			defer r.close()
			readers = append(readers, r)
		}
		interval.Sleep(cl.t.Context(), 2*time.Second)
		for _, c := range []struct {
			name    string
			version uint64
			bytes   int
			tells   bool
			want    int
		}{
			{"small, relay is silent", 4, 100, false, 3},
			{"large", 5, spread.SmallBytes + 1, true, 1},
			{"large, relay is silent", 6, spread.SmallBytes + 1, false, 3},
		} {
			table := routeTable(c.version, "ledger")
			table.SourceText = make([]byte, c.bytes)
			cl.putRoutes("seed-1", table)
			got := 0
			for range 300 {
				interval.Sleep(cl.t.Context(), 10*time.Millisecond)
				for _, r := range readers {
					for len(r.updates) > 0 {
						update := <-r.updates
						if update.Routes == nil {
							continue
						}
						got++
						if !c.tells {
							continue
						}
						for _, other := range readers {
							if err := other.call.Send(message.RoutesInForce{Version: c.version}); err != nil {
								t.Fatal(err)
							}
						}
					}
				}
			}
			if got != c.want {
				t.Errorf("%s: got the table %d times, want %d", c.name, got, c.want)
			}
		}
	})
}
