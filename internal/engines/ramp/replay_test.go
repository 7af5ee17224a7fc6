package ramp_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"endivedeck.example/golden"
	"endivedeck.example/internal/engines/ramp"
	"endivedeck.example/placement"
	"endivedeck.example/rank"
	"endivedeck.example/roster"
)

type (
	// replay is a load and what happens to the servers meanwhile.
	replay struct {
		About     string
		Servers   int
		Relays    int
		PerS      float64 // requests a second
		WorkMs    float64 // for one request at a warm server
		Plain     bool    // requests without prompts
		Slots     int     // requests that a server works on at once
		Queue     int     // requests that may wait there
		Announced int     // slots that a server announces
		AimMs     int     // for the time to the first event
		LengthMs  int
		Cold      struct { // a server that has started
			Factor   float64 // as WorkMs
			Requests int     // until it is warm
		}
		Events []struct {
			AtMs   int
			First  int // servers First to Last
			Last   int
			GapMs  int     // between them
			Change string  // start, leave, up or down
			Factor float64 // of the work at a server that starts, for good; 1 if missing
		}
	}

	// run plays a replay.
	run struct {
		replay
		now      time.Time
		agenda   []event // by time
		tables   []*placement.Table
		fleets   []*ramp.Fleet
		reported map[int]uint64 // sequence numbers of the fleets' reports
		servers  []*server
		rng      *rand.Rand

		overAtServer, overElsewhere, lost int
	}

	event struct {
		at time.Time
		do func()
	}

	// server is a backend server.
	server struct {
		starts    int64
		listed    bool
		down      bool
		returned  time.Time // when it has last started or come up
		factor    float64
		cold      int // requests left until it is warm
		queue     []*request
		idle      time.Duration // while requests waited elsewhere, after its return
		completed []time.Time   // since its return
	}

	request struct {
		ticket *placement.Ticket
		sentAt time.Time
		begun  bool
		gone   bool
	}

	// pacerWithoutAllowance limits servers however many of them are paced.
	pacerWithoutAllowance struct{ *ramp.Fleet }
)

func (p pacerWithoutAllowance) Pace(server string, peers ramp.Peers) ramp.Pace {
	peers.Paced, peers.Requests = 0, 0
	return p.Fleet.Pace(server, peers)
}

// TestReplays plays each file of testdata/replays without a pacer, with one, and with
// one that doesn't regard how many servers are paced.
func TestReplays(t *testing.T) {
	rank.DisableChecks() // a replay has one goroutine
	files, err := filepath.Glob("testdata/replays/*.json")
	if err != nil || len(files) == 0 {
		t.Fatalf("replays: got %v, %v", files, err)
	}
	var got strings.Builder
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		var load replay
		if err := json.Unmarshal(text, &load); err != nil {
			t.Fatalf("%s: %v", file, err)
		}
		fmt.Fprintf(&got, "%s\n%s\n  %-22s %15s %15s %9s %9s %9s\n", strings.TrimSuffix(filepath.Base(file), ".json"), load.About, "", "over aim there", "over aim, rest", "lost", "idle ms", "share ms")
		for _, mode := range []string{"before", "paced", "paced, no allowance"} {
			r := newRun(load, mode)
			r.play()
			fmt.Fprintf(&got, "  %-22s %15d %15d %9d %9d %9s\n", mode, r.overAtServer, r.overElsewhere, r.lost, r.idle().Milliseconds(), r.timeToShare())
		}
	}
	golden.Check(t, "replays.golden", got.String())
}

func newRun(load replay, mode string) *run {
	r := &run{replay: load, now: start, reported: map[int]uint64{}, rng: rand.New(rand.NewPCG(1, 2))}
	var names []string
	for i := range load.Relays {
		names = append(names, fmt.Sprintf("relay-%d", i))
	}
	for _, name := range names {
		table, fleet := placement.New(), ramp.New(name)
		fleet.SetRelays(names)
		switch mode {
		case "paced":
			table.SetPacer(fleet)
		case "paced, no allowance":
			table.SetPacer(pacerWithoutAllowance{fleet})
		}
		r.tables, r.fleets = append(r.tables, table), append(r.fleets, fleet)
	}
	for range load.Servers {
		r.servers = append(r.servers, &server{factor: 1, listed: true})
	}
	return r
}

func (r *run) play() {
	r.setServers()
	for _, e := range r.Events {
		for i := e.First; i <= e.Last; i++ {
			r.after(time.Duration(e.AtMs+(i-e.First)*e.GapMs)*time.Millisecond, func() { r.change(i, e.Change, max(e.Factor, 0)) })
		}
	}
	r.after(0, r.arrive)
	r.after(0, r.exchange)
	r.after(0, r.measure)
	end := start.Add(time.Duration(r.LengthMs) * time.Millisecond)
	for len(r.agenda) > 0 && !r.agenda[0].at.After(end) {
		e := r.agenda[0]
		r.agenda = r.agenda[1:]
		r.now = e.at
		e.do()
	}
}

func (r *run) after(d time.Duration, do func()) {
	at := r.now.Add(d)
	i, _ := slices.BinarySearchFunc(r.agenda, at, func(e event, at time.Time) int {
		if e.at.After(at) {
			return 1
		}
		return -1
	})
	r.agenda = slices.Insert(r.agenda, i, event{at, do})
}

