package replay

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"endivedeck.example/dispatch"
	"endivedeck.example/roles"
	"endivedeck.example/trace"
)

const (
	bucket       = 5 * time.Second // of the report's course over time
	reversalTime = time.Minute
	gapShare     = 0.95 // of an answer's gaps must be within the contract's limit
)

type (
	// Report says how a replay went.
	Report struct {
		Trace     string            `json:"trace"`
		Seed      uint64            `json:"seed"`
		Routing   string            `json:"routing"`
		Roles     string            `json:"roles"`
		Offered   int               `json:"offered"`
		Good      int               `json:"good"`  // answered within the contract's limits
		Bound     int               `json:"bound"` // no decider could have more; see Bound
		Late      int               `json:"late"`  // answered, not within the limits
		Changes   int               `json:"roleChanges"`
		Reversals int               `json:"reversals"` // changes back within a minute
		Hits      int               `json:"cacheHitTokens"`
		Misses    int               `json:"cacheMissTokens"`
		Refused   map[string]int    `json:"refused"` // by kind
		Groups    map[string]*Group `json:"groups"`  // by customer and class
		Course    []Course          `json:"course"`
		Decisions []RoleChange      `json:"roleDecisions"`

		lastOf map[string]RoleChange
		routes io.Writer
		length time.Duration
	}

	// Group is the requests of one customer and class.
	Group struct {
		Offered int       `json:"offered"`
		Good    int       `json:"good"`
		First   Quantiles `json:"firstTokenMs"`
		Between Quantiles `json:"betweenTokensMs"`

		first, between []time.Duration
	}

	// Quantiles are in milliseconds.
	Quantiles struct {
		P50 float64 `json:"p50"`
		P95 float64 `json:"p95"`
		P99 float64 `json:"p99"`
	}

	// Course is one stretch of time of the report.
	Course struct {
		Second  int     `json:"second"`
		Prompt  float64 `json:"promptTokens"` // that came
		Answer  float64 `json:"answerTokens"` // that were asked for
		Offered int     `json:"offered"`
		Good    int     `json:"good"`
		Prefill int     `json:"prefillEngines"`
	}

	// RoleChange is a role policy's decision.
	RoleChange struct {
		Second float64 `json:"second"`
		Engine string  `json:"engine"`
		From   string  `json:"from"`
		To     string  `json:"to"`
		Reason string  `json:"reason"`
	}
)

func newReport(t *trace.Trace, o Options) *Report {
	length := time.Duration(t.Header.Length) * time.Millisecond
	r := &Report{
		Trace:   t.Header.Name,
		Seed:    t.Header.Seed,
		Routing: o.Routing,
		Roles:   o.Roles,
		Refused: map[string]int{},
		Groups:  map[string]*Group{},
		Course:  make([]Course, int(length/bucket)),
		lastOf:  map[string]RoleChange{},
		length:  length,
	}
	for i := range r.Course {
		r.Course[i].Second = i * int(bucket/time.Second)
	}
	for i := range t.Events {
		if t.Events[i].Kind == trace.Query {
			r.offer(&t.Events[i])
		}
	}
	r.Bound = Bound(t)
	return r
}

func (r *Report) offer(e *trace.Event) {
	r.Offered++
	r.group(e).Offered++
	c := r.at(e.Time())
	c.Offered++
	c.Prompt += float64(e.Tokens())
	c.Answer += float64(e.Answer)
}

func (r *Report) group(e *trace.Event) *Group {
	key := e.Customer + "/" + e.Class
	g := r.Groups[key]
	if g == nil {
		g = &Group{}
		r.Groups[key] = g
	}
	return g
}

func (r *Report) at(t time.Duration) *Course {
	return &r.Course[min(int(t/bucket), len(r.Course)-1)]
}

func (r *Report) refused(_ *trace.Event, kind string) { r.Refused[kind]++ }

// routed writes the decision's line, where the lines are wanted.
func (r *Report) routed(q *request, d dispatch.Decision) {
	if r.routes != nil {
		fmt.Fprintf(r.routes, "%s %s %s\n", q.event.ID, d.Ticket.Name, d.Choice.Reason)
	}
}

