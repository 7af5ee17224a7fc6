package placement

import (
	"math"
	"slices"
	"strings"
	"time"

	"endivedeck.example/internal/engines/speed"
	"endivedeck.example/roster"
)

const (
	usualInterval    = 250 * time.Millisecond // between two computations of the usual speed of a kind
	minKnownSpeeds   = 2                      // engines of a kind whose speeds must be known to compare them
	minUnevenShare   = 0.15                   // of a service's engines; fewer may be ill
	speedSampleTTL   = 200 * time.Millisecond // a sample is told to other relays for this long
	nominalGap       = 50 * time.Millisecond  // between two events of a chat
	speedSampleShare = 0.5                    // weight of a new sample in what is told to other relays
)

// What is measured of an engine's speed. The two aren't comparable: an engine may be known
// by one of them only.
const (
	answering  measure = iota // until a response to a prompt begins
	generating                // between two events of a chat
	measureCount
)

// usualQuantiles has for each measure the quantile of the engines of a kind, fastest first,
// that counts as usual. Engines become known by generating only when they get chats, which
// may be mostly slow ones at first.
var usualQuantiles = [measureCount]float64{answering: 0.3, generating: 0.1}

type (
	measure int

	// SpeedSample is what one relay has measured of a server's speed just now.
	SpeedSample struct {
		Count    uint64 `cbor:"1,keyasint"` // of samples so far; 0 if none is recent
		LogRatio int    `cbor:"2,keyasint"` // logarithm of the ratio of actual and expected times, in thousandths
	}

	// ServerSpeed tells by which factors a server is slower than usual all along; 1 is usual.
	ServerSpeed struct {
		ID         string
		Answering  float64 // until responses to prompts begin
		Generating float64 // between two events of a chat
	}

	// serverSpeed is one measure of the speed of a server, by the samples of all relays.
	serverSpeed struct {
		model    speed.Model
		count    uint64    // of this relay's samples
		logRatio float64   // of this relay's samples, moving average
		at       time.Time // of this relay's last sample
	}

	// usualKey identifies a usualSpeed.
	usualKey struct {
		kind    engineKind
		measure measure
	}

	// usualSpeed is the speed of most engines of a kind, by one measure.
	usualSpeed struct {
		median float64 // speed.Model.Typical of the engine at the quantile of usualQuantiles
		known  int     // engines with a known speed
		others int     // number of these that are faster or slower than usual
		at     time.Time
	}
)

// LearnSpeeds makes the table learn how fast each server is, for services whose servers
// may differ. Otherwise all servers of a kind count as alike.
func (t *Table) LearnSpeeds() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.learnsSpeeds = true
}

// lasting returns by which factor a server is slower than its kind all along.
func (t *Table) lasting(now time.Time, s *server, m measure) float64 {
	usual := t.usual(now, usualKey{engineKind{s.Service, s.Stage}, m})
	if usual.known < minKnownSpeeds {
		return 1
	}
	return s.speeds[m].model.Lasting(usual.median)
}

// generatesSlowly reports whether a server takes longer for the events of chats all along
// than its kind. Of a server without chats that is told by its answers to prompts.
func (t *Table) generatesSlowly(now time.Time, s *server) bool {
	if !t.uneven(now, s.Service) {
		return false
	}
	if s.speeds[generating].model.Known() {
		return t.lasting(now, s, generating) > 1
	}
	return t.lasting(now, s, answering) > 1
}

// slowness returns by which factor a server is slower just now to answer prompts than its
// kind, where engines are uneven. Elsewhere what deviates are queues.
func (t *Table) slowness(now time.Time, s *server) float64 {
	if !t.uneven(now, s.Service) {
		return 1
	}
	return t.lasting(now, s, answering) * s.speeds[answering].model.Passing(now)
}

