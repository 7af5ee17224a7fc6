package placement

import (
	"time"

	"endivedeck.example/roster"
)

const (
	// maxPrefillPart is the part of the longest pause allowed in a stream that an engine
	// which decodes may spend on prefills. It needs the rest for its decode steps.
	maxPrefillPart = 0.8
	pressedPart    = 1.25 // the same while there is too little room: a few late events are better than refusing more
	chatsPart      = 0.4  // the same beside chats, whose many events all have to come in time

	fewChats        = 3                      // an engine with more of them is kept for them also while there is too little room
	resumePart      = 0.25                   // of the longest pause, that the prefill of a chat that goes on is taken to need
	besideChatsFill = 0.4                    // how much fuller an engine with chats counts for such a chat
	pauseHalfLife   = 140 * time.Millisecond // of a prefill in recentPrefill
)

// recentPrefill is the prefill time that was placed on an engine, as a sum that decays:
// about what falls into one pause.
type recentPrefill struct {
	sum time.Duration
	at  time.Time
}

func (r *recentPrefill) add(now time.Time, prefill time.Duration) {
	r.sum = r.now(now) + prefill
	r.at = now
}

func (r *recentPrefill) now(now time.Time) time.Duration {
	return decayed(r.sum, now.Sub(r.at))
}

// decayed returns what is left of a sum of recent prefills after some time.
func decayed(sum, age time.Duration) time.Duration {
	return time.Duration(decay(float64(sum), age, pauseHalfLife))
}

// recentOn returns the prefill time that all relays have placed on an engine.
func (t *Table) recentOn(now time.Time, s *server) time.Duration {
	recent := s.recent.now(now)
	for _, report := range t.peerLoads {
		recent += decayed(report.loads[s.ID].Recent, now.Sub(report.receivedAt))
	}
	return recent
}

// resumes reports whether the request goes on with a chat whose events have to come in time.
// Its engine prefills again what the chat has so far, which can be many times its prompt.
func (r *Request) resumes() bool { return r.Resumed && r.Team != "" && r.PauseObjective > 0 }

// resumeFill returns how much fuller an engine counts for a chat that goes on there. When a
// server or a relay has ended, dozens do at a time; beside chats they would delay those.
func (t *Table) resumeFill(now time.Time, s *server, req Request, chats int) float64 {
	if !req.resumes() {
		return 0
	}
	fill := float64(t.recentOn(now, s)) / float64(req.PauseObjective)
	if chats > 0 {
		fill += besideChatsFill
	}
	return fill
}

// breaksPauses reports whether a prefill at an engine that decodes would delay the events of
// the streams that run there for longer than the request's route allows. An engine that
// prefills without a break takes several times as long for an event.
func (t *Table) breaksPauses(now time.Time, s *server, req Request, prefill time.Duration, chats int) bool {
	if req.Team == "" && !t.uneven(now, req.Service) || req.MustPlace || req.PauseObjective <= 0 || s.Stage == roster.Prefill {
		return false
	}
	recent := t.recentOn(now, s)
	pressed := t.pressed(now, req)
	if chats > fewChats || chats > 0 && !pressed {
		return recent+prefill > time.Duration(chatsPart*float64(req.PauseObjective))
	}
	part := maxPrefillPart
	if pressed {
		part = pressedPart
	}
	budget := time.Duration(part * float64(req.PauseObjective))
	return recent > 0 && recent+min(prefill, budget*3/4) > budget
}
