package placement

import (
	"time"

	"endivedeck.example/roster"
)

const (
	maxIdleQueue      = 2 * time.Millisecond // expected queue up to which a prefill time counts as measured on an idle engine
	calibrationWeight = 0.05                 // weight of a new sample
	minCalibration    = 0.25                 // limits the effect of a few outliers
	maxCalibration    = 10.0
)

// engineKind identifies engines that prefill at the same rate: those of one
// service and stage.
type engineKind struct {
	service string
	stage   roster.Stage
}

// calibrate updates the calibration factor of the server's kind. ratio is the
// prefill time measured on an idle engine divided by the expected time.
func (t *Table) calibrate(s *server, ratio float64) {
	key := engineKind{s.Service, s.Stage}
	old := t.calibration(s)
	t.calibrations[key] = min(max(old*(1+calibrationWeight*(ratio-1)), minCalibration), maxCalibration)
}

// calibration returns the factor by which engines of the server's kind are
// slower than basePrefillTime.
func (t *Table) calibration(s *server) float64 {
	if known := t.calibrations[engineKind{s.Service, s.Stage}]; known > 0 {
		return known
	}
	return 1
}
