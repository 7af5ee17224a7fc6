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
	traceLength = 300 * time.Second
	blockTokens = 64 // per KV cache block
)

type (
	// requestStream describes the requests of one customer and class.
	requestStream struct {
		customer     string
		class        string
		rate         func(at time.Duration) float64 // requests per second, by time since the trace's start
		prompt       func(g *generator) []Segment
		answerTokens [2]int // range, without its end
	}

	// generator generates one trace.
	generator struct {
		rng          *rand.Rand
		trace        *Trace
		chatRequests int // number of chat prompts generated
	}

	// scenario describes a trace to generate.
	scenario struct {
		willow  bool // the Willow deployment instead of the Association's
		streams []requestStream
		events  []Event        // engine failures and withdrawals
		cache   CacheEventFeed // replaces the default if set
	}
)

// scenarios holds the constructors of the scenarios by the names of their
// traces.
var scenarios = map[string]func() scenario{
	"calm":   func() scenario { return willowScenario(constant(8), constant(1.2), constant(0.5)) },
	"notes":  func() scenario { return willowScenario(constant(8), pulse(1, 7, 60, 150), constant(0.5)) },
	"flood":  func() scenario { return willowScenario(constant(8), constant(1.5), pulse(0.5, 25, 90, 150)) },
	"turn":   func() scenario { return willowScenario(squareWave(3, 22, 120), squareWave(7, 0.5, 120), constant(0.5)) },
	"dawn":   func() scenario { return resetsScenario(constant(6), pulse(0.5, 7, 60, 240)) },
	"crash":  crashScenario,
	"leave":  withdrawalScenario,
	"greedy": flooderScenario,
	"alone":  aloneScenario,
	"stale":  staleCacheScenario,
}

// Names returns the sorted names of the traces that can be generated.
func Names() []string { return slices.Sorted(maps.Keys(scenarios)) }

// Generate generates the trace with the given name. The same name and seed give
// the same trace. It fails with fault.NotFound for an unknown name.
func Generate(name string, seed uint64) (*Trace, error) {
	newScenario, ok := scenarios[name]
	if !ok {
		return nil, fault.New(fault.NotFound, fault.NotRun, "unknown trace %q: want one of %v", name, Names())
	}
	return generate(name, seed, newScenario()), nil
}

func generate(name string, seed uint64, s scenario) *Trace {
	g := &generator{rng: rand.New(rand.NewPCG(seed, 7)), trace: &Trace{Header: newHeader(name, seed, s)}}
	for _, stream := range s.streams {
		g.addRequests(stream)
	}
	g.trace.Events = append(g.trace.Events, s.events...)
	sort.SliceStable(g.trace.Events, func(i, j int) bool {
		return g.trace.Events[i].AtMS < g.trace.Events[j].AtMS
	})
	return g.trace
}

func newHeader(name string, seed uint64, s scenario) Header {
	spec := standin.DefaultEngineSpec()
	spec.PieceTokens = blockTokens
	spec.Pieces = 4096
	h := Header{
		Version:        Version,
		Name:           name,
		Seed:           seed,
		LengthMS:       traceLength.Milliseconds(),
		Model:          "crew-assist",
		FailureDomains: []string{"cantho-a", "vinhlong-b", "soctrang-c", "bentre-d"},
		EngineCount:    9,
		EntryCount:     3,
		EngineSpec:     spec,
		RoleChangeMS:   4000,
		CacheEvents:    CacheEventFeed{LagMS: 500, LossRate: 0.05},
	}
	if s.cache != (CacheEventFeed{}) {
		h.CacheEvents = s.cache
	}
	if !s.willow {
		h.Model = "setter-llm"
		h.FailureDomains = []string{"ernakulam", "malabar", "tvm-capital"}
	}
	h.Contracts = newContracts(h.Model, s)
	return h
}

// newContracts returns a contract for each customer of the scenario. The
// contracts of the Willow deployment favor goodput, those of the Association's
// favor few role changes.
func newContracts(model string, s scenario) []contract.Contract {
	class := func(firstToken, betweenTokens, wholeAnswer time.Duration, priority int, rate float64) contract.Class {
		return contract.Class{
			FirstToken:    settings.Duration(firstToken),
			BetweenTokens: settings.Duration(betweenTokens),
			WholeAnswer:   settings.Duration(wholeAnswer),
			Rate:          rate,
			Burst:         int(2 * rate),
			Concurrency:   200,
			Priority:      priority,
		}
	}
	roleStability := 0.8
	if s.willow {
		roleStability = 0.2
	}
	customers := map[string]bool{}
	for _, stream := range s.streams {
		customers[stream.customer] = true
	}
	var contracts []contract.Contract
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
			RoleStability: roleStability,
			Keys:          []string{contract.HashKey("key of " + customer)},
		}
		if customer == "flooder" {
			c.Share = 0.1
		}
		contracts = append(contracts, c)
	}
	return contracts
}

// willowScenario returns a scenario of the Willow deployment.
func willowScenario(chat, notes, urgent func(time.Duration) float64) scenario {
	return scenario{willow: true, streams: []requestStream{
		{"crews", "chat", chat, (*generator).chatPrompt, [2]int{60, 200}},
		{"crews", "notes", notes, (*generator).notePrompt, [2]int{30, 80}},
		{"crews", "urgent", urgent, (*generator).urgentPrompt, [2]int{40, 90}},
	}}
}

