package relay

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"endivedeck.example/routes"
)

// meters counts what the relay does.
type meters struct {
	set *metrics.Set
}

func newMeters(set *metrics.Set, r *Relay) *meters {
	set.NewGauge("relay_routes_version", func() float64 {
		version, _ := r.view.Version()
		return float64(version)
	})
	set.NewGauge("relay_connections_opened_total", func() float64 { return float64(r.upstream.DialCount()) })
	return &meters{set: set}
}

func (m *meters) request(kind routes.Kind, status int, first, whole time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`relay_requests_total{kind=%q,status="%d"}`, kind, status)).Inc()
	if first > 0 {
		m.set.GetOrCreateHistogram(fmt.Sprintf(`relay_first_seconds{kind=%q}`, kind)).Update(first.Seconds())
	}
	m.set.GetOrCreateHistogram(fmt.Sprintf(`relay_whole_seconds{kind=%q}`, kind)).Update(whole.Seconds())
}

func (m *meters) again(reason string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`relay_again_total{reason=%q}`, reason)).Inc()
}
