package replay

import (
	"math/rand/v2"
	"time"

	"endivedeck.example/message"
	"endivedeck.example/standin"
)

type (
	// engine simulates a model engine and its sidecar.
	engine struct {
		replay        *Replay
		name          string
		failureDomain string
		batch         *standin.Batch
		rng           *rand.Rand
		requests      map[*standin.Sequence]*request
		stepping      bool         // a step is in progress
		down          bool         // crashed and not yet back
		withdrawing   bool         // accepts no new requests
		changingRole  bool         // accepts no new requests
		epoch         int          // counts crashes; the end of a step of an earlier epoch is ignored
		loadHistory   []timedLoad  // oldest first, from the newest that is at least loadReportLag old
		cacheEvents   []timedEvent // not yet published
	}

	timedLoad struct {
		at   time.Time // when the load was measured
		load message.Load
	}

	timedEvent struct {
		at    time.Time // when the event is published
		event standin.CacheEvent
	}
)

func newEngine(r *Replay, index int) *engine {
	header := r.trace.Header
	return &engine{
		replay:        r,
		name:          engineName(index),
		failureDomain: header.FailureDomains[index%len(header.FailureDomains)],
		batch:         standin.NewBatch(header.EngineSpec),
		rng:           rand.New(rand.NewPCG(r.options.Seed, uint64(1000+index))),
		requests:      map[*standin.Sequence]*request{},
	}
}

// acceptsRequests reports whether the sidecar accepts new requests.
func (e *engine) acceptsRequests() bool { return !e.down && !e.withdrawing && !e.changingRole }

func (e *engine) add(q *request, s *standin.Sequence) {
	e.requests[s] = q
	e.batch.Add(s)
	e.startStep()
}

func (e *engine) cancel(s *standin.Sequence) {
	delete(e.requests, s)
	e.batch.Cancel(s.ID)
}

// startStep starts the next step, unless one is in progress or the engine is
// down or idle.
func (e *engine) startStep() {
	if e.stepping || e.down || e.batch.Idle() {
		return
	}
	e.stepping = true
	tokens, duration := e.batch.Step()
	epoch := e.epoch
	e.replay.schedule(duration, func() { e.finishStep(epoch, tokens) })
}

// finishStep delivers a step's tokens at its end and starts the next one.
func (e *engine) finishStep(epoch int, tokens []standin.GeneratedToken) {
	if e.epoch != epoch {
		return
	}
	e.stepping = false
	for _, token := range tokens {
		q := e.requests[token.Sequence]
		if q == nil {
			continue
		}
		if token.Final {
			delete(e.requests, token.Sequence)
		}
		q.receiveToken(token.Final)
	}
	e.queueCacheEvents()
	e.startStep()
}

// queueCacheEvents queues the step's cache events for publication after the
// trace's delay, without the ones that are lost.
func (e *engine) queueCacheEvents() {
	feed := e.replay.trace.Header.CacheEvents
	for _, event := range e.batch.Events {
		if e.rng.Float64() < feed.LossRate {
			continue
		}
		at := e.replay.now.Add(time.Duration(feed.LagMS) * time.Millisecond)
		e.cacheEvents = append(e.cacheEvents, timedEvent{at: at, event: event})
	}
	e.batch.Events = nil
}

// newGrant returns the sidecar's next grant for the entry processes, with the
// delayed load report and the cache events published since the last one. A
// grant without a duration permits no new requests.
func (e *engine) newGrant() message.Grant {
	now := e.replay.now
	e.loadHistory = append(e.loadHistory, timedLoad{at: now, load: message.Load{
		Running:    len(e.batch.Running),
		Queued:     len(e.batch.Waiting),
		Capacity:   e.batch.Spec.Slots,
		FreeBlocks: e.batch.FreeBlocks(),
	}})
	for len(e.loadHistory) > 1 && !e.loadHistory[1].at.After(now.Add(-loadReportLag)) {
		e.loadHistory = e.loadHistory[1:]
	}
	grant := message.Grant{
		Incarnation: e.name,
		Models:      []string{e.replay.trace.Header.Model},
		Role:        e.batch.Role,
		Load:        e.loadHistory[0].load,
		BlockTokens: e.batch.Spec.PieceTokens,
	}
	grant.Load.ReportAge = now.Sub(e.loadHistory[0].at)
	if e.acceptsRequests() {
		grant.Duration = grantDuration
	}
	for len(e.cacheEvents) > 0 && !e.cacheEvents[0].at.After(now) {
		event := e.cacheEvents[0].event
		e.cacheEvents = e.cacheEvents[1:]
		if event.Evicted {
			grant.EvictedBlocks = append(grant.EvictedBlocks, event.BlockHash)
		} else {
			grant.CachedBlocks = append(grant.CachedBlocks, event.BlockHash)
		}
	}
	return grant
}

// crash empties the engine, which keeps its role: a role change in progress is
// canceled. Its requests continue on other engines.
func (e *engine) crash() {
	e.down = true
	e.changingRole = false
	e.epoch++
	e.stepping = false
	requests := e.requests
	e.requests = map[*standin.Sequence]*request{}
	role := e.batch.Role
	oldBatch := e.batch
	e.batch = standin.NewBatch(e.replay.trace.Header.EngineSpec)
	e.batch.Role = role
	e.replay.report.CacheHitTokens += oldBatch.CacheHitTokens
	e.replay.report.CacheMissTokens += oldBatch.CacheMissTokens
	// In the order of the batch, since that of the map is random and a seed
	// must give one result.
	for _, s := range append(oldBatch.Running, oldBatch.Waiting...) {
		if q := requests[s]; q != nil {
			q.handleCrash()
		}
	}
}

// rejoin makes the engine accept requests again after a crash or a withdrawal.
func (e *engine) rejoin() {
	e.down = false
	e.withdrawing = false
}

// changeRole drains the engine and then changes its role, which makes it
// unavailable for the trace's role change time.
func (e *engine) changeRole(role string) {
	e.changingRole = true
	epoch := e.epoch
	e.replay.schedule(grantInterval, func() { e.changeRoleWhenIdle(epoch, role) })
}

// changeRoleWhenIdle checks every grantInterval whether the engine has drained.
func (e *engine) changeRoleWhenIdle(epoch int, role string) {
	if e.epoch != epoch {
		return
	}
	if !e.batch.Idle() {
		e.replay.schedule(grantInterval, func() { e.changeRoleWhenIdle(epoch, role) })
		return
	}
	duration := time.Duration(e.replay.trace.Header.RoleChangeMS) * time.Millisecond
	e.replay.schedule(duration, func() {
		if e.epoch != epoch {
			return
		}
		e.changingRole = false
		e.batch.Role = role
	})
}
