package relay

import (
	"context"
	"hash/fnv"
	"net/http"
	"strconv"
	"time"

	"endivedeck.example/fault"
	"endivedeck.example/placement"
	"endivedeck.example/routes"
	"endivedeck.example/upstream"
)

const (
	minTimeLeft       = 5 * time.Millisecond // a request isn't sent with less time for its answer
	extraSends        = 2                    // beyond a route's attempts, after answers that nothing ran
	maxHandleBytes    = 64 << 10             // bytes of the answer to a prompt's reading
	priorityChat      = 1                    // priorities at an engine, where 0 goes first: of chats,
	priorityPrefilled = 3                    // of prompts that were read elsewhere,
	priorityDefault   = 5                    // of the rest, as if nothing were said,
	priorityLate      = 8                    // and of prompts whose answers can't be in time
	lostAfter         = time.Second          // without any answer, after which a server counts as lost
	startDelayFactor  = 3                    // how much longer than expected a stream may take to begin, besides stallTime; late prompts are passed by others
)

// job is one caller's request.
type job struct {
	relay         *Relay
	request       *http.Request
	response      *callerResponse
	info          Ask
	route         *routes.Route
	routesVersion uint64
	body          []byte
	service       string
	start         time.Time
	deadline      time.Time // when the caller needs the whole answer
	ctx           context.Context
	done          chan error

	tried         map[string]bool // servers that had the request
	colocated     bool            // no other server reads the prompt
	clientRetry   bool            // the caller was refused before
	sends         int
	executions    int    // sends that may have run
	lastEventID   string // the event after which a stream goes on
	errorResponse *errorResponse

	timeToFirstByte time.Duration    // to the first byte of the answer
	choice          placement.Choice // the last
	serverID        string
	prefillServerID string
	prefillTime     time.Duration // that the reader took
}

// errorResponse is an answer by which a server told that the request failed.
type errorResponse struct {
	status int
	header http.Header
	body   []byte
}

// Do implements pool.Task.
func (j *job) Do() { j.done <- j.serve() }

// serve sends the request to backend servers until one has answered it or it
// may not be sent again.
func (j *job) serve() error {
	j.lastEventID = j.info.Last
	j.service = j.route.Pick(hashFraction(j.info.ID))
	for {
		err := j.attempt()
		if err == nil || !j.mayRetry(err) {
			return j.finalError(err)
		}
		j.logRetry(err)
	}
}

// hashFraction spreads requests over a route's services, each always alike.
func hashFraction(id string) float64 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // it never fails
	return float64(h.Sum32()) / (1 << 32)
}

// mayRetry reports whether the request may be sent once more after err.
func (j *job) mayRetry(err error) bool {
	e := fault.From(err)
	switch {
	case j.response.aborted, j.ctx.Err() != nil, time.Until(j.deadline) < minTimeLeft:
		return false
	case j.sends == 0: // there was nobody to send it to
		return false
	case j.sends >= j.route.Attempts+extraSends:
		return false
	case e.Ran != fault.No && (!j.route.Repeatable() || j.executions >= j.route.Attempts):
		return false
	case j.errorResponse != nil && j.errorResponse.status < http.StatusInternalServerError:
		return false // another server would find the same fault in the request
	}
	return j.relay.retryBudget.Extra(time.Now(), j.service, int(j.relay.relayCount.Load()))
}

// finalError returns the error that the caller is told, after a server's own answer
// that the request failed was passed on if there is one. A request that has run
// somewhere isn't called not run because its last send wasn't.
func (j *job) finalError(err error) error {
	e := fault.From(err)
	if e != nil && j.errorResponse != nil && !j.response.headerSent {
		return j.respond(j.errorResponse.status, j.errorResponse.header, j.errorResponse.body)
	}
	if e != nil && e.Ran == fault.No && j.executions > 0 {
		return fault.New(fault.Broken, fault.Unknown, "%s", e.Text)
	}
	return err
}

// respond passes a whole answer on to the caller.
func (j *job) respond(status int, header http.Header, body []byte) error {
	j.timeToFirstByte = time.Since(j.start)
	header.Set("Content-Length", strconv.Itoa(len(body)))
	j.response.sendHeader(j.relay.dialect, status, header)
	if err := j.response.write(body); err != nil {
		j.response.aborted = true
		return fault.New(fault.Canceled, fault.Yes, "the caller is gone: %v", err)
	}
	return nil
}

// attempt sends the request once. It returns nil when an answer was given to
// the caller.
func (j *job) attempt() error {
	now := time.Now()
	choice, err := j.relay.placement.Choose(now, placement.Ask{
		Service: j.service,
		Domain:  j.relay.host.Process.FailureDomain,
		Prompt:  j.info.Prompt,
		Tokens:  j.info.Tokens,
		Answer:  j.info.Answer,
		Class:   j.route.Name,
		Tried:   j.tried,
		Direct:  j.colocated,
		Target:  j.remainingTarget(now),
		Left:    j.deadline.Sub(now),
		Firm:    j.sends > 0 || j.route.Kind != routes.Stream,
	})
	if err != nil {
		return err
	}
	j.choice = choice
	if j.sends == 0 {
		j.relay.retryBudget.First(now, j.service)
	}
	j.sends++
	send := Send{Left: time.Until(j.deadline), Last: j.lastEventID, Fetch: choice.Source}
	if choice.Reader != nil {
		err := j.prefill(choice, &send)
		if err != nil {
			choice.Runner.End(time.Now(), placement.Outcome{Result: placement.Withdrew})
			return err
		}
	}
	return j.execute(choice.Runner, send)
}

