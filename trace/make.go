package trace

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"endivedeck.example/contract"
	"endivedeck.example/fault"
	"endivedeck.example/settings"
	"endivedeck.example/standin"
)

const (
	length      = 300 * time.Second
	pieceTokens = 64
)

type (
	// stream is one kind of request of a trace, at a rate that may change.
	stream struct {
		customer string
		class    string
		rate     func(at time.Duration) float64 // requests a second
		prompt   func(g *maker) []Segment
		answer   [2]int // least and most tokens
	}

	// maker makes one trace.
	maker struct {
		random *rand.Rand
		trace  *Trace
		talks  int
	}

	// shapeOf says what makes up a trace.
	shapeOf struct {
		willow  bool
		streams []stream
		events  []Event
		cache   Cache
	}
)

var named = map[string]func() shapeOf{
	"calm":   func() shapeOf { return willow(steady(8), steady(1.2), steady(0.5)) },
	"notes":  func() shapeOf { return willow(steady(8), swing(1, 7, 60, 150), steady(0.5)) },
	"flood":  func() shapeOf { return willow(steady(8), steady(1.5), swing(0.5, 25, 90, 150)) },
	"turn":   func() shapeOf { return willow(waves(3, 22, 120), waves(7, 0.5, 120), steady(0.5)) },
	"dawn":   func() shapeOf { return resets(steady(6), swing(0.5, 7, 60, 240)) },
	"crash":  withCrash,
	"leave":  withWithdrawal,
	"greedy": withGreedyCustomer,
	"alone":  withoutGreedyCustomer,
	"stale":  withStaleCache,
}

// Names returns the names of the traces that Make makes.
func Names() []string { return slices.Sorted(maps.Keys(named)) }

// Make makes the trace of the given name; the same seed makes the same trace.
func Make(name string, seed uint64) (*Trace, error) {
	shape, ok := named[name]
	if !ok {
		return nil, fault.New(fault.NotFound, fault.No, "no trace named %q; there are %v", name, Names())
	}
	return build(name, seed, shape()), nil
}

func build(name string, seed uint64, s shapeOf) *Trace {
	g := &maker{random: rand.New(rand.NewPCG(seed, 7)), trace: &Trace{Header: header(name, seed, s)}}
	for _, st := range s.streams {
		g.stream(st)
	}
	g.trace.Events = append(g.trace.Events, s.events...)
	sort.SliceStable(g.trace.Events, func(i, j int) bool {
		return g.trace.Events[i].At < g.trace.Events[j].At
	})
	return g.trace
}

func header(name string, seed uint64, s shapeOf) Header {
	shape := standin.DefaultShape()
	shape.PieceTokens = pieceTokens
	shape.Pieces = 4096
	h := Header{
		Version: Version,
		Name:    name,
		Seed:    seed,
		Length:  length.Milliseconds(),
		Model:   "crew-assist",
		Domains: []string{"cantho-a", "vinhlong-b", "soctrang-c", "bentre-d"},
		Engines: 9,
		Entries: 3,
		Shape:   shape,
		Change:  4000,
		Cache:   Cache{LagMS: 500, Gap: 0.05},
	}
	if s.cache != (Cache{}) {
		h.Cache = s.cache
	}
	if !s.willow {
		h.Model = "setter-llm"
		h.Domains = []string{"ernakulam", "malabar", "tvm-capital"}
	}
	h.Contracts = contracts(h.Model, s)
	return h
}

// contracts has one for each customer; Willow weighs goodput more, the
// Association weighs role changes more.
func contracts(model string, s shapeOf) []contract.Contract {
	class := func(first, between, whole time.Duration, priority int, rate float64) contract.Class {
		return contract.Class{
			FirstToken:    settings.Duration(first),
			BetweenTokens: settings.Duration(between),
			WholeAnswer:   settings.Duration(whole),
			Rate:          rate,
			Burst:         int(2 * rate),
			Concurrency:   200,
			Priority:      priority,
		}
	}
	calm := 0.8
	if s.willow {
		calm = 0.2
	}
	customers := map[string]bool{}
	for _, st := range s.streams {
		customers[st.customer] = true
	}
	var list []contract.Contract
	for _, customer := range slices.Sorted(maps.Keys(customers)) {
		c := contract.Contract{
			Customer: customer,
			Models:   []string{model},
			Classes: map[string]contract.Class{
				"urgent": class(900*time.Millisecond, 60*time.Millisecond, 20*time.Second, 9, 60),
				"chat":   class(1500*time.Millisecond, 60*time.Millisecond, 30*time.Second, 5, 60),
				"notes":  class(8*time.Second, 400*time.Millisecond, 60*time.Second, 1, 30),
			},
			Share:         0.8 / float64(len(customers)),
			RoleStability: calm,
			Keys:          []string{contract.HashKey("key of " + customer)},
		}
		if customer == "flooder" {
			c.Share = 0.1
		}
		list = append(list, c)
	}
	return list
}

