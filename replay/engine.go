package replay

import (
	"math/rand/v2"
	"time"

	"endivedeck.example/message"
	"endivedeck.example/standin"
)

type (
	// engine is a model engine and its sidecar.
	engine struct {
		replay   *Replay
		name     string
		domain   string
		batch    *standin.Batch
		random   *rand.Rand
		requests map[*standin.Sequence]*request
		stepping bool
		down     bool
		leaving  bool
		changing bool
		boot     int // counts its starts, so that steps of an earlier one are ignored
		loads    []timedLoad
		events   []timedEvent
	}

	timedLoad struct {
		at   time.Time
		load message.Load
	}

	timedEvent struct {
		at    time.Time
		event standin.CacheEvent
	}
)

func newEngine(r *Replay, i int) *engine {
	h := r.trace.Header
	return &engine{
		replay:   r,
		name:     name(i),
		domain:   h.Domains[i%len(h.Domains)],
		batch:    standin.NewBatch(h.Shape),
		random:   rand.New(rand.NewPCG(r.options.Seed, uint64(1000+i))),
		requests: map[*standin.Sequence]*request{},
	}
}

// takesWork reports whether its sidecar lets new work through.
func (e *engine) takesWork() bool { return !e.down && !e.leaving && !e.changing }

func (e *engine) add(q *request, s *standin.Sequence) {
	e.requests[s] = q
	e.batch.Add(s)
	e.kick()
}

func (e *engine) cancel(s *standin.Sequence) {
	delete(e.requests, s)
	e.batch.Cancel(s.ID)
}

// kick takes the next step, unless one is under way or there is nothing to do.
func (e *engine) kick() {
	if e.stepping || e.down || e.batch.Idle() {
		return
	}
	e.stepping = true
	made, took := e.batch.Step()
	boot := e.boot
	e.replay.after(took, func() { e.stepped(boot, made) })
}

// stepped gives the tokens of a step out at its end.
func (e *engine) stepped(boot int, made []standin.Made) {
	if e.boot != boot {
		return
	}
	e.stepping = false
	for _, m := range made {
		q := e.requests[m.Sequence]
		if q == nil {
			continue
		}
		if m.End {
			delete(e.requests, m.Sequence)
		}
		q.token(m.End)
	}
	e.noteEvents()
	e.kick()
}

// noteEvents publishes cache events late and with gaps.
func (e *engine) noteEvents() {
	cache := e.replay.trace.Header.Cache
	for _, event := range e.batch.Events {
		if e.random.Float64() < cache.Gap {
			continue
		}
		at := e.replay.now.Add(time.Duration(cache.LagMS) * time.Millisecond)
		e.events = append(e.events, timedEvent{at: at, event: event})
	}
	e.batch.Events = nil
}

// grant is what the sidecar tells the entries now.
func (e *engine) grant() message.Grant {
	now := e.replay.now
	e.loads = append(e.loads, timedLoad{at: now, load: message.Load{
		Running:  len(e.batch.Running),
		Queued:   len(e.batch.Waiting),
		Capacity: e.batch.Shape.Slots,
		Free:     e.batch.Free(),
	}})
	for len(e.loads) > 1 && !e.loads[1].at.After(now.Add(-loadLag)) {
		e.loads = e.loads[1:]
	}
	grant := message.Grant{
		Incarnation: e.name,
		Models:      []string{e.replay.trace.Header.Model},
		Role:        e.batch.Role,
		Load:        e.loads[0].load,
		PieceTokens: e.batch.Shape.PieceTokens,
	}
	grant.Load.Age = now.Sub(e.loads[0].at)
	if e.takesWork() {
		grant.For = grantTime
	}
	for len(e.events) > 0 && !e.events[0].at.After(now) {
		event := e.events[0].event
		e.events = e.events[1:]
		if event.Evicted {
			grant.Evicted = append(grant.Evicted, event.Hash)
		} else {
			grant.Cached = append(grant.Cached, event.Hash)
		}
	}
	return grant
}

// crash ends the engine at once; what ran there goes on elsewhere.
func (e *engine) crash() {
	e.down = true
	e.boot++
	e.stepping = false
	requests := e.requests
	e.requests = map[*standin.Sequence]*request{}
	role := e.batch.Role
	old := e.batch
	e.batch = standin.NewBatch(e.replay.trace.Header.Shape)
	e.batch.Role = role
	e.replay.report.Hits += old.Hits
	e.replay.report.Misses += old.Misses
	// In the order of the batch, so that a seed gives one result.
	for _, s := range append(old.Running, old.Waiting...) {
		if q := requests[s]; q != nil {
			q.lost()
		}
	}
}

func (e *engine) comeBack() {
	e.down = false
	e.leaving = false
}

// change drains the engine, then takes it away for a change of role.
func (e *engine) change(role string) {
	e.changing = true
	boot := e.boot
	e.replay.after(grantPause, func() { e.changeWhenIdle(boot, role) })
}

func (e *engine) changeWhenIdle(boot int, role string) {
	if e.boot != boot {
		e.changing = false
		return
	}
	if !e.batch.Idle() {
		e.replay.after(grantPause, func() { e.changeWhenIdle(boot, role) })
		return
	}
	away := time.Duration(e.replay.trace.Header.Change) * time.Millisecond
	e.replay.after(away, func() {
		e.changing = false
		e.batch.Role = role
	})
}
