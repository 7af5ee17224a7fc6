package ramp_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"endivedeck.example/golden"
	"endivedeck.example/internal/engines/ramp"
	"endivedeck.example/rank"
)

const (
	ms       = time.Millisecond
	expected = 50 * ms // time to the first event
)

var (
	start = time.Unix(1_800_000_000, 0)
	peers = ramp.Peers{Slots: 48, Steady: 10, Paced: 1, Requests: 100}
)

// newFleets returns the ramps of some relays that have known the servers a and b for long, and
// now see c.
func newFleets(relays ...string) []*ramp.Fleet {
	var fleets []*ramp.Fleet
	for _, relay := range relays {
		f := ramp.New(relay)
		f.SetRelays(relays)
		f.SetServers(start.Add(-time.Minute), []ramp.Server{{ID: "a"}, {ID: "b"}})
		f.SetServers(start, []ramp.Server{{ID: "a"}, {ID: "b"}, {ID: "c", Start: 1}})
		fleets = append(fleets, f)
	}
	return fleets
}

func answer(first time.Duration) ramp.Sample {
	return ramp.Sample{Result: ramp.Answered, First: first, ExpectedFirst: expected, Step: 2 * ms, ExpectedStep: 2 * ms, Peers: peers}
}

// reports returns all that a relay reports.
func reports(f *ramp.Fleet) []ramp.Report {
	list, _ := f.Reports(0)
	return list
}

// TestReportsSince checks that a report is repeated only once it has changed.
func TestReportsSince(t *testing.T) {
	f := ramp.New("r")
	f.SetServers(start.Add(-time.Minute), []ramp.Server{{ID: "a"}})
	list, next := f.Reports(0)
	if len(list) != 0 {
		t.Errorf("before any: got %v, want none", list)
	}
	f.SetServers(start, []ramp.Server{{ID: "a"}, {ID: "c", Start: 1}})
	list, next = f.Reports(next)
	if len(list) != 1 {
		t.Errorf("at first: got %v, want the report of c", list)
	}
	if list, next = f.Reports(next); len(list) != 0 {
		t.Errorf("without a change: got %v, want none", list)
	}
	s := answer(expected)
	s.SentAt = start.Add(ms)
	f.Observe(start.Add(2*ms), "c", s)
	if list, _ = f.Reports(next); len(list) != 1 || list[0].Held != 1 {
		t.Errorf("after an answer: got %v, want c with 1 held", list)
	}
}

// TestRamp shows a server to one relay by answers that each were sent after the one
// before, and prints what the relay may send there after each series.
func TestRamp(t *testing.T) {
	slowStep, failed, few := answer(expected), ramp.Sample{Result: ramp.Failed, ErrorRate: 0.4, PeerErrorRate: 0.1, Peers: peers}, failedLikePeers()
	slowStep.Step = 20 * ms
	inTime := answer(4 * expected)
	inTime.Objective = 9 * expected
	type series struct {
		about  string
		n      int
		sample ramp.Sample
	}
	var got strings.Builder
	for _, c := range []struct {
		name   string
		series []series
	}{
		{"like its peers", []series{{"good", 1, answer(expected)}, {"good", 5, answer(expected)}, {"good", 30, answer(expected)}}},
		{"overloaded", []series{{"good", 8, answer(expected)}, {"slow", 1, answer(3 * expected)}, {"good", 8, answer(expected)}, {"slow", 2, answer(3 * expected)}}},
		{"slow between events", []series{{"good", 8, answer(expected)}, {"slow", 1, slowStep}}},
		{"refusing", []series{{"good", 8, answer(expected)}, {"refused", 1, ramp.Sample{Result: ramp.Refused, Peers: peers}}}},
		{"failing", []series{{"good", 8, answer(expected)}, {"failed like its peers", 5, few}, {"failed", 1, failed}}},
		{"slow in time", []series{{"slow", 6, inTime}}},
		{"slow by nature", []series{{"slow", 3, answer(4 * expected)}, {"slow", 1, answer(4 * expected)}, {"slow", 20, answer(4 * expected)}, {"slower", 1, answer(9 * expected)}}},
		{"gone again", []series{{"good", 40, answer(expected)}, {"silent", 1, ramp.Sample{Result: ramp.NoResponse}}, {"silent", 1, ramp.Sample{Result: ramp.NoResponse}}, {"good", 3, answer(expected)}}},
	} {
		f := newFleets("r")[0]
		now := start
		fmt.Fprintf(&got, "%s\n", c.name)
		for _, s := range c.series {
			for range s.n {
				s.sample.SentAt = now.Add(ms)
				now = now.Add(100 * ms)
				f.Observe(now, "c", s.sample)
			}
			fmt.Fprintf(&got, "  %2d %-21s ", s.n, s.about)
			if !f.Paced()["c"] {
				got.WriteString("not paced\n")
				continue
			}
			p := f.Pace("c", peers)
			share := fmt.Sprint(p.Share)
			if p.Share > 1000 {
				share = "any"
			}
			fmt.Fprintf(&got, "share %3s, %2d of them trials, ratio %.1f\n", share, p.Trials, p.Ratio)
		}
		changes, _ := f.Changes()
		for _, change := range changes {
			fmt.Fprintf(&got, "    %s, limit %d, epoch %d, floor %.1f\n", change.Kind, change.Limit, change.Epoch, change.Floor)
		}
	}
	golden.Check(t, "ramp.golden", got.String())
}

