package placement

import (
	"time"

	"endivedeck.example/roster"
)

const (
	// maxPrefillPart is the part of the longest pause allowed in a stream that an engine
	// which decodes may spend on prefills. It needs the rest for its decode steps.
	maxPrefillPart = 0.8
	pressedPart    = 1.25 // the same while there is too little room: late events of a few are better than refusing more
	chatsPart      = 0.4  // the same beside chats, whose many events all have to come in time

	pauseHalfLife = 140 * time.Millisecond // of a prefill in recentPrefill
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

// breaksPauses reports whether a prefill at an engine that decodes would delay the events of
// the streams that run there for longer than the request's route allows. An engine that
// prefills without a break takes several times as long for an event.
func (t *Table) breaksPauses(now time.Time, s *server, req Request, prefill time.Duration, chats int) bool {
	if req.Team == "" && !t.uneven(now, req.Service) || req.MustPlace || req.PauseObjective <= 0 || s.Stage == roster.Prefill {
		return false
	}
	recent := s.recent.now(now)
	for _, report := range t.peerLoads {
		recent += decayed(report.loads[s.ID].Recent, now.Sub(report.receivedAt))
	}
	if chats > 0 {
		return recent+prefill > time.Duration(chatsPart*float64(req.PauseObjective))
	}
	part := maxPrefillPart
	if t.shares.Pressed(now, req.Service) {
		part = pressedPart
	}
	budget := time.Duration(part * float64(req.PauseObjective))
	return recent > 0 && recent+min(prefill, budget*3/4) > budget
}
