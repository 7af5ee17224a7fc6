package placement

import (
	"math"
	"slices"
	"time"

	"endivedeck.example/internal/engines/speed"
	"endivedeck.example/roster"
)

const (
	usualInterval    = 250 * time.Millisecond // between two computations of the usual speed of a kind
	minKnownSpeeds   = 3                      // engines of a kind whose speeds must be known to compare them
	minUnevenShare   = 0.05                   // of a service's engines; fewer may be ill
	speedSampleTTL   = 200 * time.Millisecond // a sample is told to other relays for this long
	typicalGapWeight = 0.005                  // of a new sample in the typical gap
	speedSampleShare = 0.5                    // weight of a new sample in what is told to other relays
)

type (
	// serverSpeed is what is known about the speed of a server, by the samples of all
	// relays.
	serverSpeed struct {
		model    speed.Model
		samples  uint64    // of this relay
		logRatio float64   // of this relay's samples, moving average
		at       time.Time // of this relay's last sample
	}

	// typicalGap is the time between two events of a chat on engines of a kind.
	typicalGap struct {
		logGap  float64 // logarithm of nanoseconds, moving average
		samples int
	}

	// usualSpeed is the speed of most engines of a kind.
	usualSpeed struct {
		median float64 // of speed.Model.Median
		known  int     // engines with a known speed
		others int     // number of these that are faster or slower than usual
		at     time.Time
	}
)

// lasting returns by which factor a server is slower than its kind all along.
func (t *Table) lasting(now time.Time, s *server) float64 {
	usual := t.usual(now, engineKind{s.Service, s.Stage})
	if usual.known < minKnownSpeeds {
		return 1
	}
	return s.speed.model.Lasting(usual.median)
}

// slowness returns by which factor a server is slower just now than its kind.
func (t *Table) slowness(now time.Time, s *server) float64 {
	return t.lasting(now, s) * s.speed.model.Passing(now)
}

// uneven reports whether the engines of a service differ in speed all along.
func (t *Table) uneven(now time.Time, service string) bool {
	known, others := 0, 0
	for _, stage := range []roster.Stage{roster.Colocated, roster.Prefill, roster.Decode} {
		u := t.usual(now, engineKind{service, stage})
		known += u.known
		others += u.others
	}
	return float64(others) > minUnevenShare*float64(known)
}

// usual returns the usual speed of a kind.
func (t *Table) usual(now time.Time, kind engineKind) usualSpeed {
	u, known := t.usualSpeeds[kind]
	if known && now.Sub(u.at) < usualInterval {
		return u
	}
	var medians []float64
	for _, s := range t.byService[kind.service] {
		if s.Stage == kind.stage && s.speed.model.Known() {
			medians = append(medians, s.speed.model.Median)
		}
	}
	slices.Sort(medians)
	u = usualSpeed{known: len(medians), at: now}
	if u.known > 0 {
		u.median = medians[u.known/2]
	}
	for _, s := range t.byService[kind.service] {
		if s.Stage == kind.stage && u.known >= minKnownSpeeds && s.speed.model.Lasting(u.median) != 1 {
			u.others++
		}
	}
	t.usualSpeeds[kind] = u
	return u
}

// EventGap records the time between two events of the response. Those of chats tell how
// fast the server is; other responses have few.
func (tk *Ticket) EventGap(now time.Time, gap time.Duration) {
	if !tk.chat || gap <= 0 {
		return
	}
	tk.table.mu.Lock()
	defer tk.table.mu.Unlock()
	s := tk.table.servers[tk.Server.ID]
	if s == nil {
		return
	}
	kind := engineKind{s.Service, s.Stage}
	typical := tk.table.gaps[kind]
	logGap := math.Log(float64(gap))
	typical.samples++
	typical.logGap += max(typicalGapWeight, 1/float64(typical.samples)) * (logGap - typical.logGap)
	tk.table.gaps[kind] = typical
	s.observeSpeed(now, time.Duration(math.Exp(typical.logGap)), gap)
}

// observeSpeed records how long a server has taken for work that takes usual on an engine
// of its kind.
func (s *server) observeSpeed(now time.Time, usual, took time.Duration) {
	if usual <= 0 || took <= 0 {
		return
	}
	ratio := math.Log(float64(took) / float64(usual))
	s.speed.model.Observe(now, ratio)
	if now.Sub(s.speed.at) > speedSampleTTL {
		s.speed.logRatio = ratio
	}
	s.speed.logRatio += speedSampleShare * (ratio - s.speed.logRatio)
	s.speed.samples++
	s.speed.at = now
}

// tellSpeed adds this relay's recent samples of a server to its load.
func (s *server) tellSpeed(now time.Time, l *Load) {
	if s.speed.samples > 0 && now.Sub(s.speed.at) <= speedSampleTTL {
		l.Samples = s.speed.samples
		l.LogRatio = int(1000 * s.speed.logRatio)
	}
}

// heardSpeed records the samples of another relay, unless they were heard before.
func (s *server) heardSpeed(now time.Time, before, l Load) {
	if l.Samples != 0 && l.Samples != before.Samples {
		s.speed.model.Observe(now, float64(l.LogRatio)/1000)
	}
}