func failedLikePeers() ramp.Sample {
	return ramp.Sample{Result: ramp.Failed, ErrorRate: 0.3, PeerErrorRate: 0.1, Peers: peers}
}

// TestOlderRequests checks that requests that were sent before the limit was reduced don't
// reduce it again.
func TestOlderRequests(t *testing.T) {
	f := newFleets("r")[0]
	for i := range 14 {
		s := answer(expected)
		s.SentAt = start.Add(time.Duration(i) * ms)
		f.Observe(start.Add(100*ms), "c", s)
	}
	slow := answer(4 * expected)
	slow.SentAt = start.Add(50 * ms)
	f.Observe(start.Add(200*ms), "c", slow)
	want := f.Pace("c", peers).Share
	f.Observe(start.Add(201*ms), "c", slow)
	if got := f.Pace("c", peers).Share; got != want || want != 8 {
		t.Errorf("share after a second slow answer of that time: got %d, before %d, want 8", got, want)
	}
}

// TestRelaysAgree has relays see different answers and pass their reports on in any
// order, some of them more than once. In the end, their shares add up to one limit.
func TestRelaysAgree(t *testing.T) {
	names := []string{"r1", "r2", "r3", "r4", "r5", "r6", "r7"}
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 1))
		fleets := newFleets(names...)
		now := start
		for range 60 {
			now = now.Add(10 * ms)
			i := rng.IntN(len(fleets))
			s := answer(expected)
			if rng.IntN(20) == 0 {
				s = answer(5 * expected)
			}
			s.SentAt = now.Add(-ms)
			s.Peers.Slots, s.Peers.Requests = 0, 1000 // so that the ramp doesn't end
			fleets[i].Observe(now, "c", s)
			fleets[rng.IntN(len(fleets))].Merge(now, names[i], reports(fleets[i]))
		}
		for range 2 {
			for i, from := range fleets {
				for _, to := range fleets {
					if from != to {
						to.Merge(now, names[i], reports(from))
					}
				}
			}
		}
		steady, sum := peers, 0
		steady.Slots, steady.Requests = 0, 1000
		for _, f := range fleets {
			sum += f.Pace("c", steady).Share
		}
		alone := ramp.New("r1")
		alone.SetServers(start.Add(-time.Minute), []ramp.Server{{ID: "a"}})
		alone.SetServers(start, []ramp.Server{{ID: "c", Start: 1}})
		for i, f := range fleets {
			alone.Merge(now, names[i], reports(f))
		}
		if want := alone.Pace("c", steady).Share; sum != want {
			t.Errorf("seed %d: shares add up to %d, want %d", seed, sum, want)
		}
	}
}