// remainingTarget returns what is left of the latency objective.
func (j *job) remainingTarget(now time.Time) time.Duration {
	if j.clientRetry {
		return 0
	}
	return j.route.Target - now.Sub(j.start)
}

// priority puts answers that take long before long prompts: what was generated
// for them already would have to be read again.
// A prompt that was read elsewhere needs little more, and goes before those
// that weren't.
func (j *job) priority(send Send) int {
	switch {
	case len(j.info.Prompt) == 0:
		return -1
	case j.info.Tokens <= placement.ChatTokens:
		return priorityChat
	case send.Handle != "":
		return priorityPrefilled
	case j.choice.Late:
		return priorityLate
	}
	return priorityDefault
}

// prefill has a server read the prompt, and notes in send where its KV cache is.
// Nothing has run by that.
func (j *job) prefill(choice placement.Choice, send *Send) error {
	ticket := choice.Reader
	j.prefillServerID = ticket.Server.ID
	sentAt := time.Now()
	body, err := j.sendPrefill(ticket, *send)
	took := time.Since(sentAt)
	if err != nil {
		j.colocated = true
		j.tried[ticket.Server.ID] = true
		ticket.End(time.Now(), placement.Outcome{Result: j.failureResult(ticket, err)})
		return fault.New(fault.Of(err), fault.No, "%s", fault.From(err).Text)
	}
	j.prefillTime = took
	ticket.Begun(time.Now(), took)
	ticket.End(time.Now(), placement.Outcome{Result: placement.Good, First: took})
	handle, err := j.relay.dialect.Handle(body)
	if err != nil {
		j.colocated = true
		return err
	}
	send.Fetch = ""
	send.Source = ticket.Server.Address
	send.Handle = handle
	return nil
}

func (j *job) sendPrefill(ticket *placement.Ticket, send Send) ([]byte, error) {
	send.Server = ticket.Server
	send.Read = true
	answer, err := j.send(j.ctx, send)
	if err != nil {
		return nil, err
	}
	defer answer.Close()
	if j.relay.dialect.Judge(answer.Status, answer.Header) != Done {
		return nil, fault.New(fault.Overloaded, fault.No, "%s doesn't read the prompt: status %d", ticket.Server.ID, answer.Status)
	}
	return readAll(answer, maxHandleBytes)
}

// execute has a server execute the request and carries its answer to the caller.
func (j *job) execute(ticket *placement.Ticket, send Send) error {
	j.serverID = ticket.Server.ID
	j.tried[ticket.Server.ID] = true
	send.Server = ticket.Server
	send.Left = time.Until(j.deadline)
	if send.Left < minTimeLeft || j.ctx.Err() != nil {
		ticket.End(time.Now(), placement.Outcome{Result: placement.Withdrew})
		j.releaseKV(send)
		return fault.New(fault.Deadline, fault.No, "no time was left for an answer")
	}
	ctx, cancel := context.WithCancel(j.ctx)
	defer cancel()
	var startTimer *time.Timer
	if j.route.Kind == routes.Stream && j.route.Repeatable() {
		startTimer = time.AfterFunc(streamStallTimeout+startDelayFactor*j.choice.Expect, cancel)
	}
	sent := time.Now()
	answer, err := j.send(ctx, send)
	if startTimer != nil {
		startTimer.Stop()
	}
	if err != nil {
		ticket.End(time.Now(), placement.Outcome{Result: j.failureResult(ticket, err)})
		if fault.From(err).Ran != fault.No {
			j.executions++
		}
		return err
	}
	defer answer.Close()
	verdict := j.relay.dialect.Judge(answer.Status, answer.Header)
	if verdict == NotRun {
		ticket.End(time.Now(), placement.Outcome{Result: placement.Busy})
		j.colocated = j.colocated || send.Handle != ""
		return fault.New(fault.Overloaded, fault.No, "%s took no work: status %d", ticket.Server.ID, answer.Status)
	}
	j.executions++
	if j.response.headerSent && verdict != Done {
		ticket.End(time.Now(), placement.Outcome{Result: placement.Failed})
		return fault.New(fault.Broken, fault.Yes, "%s doesn't go on with the stream: status %d", ticket.Server.ID, answer.Status)
	}
	f := &responseForwarder{job: j, ticket: ticket, answer: answer, verdict: verdict, sentAt: sent, cancel: cancel}
	if j.route.Kind == routes.Stream && verdict == Done {
		return f.forwardStream()
	}
	return f.forwardWhole()
}

func (j *job) send(ctx context.Context, send Send) (*upstream.Answer, error) {
	send.Priority = j.priority(send)
	limit := 0
	if s := j.relay.routeView.Service(j.service); s != nil && s.Connections > 0 {
		limit = max(s.Connections/int(j.relay.relayCount.Load()+1), 1) // one part is left for relays that come
	}
	return j.relay.upstream.Send(ctx, send.Server.Address, upstream.Request{
		Method: j.request.Method,
		Host:   j.request.Host,
		Path:   j.request.RequestURI,
		Header: j.relay.dialect.Header(&j.info, send),
		Body:   j.body,
		Limit:  limit,
		Mine:   func(header http.Header) bool { return j.relay.dialect.Mine(&j.info, header) },
	})
}

// failureResult tells what a failed send says of its server. One that answers
// others isn't lost because this request's time was over.
func (j *job) failureResult(ticket *placement.Ticket, err error) placement.Result {
	switch {
	case fault.Of(err) == fault.Deadline && ticket.Silent(time.Now()) < lostAfter:
		return placement.Withdrew
	case fault.Of(err) == fault.Overloaded:
		return placement.Busy
	}
	return placement.Lost
}
