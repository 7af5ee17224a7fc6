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
	leastLeft  = 5 * time.Millisecond // a request isn't sent with less time for its answer
	spareSends = 2                    // beyond a route's attempts, after answers that nothing ran
	handleMost = 64 << 10             // bytes of the answer to a prompt's reading
	urgent     = 1                    // priorities at an engine, where 0 goes first: of chats,
	handed     = 3                    // of prompts that were read elsewhere,
	ordinary   = 5                    // of the rest, as if nothing were said,
	overdue    = 8                    // and of prompts whose answers can't be in time
	silentTime = time.Second          // without any answer, after which a server counts as lost
	lateTimes  = 3                    // how much longer than expected a stream may take to begin, besides stallTime; late prompts are passed by others
)

// job is one caller's request.
type job struct {
	relay   *Relay
	request *http.Request
	out     *answerer
	ask     RequestInfo
	route   *routes.Route
	version uint64
	body    []byte
	service string
	start   time.Time
	until   time.Time // when the caller needs the whole answer
	ctx     context.Context
	done    chan error

	tried    map[string]bool // servers that had the request
	direct   bool            // no other server reads the prompt
	cameBack bool            // the caller was refused before
	sends    int
	runs     int    // sends that may have run
	last     string // the event after which a stream goes on
	failed   *failedAnswer

	first  time.Duration    // to the first byte of the answer
	choice placement.Choice // the last
	server string
	reader string
	read   time.Duration // that the reader took
}

// failedAnswer is an answer by which a server told that the request failed.
type failedAnswer struct {
	status int
	header http.Header
	body   []byte
}

// Do implements pool.Task.
func (j *job) Do() { j.done <- j.serve() }

// serve sends the request to backend servers until one has answered it or it
// may not be sent again.
func (j *job) serve() error {
	j.last = j.ask.LastEventID
	j.service = j.route.PickService(draw(j.ask.ID))
	for {
		err := j.attempt()
		if err == nil || !j.mayRepeat(err) {
			return j.final(err)
		}
		j.noteAgain(err)
	}
}

// draw spreads requests over a route's services, each always alike.
func draw(id string) float64 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // it never fails
	return float64(h.Sum32()) / (1 << 32)
}

// mayRepeat reports whether the request may be sent once more after err.
func (j *job) mayRepeat(err error) bool {
	e := fault.From(err)
	switch {
	case j.out.broken, j.ctx.Err() != nil, time.Until(j.until) < leastLeft:
		return false
	case j.sends == 0: // there was nobody to send it to
		return false
	case j.sends >= j.route.MaxAttempts+spareSends:
		return false
	case e.Ran != fault.No && (!j.route.Retryable() || j.runs >= j.route.MaxAttempts):
		return false
	case j.failed != nil && j.failed.status < http.StatusInternalServerError:
		return false // another server would find the same fault in the request
	}
	return j.relay.budget.TryRetry(time.Now(), j.service, int(j.relay.relays.Load()))
}

// final returns the error that the caller is told, after a server's own answer
// that the request failed was passed on if there is one. A request that has run
// somewhere isn't called not run because its last send wasn't.
func (j *job) final(err error) error {
	e := fault.From(err)
	if e != nil && j.failed != nil && !j.out.begun {
		return j.give(j.failed.status, j.failed.header, j.failed.body)
	}
	if e != nil && e.Ran == fault.No && j.runs > 0 {
		return fault.New(fault.Broken, fault.Unknown, "%s", e.Text)
	}
	return err
}

// give passes a whole answer on to the caller.
func (j *job) give(status int, header http.Header, body []byte) error {
	j.first = time.Since(j.start)
	header.Set("Content-Length", strconv.Itoa(len(body)))
	j.out.begin(j.relay.dialect, status, header)
	if err := j.out.write(body); err != nil {
		j.out.broken = true
		return fault.New(fault.Canceled, fault.Yes, "the caller is gone: %v", err)
	}
	return nil
}

// attempt sends the request once. It returns nil when an answer was given to
// the caller.
func (j *job) attempt() error {
	now := time.Now()
	choice, err := j.relay.places.Choose(now, placement.Request{
		Service:       j.service,
		Domain:        j.relay.host.Process.FailureDomain,
		Prompt:        j.ask.Prompt,
		PromptTokens:  j.ask.PromptTokens,
		MaxTokens:     j.ask.MaxTokens,
		Class:         j.route.Name,
		Excluded:      j.tried,
		SingleEngine:  j.direct,
		ObjectiveLeft: j.target(now),
		TimeLeft:      j.until.Sub(now),
		MustPlace:     j.sends > 0 || j.route.Kind != routes.Stream,
	})
	if err != nil {
		return err
	}
	j.choice = choice
	if j.sends == 0 {
		j.relay.budget.CountRequest(now, j.service)
	}
	j.sends++
	send := SendOptions{TimeLeft: time.Until(j.until), LastEventID: j.last, PrefixSource: choice.PrefixSource}
	if choice.Prefiller != nil {
		err := j.readFirst(choice, &send)
		if err != nil {
			choice.Runner.End(time.Now(), placement.Outcome{Result: placement.Canceled})
			return err
		}
	}
	return j.run(choice.Runner, send)
}

// target returns what is left of the latency objective.
func (j *job) target(now time.Time) time.Duration {
	if j.cameBack {
		return 0
	}
	return j.route.LatencyObjective - now.Sub(j.start)
}

