package relay

import (
	"context"
	"hash/fnv"
	"net/http"
	"strconv"
	"time"

	"endivedeck.example/fault"
	"endivedeck.example/gate"
	"endivedeck.example/placement"
	"endivedeck.example/routes"
	"endivedeck.example/upstream"
)

const (
	minTimeLeft       = 5 * time.Millisecond // a request isn't sent with less time left for its response
	extraSends        = 2                    // sends allowed beyond a route's attempts, for servers that refused the request
	maxHandleBytes    = 64 << 10             // size of the response to a prefill or a KV cache release
	priorityChat      = 1                    // priorities at an engine, where 0 is the highest: chats
	priorityPrefilled = 3                    // prompts whose prefill ran on another server
	priorityTight     = 4                    // prompts that miss the latency objective after a short wait
	priorityDefault   = 5                    // other prompts; the same as sending no priority
	priorityLoose     = 6                    // prompts that can wait for most of the latency objective
	priorityLate      = 8                    // prompts that will miss the latency objective
	unresponsiveAfter = time.Second          // on a timeout, a server that has sent no response for this long goes into backoff

	// Parts of the latency objective that a prompt can wait, below which it goes
	// before others and above which it goes behind them.
	tightSlack = 0.4
	looseSlack = 0.7
)

// job is the handling of one caller's request.
type job struct {
	relay         *Relay
	request       *http.Request
	response      *callerResponse
	info          RequestInfo
	parts         []uint64 // of the prompt that other requests may share
	route         *routes.Route
	team          *routes.Team // of the caller; nil for none
	routesVersion uint64
	body          []byte
	service       string
	start         time.Time
	deadline      time.Time // for the whole response
	ctx           context.Context
	attemptCtx    context.Context // of the latest send
	done          chan error      // receives the result of serve

	tried         map[string]bool // IDs of the servers that the request was sent to
	colocated     bool            // prefill and decode must run on the same server
	clientRetry   bool            // the caller retries a request that was refused
	waited        time.Duration   // about the time since the caller's first attempt, if clientRetry is set
	buffers       bufferShare     // of the latest response
	placed        bool            // the latest attempt has found a server
	sends         int             // attempts so far; a prefill and the send after it count as one
	executions    int             // sends after which the request may have run
	position      streamPosition  // after which the stream resumes
	trial         bool            // the request tries a quarantined part of a prompt
	quarantined   bool            // rejected for a part of its prompt
	errorResponse *errorResponse  // of the last server that reported a failure; nil if none did

	lastEvent       time.Time        // when events of the answer were last forwarded
	longestPause    time.Duration    // between two of these
	timeToFirstByte time.Duration    // from the start of the request; 0 before the first byte
	choice          placement.Choice // the latest
	serverID        string
	endedServerID   string // of the latest server that broke the connection
	endedServers    int    // that broke the connection
	endedAfter      int    // events of the latest one's answer
	prefillServerID string
	prefillTime     time.Duration // how long the prefill took on that server
}

// errorResponse is a response in which a server reported that the request failed.
type errorResponse struct {
	status int
	header http.Header
	body   []byte
}

// Run implements pool.Task.
func (j *job) Run() { j.done <- j.serve() }

// serve sends the request to backend servers until a response has been forwarded
// or no retry is allowed.
func (j *job) serve() error {
	j.buffers.limit = &j.relay.buffers
	j.buffers.hold = j.hold
	defer j.buffers.release()
	j.position = newStreamPosition(j.info.LastEventID)
	j.parts = j.info.sharedParts()
	j.service = j.route.PickService(hashFraction(j.info.ID))
	for {
		err := j.attempt()
		if err == nil || !j.mayRetry(err) {
			return j.finalError(err)
		}
		j.logRetry(err)
	}
}

// hold charges bytes to the caller until the request ends, and reports whether there is
// room for them.
func (j *job) hold(bytes int64) bool { return gate.Hold(j.request.Context(), bytes) }

// hashFraction maps a request ID to a number in [0, 1). Requests spread evenly over
// a route's services, and the same ID always selects the same service.
func hashFraction(id string) float64 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // never returns an error
	return float64(h.Sum32()) / (1 << 32)
}

