package relay

import (
	"time"

	"github.com/sirupsen/logrus"

	"endivedeck.example/internal/engines/ramp"
	"endivedeck.example/roster"
)

// setServers sets the backend servers that may get requests.
func (r *Relay) setServers(now time.Time, list []roster.Server) {
	if r.ramps != nil {
		servers := make([]ramp.Server, len(list))
		for i, s := range list {
			servers[i] = ramp.Server{ID: s.ID, Start: s.StartedAt}
		}
		r.ramps.SetServers(now, servers)
	}
	r.placement.SetServers(list)
}

// logRamps logs and counts the changes of the pace of backend servers.
func (r *Relay) logRamps() {
	if r.ramps == nil {
		return
	}
	changes, dropped := r.ramps.Changes()
	for _, c := range changes {
		r.metrics.countRamp(c.Kind)
		fields := logrus.Fields{"server": c.Server, "change": c.Kind, "limit": c.Limit, "round": c.Round, "epoch": c.Epoch, "floor": c.Floor, "ratio": c.Ratio}
		switch s := c.Sample; {
		case c.Relay != "":
			fields["relay"] = c.Relay
		case !s.SentAt.IsZero():
			fields["result"], fields["first"], fields["expect"] = s.Result, s.First.Milliseconds(), s.ExpectedFirst.Milliseconds()
			fields["step"], fields["peers"] = s.Step.Milliseconds(), s.Peers
		}
		r.log.WithFields(fields).Info("pace of a backend server changed")
	}
	if dropped > 0 {
		r.log.WithField("dropped", dropped).Warn("changes of the pace of backend servers weren't logged")
	}
}
