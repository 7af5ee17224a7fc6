package placement

import (
	"time"

	"endivedeck.example/roster"
)

const (
	idleQueue = 2 * time.Millisecond // before a prompt whose time tells how fast its engine reads
	paceRate  = 0.05                 // weight of a new sample in a pace
	paceLeast = 0.25                 // bounds of a pace, against a few strange samples
	paceMost  = 10.0
)

// pace names engines that read equally fast: those of one service and stage.
type pace struct {
	service string
	stage   roster.Stage
}

// learnPace takes in how long an idle engine took for a prompt, against what
// was expected.
func (t *Table) learnPace(s *server, ratio float64) {
	key := pace{s.Service, s.Stage}
	old := t.pace(s)
	t.paces[key] = min(max(old*(1+paceRate*(ratio-1)), paceLeast), paceMost)
}

// pace returns how long engines like the server take for a prompt, against
// readTime.
func (t *Table) pace(s *server) float64 {
	if known := t.paces[pace{s.Service, s.Stage}]; known > 0 {
		return known
	}
	return 1
}
