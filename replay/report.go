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
	bucketTime               = 5 * time.Second // resolution of the timeline
	reversalWindow           = time.Minute     // a change back within it counts as a reversal
	requiredIntervalFraction = 0.95            // of an answer's token intervals, within the limit of the contract
)

type (
	// Report is the result of a replay.
	Report struct {
		Trace           string            `json:"trace"`
		Seed            uint64            `json:"seed"`
		Routing         string            `json:"routing"`
		Roles           string            `json:"roles"`
		Offered         int               `json:"offered"`
		Good            int               `json:"good"`  // answered within the contract's limits
		Bound           int               `json:"bound"` // upper bound of the good answers for any policy
		Late            int               `json:"late"`  // answered, outside the contract's limits
		RoleChanges     int               `json:"roleChanges"`
		Reversals       int               `json:"reversals"` // role changes back within reversalWindow
		CacheHitTokens  int               `json:"cacheHitTokens"`
		CacheMissTokens int               `json:"cacheMissTokens"`
		Refused         map[string]int    `json:"refused"` // refused, failed and timed-out queries by error kind
		Groups          map[string]*Group `json:"groups"`  // by customer and class
		Timeline        []TimelineEntry   `json:"course"`
		RoleDecisions   []RoleChange      `json:"roleDecisions"`

		lastChange  map[string]RoleChange
		decisionLog io.Writer // receives a line per routing decision if not nil
		length      time.Duration
	}

	// Group counts the requests of one customer and class.
	Group struct {
		Offered       int       `json:"offered"`
		Good          int       `json:"good"`
		FirstToken    Quantiles `json:"firstTokenMs"`
		BetweenTokens Quantiles `json:"betweenTokensMs"`

		firstTokenTimes, tokenIntervals []time.Duration
	}

	// Quantiles are in milliseconds.
	Quantiles struct {
		P50 float64 `json:"p50"`
		P95 float64 `json:"p95"`
		P99 float64 `json:"p99"`
	}

	// TimelineEntry counts the requests that arrive in one interval of bucketTime.
	TimelineEntry struct {
		Second         int     `json:"second"`       // start of the interval
		PromptTokens   float64 `json:"promptTokens"` // of the queries
		AnswerTokens   float64 `json:"answerTokens"` // of the queries
		Offered        int     `json:"offered"`
		Good           int     `json:"good"`
		PrefillEngines int     `json:"prefillEngines"` // at the end of the interval
	}

	// RoleChange is a decision of the role policy.
	RoleChange struct {
		Second float64 `json:"second"`
		Engine string  `json:"engine"`
		From   string  `json:"from"`
		To     string  `json:"to"`
		Reason string  `json:"reason"`
	}
)

func newReport(t *trace.Trace, o Options) *Report {
	length := time.Duration(t.Header.LengthMS) * time.Millisecond
	r := &Report{
		Trace:      t.Header.Name,
		Seed:       t.Header.Seed,
		Routing:    o.Routing,
		Roles:      o.Roles,
		Refused:    map[string]int{},
		Groups:     map[string]*Group{},
		Timeline:   make([]TimelineEntry, max(1, int((length+bucketTime-1)/bucketTime))),
		lastChange: map[string]RoleChange{},
		length:     length,
	}
	for i := range r.Timeline {
		r.Timeline[i].Second = i * int(bucketTime/time.Second)
	}
	for i := range t.Events {
		if t.Events[i].Kind == trace.Query {
			r.recordOffered(&t.Events[i])
		}
	}
	r.Bound = UpperBound(t)
	return r
}

