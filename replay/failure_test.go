package replay

import (
	"container/heap"
	"testing"
	"time"

	"endivedeck.example/fault"
	"endivedeck.example/fleet"
	"endivedeck.example/settings"
	"endivedeck.example/trace"
)

// newSmallReplay returns a replay of a trace with one engine and the given events.
func newSmallReplay(t *testing.T, length time.Duration, events ...trace.Event) *Replay {
	t.Helper()
	generated, err := trace.Generate("calm", 1)
	if err != nil {
		t.Fatal(err)
	}
	generated.Header.EngineCount = 1
	generated.Header.EntryCount = 1
	generated.Header.LengthMS = length.Milliseconds()
	generated.Events = events
	r, err := New(generated, tested)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func smallQuery(at time.Duration) trace.Event {
	return trace.Event{
		AtMS: at.Milliseconds(), Kind: trace.Query, ID: "q", Customer: "crews", Class: "urgent",
		Prompt: []trace.Segment{{Name: "p", Tokens: 80}}, AnswerTokens: 10,
	}
}

// TestShortTrace replays traces whose length isn't a multiple of bucketTime. One
// shorter than bucketTime ended in a panic.
func TestShortTrace(t *testing.T) {
	for _, c := range []struct {
		length time.Duration
		want   int
	}{{0, 1}, {3 * time.Second, 1}, {7 * time.Second, 2}, {10 * time.Second, 2}} {
		got := newSmallReplay(t, c.length, smallQuery(0)).Run()
		if len(got.Timeline) != c.want || got.Timeline[0].Offered != 1 {
			t.Errorf("%v: got %d intervals, %+v, want %d and 1 query in the first", c.length, len(got.Timeline), got.Timeline, c.want)
		}
	}
}

// TestExpiryOnTheWay lets a query expire between the choice of an engine and its
// arrival there. The entry must not count it as running any more.
func TestExpiryOnTheWay(t *testing.T) {
	r := newSmallReplay(t, 10*time.Second, smallQuery(time.Second))
	accepted := r.contracts["crews"]
	class := accepted.Contract.Classes["urgent"]
	class.WholeAnswer = settings.Duration(networkDelay)
	accepted.Contract.Classes["urgent"] = class
	report := r.Run()
	if got := report.Refused[string(fault.DeadlineExceeded)]; got != 1 {
		t.Fatalf("got refusals %v, want one for the deadline", report.Refused)
	}
	selector := fleet.Selector{Model: r.trace.Header.Model}
	for _, c := range r.dispatchers[0].Fleet.Candidates(r.now, selector, nil) {
		if c.InFlight != 0 || c.PendingTokens != 0 {
			t.Errorf("got %d queries and %d prompt tokens at %s, want none", c.InFlight, c.PendingTokens, c.Name)
		}
	}
}

// TestCrashDuringRoleChange crashes an engine while its role changes: the change is
// canceled, and its end must not be taken as that of the change after it.
func TestCrashDuringRoleChange(t *testing.T) {
	r := newSmallReplay(t, time.Minute)
	r.sendGrants()
	e := r.engines[0]
	changeTime := time.Duration(r.trace.Header.RoleChangeMS) * time.Millisecond
	e.changeRole("prefill")
	r.runFor(grantInterval + changeTime/2)
	e.crash()
	e.rejoin()
	if !e.acceptsRequests() {
		t.Error("got an engine that accepts no requests after its return, want one that does")
	}
	e.changeRole("decode")
	r.runFor(changeTime/2 + grantInterval)
	if e.batch.Role != "both" || !e.changingRole {
		t.Errorf("got role %s, changing %v when the canceled change would have ended, want both and true", e.batch.Role, e.changingRole)
	}
	r.runFor(changeTime)
	if e.batch.Role != "decode" || e.changingRole {
		t.Errorf("got role %s, changing %v after the second change, want decode and false", e.batch.Role, e.changingRole)
	}
}

// runFor runs the events of the given time.
func (r *Replay) runFor(d time.Duration) {
	end := r.now.Add(d)
	for len(r.pending) > 0 && !r.pending[0].at.After(end) {
		e := heap.Pop(&r.pending).(scheduledEvent)
		r.now = e.at
		e.action()
	}
	r.now = end
}

// TestPrefillCount counts the prefill engines after changes that don't end or begin
// with the role prefill.
func TestPrefillCount(t *testing.T) {
	r := newSmallReplay(t, 20*time.Second)
	r.report.RoleDecisions = []RoleChange{
		{Second: 1, From: "both", To: "decode"},
		{Second: 6, From: "both", To: "prefill"},
		{Second: 11, From: "prefill", To: "decode"},
	}
	r.report.finish(r)
	for i, want := range []int{0, 1, 0, 0} {
		if got := r.report.Timeline[i].PrefillEngines; got != want {
			t.Errorf("second %d: got %d prefill engines, want %d", r.report.Timeline[i].Second, got, want)
		}
	}
}
