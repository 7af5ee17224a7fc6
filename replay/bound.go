package replay

import (
	"slices"
	"time"

	"endivedeck.example/contract"
	"endivedeck.example/trace"
)

// boundWindows are the lengths by which Bound divides a trace.
var boundWindows = []time.Duration{
	5 * time.Second, 10 * time.Second, 20 * time.Second, 40 * time.Second, 80 * time.Second,
}

// item is a query as Bound sees it.
type item struct {
	at   time.Duration
	work time.Duration // of an engine, at the least
}

// Bound returns a number of good answers that no decider can exceed, not even
// one that knows the trace.
//
// It relaxes what is hard: every prompt finds all of its segments but the last
// cached, as if each engine held every earlier prompt; engines share work
// perfectly and roles don't matter. A query is good only if its prompt is
// worked through within its limit on the first token, so the queries of a
// window compete for the engines' time from the window's start to its end plus
// the longest such limit. The cheapest queries that fit into that time are at
// least as many as any decider can serve. Windows of one length don't overlap,
// so their sum is a bound. A second bound is made alike of the answers: a token
// costs at least a full step's time divided by the slots, and an answer must be
// whole within its limit. And a class can't have more good answers than its
// contract lets in: its burst, and its rate over the trace. The least over the
// bounds and all lengths is returned.
func Bound(t *trace.Trace) int {
	classes := map[string]contract.Class{}
	longest, longestWhole := time.Duration(0), time.Duration(0)
	for _, c := range t.Header.Contracts {
		for name, class := range c.Classes {
			classes[c.Customer+"/"+name] = class
			longest = max(longest, class.FirstToken.Std())
			longestWhole = max(longestWhole, class.WholeAnswer.Std())
		}
	}
	var prompts, answers []item
	allowed := map[string]int{}
	for i := range t.Events {
		e := &t.Events[i]
		class, ok := classes[e.Customer+"/"+e.Class]
		if e.Kind != trace.Query || !ok {
			continue
		}
		prompt, alone := leastWork(t, e)
		if class.FirstToken > 0 && prompt > class.FirstToken.Std() || alone > class.WholeAnswer.Std() {
			continue // not even an engine of its own would do
		}
		key := e.Customer + "/" + e.Class
		if allowed[key]++; allowed[key] > letIn(t, class) {
			continue
		}
		prompts = append(prompts, item{at: e.Time(), work: prompt})
		answers = append(answers, item{at: e.Time(), work: time.Duration(e.Answer) * leastToken(t)})
	}
	best := len(prompts)
	for _, window := range boundWindows {
		best = min(best, boundBy(t, prompts, window, longest))
		best = min(best, boundBy(t, answers, window, longestWhole))
	}
	return best
}

// leastWork returns the least engine time for a query's prompt, and the least
// time for its whole answer on an engine of its own.
func leastWork(t *trace.Trace, e *trace.Event) (prompt, alone time.Duration) {
	shape := t.Header.Shape
	last := e.Prompt[len(e.Prompt)-1].Tokens
	prompt = time.Duration(float64(last) / shape.PrefillRate * float64(time.Second))
	return prompt, prompt + time.Duration(e.Answer)*shape.StepTime
}

// letIn returns how many requests a class's contract lets in over the trace.
func letIn(t *trace.Trace, class contract.Class) int {
	return class.Burst + int(class.Rate*float64(t.Header.Length)/1000)
}

// leastToken returns the least engine time for one token of an answer.
func leastToken(t *trace.Trace) time.Duration {
	shape := t.Header.Shape
	step := shape.StepTime + time.Duration(shape.Slots-1)*shape.SequenceTime
	return step / time.Duration(shape.Slots)
}

func boundBy(t *trace.Trace, items []item, window, longest time.Duration) int {
	sum := 0
	for start := time.Duration(0); start < time.Duration(t.Header.Length)*time.Millisecond; start += window {
		var works []time.Duration
		for _, i := range items {
			if i.at >= start && i.at < start+window {
				works = append(works, i.work)
			}
		}
		slices.Sort(works)
		left := engineTime(t, start, start+window+longest)
		for _, work := range works {
			if work > left {
				break
			}
			left -= work
			sum++
		}
	}
	return sum
}

// engineTime returns the time of all engines between two times, without those
// that are gone.
func engineTime(t *trace.Trace, from, to time.Duration) time.Duration {
	sum := time.Duration(t.Header.Engines) * (to - from)
	gone := map[int]time.Duration{}
	lose := func(engine int, until time.Duration) {
		begun, ok := gone[engine]
		if !ok {
			return
		}
		delete(gone, engine)
		sum -= max(0, min(until, to)-max(begun, from))
	}
	for i := range t.Events {
		e := &t.Events[i]
		switch e.Kind {
		case trace.Crash:
			gone[e.Engine] = e.Time()
		case trace.Return:
			lose(e.Engine, e.Time())
		}
	}
	for engine := range gone {
		lose(engine, to)
	}
	return sum
}
