package relay

import (
	"time"

	"endivedeck.example/roster"
	"endivedeck.example/upstream"
)

// applyNotice applies what a response says about its server: that it leaves. That holds
// from now on, whether or not a control instance can be reached.
func (r *Relay) applyNotice(server roster.Server, resp *upstream.Response) {
	notice := r.dialect.ServerNotice(resp.Status, resp.Header)
	now := time.Now()
	if notice.Leaving && r.roster.MarkDraining(server.ID, server.StartedAt) {
		r.placement.SetServers(r.roster.Servers(now))
		r.log.WithField("server", server.ID).WithField("born", server.StartedAt).Info("backend server leaves, by its own response")
	}
}