// priority puts answers that take long before long prompts: what was generated
// for them already would have to be read again.
// A prompt that was read elsewhere needs little more, and goes before those
// that weren't.
func (j *job) priority(send SendOptions) int {
	switch {
	case len(j.ask.Prompt) == 0:
		return -1
	case j.ask.PromptTokens <= placement.MaxChatTokens:
		return urgent
	case send.KVHandle != "":
		return handed
	case j.choice.Late:
		return overdue
	}
	return ordinary
}

// readFirst has a server read the prompt, and notes in send where its KV cache is.
// Nothing has run by that.
func (j *job) readFirst(choice placement.Choice, send *SendOptions) error {
	ticket := choice.Prefiller
	j.reader = ticket.Server.ID
	sent := time.Now()
	body, err := j.readPrompt(ticket, *send)
	took := time.Since(sent)
	if err != nil {
		j.direct = true
		j.tried[ticket.Server.ID] = true
		ticket.End(time.Now(), placement.Outcome{Result: j.resultOf(ticket, err)})
		return fault.New(fault.Of(err), fault.No, "%s", fault.From(err).Text)
	}
	j.read = took
	ticket.ResponseBegun(time.Now(), took)
	ticket.End(time.Now(), placement.Outcome{Result: placement.Succeeded, FirstByte: took})
	handle, err := j.relay.dialect.ParseKVHandle(body)
	if err != nil {
		j.direct = true
		return err
	}
	send.PrefixSource = ""
	send.KVSource = ticket.Server.Address
	send.KVHandle = handle
	return nil
}

func (j *job) readPrompt(ticket *placement.Ticket, send SendOptions) ([]byte, error) {
	send.Server = ticket.Server
	send.PrefillOnly = true
	answer, err := j.send(j.ctx, send)
	if err != nil {
		return nil, err
	}
	defer answer.Close()
	if j.relay.dialect.Classify(answer.Status, answer.Header) != Succeeded {
		return nil, fault.New(fault.Overloaded, fault.No, "%s doesn't read the prompt: status %d", ticket.Server.ID, answer.Status)
	}
	return readAll(answer, handleMost)
}

// run has a server run the request and carries its answer to the caller.
func (j *job) run(ticket *placement.Ticket, send SendOptions) error {
	j.server = ticket.Server.ID
	j.tried[ticket.Server.ID] = true
	send.Server = ticket.Server
	send.TimeLeft = time.Until(j.until)
	if send.TimeLeft < leastLeft || j.ctx.Err() != nil {
		ticket.End(time.Now(), placement.Outcome{Result: placement.Canceled})
		j.drop(send)
		return fault.New(fault.Deadline, fault.No, "no time was left for an answer")
	}
	ctx, cancel := context.WithCancel(j.ctx)
	defer cancel()
	var silent *time.Timer
	if j.route.Kind == routes.Stream && j.route.Retryable() {
		silent = time.AfterFunc(stallTime+lateTimes*j.choice.FirstByte, cancel)
	}
	sent := time.Now()
	answer, err := j.send(ctx, send)
	if silent != nil {
		silent.Stop()
	}
	if err != nil {
		ticket.End(time.Now(), placement.Outcome{Result: j.resultOf(ticket, err)})
		if fault.From(err).Ran != fault.No {
			j.runs++
		}
		return err
	}
	defer answer.Close()
	verdict := j.relay.dialect.Classify(answer.Status, answer.Header)
	if verdict == NotRun {
		ticket.End(time.Now(), placement.Outcome{Result: placement.Refused})
		j.direct = j.direct || send.KVHandle != ""
		return fault.New(fault.Overloaded, fault.No, "%s took no work: status %d", ticket.Server.ID, answer.Status)
	}
	j.runs++
	if j.out.begun && verdict != Succeeded {
		ticket.End(time.Now(), placement.Outcome{Result: placement.Failed})
		return fault.New(fault.Broken, fault.Yes, "%s doesn't go on with the stream: status %d", ticket.Server.ID, answer.Status)
	}
	c := &carry{job: j, ticket: ticket, answer: answer, verdict: verdict, sent: sent, cancel: cancel}
	if j.route.Kind == routes.Stream && verdict == Succeeded {
		return c.stream()
	}
	return c.whole()
}

func (j *job) send(ctx context.Context, send SendOptions) (*upstream.Response, error) {
	send.Priority = j.priority(send)
	limit := 0
	if s := j.relay.view.Service(j.service); s != nil && s.MaxConns > 0 {
		limit = max(s.MaxConns/int(j.relay.relays.Load()+1), 1) // one part is left for relays that come
	}
	return j.relay.upstream.Send(ctx, send.Server.Address, upstream.Request{
		Method:   j.request.Method,
		Host:     j.request.Host,
		Path:     j.request.RequestURI,
		Header:   j.relay.dialect.RequestHeader(&j.ask, send),
		Body:     j.body,
		MaxConns: limit,
		Matches:  func(header http.Header) bool { return j.relay.dialect.Matches(&j.ask, header) },
	})
}

// resultOf tells what a failed send says of its server. One that answers
// others isn't lost because this request's time was over.
func (j *job) resultOf(ticket *placement.Ticket, err error) placement.Result {
	switch {
	case fault.Of(err) == fault.Deadline && ticket.SilentFor(time.Now()) < silentTime:
		return placement.Canceled
	case fault.Of(err) == fault.Overloaded:
		return placement.Refused
	}
	return placement.NoResponse
}