// TestFirstServers checks that a relay that has just started doesn't take servers for new, and
// takes over what others know of them.
func TestFirstServers(t *testing.T) {
	f := ramp.New("r1")
	f.SetServers(start, []ramp.Server{{ID: "a"}})
	f.SetServers(start.Add(time.Second), []ramp.Server{{ID: "a"}, {ID: "c", Start: 1}})
	if got := len(f.Paced()); got != 0 {
		t.Errorf("paced after the start: got %d servers, want 0", got)
	}
	f.Merge(start.Add(time.Second), "r2", reports(newFleets("r2")[0]))
	if got := f.Paced(); len(got) != 1 || !got["c"] {
		t.Errorf("paced after a report: got %v, want c", got)
	}
	f.SetServers(start.Add(3*time.Second), []ramp.Server{{ID: "a", Start: 5}, {ID: "c", Start: 1}})
	if got := f.Paced(); len(got) != 2 {
		t.Errorf("paced after a has started anew: got %v, want a and c", got)
	}
}

// TestEndIsShared checks that a ramp that has ended at one relay ends at the others, and
// that a slow answer at one of them doesn't reopen it, while a recovery does.
func TestEndIsShared(t *testing.T) {
	fleets := newFleets("r1", "r2")
	for i := range 40 {
		s := answer(expected)
		s.SentAt = start.Add(time.Duration(i) * ms)
		fleets[0].Observe(start.Add(100*ms), "c", s)
	}
	slow := answer(9 * expected)
	slow.SentAt = start.Add(200 * ms)
	fleets[1].Observe(start.Add(300*ms), "c", slow)
	fleets[0].Merge(start.Add(400*ms), "r2", reports(fleets[1]))
	fleets[1].Merge(start.Add(400*ms), "r1", reports(fleets[0]))
	for i, f := range fleets {
		if f.Paced()["c"] {
			t.Errorf("relay %d: got a ramp that goes on, want it ended", i+1)
		}
	}
	for range 2 {
		fleets[1].Observe(start.Add(600*ms), "c", ramp.Sample{Result: ramp.NoResponse, SentAt: start.Add(500 * ms)})
	}
	fleets[0].Merge(start.Add(700*ms), "r2", reports(fleets[1]))
	for i, f := range fleets {
		if !f.Paced()["c"] {
			t.Errorf("relay %d: got no ramp after a recovery, want one", i+1)
		}
	}
}

// TestNoPeers checks that no server is limited if most have started.
func TestNoPeers(t *testing.T) {
	f := newFleets("r1", "r2")[0]
	if got := f.Pace("c", ramp.Peers{Slots: 48, Steady: 4, Paced: 4}).Share; got < 1000 {
		t.Errorf("share without peers: got %d, want no limit", got)
	}
}

// TestManyRelays has a failure domain of 1,100 servers start behind 1,800 relays, and checks
// what the pace costs a relay: the size of a report, and of all that it tells between two
// messages to another relay in which it has had 24 answers a second for 3.6 s.
func TestManyRelays(t *testing.T) {
	const servers, answers, reportBytes = 1100, 86, 60
	names := make([]string, 1800)
	for i := range names {
		names[i] = fmt.Sprintf("10.%d.%d.%d:7675", i%9, i/9, i%200)
	}
	f := ramp.New(names[0])
	f.SetRelays(names)
	var list []ramp.Server
	for i := range servers {
		list = append(list, ramp.Server{ID: fmt.Sprintf("i-%010d", i), Start: start.UnixMilli()})
	}
	f.SetServers(start.Add(-time.Minute), []ramp.Server{{ID: "a"}})
	f.SetServers(start, list)
	_, next := f.Reports(0)
	for i := range answers {
		s := answer(2 * expected)
		s.SentAt = start.Add(ms)
		f.Observe(start.Add(2*ms), list[i].ID, s)
	}
	news, _ := f.Reports(next)
	data, err := cbor.Marshal(news)
	if err != nil {
		t.Fatal(err)
	}
	if got := len(data); got > answers*reportBytes {
		t.Errorf("%d reports: got %d bytes, want at most %d", len(news), got, answers*reportBytes)
	}
	t.Logf("%d reports of %d bytes", len(news), len(data))
}

func BenchmarkPace(b *testing.B) {
	rank.DisableChecks()
	f := newFleets("r1", "r2", "r3")[0]
	for b.Loop() {
		f.Pace("c", peers)
	}
}
