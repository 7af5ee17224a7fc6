package relay

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"endivedeck.example/internal/engines/ramp"
	"endivedeck.example/kernel"
	"endivedeck.example/message"
	"endivedeck.example/placement"
	"endivedeck.example/pool"
	"endivedeck.example/roster"
	"endivedeck.example/wire"
	"endivedeck.example/wire/memory"
)

// pacingRelay is a relay without callers.
type pacingRelay struct {
	*Relay
	metrics *metrics.Set
	log     bytes.Buffer
}

func newPacingRelay(t *testing.T, network *memory.Network, name string) *pacingRelay {
	t.Helper()
	p := &pacingRelay{metrics: metrics.NewSet()}
	logger := logrus.New()
	logger.SetOutput(&p.log)
	s := DefaultSettings()
	s.PeerListen, s.Dialect, s.Ramp = name, "none", true
	r, err := New(&kernel.Host{Log: logrus.NewEntry(logger), Metrics: p.metrics}, s, network.Transport(name))
	if err != nil {
		t.Fatal(err)
	}
	p.Relay = r
	return p
}

// TestRampsAreShared has one of two relays see a server that has just started answer. The
// other one, which sends nothing there, must allow what these answers have earned.
func TestRampsAreShared(t *testing.T) {
	Dialects.Register("none", headerDialect{})
	synctest.Test(t, func(t *testing.T) {
		network, workers := memory.NewNetwork(), pool.New(8, 8)
		var relays []*pacingRelay
		for _, name := range []string{"r1", "r2"} {
			r := newPacingRelay(t, network, name)
			r.peerServer = wire.NewServer(r.peerListener, workers, map[string]wire.Handler{message.MethodLoads: wire.HandlerFunc(r.receiveLoads)})
			relays = append(relays, r)
		}
		servers := []roster.Server{{ID: "a", Service: "assist", Slots: 48}, {ID: "b", Service: "assist", Slots: 48}}
		for _, r := range relays {
			r.setServers(time.Now(), servers)
			r.setPeers([]string{"r1", "r2"})
		}
		time.Sleep(5 * time.Second)
		servers = append(servers, roster.Server{ID: "c", Service: "assist", Slots: 48})
		for _, r := range relays {
			r.setServers(time.Now(), servers)
		}
		var got strings.Builder
		describe := func(when string) {
			time.Sleep(100 * time.Millisecond)
			fmt.Fprintf(&got, "%s:", when)
			for _, r := range relays {
				fmt.Fprintf(&got, " %s may have %d", r.settings.PeerListen, r.ramps.Pace("c", ramp.Peers{Steady: 2, Paced: 1}).Share)
			}
			got.WriteString("\n")
		}
		describe("started")
		request := placement.Request{Service: "assist", ObjectiveLeft: time.Second, TimeLeft: time.Minute, MustPlace: true, Excluded: map[string]bool{"a": true, "b": true}}
		for range 4 {
			choice, err := relays[0].placement.Choose(time.Now(), request)
			if err != nil {
				t.Fatal(err)
			}
			time.Sleep(20 * time.Millisecond)
			choice.Runner.End(time.Now(), placement.Outcome{Result: placement.Succeeded, FirstByte: 20 * time.Millisecond})
		}
		describe("4 answers at r1")
		choice, err := relays[1].placement.Choose(time.Now(), request)
		if err != nil {
			t.Fatal(err)
		}
		choice.Runner.End(time.Now(), placement.Outcome{Result: placement.Refused})
		describe("a refusal at r2")
		want := "started: r1 may have 1 r2 may have 1\n4 answers at r1: r1 may have 3 r2 may have 3\na refusal at r2: r1 may have 2 r2 may have 1\n"
		if got := got.String(); got != want {
			t.Errorf("got\n%swant\n%s", got, want)
		}
		for _, r := range relays {
			r.logRamps()
			var text bytes.Buffer
			r.metrics.WritePrometheus(&text)
			for _, want := range []string{"relay_paced_servers 1", `relay_ramps_total{change="begun"} 1`} {
				if !strings.Contains(text.String(), want) {
					t.Errorf("metrics of %s: got\n%swant %s", r.settings.PeerListen, text.String(), want)
				}
			}
			if got := strings.Count(r.log.String(), "pace of a backend server changed"); got != 2 {
				t.Errorf("log of %s: got %d changes, want 2:\n%s", r.settings.PeerListen, got, r.log.String())
			}
		}
		for _, r := range relays {
			r.cancel()
			r.peerServer.Close()
			r.tasks.Wait()
			r.client.Close()
			r.upstream.Close()
		}
		if err := workers.Stop(context.Background()); err != nil {
			t.Error(err)
		}
	})
}
