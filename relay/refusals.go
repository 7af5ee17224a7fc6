package relay

import (
	"net/http"
	"time"

	"endivedeck.example/fault"
	"endivedeck.example/internal/teams/refusal"
	"endivedeck.example/rank"
	"endivedeck.example/routes"
)

// returnCalendar tells refused callers when to come back.
type returnCalendar struct {
	mu       rank.Mutex
	calendar *refusal.Calendar
}

func newReturnCalendar() *returnCalendar {
	return &returnCalendar{mu: rank.New(rank.Admission), calendar: refusal.New()}
}

func (c *returnCalendar) returnAfter(now time.Time, r refusal.Refusal) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calendar.ReturnAfter(now, r)
}

// expect is returnAfter for a caller that isn't refused.
func (c *returnCalendar) expect(now time.Time, r refusal.Refusal) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calendar.Expect(now, r)
}

func (c *returnCalendar) retain(services map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calendar.Retain(services)
}

// planReturn sets when the caller of a request that is refused with err may come back, if
// the caller belongs to a team. A pause that servers have asked for, a quarantine and a
// stop have times of their own.
func (j *job) planReturn(err error) {
	e := fault.FromError(err)
	if j.team == nil || e.Ran != fault.NotRun || j.quarantined || j.response.retryAfter != defaultRetryAfter {
		return
	}
	now := time.Now()
	room := j.choice.Room
	if room <= 0 {
		room = -1
	}
	returnAfter := j.relay.returns.returnAfter
	if j.preview {
		returnAfter = j.relay.returns.expect
	}
	j.response.retryAfter = returnAfter(now, refusal.Refusal{
		Service:  j.service,
		Rank:     j.route.Rank(j.team),
		Room:     room,
		Spacing:  j.choice.Spacing * time.Duration(j.relay.relayCount.Load()),
		Waited:   j.waited + now.Sub(j.start),
		TimeLeft: j.deadline.Sub(now),
	})
}

// returnResult tells how a request of a caller that had come back after a refusal ended,
// for the metrics.
func returnResult(status int) string {
	switch {
	case status == http.StatusOK:
		return "served"
	case impliesNotRun(status):
		return "refused"
	}
	return "failed"
}

// services returns the names of the services of a routing table.
func services(table routes.Table) map[string]bool {
	names := map[string]bool{}
	for _, s := range table.Services {
		names[s.Name] = true
	}
	return names
}
