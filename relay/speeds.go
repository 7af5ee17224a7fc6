package relay

import (
	"math"
	"time"

	"endivedeck.example/placement"
)

// speedLogFactor is by how much the speed of a server must have changed for another log
// line.
const speedLogFactor = 1.5

// speedLog logs which servers are faster or slower than usual. Only the sweep uses it.
type speedLog struct {
	logged map[string]placement.ServerSpeed // by server ID
}

// changes returns the servers whose speeds differ from what was logged, and records them
// as logged. Those that are as usual again have both factors 1.
func (l *speedLog) changes(current []placement.ServerSpeed) []placement.ServerSpeed {
	var list []placement.ServerSpeed
	listed := make(map[string]bool, len(current))
	for _, s := range current {
		listed[s.ID] = true
		if old, known := l.logged[s.ID]; !known || differ(old.Answering, s.Answering) || differ(old.Generating, s.Generating) {
			l.logged[s.ID] = s
			list = append(list, s)
		}
	}
	for id := range l.logged {
		if !listed[id] {
			delete(l.logged, id)
			list = append(list, placement.ServerSpeed{ID: id, Answering: 1, Generating: 1})
		}
	}
	return list
}

func differ(a, b float64) bool { return math.Abs(math.Log(a/b)) > math.Log(speedLogFactor) }

// logSpeeds logs the servers whose speed is another than it was.
func (r *Relay) logSpeeds(now time.Time) {
	for _, s := range r.speeds.changes(r.placement.UnusualSpeeds(now)) {
		r.log.WithField("server", s.ID).WithField("answering", round2(s.Answering)).WithField("generating", round2(s.Generating)).
			Info("speed of a backend server, in multiples of the usual time")
	}
}

// round2 rounds to two decimals, for the log.
func round2(x float64) float64 { return math.Round(100*x) / 100 }
