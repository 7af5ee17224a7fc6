package placement

import (
	"time"

	"endivedeck.example/roster"
)

const (
	maxIdleQueue      = 2 * time.Millisecond // before a prompt whose time tells how fast its engine reads
	calibrationWeight = 0.05                 // weight of a new sample in a pace
	minCalibration    = 0.25                 // bounds of a pace, against a few strange samples
	maxCalibration    = 10.0
)

// engineKind names engines that read equally fast: those of one service and stage.
type engineKind struct {
	service string
	stage   roster.Stage
}

// calibrate takes in how long an idle engine took for a prompt, against what
// was expected.
func (t *Table) calibrate(s *server, ratio float64) {
	key := engineKind{s.Service, s.Stage}
	old := t.calibration(s)
	t.calibrations[key] = min(max(old*(1+calibrationWeight*(ratio-1)), minCalibration), maxCalibration)
}

// calibration returns how long engines like the server take for a prompt, against
// readTime.
func (t *Table) calibration(s *server) float64 {
	if known := t.calibrations[engineKind{s.Service, s.Stage}]; known > 0 {
		return known
	}
	return 1
}