func willow(chat, notes, urgent func(time.Duration) float64) shapeOf {
	return shapeOf{willow: true, streams: []stream{
		{"crews", "chat", chat, (*maker).talk, [2]int{60, 200}},
		{"crews", "notes", notes, (*maker).note, [2]int{30, 80}},
		{"crews", "urgent", urgent, (*maker).cry, [2]int{40, 90}},
	}}
}

func resets(chat, logs func(time.Duration) float64) shapeOf {
	return shapeOf{streams: []stream{
		{"gyms", "chat", chat, (*maker).talk, [2]int{60, 200}},
		{"gyms", "notes", logs, (*maker).note, [2]int{20, 60}},
	}}
}

func withCrash() shapeOf {
	s := willow(steady(10), swing(1, 6, 60, 180), steady(0.5))
	s.events = []Event{
		{At: 100_000, Kind: Crash, Engine: 2},
		{At: 105_000, Kind: Crash, Engine: 5},
		{At: 170_000, Kind: Return, Engine: 2},
		{At: 200_000, Kind: Return, Engine: 5},
	}
	return s
}

func withWithdrawal() shapeOf {
	s := willow(steady(10), swing(1, 6, 60, 180), steady(0.5))
	s.events = []Event{
		{At: 95_000, Kind: Withdraw, Engine: 1},
		{At: 110_000, Kind: Withdraw, Engine: 4},
		{At: 220_000, Kind: Return, Engine: 1},
		{At: 220_000, Kind: Return, Engine: 4},
	}
	return s
}

func withGreedyCustomer() shapeOf {
	s := withoutGreedyCustomer()
	flood := stream{"flooder", "chat", swing(2, 80, 60, 240), (*maker).talk, [2]int{150, 250}}
	s.streams = append(s.streams, flood)
	return s
}

func withoutGreedyCustomer() shapeOf { return willow(steady(12), steady(2), steady(0.5)) }

func withStaleCache() shapeOf {
	s := willow(steady(10), steady(2.5), steady(0.5))
	s.cache = Cache{LagMS: 8000, Gap: 0.4}
	return s
}

func steady(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// swing rises within five seconds at one time and falls at another.
func swing(low, high, from, to float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if s := at.Seconds(); s < from || s > to {
			return low
		}
		return high
	}
}

// waves turns from one rate to the other and back, once a period.
func waves(first, second, period float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if int(at.Seconds()/(period/2))%2 == 0 {
			return first
		}
		return second
	}
}

// stream adds requests at random times of the stream's rate.
func (g *maker) stream(s stream) {
	const step = 100 * time.Millisecond
	n := 0
	for at := time.Duration(0); at < length; at += step {
		expected := s.rate(at) * step.Seconds()
		for expected > 0 && g.random.Float64() < expected {
			expected--
			n++
			when := at + time.Duration(g.random.Int64N(int64(step)))
			g.trace.Events = append(g.trace.Events, Event{
				At:       when.Milliseconds(),
				Kind:     Query,
				ID:       fmt.Sprintf("%s-%s-%d", s.customer, s.class, n),
				Customer: s.customer,
				Class:    s.class,
				Prompt:   s.prompt(g),
				Answer:   s.answer[0] + g.random.IntN(s.answer[1]-s.answer[0]),
			})
		}
	}
}

// talk is a turn of one of many conversations, each growing turn by turn.
func (g *maker) talk() []Segment {
	talk := g.random.IntN(120)
	turns := g.talks / 120 % 6
	g.talks++
	prompt := []Segment{{"house rules", 512}}
	for turn := range turns + 1 {
		prompt = append(prompt, Segment{fmt.Sprintf("talk %d.%d turn %d", talk, g.talks/720, turn), 100})
	}
	return prompt
}

// note is a long survey note or wall log behind a few known forms.
func (g *maker) note() []Segment {
	form := g.random.IntN(4)
	return []Segment{
		{"house rules", 512},
		{fmt.Sprint("form ", form), 1024},
		{fmt.Sprint("note ", g.random.Uint64()), 4000 + g.random.IntN(8000)},
	}
}

// cry is a short urgent query.
func (g *maker) cry() []Segment {
	return []Segment{{"house rules", 512}, {fmt.Sprint("cry ", g.random.Uint64()), 80}}
}
