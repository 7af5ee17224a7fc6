package placement

import (
	"time"

	"endivedeck.example/internal/engines/pace"
	"endivedeck.example/roster"
)

// maxIdleQueue is the expected queue up to which a prefill counts as measured on an
// idle engine.
const maxIdleQueue = 2 * time.Millisecond

// engineKind identifies engines that prefill at the same rate: those of one
// service and stage.
type engineKind struct {
	service string
	stage   roster.Stage
}

// prefillPace returns the learned prefill times of engines of the server's kind.
func (t *Table) prefillPace(s *server) *pace.Model {
	return paceOf(t.prefillPaces, s, prefillOverhead)
}

// handoffPace returns the learned times from the end of a prefill until an engine
// of the server's kind has fetched the KV cache and begun the response. The nominal
// time is that of the transfer.
func (t *Table) handoffPace(s *server) *pace.Model {
	return paceOf(t.handoffPaces, s, handoffTime)
}

// paceOf returns the model of the server's kind, or a new one.
func paceOf(models map[engineKind]*pace.Model, s *server, fixed time.Duration) *pace.Model {
	key := engineKind{s.Service, s.Stage}
	if models[key] == nil {
		models[key] = pace.New(fixed)
	}
	return models[key]
}
