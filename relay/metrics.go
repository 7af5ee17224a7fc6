package relay

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"endivedeck.example/internal/engines/ramp"
	"endivedeck.example/internal/prompts/quarantine"
	"endivedeck.example/routes"
)

// relayMetrics holds the metrics of the relay.
type relayMetrics struct {
	set *metrics.Set
}

func newRelayMetrics(set *metrics.Set, r *Relay) *relayMetrics {
	set.NewGauge("relay_routes_version", func() float64 {
		version, _ := r.routeView.Version()
		return float64(version)
	})
	set.NewGauge("relay_routes_known", func() float64 {
		if _, known := r.routeView.Version(); known {
			return 1
		}
		return 0
	})
	set.NewGauge("relay_connections_opened_total", func() float64 { return float64(r.upstream.DialCount()) })
	set.NewGauge("relay_quarantined_parts", func() float64 { return float64(r.quarantine.Count(quarantine.Quarantined)) })
	set.NewGauge("relay_buffered_bytes", func() float64 { return float64(r.buffers.held.Load()) })
	if r.ramps != nil {
		set.NewGauge("relay_paced_servers", func() float64 { return float64(len(r.ramps.Paced())) })
	}
	set.NewGauge("relay_unusual_servers", func() float64 { return float64(len(r.placement.UnusualSpeeds(time.Now()))) })
	set.NewGauge("relay_link_use", func() float64 { return r.link.use(time.Now()) })
	return &relayMetrics{set: set}
}

func (m *relayMetrics) countRequest(kind routes.Kind, status int, timeToFirstByte, total time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`relay_requests_total{kind=%q,status="%d"}`, kind, status)).Inc()
	if timeToFirstByte > 0 {
		m.set.GetOrCreateHistogram(fmt.Sprintf(`relay_first_seconds{kind=%q}`, kind)).Update(timeToFirstByte.Seconds())
	}
	m.set.GetOrCreateHistogram(fmt.Sprintf(`relay_whole_seconds{kind=%q}`, kind)).Update(total.Seconds())
}

// countReturn counts a request of a team that is refused, and one of a caller that has
// come back after a refusal.
func (m *relayMetrics) countReturn(j *job, status int, total time.Duration) {
	if impliesNotRun(status) {
		m.set.GetOrCreateCounter(fmt.Sprintf(`relay_refusals_total{kind=%q,team=%q}`, j.route.Kind, j.team.Name)).Inc()
	}
	if !j.clientRetry {
		return
	}
	m.set.GetOrCreateCounter(fmt.Sprintf(`relay_returns_total{kind=%q,team=%q,result=%q}`, j.route.Kind, j.team.Name, returnResult(status))).Inc()
	if j.timeToFirstByte > 0 {
		total = j.timeToFirstByte
	}
	m.set.GetOrCreateHistogram(fmt.Sprintf(`relay_return_seconds{kind=%q}`, j.route.Kind)).Update((j.waited + total).Seconds())
}

// countServerEnd counts a request whose connection a server of the service broke
// before the answer was whole.
func (m *relayMetrics) countServerEnd(service string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`relay_ended_total{service=%q}`, service)).Inc()
}

func (m *relayMetrics) countRetry(reason string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`relay_again_total{reason=%q}`, reason)).Inc()
}

// countRamp counts a change of a server's pace.
func (m *relayMetrics) countRamp(change ramp.ChangeKind) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`relay_ramps_total{change=%q}`, change)).Inc()
}