// mayRetry reports whether the request may be sent again after err. If so, the
// retry is counted against the retry budget.
func (j *job) mayRetry(err error) bool {
	e := fault.FromError(err)
	switch {
	case j.response.aborted, j.ctx.Err() != nil, time.Until(j.deadline) < minTimeLeft:
		return false
	case !j.placed: // no server was available
		return false
	case j.sends >= j.route.MaxAttempts+extraSends:
		return false
	case j.quarantined, j.repeatsServerEnd(time.Now()):
		return false
	case e.Ran != fault.NotRun && (!j.route.Retryable() || j.executions >= j.route.MaxAttempts):
		return false
	case j.errorResponse != nil && j.errorResponse.status < http.StatusInternalServerError:
		return false // the request is invalid; another server would reject it too
	}
	return j.countRetry()
}

// countRetry counts a retry against the budget if that allows it.
func (j *job) countRetry() bool {
	return j.relay.retryBudget.TryRetry(time.Now(), j.service, int(j.relay.relayCount.Load()))
}

// finalError returns the error that is reported to the caller. If a server sent an
// error response, that is forwarded instead, unless the response to the caller has
// begun. A request that may have run on one server is never reported as not run,
// even if the last server refused it, or if a server used a status of that meaning
// without refusing it.
func (j *job) finalError(err error) error {
	e := fault.FromError(err)
	if e != nil && j.errorResponse != nil && !j.response.headerSent {
		if impliesNotRun(j.errorResponse.status) && !j.route.Retryable() {
			return fault.New(fault.Broken, fault.HasRun, "%s", e.Message)
		}
		return j.respond(j.errorResponse.status, j.errorResponse.header, j.errorResponse.body)
	}
	if e != nil && e.Ran == fault.NotRun && j.executions > 0 {
		return fault.New(fault.Broken, fault.MaybeRun, "%s", e.Message)
	}
	if left := j.relay.placement.PauseLeft(time.Now(), j.service); e != nil && left > 0 {
		j.response.retryAfter = left
	}
	return err
}

// respond writes a complete response to the caller.
func (j *job) respond(status int, header http.Header, body []byte) error {
	j.timeToFirstByte = time.Since(j.start)
	header.Set("Content-Length", strconv.Itoa(len(body)))
	j.response.sendHeader(j.relay.dialect, status, header)
	if err := j.response.write(body); err != nil {
		j.response.aborted = true
		return fault.New(fault.Canceled, fault.HasRun, "writing to the caller failed: %v", err)
	}
	return nil
}

// attempt chooses a server and sends the request once. It returns nil if the
// response was forwarded to the caller.
func (j *job) attempt() error {
	j.placed = false
	if !j.response.headerSent { // otherwise, not going on would cut the stream for certain
		if err := j.checkStop(); err != nil {
			return err
		}
	}
	now := time.Now()
	if err := j.checkParts(now); err != nil {
		return err
	}
	request := j.placementRequest(now)
	choice, err := j.relay.placement.Choose(now, request)
	j.choice = choice
	if err != nil {
		return err
	}
	j.placed = true
	if j.sends == 0 {
		j.relay.retryBudget.CountRequest(now, j.service)
	}
	j.sends++
	opts := SendOptions{TimeLeft: time.Until(j.deadline), LastEventID: j.position.lastID, PrefixSource: choice.PrefixSource}
	if choice.Prefiller != nil {
		err := j.prefill(choice, &opts)
		if err != nil {
			choice.Runner.End(time.Now(), placement.Outcome{Result: placement.Canceled})
			return err
		}
		if choice.Runner, err = j.replaceRunner(request, choice); err != nil {
			j.releaseKV(opts)
			return err
		}
		if err := j.checkParts(time.Now()); err != nil {
			choice.Runner.End(time.Now(), placement.Outcome{Result: placement.Canceled})
			j.releaseKV(opts)
			return err
		}
	}
	return j.execute(choice, opts)
}

// placementRequest returns the request as package placement needs it.
func (j *job) placementRequest(now time.Time) placement.Request {
	team := ""
	if j.team != nil {
		team = j.team.Name
	}
	return placement.Request{
		Team:           team,
		Rank:           j.route.Rank(j.team),
		PauseObjective: j.route.PauseObjective,
		Service:        j.service,
		Domain:         j.relay.host.Process.FailureDomain,
		Prompt:         j.info.Prompt,
		PromptTokens:   j.info.PromptTokens,
		MaxTokens:      j.info.MaxTokens,
		Class:          j.route.Name,
		Excluded:       j.tried,
		SingleEngine:   j.colocated,
		ObjectiveLeft:  j.objectiveLeft(now),
		TimeLeft:       j.deadline.Sub(now),
		SendCost:       j.relay.link.sendCost(now, len(j.body)+requestBytes),
		MustPlace:      j.sends > 0 || j.route.Kind != routes.Stream,
	}
}