// resetsScenario returns a scenario of the Association's deployment.
func resetsScenario(chat, notes func(time.Duration) float64) scenario {
	return scenario{streams: []requestStream{
		{"gyms", "chat", chat, (*generator).chatPrompt, [2]int{60, 200}},
		{"gyms", "notes", notes, (*generator).notePrompt, [2]int{20, 60}},
	}}
}

// crashScenario has two engines of nine fail and return later.
func crashScenario() scenario {
	s := willowScenario(constant(10), pulse(1, 6, 60, 180), constant(0.5))
	s.events = []Event{
		{AtMS: 100_000, Kind: Crash, EngineIndex: 2},
		{AtMS: 105_000, Kind: Crash, EngineIndex: 5},
		{AtMS: 170_000, Kind: Return, EngineIndex: 2},
		{AtMS: 200_000, Kind: Return, EngineIndex: 5},
	}
	return s
}

// withdrawalScenario has two engines of nine withdraw and return later.
func withdrawalScenario() scenario {
	s := willowScenario(constant(10), pulse(1, 6, 60, 180), constant(0.5))
	s.events = []Event{
		{AtMS: 95_000, Kind: Withdraw, EngineIndex: 1},
		{AtMS: 110_000, Kind: Withdraw, EngineIndex: 4},
		{AtMS: 220_000, Kind: Return, EngineIndex: 1},
		{AtMS: 220_000, Kind: Return, EngineIndex: 4},
	}
	return s
}

// flooderScenario adds a customer that sends far more than its share.
func flooderScenario() scenario {
	s := aloneScenario()
	flood := requestStream{"flooder", "chat", pulse(2, 80, 60, 240), (*generator).chatPrompt, [2]int{150, 250}}
	s.streams = append(s.streams, flood)
	return s
}

// aloneScenario returns flooderScenario without the flooder, for comparison.
func aloneScenario() scenario { return willowScenario(constant(12), constant(2), constant(0.5)) }

// staleCacheScenario has late cache events, of which many are lost.
func staleCacheScenario() scenario {
	s := willowScenario(constant(10), constant(2.5), constant(0.5))
	s.cache = CacheEventFeed{LagMS: 8000, LossRate: 0.4}
	return s
}

func constant(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// pulse returns a rate that is high from start to end, in seconds, and low
// before and after.
func pulse(low, high, start, end float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if seconds := at.Seconds(); seconds < start || seconds > end {
			return low
		}
		return high
	}
}

// squareWave returns a rate that is first in the first half of each period, in
// seconds, and second in the other half.
func squareWave(first, second, period float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if int(at.Seconds()/(period/2))%2 == 0 {
			return first
		}
		return second
	}
}

// addRequests adds a stream's requests. In each interval their number is the
// expected one, rounded up or down at random, and their times are random.
func (g *generator) addRequests(stream requestStream) {
	const interval = 100 * time.Millisecond
	count := 0
	for at := time.Duration(0); at < traceLength; at += interval {
		expected := stream.rate(at) * interval.Seconds()
		for expected > 0 && g.rng.Float64() < expected {
			expected--
			count++
			arrival := at + time.Duration(g.rng.Int64N(int64(interval)))
			g.trace.Events = append(g.trace.Events, Event{
				AtMS:         arrival.Milliseconds(),
				Kind:         Query,
				ID:           fmt.Sprintf("%s-%s-%d", stream.customer, stream.class, count),
				Customer:     stream.customer,
				Class:        stream.class,
				Prompt:       stream.prompt(g),
				AnswerTokens: stream.answerTokens[0] + g.rng.IntN(stream.answerTokens[1]-stream.answerTokens[0]),
			})
		}
	}
}

// chatPrompt returns the prompt of a turn in a random one of 120 conversations.
// All conversations grow by one turn every 120 requests, and new ones with
// other prompts replace them every 720 requests, after six turns.
func (g *generator) chatPrompt() []Segment {
	conversation := g.rng.IntN(120)
	turns := g.chatRequests / 120 % 6
	g.chatRequests++
	prompt := []Segment{{"house rules", 512}}
	for turn := range turns + 1 {
		prompt = append(prompt, Segment{fmt.Sprintf("talk %d.%d turn %d", conversation, g.chatRequests/720, turn), 100})
	}
	return prompt
}

// notePrompt returns the prompt for a long text (a survey note of Willow or a
// wall log of the Association) after one of four forms.
func (g *generator) notePrompt() []Segment {
	form := g.rng.IntN(4)
	return []Segment{
		{"house rules", 512},
		{fmt.Sprint("form ", form), 1024},
		{fmt.Sprint("note ", g.rng.Uint64()), 4000 + g.rng.IntN(8000)},
	}
}

// urgentPrompt returns the prompt of a short urgent query.
func (g *generator) urgentPrompt() []Segment {
	return []Segment{{"house rules", 512}, {fmt.Sprint("cry ", g.rng.Uint64()), 80}}
}
