package replay

import (
	"slices"
	"time"

	"endivedeck.example/contract"
	"endivedeck.example/trace"
)

// boundWindows are the lengths of the windows into which a trace is divided to
// compute its bound.
var boundWindows = []time.Duration{
	5 * time.Second, 10 * time.Second, 20 * time.Second, 40 * time.Second, 80 * time.Second,
}

// queryWork is the least work for the prompt or the answer of one query.
type queryWork struct {
	at         time.Duration // arrival, since the trace's start
	engineTime time.Duration // least time of one engine
}

// UpperBound returns an upper bound of the number of good answers: those within
// the latency limits of their contracts. No policy exceeds it, not even one that
// knows the trace in advance.
//
// UpperBound solves a relaxed problem: all segments of a prompt but the last are
// cached on every engine, work divides evenly among the engines, and any engine
// runs any work whatever its role. It returns the minimum of these bounds:
//
//   - By prompts: an answer is good only if its prompt is prefilled within the
//     limit for the first token. So the queries that arrive in a window compete
//     for the engines' time from the window's start to its end plus the longest
//     such limit. Served cheapest first, the number of queries that fit is at
//     least what any policy can serve. Windows of one length don't overlap, so
//     the sum over them is a bound. It is computed for each of boundWindows.
//   - By answers: the same with the engine time for decoding and the longest
//     limit for the whole answer. A token costs at least the duration of a step
//     with all slots in use, divided by the slots.
//   - By admission: a class can't have more good answers than requests that its
//     contract admits, which are its burst and its rate times the length of the
//     trace. Queries that would miss their limits even on an idle engine don't
//     count.
func UpperBound(t *trace.Trace) int {
	classes := map[string]contract.Class{}
	maxFirstToken, maxWholeAnswer := time.Duration(0), time.Duration(0)
	for _, c := range t.Header.Contracts {
		for name, class := range c.Classes {
			classes[c.Customer+"/"+name] = class
			maxFirstToken = max(maxFirstToken, class.FirstToken.Std())
			maxWholeAnswer = max(maxWholeAnswer, class.WholeAnswer.Std())
		}
	}
	var promptWork, answerWork []queryWork
	offered := map[string]int{}
	for i := range t.Events {
		e := &t.Events[i]
		class, ok := classes[e.Customer+"/"+e.Class]
		if e.Kind != trace.Query || !ok {
			continue
		}
		promptTime, latency := minWork(t, e)
		if class.FirstToken > 0 && promptTime > class.FirstToken.Std() || latency > class.WholeAnswer.Std() {
			continue // misses its limits even on an idle engine
		}
		key := e.Customer + "/" + e.Class
		if offered[key]++; offered[key] > admissionLimit(t, class) {
			continue
		}
		promptWork = append(promptWork, queryWork{at: e.SinceStart(), engineTime: promptTime})
		answerWork = append(answerWork, queryWork{at: e.SinceStart(), engineTime: time.Duration(e.AnswerTokens) * minTokenTime(t)})
	}
	bound := len(promptWork)
	for _, window := range boundWindows {
		bound = min(bound, windowedBound(t, promptWork, window, maxFirstToken))
		bound = min(bound, windowedBound(t, answerWork, window, maxWholeAnswer))
	}
	return bound
}

// minWork returns the least engine time for a query's prompt, and the least
// latency of its whole answer, which is that on an idle engine.
func minWork(t *trace.Trace, e *trace.Event) (promptTime, latency time.Duration) {
	spec := t.Header.EngineSpec
	uncachedTokens := e.Prompt[len(e.Prompt)-1].Tokens
	promptTime = time.Duration(float64(uncachedTokens) / spec.PrefillRate * float64(time.Second))
	return promptTime, promptTime + time.Duration(e.AnswerTokens)*spec.StepTime
}

// admissionLimit returns the maximum number of requests of a class that its
// contract admits over the trace.
func admissionLimit(t *trace.Trace, class contract.Class) int {
	return class.Burst + int(class.Rate*float64(t.Header.LengthMS)/1000)
}

// minTokenTime returns the least engine time per answer token, which is reached
// with all slots in use.
func minTokenTime(t *trace.Trace) time.Duration {
	spec := t.Header.EngineSpec
	step := spec.StepTime + time.Duration(spec.Slots-1)*spec.SequenceTime
	return step / time.Duration(spec.Slots)
}

// windowedBound returns the sum over all windows of the number of queries, taken
// cheapest first, whose work fits into the engine time available from the
// window's start until limit after its end.
func windowedBound(t *trace.Trace, work []queryWork, window, limit time.Duration) int {
	count := 0
	for start := time.Duration(0); start < time.Duration(t.Header.LengthMS)*time.Millisecond; start += window {
		var engineTimes []time.Duration
		for _, query := range work {
			if query.at >= start && query.at < start+window {
				engineTimes = append(engineTimes, query.engineTime)
			}
		}
		slices.Sort(engineTimes)
		available := availableTime(t, start, start+window+limit)
		for _, engineTime := range engineTimes {
			if engineTime > available {
				break
			}
			available -= engineTime
			count++
		}
	}
	return count
}

// availableTime returns the sum of the engines' time between start and end,
// without the time between a crash and the return of the engine.
func availableTime(t *trace.Trace, start, end time.Duration) time.Duration {
	total := time.Duration(t.Header.EngineCount) * (end - start)
	downSince := map[int]time.Duration{}
	subtractOutage := func(engine int, until time.Duration) {
		downAt, ok := downSince[engine]
		if !ok {
			return
		}
		delete(downSince, engine)
		total -= max(0, min(until, end)-max(downAt, start))
	}
	for i := range t.Events {
		e := &t.Events[i]
		switch e.Kind {
		case trace.Crash:
			downSince[e.EngineIndex] = e.SinceStart()
		case trace.Return:
			subtractOutage(e.EngineIndex, e.SinceStart())
		}
	}
	for engine := range downSince {
		subtractOutage(engine, end)
	}
	return total
}