// replaceRunner returns the runner of choice, or another one if that has left, started
// to drain or asked for a pause during the prefill, which may take seconds.
func (j *job) replaceRunner(request placement.Request, choice placement.Choice) (*placement.Ticket, error) {
	now := time.Now()
	if j.relay.placement.Accepts(now, choice.Runner.Server.ID) {
		return choice.Runner, nil
	}
	choice.Runner.End(now, placement.Outcome{Result: placement.Canceled})
	return j.relay.placement.ChooseDecoder(now, request, choice.Prefiller.Server)
}

// objectiveLeft returns what is left of the route's latency objective. For a
// client retry it is 0, since that has missed the objective already.
func (j *job) objectiveLeft(now time.Time) time.Duration {
	if j.clientRetry {
		return 0
	}
	return j.route.LatencyObjective - now.Sub(j.start)
}

// priority returns the priority of the request at the engine, or -1 for a request
// without a prompt. Chats, with their long responses, go before long prompts: if a
// chat is displaced, the tokens that it has generated need another prefill. A
// prompt whose prefill ran on another server needs little more work and goes
// before the remaining prompts.
func (j *job) priority(opts SendOptions, choice placement.Choice) int {
	switch {
	case len(j.info.Prompt) == 0:
		return -1
	case j.info.PromptTokens <= placement.MaxChatTokens:
		return priorityChat
	case opts.KVHandle != "":
		return priorityPrefilled
	case choice.Late:
		return priorityLate
	case choice.Slack < time.Duration(tightSlack*float64(j.route.LatencyObjective)):
		return priorityTight
	case choice.Slack > time.Duration(looseSlack*float64(j.route.LatencyObjective)):
		return priorityLoose
	}
	return priorityDefault
}

// prefill runs the prefill of the prompt on the server choice.Prefiller and records
// in opts where the KV cache is. It doesn't count as running the request, so its
// errors have fault.NotRun.
func (j *job) prefill(choice placement.Choice, opts *SendOptions) error {
	ticket := choice.Prefiller
	j.prefillServerID = ticket.Server.ID
	j.attemptCtx = j.ctx
	sentAt := time.Now()
	body, err := j.sendPrefill(choice, *opts)
	elapsed := time.Since(sentAt)
	if err != nil {
		j.colocated = true
		j.tried[ticket.Server.ID] = true
		ticket.End(time.Now(), placement.Outcome{Result: j.failureResult(ticket, err)})
		j.recordServerEnd(ticket, err, 0)
		return fault.New(fault.KindOf(err), fault.NotRun, "%s", fault.FromError(err).Message)
	}
	j.prefillTime = elapsed
	ticket.ResponseBegun(time.Now(), elapsed)
	ticket.End(time.Now(), placement.Outcome{Result: placement.Succeeded, FirstByte: elapsed})
	handle, err := j.relay.dialect.ParseKVHandle(body)
	if err != nil {
		j.colocated = true
		return err
	}
	opts.PrefixSource = ""
	opts.KVSource = ticket.Server.Address
	opts.KVHandle = handle
	return nil
}

func (j *job) sendPrefill(choice placement.Choice, opts SendOptions) ([]byte, error) {
	ticket := choice.Prefiller
	opts.Server = ticket.Server
	opts.PrefillOnly = true
	resp, err := j.send(j.ctx, opts, choice)
	if err != nil {
		return nil, err
	}
	defer resp.Close()
	if j.relay.dialect.Classify(resp.Status, resp.Header) != Succeeded {
		return nil, fault.New(fault.Overloaded, fault.NotRun, "backend server %s did not run the prefill: status %d", ticket.Server.ID, resp.Status)
	}
	body, err := readAll(resp, maxHandleBytes)
	if err != nil {
		return nil, fault.New(fault.Broken, fault.MaybeRun, "reading the response of backend server %s to a prefill failed: %v", ticket.Server.ID, err)
	}
	return body, nil
}