// uneven reports whether the engines of a service differ in speed all along.
func (t *Table) uneven(now time.Time, service string) bool {
	known, others := 0, 0
	for _, stage := range []roster.Stage{roster.Colocated, roster.Prefill, roster.Decode} {
		for m := range measureCount {
			u := t.usual(now, usualKey{engineKind{service, stage}, m})
			known += u.known
			others += u.others
		}
	}
	return float64(others) > minUnevenShare*float64(known)
}

// UnusualSpeeds returns the servers that are faster or slower than usual, by ID.
func (t *Table) UnusualSpeeds(now time.Time) []ServerSpeed {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []ServerSpeed
	for _, s := range t.servers {
		speed := ServerSpeed{ID: s.ID, Answering: t.lasting(now, s, answering), Generating: t.lasting(now, s, generating)}
		if speed.Answering != 1 || speed.Generating != 1 {
			list = append(list, speed)
		}
	}
	slices.SortFunc(list, func(a, b ServerSpeed) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// usual returns the usual speed of a kind by one measure.
func (t *Table) usual(now time.Time, key usualKey) usualSpeed {
	u, known := t.usualSpeeds[key]
	if known && now.Sub(u.at) < usualInterval {
		return u
	}
	var medians []float64
	for _, s := range t.byService[key.kind.service] {
		if s.Stage == key.kind.stage && s.speeds[key.measure].model.Known() {
			medians = append(medians, s.speeds[key.measure].model.Typical)
		}
	}
	slices.Sort(medians)
	u = usualSpeed{known: len(medians), at: now}
	if u.known >= minKnownSpeeds {
		u.median = medians[int(usualQuantiles[key.measure]*float64(u.known))]
		for _, s := range t.byService[key.kind.service] {
			if s.Stage == key.kind.stage && s.speeds[key.measure].model.Lasting(u.median) != 1 {
				u.others++
			}
		}
	}
	t.usualSpeeds[key] = u
	return u
}

// EventGap records the time between two events of the response. Those of chats tell how
// fast the server generates; other responses have few.
func (tk *Ticket) EventGap(now time.Time, gap time.Duration) {
	if !tk.chat || gap <= 0 {
		return
	}
	tk.table.mu.Lock()
	defer tk.table.mu.Unlock()
	if s := tk.table.servers[tk.Server.ID]; s != nil {
		tk.table.observeSpeed(now, s, generating, nominalGap, gap)
	}
}

// observeSpeed records how long a server has taken for work that takes usual on an engine
// of its kind.
func (t *Table) observeSpeed(now time.Time, s *server, m measure, usual, took time.Duration) {
	if t.learnsSpeeds {
		s.speeds[m].observe(now, usual, took)
	}
}

// observe records how long a server has taken for work that takes usual on an engine of
// its kind.
func (s *serverSpeed) observe(now time.Time, usual, took time.Duration) {
	if usual <= 0 || took <= 0 {
		return
	}
	ratio := math.Log(float64(took) / float64(usual))
	s.model.Observe(now, ratio)
	if now.Sub(s.at) > speedSampleTTL {
		s.logRatio = ratio
	}
	s.logRatio += speedSampleShare * (ratio - s.logRatio)
	s.count++
	s.at = now
}

// recent returns this relay's recent samples for other relays.
func (s *serverSpeed) recent(now time.Time) SpeedSample {
	if s.count == 0 || now.Sub(s.at) > speedSampleTTL {
		return SpeedSample{}
	}
	return SpeedSample{Count: s.count, LogRatio: int(1000 * s.logRatio)}
}

// heardSpeeds records what another relay has measured of a server since its report before.
func (t *Table) heardSpeeds(now time.Time, s *server, before, l Load) {
	if t.learnsSpeeds {
		s.speeds[answering].heard(now, before.Answering, l.Answering)
		s.speeds[generating].heard(now, before.Generating, l.Generating)
	}
}

// heard records the samples of another relay, unless they were heard before.
func (s *serverSpeed) heard(now time.Time, before, sample SpeedSample) {
	if sample.Count != 0 && sample.Count != before.Count {
		s.model.Observe(now, float64(sample.LogRatio)/1000)
	}
}
