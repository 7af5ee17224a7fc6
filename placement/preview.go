package placement

import (
	"time"

	"endivedeck.example/roster"
)

// Reasons for which a server isn't a candidate.
const (
	reasonExcluded = "excluded by the request"
	reasonPaused   = "has asked for a pause"
	reasonBackoff  = "in backoff"
	reasonPaced    = "paced, no room for this relay"
)

type (
	// Preview is how a request would be placed, and why. Times are in milliseconds.
	Preview struct {
		Prefiller string          `json:"prefiller,omitempty"` // ID of the server that prefills the prompt for Runner
		Runner    string          `json:"runner,omitempty"`    // ID; empty if the request would be refused
		Source    string          `json:"source,omitempty"`    // address of the server whose KV cache has shared prefixes
		Late      bool            `json:"late"`                // the request would yield to those in time
		Queue     float64         `json:"queue"`               // until processing begins
		First     float64         `json:"first"`               // until the first byte
		Servers   []PreviewServer `json:"servers"`             // of the service
		Choice    Choice          `json:"-"`                   // as Choose would return it, also for a request that it refuses

		byID    map[string]int // index in Servers
		pressed bool           // the request itself shows that there is too little room
	}

	// PreviewServer is a server with the terms of the decision. Those that the decision
	// doesn't use for the request are 0.
	PreviewServer struct {
		ID       string       `json:"id"`
		Domain   string       `json:"domain"`
		Stage    roster.Stage `json:"stage,omitempty"`
		Excluded string       `json:"excluded,omitempty"` // why the server isn't a candidate
		Back     float64      `json:"back,omitempty"`     // until it may be one again, if that is known
		Active   int          `json:"active"`             // requests of all relays
		Chats    int          `json:"chats"`              // of them
		Queue    float64      `json:"queue"`              // expected wait
		Errors   float64      `json:"errors"`             // recent error rate
		Cached   int          `json:"cached"`             // tokens of the prompt that it is expected to have
		Moved    int          `json:"moved"`              // tokens that it would fetch from another server
		Prefill  float64      `json:"prefill"`            // expected time for the rest of the prompt
		Way      float64      `json:"way"`                // cost of another failure domain
		Fill     float64      `json:"fill"`               // rank among servers for chats: the lowest is used
		Decode   float64      `json:"decode"`             // cost of decoding what another server has prefilled
		Cost     float64      `json:"cost"`               // what is compared between servers
		Pace     *PreviewPace `json:"pace,omitempty"`     // of a server that is paced
	}

	// PreviewPace is the pace of a server that has started or recovered.
	PreviewPace struct {
		Share   int     `json:"share"`   // requests of this relay that may run there
		Running int     `json:"running"` // that do
		Ratio   float64 `json:"ratio"`   // of measured to expected time
	}
)

// Preview returns how Choose would place a request now, and the terms of that decision.
// It changes nothing. The error is that of Choose; the preview is then without a choice.
func (t *Table) Preview(now time.Time, req Request) (*Preview, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := &Preview{byID: map[string]int{}}
	req.preview = p
	for i, s := range t.byService[req.Service] {
		p.byID[s.ID] = i
		load := t.loadOf(now, s)
		p.Servers = append(p.Servers, PreviewServer{
			ID: s.ID, Domain: s.Domain, Stage: s.Stage, Active: load.active, Chats: load.chats,
			Queue: inMs(s.queueTime(now, load, false)), Errors: s.currentErrorRate(now), Way: inMs(s.crossDomainCost(req)),
		})
	}
	choice, err := t.choose(now, req)
	p.Choice = choice
	if err != nil {
		return p, err
	}
	if choice.Prefiller != nil {
		p.Prefiller = choice.Prefiller.Server.ID
	}
	p.Runner, p.Source, p.Late = choice.Runner.Server.ID, choice.PrefixSource, choice.Late
	p.Queue, p.First = inMs(choice.QueueTime), inMs(choice.FirstByte)
	return p, nil
}

// latency records the cost of a server for a request without a prompt.
func (p *Preview) latency(s *server, cost float64) {
	if p != nil {
		p.Servers[p.byID[s.ID]].Cost = inMs(time.Duration(cost))
	}
}

// fill records the rank of a server for a chat.
func (p *Preview) fill(s *server, fill float64) {
	if p != nil {
		p.Servers[p.byID[s.ID]].Fill = fill
	}
}

// decode records the cost of decoding at a server.
func (p *Preview) decode(s *server, cost time.Duration) {
	if p != nil {
		p.Servers[p.byID[s.ID]].Decode = inMs(cost)
	}
}

// exclude records why a server isn't a candidate, and the time left until it may be one
// again; 0 if that isn't known.
func (p *Preview) exclude(s *server, reason string, left time.Duration) {
	if p != nil {
		entry := &p.Servers[p.byID[s.ID]]
		entry.Excluded, entry.Back = reason, inMs(left)
	}
}

// paced records the pace of a server.
func (p *Preview) paced(s *server) {
	if p != nil && s.paced {
		p.Servers[p.byID[s.ID]].Pace = &PreviewPace{Share: s.pace.Share, Running: s.active, Ratio: s.pace.Ratio}
	}
}

// plan records the plan in which a server prefills the prompt.
func (p *Preview) plan(x plan, cached, moved int) {
	if p != nil {
		entry := &p.Servers[p.byID[x.server.ID]]
		entry.Queue, entry.Prefill, entry.Cost = inMs(x.queueTime), inMs(x.prefillTime), inMs(x.cost)
		entry.Cached, entry.Moved = cached, moved
	}
}

// inMs returns a duration in milliseconds, to a hundredth.
func inMs(d time.Duration) float64 {
	return float64(d.Round(10*time.Microsecond).Microseconds()) / 1000
}