// recordOffered counts a query of the trace, whether it is admitted or not.
func (r *Report) recordOffered(e *trace.Event) {
	r.Offered++
	r.group(e).Offered++
	bucket := r.bucketAt(e.SinceStart())
	bucket.Offered++
	bucket.PromptTokens += float64(e.PromptTokens())
	bucket.AnswerTokens += float64(e.AnswerTokens)
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

// bucketAt returns the interval of a time since the trace's start.
func (r *Report) bucketAt(t time.Duration) *TimelineEntry {
	return &r.Timeline[min(int(t/bucketTime), len(r.Timeline)-1)]
}

func (r *Report) recordRefusal(_ *trace.Event, kind string) { r.Refused[kind]++ }

// logDecision writes a routing decision to the decision log.
func (r *Report) logDecision(q *request, d dispatch.Decision) {
	if r.decisionLog != nil {
		fmt.Fprintf(r.decisionLog, "%s %s %s\n", q.query.ID, d.Ticket.Name, d.Choice.Reason)
	}
}

func (r *Report) recordRoleChange(at time.Duration, change roles.Change, from string) {
	decision := RoleChange{Second: at.Seconds(), Engine: change.Engine, From: from, To: change.Role, Reason: change.Reason}
	previous, ok := r.lastChange[change.Engine]
	if ok && previous.From == change.Role && decision.Second-previous.Second <= reversalWindow.Seconds() {
		r.Reversals++
	}
	r.lastChange[change.Engine] = decision
	r.RoleDecisions = append(r.RoleDecisions, decision)
	r.RoleChanges++
}

// recordEnd counts the end of an admitted query: with a complete answer, or with
// an error of the given kind.
func (r *Report) recordEnd(q *request, kind string) {
	if kind != "" {
		r.Refused[kind]++
		return
	}
	q.replay.answered++
	g := r.group(q.query)
	g.firstTokenTimes = append(g.firstTokenTimes, q.firstTokenTime)
	g.tokenIntervals = append(g.tokenIntervals, q.tokenIntervals...)
	if !q.withinLimits() {
		r.Late++
		q.replay.missed++
		return
	}
	r.Good++
	g.Good++
	r.bucketAt(q.query.SinceStart()).Good++
}

// withinLimits reports whether an answer that ends now is within the latency
// limits of its contract. The limit of token intervals must hold for the fraction
// requiredIntervalFraction of them.
func (q *request) withinLimits() bool {
	if q.class.FirstToken > 0 && q.firstTokenTime > q.class.FirstToken.Std() {
		return false
	}
	if q.replay.now.Sub(q.startedAt) > q.class.WholeAnswer.Std() {
		return false
	}
	limit := q.class.BetweenTokens.Std()
	if limit == 0 || len(q.tokenIntervals) == 0 {
		return true
	}
	exceeded := 0
	for _, interval := range q.tokenIntervals {
		if interval > limit {
			exceeded++
		}
	}
	return float64(exceeded) <= (1-requiredIntervalFraction)*float64(len(q.tokenIntervals))
}

// finish computes the quantiles, the cache hits and the number of prefill
// engines over time.
func (r *Report) finish(replay *Replay) {
	for _, g := range r.Groups {
		g.FirstToken = quantiles(g.firstTokenTimes)
		g.BetweenTokens = quantiles(g.tokenIntervals)
	}
	for _, e := range replay.engines {
		r.CacheHitTokens += e.batch.CacheHitTokens
		r.CacheMissTokens += e.batch.CacheMissTokens
	}
	nextDecision := 0
	prefillEngines := 0
	for i := range r.Timeline {
		end := float64(r.Timeline[i].Second) + bucketTime.Seconds()
		for nextDecision < len(r.RoleDecisions) && r.RoleDecisions[nextDecision].Second < end {
			decision := r.RoleDecisions[nextDecision]
			if decision.From == "prefill" {
				prefillEngines--
			}
			if decision.To == "prefill" {
				prefillEngines++
			}
			nextDecision++
		}
		r.Timeline[i].PrefillEngines = prefillEngines
	}
}

// Write writes a summary of the report with a table of the groups.
func (r *Report) Write(out io.Writer) {
	fmt.Fprintf(out, "%s, seed %d: routing %s, roles %s\n", r.Trace, r.Seed, r.Routing, r.Roles)
	fmt.Fprintf(out, "good %d of %d (bound %d, %.1f%% of it), late %d, refused %s\n",
		r.Good, r.Offered, r.Bound, 100*float64(r.Good)/float64(max(1, r.Bound)), r.Late, formatCounts(r.Refused))
	fmt.Fprintf(out, "role changes %d, reversals %d, cached prompt tokens %.0f%%\n",
		r.RoleChanges, r.Reversals, 100*float64(r.CacheHitTokens)/float64(max(1, r.CacheHitTokens+r.CacheMissTokens)))
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "group\toffered\tgood\tfirst p50\tp95\tp99\tbetween p50\tp95\tp99 ms\t")
	for _, key := range slices.Sorted(maps.Keys(r.Groups)) {
		g := r.Groups[key]
		fmt.Fprintf(table, "%s\t%d\t%d\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t\n", key, g.Offered, g.Good,
			g.FirstToken.P50, g.FirstToken.P95, g.FirstToken.P99, g.BetweenTokens.P50, g.BetweenTokens.P95, g.BetweenTokens.P99)
	}
	_ = table.Flush()
}

// formatCounts formats counts by key, as "KEY COUNT" separated by spaces.
func formatCounts(counts map[string]int) string {
	if len(counts) == 0 {
		return "none"
	}
	text := ""
	for _, key := range slices.Sorted(maps.Keys(counts)) {
		text += fmt.Sprintf("%s %d ", key, counts[key])
	}
	return text[:len(text)-1]
}

// quantiles sorts the durations in place.
func quantiles(durations []time.Duration) Quantiles {
	if len(durations) == 0 {
		return Quantiles{}
	}
	slices.Sort(durations)
	quantile := func(fraction float64) float64 {
		return float64(durations[min(int(fraction*float64(len(durations))), len(durations)-1)].Microseconds()) / 1000
	}
	return Quantiles{P50: quantile(0.50), P95: quantile(0.95), P99: quantile(0.99)}
}
