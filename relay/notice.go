package relay

import (
	"sync/atomic"
	"time"

	"endivedeck.example/roster"
	"endivedeck.example/upstream"
)

const invalidPauseInterval = time.Second // between two log lines about pauses that can't be used

// applyNotice applies what a response says about its server: that it leaves, or that it
// wants no requests for a time. Both hold from now on, whether or not a control
// instance can be reached.
func (r *Relay) applyNotice(server roster.Server, resp *upstream.Response) {
	notice := r.dialect.ServerNotice(resp.Status, resp.Header)
	now := time.Now()
	if notice.Leaving && r.roster.MarkDraining(server.ID, server.StartedAt) {
		r.setServers(now, r.roster.Servers(now))
		r.log.WithField("server", server.ID).WithField("born", server.StartedAt).Info("backend server leaves, by its own response")
	}
	if notice.Invalid != "" && r.invalidPause.due(now) {
		r.log.WithField("server", server.ID).WithField("text", notice.Invalid).Warn("pause asked for by a backend server ignored: not a number of seconds")
	}
	if notice.Pause == 0 {
		return
	}
	if length := r.placement.Pause(now, server.ID, notice.Pause); length > 0 {
		r.log.WithField("server", server.ID).WithField("pause", length.Milliseconds()).WithField("asked", notice.Pause.Milliseconds()).
			Info("backend server paused, by its own response")
	}
}

// logInterval limits how often an event is logged.
type logInterval struct{ last atomic.Int64 }

// due reports whether the event may be logged now.
func (l *logInterval) due(now time.Time) bool {
	last := l.last.Load()
	return now.UnixNano()-last >= int64(invalidPauseInterval) && l.last.CompareAndSwap(last, now.UnixNano())
}