// execute sends the request to the server of choice.Runner and forwards the response to
// the caller.
func (j *job) execute(choice placement.Choice, opts SendOptions) error {
	opts.TimeLeft = time.Until(j.deadline)
	if opts.TimeLeft < minTimeLeft || j.ctx.Err() != nil {
		j.serverID = choice.Runner.Server.ID
		choice.Runner.End(time.Now(), placement.Outcome{Result: placement.Canceled})
		j.releaseKV(opts)
		return fault.New(fault.DeadlineExceeded, fault.NotRun, "request canceled or too little time left for a response: %v", opts.TimeLeft)
	}
	return j.follow(j.newExchange(choice, opts))
}

// follow waits for the response of an exchange, which it begins unless it runs already,
// and forwards it to the caller. If the server is silent for too long and another one
// accepts the request, it goes on with that one.
func (j *job) follow(x *exchange) error {
	defer x.cancel()
	ticket := x.ticket
	j.choice, j.serverID, j.attemptCtx = x.choice, ticket.Server.ID, x.ctx
	j.tried[ticket.Server.ID] = true
	start := newStallTimer(j, j.executions+1, j.startWait(), x.cancel)
	x.wait()
	next := start.stop(x.err != nil)
	switch {
	case next != nil && j.ctx.Err() != nil: // says nothing about the server
		next.drop(placement.Canceled)
		next = nil
	case next != nil && x.ctx.Err() != nil: // given up for the other server
		x.drop(placement.NoResponse)
		j.executions++
		return j.follow(next.exchange)
	}
	if x.err != nil {
		ticket.End(time.Now(), placement.Outcome{Result: j.failureResult(ticket, x.err)})
		if fault.FromError(x.err).Ran != fault.NotRun {
			j.countPlainRun(x)
			j.executions++
			j.recordServerEnd(ticket, x.err, 0)
		} else {
			j.releaseKV(x.opts)
		}
		if next != nil {
			return j.follow(next.exchange)
		}
		return x.err
	}
	defer x.resp.Close()
	class := x.class()
	if class == NotRun {
		// Close doesn't keep a connection whose response wasn't read: the server may
		// write the refusal again in place of a later response.
		ticket.End(time.Now(), placement.Outcome{Result: placement.Refused})
		j.colocated = j.colocated || x.opts.KVHandle != ""
		return fault.New(fault.Overloaded, fault.NotRun, "backend server %s refused the request: status %d", ticket.Server.ID, x.resp.Status)
	}
	j.countPlainRun(x)
	j.executions++
	if j.response.headerSent && class != Succeeded {
		ticket.End(time.Now(), placement.Outcome{Result: placement.Failed})
		return fault.New(fault.Broken, fault.HasRun, "backend server %s did not resume the stream: status %d", ticket.Server.ID, x.resp.Status)
	}
	f := &responseForwarder{job: j, ticket: ticket, resp: x.resp, class: class, sentAt: x.sentAt, cancel: x.cancel}
	if j.route.Kind == routes.Stream && class == Succeeded {
		return f.forwardStream()
	}
	return f.forwardBuffered()
}

// send sends the request to opts.Server. It may run beside the job while that waits.
func (j *job) send(ctx context.Context, opts SendOptions, choice placement.Choice) (*upstream.Response, error) {
	opts.Priority = j.priority(opts, choice)
	if j.team != nil {
		opts.Team = j.team.Name
	}
	limit := 0
	if s := j.relay.routeView.Service(j.service); s != nil && s.MaxConns > 0 {
		limit = max(s.MaxConns/int(j.relay.relayCount.Load()+1), 1) // one share is kept free for a relay that joins
	}
	j.relay.link.add(time.Now(), len(j.body)+requestBytes)
	resp, err := j.relay.upstream.Send(ctx, opts.Server.Address, upstream.Request{
		Method:   j.request.Method,
		Host:     j.request.Host,
		Path:     j.request.RequestURI,
		Header:   j.relay.dialect.RequestHeader(&j.info, opts),
		Body:     j.body,
		MaxConns: limit,
		Match:    func(header http.Header) upstream.Match { return j.relay.dialect.Match(&j.info, header) },
	})
	if err == nil {
		j.relay.applyNotice(opts.Server, resp)
	}
	return resp, err
}

// failureResult returns the result to record for a server after a failed send. If
// the request reached its deadline, but the server responds to others, the result
// says nothing about the server.
func (j *job) failureResult(ticket *placement.Ticket, err error) placement.Result {
	switch {
	case fault.KindOf(err) == fault.DeadlineExceeded && ticket.SilentFor(time.Now()) < unresponsiveAfter:
		return placement.Canceled
	case fault.KindOf(err) == fault.Overloaded:
		return placement.Refused
	}
	return placement.NoResponse
}
