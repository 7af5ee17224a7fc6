package kernel

import (
	"io"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

// sinkLines is how many log lines wait to be written: some seconds of a busy
// process.
const sinkLines = 8192

// sink writes log lines without ever making its callers wait: when the place
// that they go to is slow, lines are dropped and counted.
type sink struct {
	out     io.Writer
	lines   chan []byte
	dropped *metrics.Counter
	ended   chan struct{}

	mu     sync.RWMutex
	closed bool
}

func newSink(out io.Writer, set *metrics.Set) *sink {
	s := &sink{
		out:     out,
		lines:   make(chan []byte, sinkLines),
		dropped: set.NewCounter("log_lines_dropped_total"),
		ended:   make(chan struct{}),
	}
	go s.run()
	return s
}

// Write implements io.Writer. It keeps a copy of p.
func (s *sink) Write(p []byte) (int, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.closed {
		return s.out.Write(p)
	}
	select {
	case s.lines <- append([]byte(nil), p...):
	default:
		s.dropped.Inc()
	}
	return len(p), nil
}

// close writes what waits.
func (s *sink) close() {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return
	}
	s.closed = true
	close(s.lines)
	s.mu.Unlock()
	<-s.ended
}

func (s *sink) run() {
	defer close(s.ended)
	for line := range s.lines {
		if _, err := s.out.Write(line); err != nil {
			s.dropped.Inc()
		}
	}
}
