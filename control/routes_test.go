package control

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"endivedeck.example/fault"
	"endivedeck.example/golden"
	"endivedeck.example/interval"
	"endivedeck.example/message"
	"endivedeck.example/quorum"
	"endivedeck.example/roster"
	"endivedeck.example/routes"
	"endivedeck.example/wal"
	"endivedeck.example/wire"
	"endivedeck.example/wire/memory"
)

// inSeeded runs a test with three seeds of which the named ones start.
func inSeeded(t *testing.T, started []string, test func(b *bed)) {
	synctest.Test(t, func(t *testing.T) {
		b := &bed{t: t, network: memory.New(), controls: map[string]*instance{}, roles: "fixed"}
		for i := range 3 {
			name := fmt.Sprintf("seed-%d", i+1)
			b.founders = append(b.founders, Founder{Instance: name, Address: name})
		}
		for _, name := range started {
			b.startAs(name, foundAtOnce, wal.NewMemory())
		}
		defer b.end()
		test(b)
	})
}

func table(version uint64, service string) routes.Table {
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

// putRoutes puts a table through an instance until it is stored or refused.
func (b *bed) putRoutes(via string, t routes.Table) string {
	b.t.Helper()
	desk := &API{control: b.controls[via].control}
	for range 100 {
		err := desk.PutRoutes(b.t.Context(), t)
		if err == nil {
			return "acknowledged"
		}
		if fault.Of(err) == fault.Malformed {
			return err.Error()
		}
		interval.Sleep(b.t.Context(), 100*time.Millisecond)
	}
	return "never acknowledged"
}

// readRoutes returns the table as an instance tells it.
func (b *bed) readRoutes(via string) string {
	b.t.Helper()
	desk := &API{control: b.controls[via].control}
	t, err := desk.Routes(b.t.Context())
	if err != nil {
		return string(fault.Of(err))
	}
	return string(t.SourceText)
}

// TestSeeds founds a group from three seeds of which one is down, and loses
// and replaces instances: what was acknowledged stays, and the loss of one
// more is borne each time.
func TestSeeds(t *testing.T) {
	var seen strings.Builder
	note := func(format string, args ...any) { fmt.Fprintf(&seen, format+"\n", args...) }
	inSeeded(t, []string{"seed-1", "seed-2"}, func(b *bed) {
		note("two of three seeds: %s", b.putRoutes("seed-1", table(3, "ledger")))
		b.startAs("fourth", foundAtOnce, wal.NewMemory())
		b.startAs("seed-3", foundAtOnce, wal.NewMemory())
		note("all, and one that isn't a seed: %d voters", b.awaitCount(4))

		b.kill("seed-1")
		note("seed-1 gone for good: %d voters", b.awaitCount(3))
		b.startAs("fifth", foundJoin, wal.NewMemory())
		note("another in its place: %d voters", b.awaitCount(4))
		b.kill("seed-2")
		note("seed-2 gone for good: %d voters", b.awaitCount(3))
		b.startAs("sixth", foundJoin, wal.NewMemory())
		note("another in its place: %d voters", b.awaitCount(4))

		b.kill("fourth")
		note("with one more gone: %s", b.putRoutes("sixth", table(8, "ledger")))
		note("read at the newest: %s", b.readRoutes("sixth"))
	})
	golden.Check(t, "seeds.golden", seen.String())
}

// TestRemovedReturns has an instance be silent for so long that it is removed:
// it joins again when it is back.
func TestRemovedReturns(t *testing.T) {
	inSeeded(t, []string{"seed-1", "seed-2", "seed-3"}, func(b *bed) {
		b.startAs("fourth", foundAtOnce, wal.NewMemory())
		b.awaitCount(4)
		b.network.Isolate("fourth", "seed-1", "seed-2", "seed-3")
		b.awaitCount(3)
		b.network.Heal("fourth")
		if got, want := b.awaitCount(4), 4; got != want {
			t.Errorf("got %d voters after the silence, want %d", got, want)
		}
	})
}

// TestObserver has an instance without a disk serve operators: it has no vote,
// and comes and goes without harm.
func TestObserver(t *testing.T) {
	var seen strings.Builder
	note := func(format string, args ...any) { fmt.Fprintf(&seen, format+"\n", args...) }
	inSeeded(t, []string{"seed-1", "seed-2", "seed-3"}, func(b *bed) {
		b.startAs("thin", foundAtOnce, nil)
		note("through it: %s", b.putRoutes("thin", table(3, "ledger")))
		interval.Sleep(b.t.Context(), 10*time.Second)
		note("after 10 s: %d voters, %d members", b.awaitCount(3), len(b.members()))
		b.kill("thin")
		b.startAs("thin", foundJoin, nil)
		note("started again: %s", b.readRoutesSoon("thin"))
		interval.Sleep(b.t.Context(), 10*time.Second)
		note("after 10 s: %d voters, %d members", b.awaitCount(3), len(b.members()))
		b.kill("seed-2")
		note("with a seed gone: %s", b.putRoutes("thin", table(4, "ledger")))
	})
	golden.Check(t, "observer.golden", seen.String())
}

// TestDisksLost has all instances lose power right after an acknowledgement
// and some come back with empty disks: eight can lose two, four can't.
func TestDisksLost(t *testing.T) {
	var seen strings.Builder
	for _, c := range []struct{ instances, lost int }{{8, 2}, {4, 1}, {4, 2}} {
		inSeeded(t, []string{"seed-1", "seed-2", "seed-3"}, func(b *bed) {
			names := []string{"seed-1", "seed-2", "seed-3"}
			for i := range c.instances - 3 {
				name := fmt.Sprintf("later-%d", i+1)
				b.startAs(name, foundAtOnce, wal.NewMemory())
				names = append(names, name)
			}
			b.awaitCount(c.instances)
			put := b.putRoutes("seed-1", table(7, "ledger"))
			disks := map[string]*wal.Memory{}
			for _, name := range names {
				disks[name] = b.controls[name].disk
				b.kill(name)
			}
			for i, name := range names {
				if i < c.lost {
					disks[name] = wal.NewMemory()
				}
				b.startAs(name, foundJoin, disks[name])
			}
			fmt.Fprintf(&seen, "%d instances, %d disks lost: %s, then %s\n", c.instances, c.lost, put, b.readRoutesSoon(names[c.lost]))
		})
	}
	golden.Check(t, "disks.golden", seen.String())
}

// members returns the members that the leader knows.
func (b *bed) members() []quorum.Member {
	return b.controls[b.majorityLeader()].control.current().Leadership().Status.Members
}

// readRoutesSoon returns the table as an instance tells it within 15 s.
func (b *bed) readRoutesSoon(via string) string {
	b.t.Helper()
	got := ""
	for range 150 {
		got = b.readRoutes(via)
		if strings.HasPrefix(got, "version") {
			break
		}
		interval.Sleep(b.t.Context(), 100*time.Millisecond)
	}
	return got
}

// awaitCount waits for a number of voters, and returns how many there are.
func (b *bed) awaitCount(want int) int {
	b.t.Helper()
	got := 0
	for range 400 {
		got = 0
		for _, m := range b.controls[b.majorityLeader()].control.current().Leadership().Status.Members {
			if m.Voter {
				got++
			}
		}
		if got == want {
			return got
		}
		interval.Sleep(b.t.Context(), 50*time.Millisecond)
	}
	return got
}

// TestRoutes has operators race and repeat: the highest version wins, one that
// isn't newer is acknowledged and changes nothing, an invalid one is refused.
func TestRoutes(t *testing.T) {
	var seen strings.Builder
	note := func(format string, args ...any) { fmt.Fprintf(&seen, format+"\n", args...) }
	inSeeded(t, []string{"seed-1", "seed-2", "seed-3"}, func(b *bed) {
		b.leader()
		note("before any: %s", b.readRoutes("seed-2"))
		note("version 4: %s", b.putRoutes("seed-2", table(4, "ledger")))
		note("version 4 with other content: %s", b.putRoutes("seed-3", table(4, "other")))
		note("version 2: %s", b.putRoutes("seed-1", table(2, "older")))
		note("read at each: %s; %s; %s", b.readRoutes("seed-1"), b.readRoutes("seed-2"), b.readRoutes("seed-3"))
		bad := table(9, "ledger")
		bad.Routes[0].Targets[0].Service = "nobody"
		note("version 9, unknown service: %s", b.putRoutes("seed-1", bad))
		note("read: %s", b.readRoutes("seed-1"))

		b.network.Isolate("seed-1", "seed-2", "seed-3")
		interval.Sleep(b.t.Context(), 3*time.Second)
		note("read at one that is cut off: %s", b.readRoutes("seed-1"))
		note("version 12 at the others: %s", b.putRoutes("seed-2", table(12, "ledger")))
	})
	golden.Check(t, "routes.golden", seen.String())
}

// TestNews follows an instance as a relay does: routes and backend servers
// come at once, and again and again.
func TestNews(t *testing.T) {
	inSeeded(t, []string{"seed-1", "seed-2", "seed-3"}, func(b *bed) {
		b.leader()
		f := &newsReader{client: wire.NewClient(b.network.Transport("relay-1")), news: make(chan message.News, 1024)}
		defer f.client.Close()
		ctx, cancel := context.WithCancel(b.t.Context())
		f.running.Add(1)
		go f.run(ctx)
		defer f.running.Wait()
		defer cancel()
		b.putRoutes("seed-1", table(4, "ledger"))
		desk := &API{control: b.controls["seed-2"].control}
		desk.AnnounceServer(roster.Server{ID: "a", Service: "ledger", Address: "10.0.0.1:80", StartedAt: 5, Seq: 1})
		deadline := time.Now().Add(2 * time.Second)
		var version uint64
		known := 0
		for time.Now().Before(deadline) && (version != 4 || known != 1) {
			select {
			case n := <-f.news:
				if n.Routes != nil {
					version = n.Routes.Version
				}
				known = len(n.Servers)
			case <-time.After(100 * time.Millisecond):
			}
		}
		if version != 4 || known != 1 {
			t.Errorf("got version %d and %d servers within 2 s, want version 4 and 1 server", version, known)
		}
	})
}

type newsReader struct {
	client  *wire.Client
	news    chan message.News
	running sync.WaitGroup
}

func (f *newsReader) run(ctx context.Context) {
	defer f.running.Done()
	call, err := f.client.Open(ctx, "seed-2", message.MethodNews, message.Follow{Relay: "relay-1"})
	if err != nil {
		return
	}
	defer call.Cancel()
	stop := context.AfterFunc(ctx, call.Cancel)
	defer stop()
	for {
		var n message.News
		if err := call.Receive(&n); err != nil {
			return
		}
		f.news <- n
	}
}