// change starts a server, has it leave, or takes it down or up again.
func (r *run) change(i int, change string, factor float64) {
	s := r.servers[i]
	switch change {
	case "start":
		s.starts++
		s.listed, s.down, s.cold, s.factor = true, false, r.Cold.Requests, max(factor, 1)
		s.returned, s.completed, s.idle = r.now, nil, 0
	case "up":
		s.down, s.returned, s.completed = false, r.now, nil
	case "down", "leave":
		s.down, s.listed = true, change == "down"
		for _, q := range s.queue {
			r.lose(q, placement.NoResponse)
		}
		s.queue = nil
	}
	r.setServers()
}

func (r *run) setServers() {
	var list []roster.Server
	var paced []ramp.Server
	for i, s := range r.servers {
		if s.listed {
			list = append(list, roster.Server{ID: fmt.Sprint(i), Service: "assist", Address: fmt.Sprint(i), Slots: r.Announced, StartedAt: s.starts})
			paced = append(paced, ramp.Server{ID: fmt.Sprint(i), Start: s.starts})
		}
	}
	for i := range r.tables {
		r.fleets[i].SetServers(r.now, paced)
		r.tables[i].SetServers(list)
	}
}

// arrive places one request at a relay.
func (r *run) arrive() {
	r.after(time.Duration(r.rng.ExpFloat64()/r.PerS*float64(time.Second)), r.arrive)
	aim := time.Duration(r.AimMs) * time.Millisecond
	wanted := placement.Request{Service: "assist", ObjectiveLeft: aim, TimeLeft: 10 * aim, MustPlace: true}
	if !r.Plain {
		wanted.PromptTokens = 9200
		wanted.Prompt = []placement.Part{{ID: 1, Tokens: 2520}, {ID: r.rng.Uint64(), Tokens: 3780}, {ID: r.rng.Uint64(), Tokens: 2900}}
	}
	choice, err := r.tables[r.rng.IntN(r.Relays)].Choose(r.now, wanted)
	if err != nil {
		r.lost++
		return
	}
	var i int
	_, _ = fmt.Sscan(choice.Runner.Server.ID, &i)
	q, s := &request{ticket: choice.Runner, sentAt: r.now}, r.servers[i]
	switch {
	case s.down:
		r.lose(q, placement.NoResponse)
	case len(s.queue) >= r.Slots+r.Queue:
		r.lose(q, placement.Refused)
	default:
		s.queue = append(s.queue, q)
		r.work(s)
	}
}

func (r *run) lose(q *request, result placement.Result) {
	r.lost++
	q.gone = true
	q.ticket.End(r.now, placement.Outcome{Result: result})
}

// work has a server work on the requests at the head of its queue.
func (r *run) work(s *server) {
	for _, q := range s.queue[:min(r.Slots, len(s.queue))] {
		if q.begun {
			continue
		}
		q.begun = true
		ms := r.WorkMs * s.factor
		if s.cold > 0 {
			s.cold--
			ms *= r.Cold.Factor
		}
		r.after(time.Duration(ms*float64(time.Millisecond)), func() { r.complete(s, q) })
	}
}

func (r *run) complete(s *server, q *request) {
	if q.gone {
		return
	}
	took := r.now.Sub(q.sentAt)
	if !r.Plain {
		q.ticket.ResponseBegun(r.now, took)
	}
	q.ticket.End(r.now, placement.Outcome{Result: placement.Succeeded, FirstByte: took})
	switch over := took > time.Duration(r.AimMs)*time.Millisecond; {
	case over && !s.returned.IsZero():
		r.overAtServer++
	case over:
		r.overElsewhere++
	}
	s.completed = append(s.completed, r.now)
	s.queue = slices.DeleteFunc(s.queue, func(other *request) bool { return other == q })
	r.work(s)
}

// exchange passes the load messages of all relays on.
func (r *run) exchange() {
	r.after(20*time.Millisecond, r.exchange)
	for i, from := range r.tables {
		loads := from.Loads(r.now)
		var reports []ramp.Report
		reports, r.reported[i] = r.fleets[i].Reports(r.reported[i])
		for j, to := range r.tables {
			if i != j {
				to.UpdatePeer(r.now, fmt.Sprint(i), loads, nil)
				r.fleets[j].Merge(r.now, fmt.Sprint(i), reports)
			}
		}
	}
}

// measure adds up the time in which a server that has returned is idle while two or
// more requests wait at another one.
func (r *run) measure() {
	const step = time.Millisecond
	r.after(step, r.measure)
	if !slices.ContainsFunc(r.servers, func(s *server) bool { return len(s.queue) >= r.Slots+2 }) {
		return
	}
	for _, s := range r.servers {
		if !s.returned.IsZero() && !s.down && s.listed && len(s.queue) == 0 {
			s.idle += step
		}
	}
}

func (r *run) idle() (sum time.Duration) {
	for _, s := range r.servers {
		sum += s.idle
	}
	return sum
}

// timeToShare returns the mean time from the last return of a server until it has completed, in
// half a second, as many requests as 0.8 of a fair share.
func (r *run) timeToShare() string {
	const window = 500 * time.Millisecond
	share := max(int(0.8*r.PerS/float64(r.Servers)*window.Seconds()), 1)
	var sum time.Duration
	servers, never := 0, 0
	for _, s := range r.servers {
		if s.returned.IsZero() {
			continue
		}
		servers++
		i := 0
		for i+share <= len(s.completed) && s.completed[i+share-1].Sub(s.completed[i]) > window {
			i++
		}
		if i+share > len(s.completed) {
			never++
			continue
		}
		sum += s.completed[i+share-1].Sub(s.returned)
	}
	if never == servers {
		return "never"
	}
	text := fmt.Sprint((sum / time.Duration(servers-never)).Milliseconds())
	if never > 0 {
		text += fmt.Sprintf(" (%d never)", never)
	}
	return text
}