func (r *Report) changed(at time.Duration, c roles.Change, from string) {
	decision := RoleChange{Second: at.Seconds(), Engine: c.Engine, From: from, To: c.Role, Reason: c.Reason}
	last, ok := r.lastOf[c.Engine]
	if ok && last.From == c.Role && decision.Second-last.Second <= reversalTime.Seconds() {
		r.Reversals++
	}
	r.lastOf[c.Engine] = decision
	r.Decisions = append(r.Decisions, decision)
	r.Changes++
}

func (r *Report) ended(q *request, kind string) {
	if kind != "" {
		r.Refused[kind]++
		return
	}
	q.replay.ended++
	g := r.group(q.event)
	g.first = append(g.first, q.first)
	g.between = append(g.between, q.gaps...)
	if !q.good() {
		r.Late++
		q.replay.late++
		return
	}
	r.Good++
	g.Good++
	r.at(q.event.Time()).Good++
}

// good reports whether a whole answer met the contract's limits.
func (q *request) good() bool {
	if q.class.FirstToken > 0 && q.first > q.class.FirstToken.Std() {
		return false
	}
	if q.replay.now.Sub(q.begun) > q.class.WholeAnswer.Std() {
		return false
	}
	limit := q.class.BetweenTokens.Std()
	if limit == 0 || len(q.gaps) == 0 {
		return true
	}
	over := 0
	for _, gap := range q.gaps {
		if gap > limit {
			over++
		}
	}
	return float64(over) <= (1-gapShare)*float64(len(q.gaps))
}

func (r *Report) finish(replay *Replay) {
	for _, g := range r.Groups {
		g.First = quantiles(g.first)
		g.Between = quantiles(g.between)
	}
	for _, e := range replay.engines {
		r.Hits += e.batch.Hits
		r.Misses += e.batch.Misses
	}
	next := 0
	prefill := 0
	for i := range r.Course {
		end := float64(r.Course[i].Second) + bucket.Seconds()
		for next < len(r.Decisions) && r.Decisions[next].Second < end {
			if r.Decisions[next].To == "prefill" {
				prefill++
			} else {
				prefill--
			}
			next++
		}
		r.Course[i].Prefill = prefill
	}
}

// Write writes the report as a table.
func (r *Report) Write(out io.Writer) {
	fmt.Fprintf(out, "%s, seed %d: routing %s, roles %s\n", r.Trace, r.Seed, r.Routing, r.Roles)
	fmt.Fprintf(out, "good %d of %d (bound %d, %.1f%% of it), late %d, refused %s\n",
		r.Good, r.Offered, r.Bound, 100*float64(r.Good)/float64(max(1, r.Bound)), r.Late, counts(r.Refused))
	fmt.Fprintf(out, "role changes %d, reversals %d, cached prompt tokens %.0f%%\n",
		r.Changes, r.Reversals, 100*float64(r.Hits)/float64(max(1, r.Hits+r.Misses)))
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "group\toffered\tgood\tfirst p50\tp95\tp99\tbetween p50\tp95\tp99 ms\t")
	for _, key := range slices.Sorted(maps.Keys(r.Groups)) {
		g := r.Groups[key]
		fmt.Fprintf(table, "%s\t%d\t%d\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t\n", key, g.Offered, g.Good,
			g.First.P50, g.First.P95, g.First.P99, g.Between.P50, g.Between.P95, g.Between.P99)
	}
	_ = table.Flush()
}

func counts(m map[string]int) string {
	if len(m) == 0 {
		return "none"
	}
	text := ""
	for _, key := range slices.Sorted(maps.Keys(m)) {
		text += fmt.Sprintf("%s %d ", key, m[key])
	}
	return text[:len(text)-1]
}

func quantiles(list []time.Duration) Quantiles {
	if len(list) == 0 {
		return Quantiles{}
	}
	slices.Sort(list)
	at := func(q float64) float64 {
		return float64(list[min(int(q*float64(len(list))), len(list)-1)].Microseconds()) / 1000
	}
	return Quantiles{P50: at(0.50), P95: at(0.95), P99: at(0.99)}
}
